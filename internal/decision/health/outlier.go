// Package health tracks the health of single workers from the outcomes of attempts there. Workers that fail
// are ejected for a backoff (Outlier). Workers in slow start are sent no more work than they can do without
// overload (SlowStart, with the Warmup of each worker and the WorkerRate of warm workers).
//
// Times are in nanoseconds on the dispatcher's clock; they and the source of randomness are passed in.
package health

import (
	"math"
	"math/rand/v2"
)

const (
	second = int64(1e9)

	maxFailureRate       = 0.4 // moving fraction of failed attempts above which a worker is an outlier
	maxCountedRejections = 3   // consecutive rejections up to which the backoff doubles

	// NoFreeSlotCost is the cost of a worker, in jobs in flight there, where this dispatcher's last job found no
	// free slot or failed.
	NoFreeSlotCost = 3.0
)

// An Outlier tracks a worker's health from its responses. An ejected worker is paused, and then gets one
// trial job at a time until it proves healthy.
type Outlier struct{ state OutlierState }

// An OutlierState is the health state of a worker.
type OutlierState struct {
	PausedUntil           int64   // it gets no job before this time
	Backoff               int64   // length of the last ejection; 0: none since it was healthy
	Trial                 bool    // it gets one job at a time
	ConsecutiveRejections int     // at most maxCountedRejections
	PromptStartAt         int64   // when a job of this dispatcher last started there at once; 0: never
	LastFaultAt           int64   // when it last rejected a job, made a job wait, or was ejected; 0: never
	FailureRate           float64 // moving fraction of failed attempts, 0 to 1
}

// State returns the health state.
func (o *Outlier) State() OutlierState { return o.state }

// Restore sets the health state.
func (o *Outlier) Restore(s OutlierState) { o.state = s }

// Reset discards the state of a process that has ended, except for the count of consecutive rejections.
func (o *Outlier) Reset() {
	o.state = OutlierState{ConsecutiveRejections: o.state.ConsecutiveRejections}
}

// Paused reports whether the worker gets no job now.
func (o *Outlier) Paused(now int64) bool { return now < o.state.PausedUntil }

// OnTrial reports whether the worker was ejected and gets one job at a time until it proves healthy.
func (o *Outlier) OnTrial() bool { return o.state.Trial }

// Rejections returns the number of consecutive rejections, at most maxCountedRejections.
func (o *Outlier) Rejections() int { return o.state.ConsecutiveRejections }

// RecordStart records that a job has started, either at once (prompt) or after it waited at the worker. Only
// Cost depends on it.
func (o *Outlier) RecordStart(now int64, prompt bool) {
	if prompt {
		o.state.PromptStartAt = now
	} else {
		o.state.LastFaultAt = now
	}
}

// RecordTimelyStart records that a job did not start late, which resets the count of consecutive rejections.
// It ends a trial and resets the backoff only if the failure rate is at most maxFailureRate: whether a worker
// fails the jobs that it starts is known only at their end.
func (o *Outlier) RecordTimelyStart() {
	o.state.ConsecutiveRejections = 0
	if o.state.FailureRate <= maxFailureRate {
		o.state.Trial, o.state.Backoff = false, 0
	}
}

// RecordSuccess records that a job was served, which ends a trial, resets the backoff and lowers the failure
// rate by a fifth. A pause goes on.
func (o *Outlier) RecordSuccess() {
	o.state.FailureRate *= 0.8
	o.state.Trial, o.state.Backoff = false, 0
}

// RecordFailure records that a job has failed, with a weight (0 to 1) in the failure rate. It reports whether
// the worker is an outlier and should be ejected. One error may be chance, but a worker that fails every job
// fast has few in flight and would attract all jobs. On trial one failure is enough.
func (o *Outlier) RecordFailure(weight float64) (outlier bool) {
	o.state.FailureRate += float64((1 - o.state.FailureRate) * weight)
	return o.state.FailureRate > maxFailureRate || o.state.Trial
}

// Failing reports whether the failure rate is too high to be chance: at least maxFailureRate.
func (o *Outlier) Failing() bool { return o.state.FailureRate >= maxFailureRate }

// Backoff pauses a worker that has no free slot now: by this dispatcher's own count it looks free and would
// attract the next job. The pause doubles with each consecutive rejection: at most a quarter of runtime, a
// half, and from the third on the whole. It is drawn at random from the upper half of that, and replaces any
// other pause, even a longer one.
func (o *Outlier) Backoff(now, runtime int64, rng *rand.Rand) {
	o.state.ConsecutiveRejections = min(o.state.ConsecutiveRejections+1, maxCountedRejections)
	pause := runtime / 8 << o.state.ConsecutiveRejections
	o.state.LastFaultAt = now
	o.state.PausedUntil = now + pause/2 + rng.Int64N(pause/2+1)
}

// Eject pauses a worker for a backoff that doubles each time, from minBackoff to maxBackoff, plus a random
// part of up to half of it. Then the worker is on trial. If minBackoff is more than maxBackoff, maxBackoff
// applies.
func (o *Outlier) Eject(now, minBackoff, maxBackoff int64, rng *rand.Rand) {
	o.state.Backoff = min(max(2*o.state.Backoff, minBackoff), maxBackoff)
	o.state.PausedUntil = now + o.state.Backoff + rng.Int64N(o.state.Backoff/2+1)
	o.state.Trial, o.state.LastFaultAt = true, now
}

// Cost estimates how likely a job finds no free slot at the worker, as an equivalent number of jobs in flight
// there, 0 to NoFreeSlotCost. It is based on this dispatcher's last job at the worker, which predicts for
// long. If that job had started at once, 65 in 100 jobs did so in the next second and 45 in 100 later on.
// Where no job had been sent, 24 in 100 did, and where the last job had not started at once, 12 in 100.
func (o *Outlier) Cost(now int64) float64 {
	switch {
	case o.state.LastFaultAt > o.state.PromptStartAt:
		return NoFreeSlotCost
	case o.state.PromptStartAt == 0:
		return 0.85 * NoFreeSlotCost
	}
	return 0.4 * NoFreeSlotCost * (1 - math.Exp(-float64(now-o.state.PromptStartAt)/float64(2*second)))
}
