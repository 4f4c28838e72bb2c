package foxlift

// What attempts teach of their workers: capacity, failures that eject a worker, and slow start.

import "github.com/vatu-meals/foxlift/internal/decision/health"

// recordSend counts a job just sent.
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

// recordStart learns from the delay before a job started. A late start is as a rejection: the worker had
// no free slot for it.
func (d *Dispatcher) recordStart(a *attempt) {
	w, delay := a.worker, d.now-a.sentAt
	d.capacity.startDelays.Record(delay)
	if d.manyDispatchers() { // a few learn each worker's limit by itself
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

// adjustCapacity moves the worker's limit and the fleet's window after an answer.
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

// recordOutcome takes the end of an attempt into the counts and into what is known of its worker.
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
		w.acceptedAt = 0 // it may be draining
		d.adjustCapacity(w, true)
		d.backoffWorker(w, j)
	case Unreachable:
		w.connections.open = w.inFlightJobs
		d.eject(w)
	case WorkerError, Reset:
		// Of many dispatchers each meets a worker seldom: it cannot wait for a run of errors.
		if w.outlier.RecordFailure(min(0.2*d.fleetScale, 0.5)) {
			d.eject(w)
		}
		if !w.outlier.Failing() && !a.late {
			j.class.loop.SampleLate()
		}
	case DeadlineExceeded, Cancelled:
		if a.startedAt != 0 {
			break // it was at work
		}
		if d.manyDispatchers() && w.outlier.Rejections() < 2 && d.now-a.sentAt < j.objective/4 {
			d.backoffWorker(w, j) // it was moved early: the worker has a queue, or hangs
		} else {
			d.eject(w)
		}
	}
	d.updateLevel(w)
}

// recordServed learns from an attempt that was served.
func (d *Dispatcher) recordServed(a *attempt, took int64) {
	w, j := a.worker, a.job
	d.recordAccepted(a)
	if a.startedAt != 0 {
		took = max(1, d.now-a.startedAt)
	}
	j.class.runtimes.Record(took)
	if !a.late {
		j.class.loop.Sample(float64(d.now-j.arrivedAt) / float64(j.objective))
	}
	ratio := min(float64(took)/float64(max(1, j.class.runtimes.Median())), maxLatencyRatio)
	w.latencyRatio += (ratio - w.latencyRatio) / latencyRatioWeight
	w.outlier.RecordSuccess()
	if !d.inSlowStart(w) {
		// Not what was sent: jobs that were shed are no measure of capacity.
		d.capacity.slowStart.Rate().RecordServed(a.slots, took)
	}
	if d.manyDispatchers() {
		d.capacity.reported.add(w) // a slot has just come free there, on a connection that stays open
	}
	if !d.cfg.StartNotes {
		d.adjustCapacity(w, d.now-j.arrivedAt > j.objective)
	}
}

const (
	maxLatencyRatio    = 4  // that one job counts for in a worker's latency ratio
	latencyRatioWeight = 16 // jobs after which the ratio has mostly followed
)

// backoffWorker keeps jobs from a worker that has no free slot now.
func (d *Dispatcher) backoffWorker(w *worker, j *job) {
	w.outlier.Backoff(d.now, j.class.runtimes.Median(), d.rng)
}

// eject keeps jobs from a worker that has failed for a while.
func (d *Dispatcher) eject(w *worker) {
	minBackoff := d.capacity.startDelays.Bound(4)
	if d.manyDispatchers() {
		minBackoff = max(minBackoff, second)
	}
	// Trials add up over the dispatchers.
	maxBackoff := 4 * int64(min(d.fleetScale, 4)) * second
	w.outlier.Eject(d.now, max(minBackoff, d.tickInterval), maxBackoff, d.rng)
}

// inSlowStart reports whether a worker is still warming up.
func (d *Dispatcher) inSlowStart(w *worker) bool {
	return d.capacity.slowStart.Active(&w.warmup, d.now)
}

// slowStartWeight is the fraction of its capacity that a worker is sure to have.
func (d *Dispatcher) slowStartWeight(w *worker) float64 {
	return d.capacity.slowStart.Weight(&w.warmup, d.now)
}

// minMedianRuntime is the median running time of the class that has the least.
func (d *Dispatcher) minMedianRuntime() int64 {
	runtime := d.classes[0].runtimes.Median()
	for i := range d.classes {
		runtime = min(runtime, d.classes[i].runtimes.Median())
	}
	return runtime
}

// updateLevel moves a worker to where it belongs in the free lists.
func (d *Dispatcher) updateLevel(w *worker) {
	level := -1
	if w.state == Live && w.overdue == 0 && !w.outlier.Paused(d.now) &&
		w.usedSlots < max(1, min(w.limit.Slots(), w.report.MaxSlots())) &&
		(!w.outlier.OnTrial() || w.inFlightJobs == 0) && !d.capacity.slowStart.Defers(&w.warmup, d.now) {
		level = int(w.usedSlots)
	}
	if level != w.level {
		d.free.setLevel(w, level)
	}
	if !w.pending && d.timeDependent(w) {
		d.markPending(w)
	}
}
