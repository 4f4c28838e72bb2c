// Package health judges single workers by what became of the attempts there: outliers are ejected for a
// backoff (Outlier), and workers in slow start are sent no more than they bear (SlowStart, with the Warmup
// of each worker and the WorkerRate of the warm ones).
//
// Times are in nanoseconds on the dispatcher's clock; they and the source of randomness are passed in.
package health

import (
	"math"
	"math/rand/v2"
)

const (
	second = int64(1e9)

	maxFailureRate       = 0.4 // fraction of failures among a worker's late attempts that is no chance
	maxCountedRejections = 3   // in a row, that lengthen a backoff

	// UnprovenCost is what a worker weighs, in jobs there, where our last job found no room.
	NoFreeSlotCost = 3.0
)

// An Outlier is what a worker's answers tell of its health. It gets nothing while it is ejected, and then
// one trial job, until it answers.
type Outlier struct{ state OutlierState }

// An OutlierState is what is known of a worker's health.
type OutlierState struct {
	PausedUntil           int64 // it gets nothing before this
	Backoff               int64 // the last one after a failure
	Trial                 bool  // one job only, until it answers
	ConsecutiveRejections int
	PromptStartAt         int64 // when it last started one of our jobs at once,
	LastFaultAt           int64 // and when it last had no room for one, or failed it
	FailureRate           float64
}

// State returns what is known.
func (o *Outlier) State() OutlierState { return o.state }

// Restore takes over what was known.
func (o *Outlier) Restore(s OutlierState) { o.state = s }

// Reset forgets what was learned of a process that is no more.
func (o *Outlier) Reset() {
	o.state = OutlierState{ConsecutiveRejections: o.state.ConsecutiveRejections}
}

// Paused reports whether the worker gets nothing now.
func (o *Outlier) Paused(now int64) bool { return now < o.state.PausedUntil }

// OnTrial reports whether the worker gets one job only, until it answers.
func (o *Outlier) OnTrial() bool { return o.state.Trial }

// Rejections returns how many jobs in a row the worker has rejected, up to a bound.
func (o *Outlier) Rejections() int { return o.state.ConsecutiveRejections }

// RecordStart notes that a job has started, at once or after it has waited there.
func (o *Outlier) RecordStart(now int64, prompt bool) {
	if prompt {
		o.state.PromptStartAt = now
	} else {
		o.state.LastFaultAt = now
	}
}

// RecordTimelyStart notes that a job has not started late. A worker that fails what it starts shows its
// health at the end.
func (o *Outlier) RecordTimelyStart() {
	o.state.ConsecutiveRejections = 0
	if o.state.FailureRate <= maxFailureRate {
		o.state.Trial, o.state.Backoff = false, 0
	}
}

// RecordSuccess notes that a job was served.
func (o *Outlier) RecordSuccess() {
	o.state.FailureRate *= 0.8
	o.state.Trial, o.state.Backoff = false, 0
}

// RecordFailure notes that a job has failed, which counts for so much of the failure rate. It reports
// whether the worker is an outlier: one error is chance; a run of them is a worker that empties its count
// fast and so would draw every job.
func (o *Outlier) RecordFailure(weight float64) (outlier bool) {
	o.state.FailureRate += (1 - o.state.FailureRate) * weight
	return o.state.FailureRate > maxFailureRate || o.state.Trial
}

// Failing reports whether the worker's failures are no chance.
func (o *Outlier) Failing() bool { return o.state.FailureRate >= maxFailureRate }

// Backoff keeps jobs from a worker that has no room now: by our count it looks free, and would draw the
// next one. The pause goes with a job's running time.
func (o *Outlier) Backoff(now, runtime int64, rng *rand.Rand) {
	o.state.ConsecutiveRejections = min(o.state.ConsecutiveRejections+1, maxCountedRejections)
	pause := runtime / 8 << o.state.ConsecutiveRejections
	o.state.LastFaultAt = now
	o.state.PausedUntil = now + pause/2 + rng.Int64N(pause/2+1)
}

// Eject keeps jobs from a worker for a while that doubles each time, between bounds, then lets one job
// try it.
func (o *Outlier) Eject(now, minBackoff, maxBackoff int64, rng *rand.Rand) {
	o.state.Backoff = min(max(2*o.state.Backoff, minBackoff), maxBackoff)
	o.state.PausedUntil = now + o.state.Backoff + rng.Int64N(o.state.Backoff/2+1)
	o.state.Trial, o.state.LastFaultAt = true, now
}

// Cost rates, in jobs there, how likely a job finds no slot free at the worker. What the last of ours
// found holds for long: of jobs sent where it had started at once 65 in 100 did in the next second and 45
// later on, 24 where none of ours had been, 12 where it had not.
func (o *Outlier) Cost(now int64) float64 {
	switch {
	case o.state.LastFaultAt > o.state.PromptStartAt:
		return NoFreeSlotCost
	case o.state.PromptStartAt == 0:
		return 0.85 * NoFreeSlotCost
	}
	return 0.4 * NoFreeSlotCost * (1 - math.Exp(-float64(now-o.state.PromptStartAt)/float64(2*second)))
}
