package foxlift

// How attempts update the state of their workers: concurrency limit, ejection after failures, slow start.

import (
	"github.com/vatu-meals/foxlift/internal/decision/health"
	"github.com/vatu-meals/foxlift/internal/saturate"
)

// recordSend counts an attempt that was just sent: in the usage, connections, cached keys and slow start of
// its worker.
func (d *Dispatcher) recordSend(w *worker, a *attempt) {
	d.countAttempt(a, 1)
	w.connections.open = max(w.connections.open, w.inFlightJobs)
	w.connections.lastUsedAt = d.now
	w.cachedKeys.Record(a.job.req.Key)
	class := a.job.class
	d.capacity.slowStart.RecordSend(&w.warmup, d.now, health.Job{
		Slots: a.slots, Runtime: class.runtimes.Median(), Objective: class.LatencyObjective,
	}, d.rng)
	d.updateLevel(w)
}

// recordStart updates a worker's capacity and health from the delay between sending an attempt and its start.
// A start after more than two ticks lowers the capacity like a rejection: the worker had no free slot for the
// job. A start within one tick counts as prompt.
func (d *Dispatcher) recordStart(a *attempt) {
	w, delay := a.worker, d.now-a.sentAt
	d.capacity.startDelays.Record(delay)
	if d.manyDispatchers() { // few dispatchers learn the limit of each worker separately
		delay = d.capacity.startDelays.Excess(a.path, delay)
	}
	w.outlier.RecordStart(d.now, delay < d.tickInterval)
	late := delay > 2*d.tickInterval
	a.clearOverdue()
	d.adjustCapacity(w, late)
	if !late {
		w.outlier.RecordTimelyStart()
	}
	d.updateLevel(w)
}

// adjustCapacity lowers the worker's concurrency limit and the fleet's start window if a job was late or
// rejected. Otherwise it raises the limit if at most one slot of it was free, and the window if at least half
// of it was in use.
func (d *Dispatcher) adjustCapacity(w *worker, late bool) {
	if late {
		w.limit.Decrease(w.usedSlots)
		d.capacity.startWindow.RecordLate(d.occupiedSlots())
	} else {
		w.limit.Increase(w.usedSlots)
		d.capacity.startWindow.RecordPrompt(d.occupiedSlots())
	}
	d.updateLimitSum(w)
}

// recordOutcome updates the usage, capacity and health of an attempt's worker when the attempt ends. NotSent
// and InvalidRequest do not count for or against the worker's health.
func (d *Dispatcher) recordOutcome(a *attempt, e *Event) {
	w, j := a.worker, a.job
	a.mayHaveRun = !e.Code.NeverRan()
	d.countAttempt(a, -1)
	w.connections.lastUsedAt = d.now
	if e.HasLoad {
		d.recordLoad(w, e)
	}
	a.clearOverdue()
	switch e.Code {
	case Served:
		d.recordServed(a, e.Took)
	case Saturated:
		d.adjustCapacity(w, true)
		d.backoffWorker(w, j)
	case Unreachable:
		w.connections.open = w.inFlightJobs
		d.eject(w)
	case WorkerError, Reset:
		// Each of many dispatchers sends to a worker too seldom to wait for a run of errors, so each
		// failure weighs more.
		if w.outlier.RecordFailure(min(0.2*d.fleetScale, 0.5)) {
			d.eject(w)
		}
		if !w.outlier.Failing() && !a.late {
			j.class.loop.SampleLate()
		}
	case DeadlineExceeded, Cancelled:
		if a.startedAt != 0 {
			break // the worker was running the job
		}
		if d.manyDispatchers() && w.outlier.Rejections() < 2 && d.now-a.sentAt < j.objective/4 {
			d.backoffWorker(w, j) // the job was moved early: the worker has a queue, or hangs
		} else {
			d.eject(w)
		}
	}
	d.updateLevel(w)
}

// recordServed updates the class's running times and latency loop, and the worker's health and capacity, from
// an attempt that was served. took is the time from send to outcome in nanoseconds, which counts as the
// running time if no start was reported.
func (d *Dispatcher) recordServed(a *attempt, took int64) {
	w, j := a.worker, a.job
	if a.startedAt != 0 {
		took = max(1, d.now-a.startedAt)
	}
	j.class.runtimes.Record(took)
	if !a.late {
		j.class.loop.Sample(float64(d.now-j.arrivedAt) / float64(j.objective))
	}
	ratio := min(float64(took)/float64(max(1, j.class.runtimes.Median())), maxLatencyRatio)
	w.latencyRatio += float64((ratio - w.latencyRatio) / latencyRatioWeight)
	w.outlier.RecordSuccess()
	if !d.inSlowStart(w) {
		// The rate counts jobs served rather than sent: jobs that were shed do not show capacity.
		d.capacity.slowStart.Rate().RecordServed(a.slots, took)
	}
	if d.manyDispatchers() {
		d.capacity.recentReports.add(w) // it has just freed a slot, on a connection that stays open
	}
	if !d.cfg.StartNotes {
		d.adjustCapacity(w, d.now-j.arrivedAt > j.objective)
	}
}

const (
	maxLatencyRatio    = 4  // most that one job counts in a worker's latency ratio
	latencyRatioWeight = 16 // a job moves the ratio by 1/16 of its difference from it
)

// backoffWorker pauses a worker that has no free slot now, for at most the median running time of the job's
// class.
func (d *Dispatcher) backoffWorker(w *worker, j *job) {
	w.outlier.Backoff(d.now, j.class.runtimes.Median(), d.rng)
}

// eject pauses a worker that has failed, then allows it one trial job at a time. The backoff starts at a tick
// or the average start delay plus four mean deviations if that is longer, with many dispatchers at a second
// or more. It doubles up to 4 s, with many dispatchers up to 16 s.
func (d *Dispatcher) eject(w *worker) {
	minBackoff := d.capacity.startDelays.Bound(4)
	if d.manyDispatchers() {
		minBackoff = max(minBackoff, second)
	}
	// Each dispatcher sends trial jobs of its own: the more there are, the longer each backs off.
	maxBackoff := 4 * int64(min(d.fleetScale, 4)) * second
	w.outlier.Eject(d.now, max(minBackoff, d.tickInterval), maxBackoff, d.rng)
}

// inSlowStart reports whether a worker is in slow start.
func (d *Dispatcher) inSlowStart(w *worker) bool {
	return d.capacity.slowStart.Active(&w.warmup, d.now)
}

// slowStartWeight returns the fraction (0 to 1) of its capacity that a worker is sure to have: 1 after slow
// start.
func (d *Dispatcher) slowStartWeight(w *worker) float64 {
	return d.capacity.slowStart.Weight(&w.warmup, d.now)
}

// minMedianRuntime returns the shortest median running time of any class, in nanoseconds.
func (d *Dispatcher) minMedianRuntime() int64 {
	runtime := d.classes[0].runtimes.Median()
	for i := range d.classes {
		runtime = min(runtime, d.classes[i].runtimes.Median())
	}
	return runtime
}

// updateLevel moves a worker to the free list of its used slots, or out of the lists if it may get no job
// now. A worker whose level time alone may change is marked pending.
func (d *Dispatcher) updateLevel(w *worker) {
	level := -1
	if w.state == Live && w.overdue == 0 && !w.outlier.Paused(d.now) &&
		w.usedSlots < max(1, min(w.limit.Slots(), w.report.MaxSlots())) &&
		(!w.outlier.OnTrial() || w.inFlightJobs == 0) && !d.capacity.slowStart.Defers(&w.warmup, d.now) {
		level = int(saturate.Int64(w.usedSlots))
	}
	if level != w.level {
		d.free.setLevel(w, level)
	}
	if !w.pending && d.timeDependent(w) {
		d.markPending(w)
	}
}
