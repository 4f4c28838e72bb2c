package health

import (
	"math"
	"math/rand/v2"

	"github.com/vatu-meals/foxlift/internal/slowstart"
)

// A Warmup is the slow-start state of one process of a worker.
type Warmup struct {
	hash       uint64  // of the worker's ID
	startedAt  int64   // when the process started; 0: long ago; -1: not known yet
	lastSentAt int64   // time of the last send in slow start
	lastWork   float64 // work of the last send; while no rate is known, of all sends in its time slot
}

// NewWarmup returns the state of a worker whose start is not known yet; hash is that of its ID.
func NewWarmup(hash uint64) Warmup { return Warmup{hash: hash, startedAt: -1} }

// StartedAt returns when the worker started; 0: long ago; -1: not known yet.
func (w *Warmup) StartedAt() int64 { return w.startedAt }

// Restart sets the time at which the worker started.
func (w *Warmup) Restart(at int64) { w.startedAt = at }

// LastSend returns the time of the last send to the worker in slow start and the work that counts against the
// next one: that of the last send or, while no rate is known, of all sends in its time slot.
func (w *Warmup) LastSend() (at int64, work float64) { return w.lastSentAt, w.lastWork }

// RestoreLastSend sets the values that LastSend returns.
func (w *Warmup) RestoreLastSend(at int64, work float64) { w.lastSentAt, w.lastWork = at, work }

// A SlowStartConfig describes how workers warm up. From its start a worker's capacity grows linearly to its
// full capacity.
type SlowStartConfig struct {
	Capacity         float64         // fraction of the full capacity at the start of a worker
	Duration         int64           // of slow start, nanoseconds
	OverloadMultiple float64         // multiple of its current capacity that overloads a worker
	MinObjective     float64         // shortest latency objective, nanoseconds: the work of a light job
	Slots            slowstart.Slots // slots in which this scheduler may send while no rate is known
}

// A SlowStart limits the work that is sent to workers in slow start.
type SlowStart struct {
	config SlowStartConfig
	rate   WorkerRate
}

// A Job holds the slots of a job and the times of its class, from which RecordSend computes the job's work
// at a worker in slow start.
type Job struct {
	Slots              float64
	Runtime, Objective int64 // of its class, nanoseconds: median running time and latency objective
}

// NewSlowStart returns a SlowStart. rate is the rate of warm workers; its peak is 0 while none is known.
func NewSlowStart(config SlowStartConfig, rate WorkerRate) SlowStart {
	return SlowStart{config: config, rate: rate}
}

// Rate returns the rate of warm workers, those past slow start.
func (s *SlowStart) Rate() *WorkerRate { return &s.rate }

// Active reports whether a worker is in slow start: its process started less than Duration ago. It is false
// if the start was long ago (0).
func (s *SlowStart) Active(w *Warmup, now int64) bool {
	return w.startedAt != 0 && now-w.startedAt < s.config.Duration
}

// EndsAt returns when a worker's slow start ends: math.MinInt64 if it started long ago, and
// math.MaxInt64 at most.
func (s *SlowStart) EndsAt(w *Warmup) int64 {
	switch {
	case w.startedAt == 0:
		return math.MinInt64
	case w.startedAt > math.MaxInt64-s.config.Duration:
		return math.MaxInt64
	}
	return w.startedAt + s.config.Duration
}

// Weight returns the fraction of its full capacity that a worker is sure to have: 1 after slow start.
func (s *SlowStart) Weight(w *Warmup, now int64) float64 {
	if !s.Active(w, now) {
		return 1
	}
	age := float64(now-w.startedAt) / float64(s.config.Duration)
	return s.config.Capacity + float64((1-s.config.Capacity)*min(max(age, 0), 1))
}

// Ready reports whether a worker in slow start may get this dispatcher's next job. While no rate is known,
// that is whether Admits allows a light job. If a rate is known, the worker must have had time since the last
// send for the work sent. It is taken to do this dispatcher's part of its current capacity, times half of
// OverloadMultiple if that is more than 1: so all dispatchers together send about what it tolerates.
func (s *SlowStart) Ready(w *Warmup, now int64) bool {
	if s.NeedsSlot(w, now) {
		return s.Admits(w, now, s.config.MinObjective)
	}
	sentAge, age := float64(max(w.lastSentAt-w.startedAt, 0)), float64(max(now-w.startedAt, 0))
	startCapacity, meanProgress := s.config.Capacity, (age+sentAge)/(2*float64(s.config.Duration))
	possibleWork := (age - sentAge) * (startCapacity + float64((1-startCapacity)*meanProgress))
	return s.rate.peak*max(1, s.config.OverloadMultiple/2)*possibleWork >= w.lastWork
}

// Defers reports whether a worker is in slow start and may not get this dispatcher's next job yet.
func (s *SlowStart) Defers(w *Warmup, now int64) bool { return s.Active(w, now) && !s.Ready(w, now) }

// NeedsSlot reports whether a worker is in slow start while no rate of warm workers is known. Then each
// scheduler may send to the worker only in its own time slots.
func (s *SlowStart) NeedsSlot(w *Warmup, now int64) bool { return s.rate.peak <= 0 && s.Active(w, now) }

// Admits reports whether a worker that needs a time slot (see NeedsSlot) may get a job of so much work, in
// slot-nanoseconds, now. A slot of this scheduler admits one light job, more work as the worker warms up, and
// in some slots a single heavier job.
func (s *SlowStart) Admits(w *Warmup, now int64, work float64) bool {
	sent, slot := s.sentInSlot(w, now), s.config.Slots.At(now)
	maxWork := s.config.MinObjective * s.Weight(w, now) / s.config.Capacity // per slot
	return s.config.Slots.Owned(slot, w.hash) &&
		(sent+work <= maxWork || sent == 0 && s.config.Slots.AllowsHeavy(slot, w.hash, work/maxWork))
}

// sentInSlot returns the work that this scheduler has sent in the current time slot to a worker that needs
// one; 0 for other workers.
func (s *SlowStart) sentInSlot(w *Warmup, now int64) float64 {
	if !s.NeedsSlot(w, now) || s.config.Slots.At(w.lastSentAt) != s.config.Slots.At(now) {
		return 0
	}
	return w.lastWork
}

// EstimatedWork returns the work of a job of so many slots, in slot-nanoseconds, at a worker that needs a
// time slot. It is based on the job's latency objective, since running times are long at a cold worker. As
// objectives show little of how much heavier one job is than another, the excess over a light job counts
// twice.
func (s *SlowStart) EstimatedWork(slots float64, objective int64) float64 {
	return float64(2*slots*float64(objective)) - s.config.MinObjective
}

// RecordSend records a job that is sent to a worker, if the worker is in slow start. While no rate is known,
// its work is EstimatedWork; otherwise it is slots times running time, varied at random by up to a quarter.
func (s *SlowStart) RecordSend(w *Warmup, now int64, j Job, rng *rand.Rand) {
	if !s.Active(w, now) {
		return
	}
	work := 0.0
	if s.NeedsSlot(w, now) {
		work = s.sentInSlot(w, now) + s.EstimatedWork(j.Slots, j.Objective)
	} else {
		work = j.Slots * float64(j.Runtime) * (0.75 + float64(rng.Float64()/2))
	}
	w.lastSentAt, w.lastWork = now, work
}

// DelayFirstSend delays the first send to a worker that has just started by the time in which it can do a
// random part of a light job, of which runtime is the running time. Otherwise all dispatchers would send at
// once. It has no effect after slow start, or if a job was sent to the worker in the current time slot.
func (s *SlowStart) DelayFirstSend(w *Warmup, now, runtime int64, rng *rand.Rand) {
	if s.Active(w, now) && s.sentInSlot(w, now) == 0 {
		w.lastSentAt, w.lastWork = w.startedAt, float64(runtime)*rng.Float64()
	}
}
