package health

import (
	"math"
	"math/rand/v2"

	"github.com/vatu-meals/foxlift/internal/slowstart"
)

// A Warmup is the slow start of one run of a worker.
type Warmup struct {
	hash       uint64  // of the worker's ID
	startedAt  int64   // when it started; 0: long ago; -1: not known yet
	lastSentAt int64   // the last send while it was in slow start,
	work       float64 // and the work that it must have had time for before the next
}

// NewWarmup returns the warmup of a worker of which only the hash of its ID is known.
func NewWarmup(hash uint64) Warmup { return Warmup{hash: hash, startedAt: -1} }

// StartedAt returns when the worker started; 0: long ago.
func (w *Warmup) StartedAt() int64 { return w.startedAt }

// Restart notes that the worker has started at a time.
func (w *Warmup) Restart(at int64) { w.startedAt = at }

// LastSend returns when the worker was last sent work in slow start, and the work that it must have had
// time for before the next.
func (w *Warmup) LastSend() (at int64, work float64) { return w.lastSentAt, w.work }

// RestoreLastSend takes over what LastSend has returned.
func (w *Warmup) RestoreLastSend(at int64, work float64) { w.lastSentAt, w.work = at, work }

// A SlowStartConfig says how workers warm up. From the moment that a worker starts its capacity grows
// evenly to the whole.
type SlowStartConfig struct {
	Capacity         float64 // fraction that a worker starts with
	Duration         int64
	OverloadMultiple float64         // of what a worker can do, that overloads it
	MinObjective     float64         // the least latency objective: the work of a light job
	Slots            slowstart.Slots // in which this scheduler may send where no rate is known
}

// A SlowStart says what workers bear that are warming up.
type SlowStart struct {
	config SlowStartConfig
	rate   WorkerRate
}

// A Job is what a job weighs at a worker in slow start.
type Job struct {
	Slots              float64
	Runtime, Objective int64 // the median running time and the latency objective of its class
}

// NewSlowStart returns the slow start of workers where no rate is known yet.
func NewSlowStart(c SlowStartConfig, rate WorkerRate) SlowStart {
	return SlowStart{config: c, rate: rate}
}

// Rate returns the rate of the workers that are not in slow start.
func (s *SlowStart) Rate() *WorkerRate { return &s.rate }

// Active reports whether a worker is still warming up.
func (s *SlowStart) Active(w *Warmup, now int64) bool {
	return w.startedAt != 0 && now-w.startedAt < s.config.Duration
}

// Until returns from when on a worker is not in slow start.
func (s *SlowStart) EndsAt(w *Warmup) int64 {
	switch {
	case w.startedAt == 0:
		return math.MinInt64
	case w.startedAt > math.MaxInt64-s.config.Duration:
		return math.MaxInt64
	}
	return w.startedAt + s.config.Duration
}

// Weight is the fraction of its capacity that a worker is sure to have.
func (s *SlowStart) Weight(w *Warmup, now int64) float64 {
	if !s.Active(w, now) {
		return 1
	}
	age := float64(now-w.startedAt) / float64(s.config.Duration)
	return s.config.Capacity + (1-s.config.Capacity)*min(max(age, 0), 1)
}

// Ready reports whether a worker in slow start may get our next job: it has had time, since our last,
// for our part of what it can do while it warms up, and more: all send about what it bears.
func (s *SlowStart) Ready(w *Warmup, now int64) bool {
	if s.NeedsSlot(w, now) {
		return s.Admits(w, now, s.config.MinObjective)
	}
	sentAge, age := float64(max(w.lastSentAt-w.startedAt, 0)), float64(max(now-w.startedAt, 0))
	startCapacity, meanProgress := s.config.Capacity, (age+sentAge)/(2*float64(s.config.Duration))
	possibleWork := (age - sentAge) * (startCapacity + (1-startCapacity)*meanProgress)
	return s.rate.peak*max(1, s.config.OverloadMultiple/2)*possibleWork >= w.work
}

// Holds reports whether a worker is warming up and may not get our next job yet.
func (s *SlowStart) Defers(w *Warmup, now int64) bool { return s.Active(w, now) && !s.Ready(w, now) }

// NeedsSlot reports whether a worker is still warming up and no rate is known for it: then each scheduler
// may send to it in time slots of its own.
func (s *SlowStart) NeedsSlot(w *Warmup, now int64) bool { return s.rate.peak <= 0 && s.Active(w, now) }

// Admits reports whether a worker that needs a slot may get so much work: in a slot of this scheduler one
// light job, as it warms up more, in some slots a heavier one.
func (s *SlowStart) Admits(w *Warmup, now int64, work float64) bool {
	sent, slot := s.sentInSlot(w, now), s.config.Slots.At(now)
	maxWork := s.config.MinObjective * s.Weight(w, now) / s.config.Capacity // in a slot
	return s.config.Slots.Owned(slot, w.hash) &&
		(sent+work <= maxWork || sent == 0 && s.config.Slots.AllowsHeavy(slot, w.hash, work/maxWork))
}

// sentInSlot is the work that a worker that needs a slot has been sent in this one; 0 for others.
func (s *SlowStart) sentInSlot(w *Warmup, now int64) float64 {
	if !s.NeedsSlot(w, now) || s.config.Slots.At(w.lastSentAt) != s.config.Slots.At(now) {
		return 0
	}
	return w.work
}

// Work is what a job of so many slots counts for at a worker that needs a slot. It goes by the job's
// latency objective: running times are long where a worker is cold. Objectives tell little of how much
// heavier one is than another, so the rest counts twice.
func (s *SlowStart) EstimatedWork(slots float64, objective int64) float64 {
	return 2*slots*float64(objective) - s.config.MinObjective
}

// RecordSend notes a job that is sent to a worker, if that is in slow start.
func (s *SlowStart) RecordSend(w *Warmup, now int64, j Job, rng *rand.Rand) {
	if !s.Active(w, now) {
		return
	}
	work := 0.0
	if s.NeedsSlot(w, now) {
		work = s.sentInSlot(w, now) + s.EstimatedWork(j.Slots, j.Objective)
	} else {
		work = j.Slots * float64(j.Runtime) * (0.75 + rng.Float64()/2)
	}
	w.lastSentAt, w.work = now, work
}

// DelayFirst puts the first send to a worker that has just started off at random, within the running time
// of a light job, or all would send at once.
func (s *SlowStart) DelayFirstSend(w *Warmup, now, runtime int64, rng *rand.Rand) {
	if s.Active(w, now) && s.sentInSlot(w, now) == 0 {
		w.lastSentAt, w.work = w.startedAt, float64(runtime)*rng.Float64()
	}
}
