package foxlift

// Workers' health: what their answers teach, how many jobs each may have, pauses after failures, and
// the slow start of young workers.

// took counts a job just sent.
func (d *Dispatcher) recordSend(w *worker, a *attempt) {
	d.countAttempt(a, 1)
	w.connections = max(w.connections, w.inFlightJobs)
	w.connectionUsedAt = d.now
	w.cachedKeys.Record(a.job.req.Key)
	if d.inSlowStart(w) {
		w.slowStartSentAt, w.slowStartWork = d.now, d.slowStartAfter(w, a)
	}
	d.updateLevel(w)
}

// recordStart learns from the delay before a job started. A late start is a soft
// 'full': the worker had no room for it.
func (d *Dispatcher) recordStart(a *attempt) {
	w, delay := a.worker, d.now-a.sentAt
	d.startDelay.add(float64(delay))
	if delay = d.excessDelay(a, delay); delay < d.tickInterval {
		w.promptStartAt = d.now
	} else {
		w.lastFaultAt = d.now
	}
	late := delay > 2*d.tickInterval
	a.clearOverdue()
	d.adjustCapacity(w, late)
	if !late {
		w.consecutiveRejections = 0
		if w.failureRate <= maxFailureRate {
			w.trial, w.backoff = false, 0 // one that fails what it starts shows its health at the end
		}
	}
	d.updateLevel(w)
}

const (
	lateStartFraction = 0.25 // share of late starts at which the window stays
	windowGain        = 0.01 // share of the window that one start moves it by, at most

	maxFailureRate = 0.4 // share of failures among a worker's late attempts that is no chance
)

// adjustCapacity moves the worker's cap and the fleet's window after an answer.
func (d *Dispatcher) adjustCapacity(w *worker, late bool) {
	defer d.recountLimit(w)
	gain := windowGain * min(d.fleetScale, 8) // each of many sees fewer starts
	if late {
		w.concurrencyLimit, w.limitLearned = max(1, min(w.concurrencyLimit, w.usedSlots)-0.5), true
		d.startWindow = max(1, min(d.startWindow, 2*d.occupiedSlots())*(1-gain))
		return
	}
	if w.usedSlots >= w.concurrencyLimit-1 {
		w.concurrencyLimit, w.limitLearned = w.concurrencyLimit+0.25, true
	}
	if d.occupiedSlots() >= d.startWindow/2 {
		d.startWindow += d.startWindow * gain * lateStartFraction / (1 - lateStartFraction)
	}
}

// release takes the end of an attempt into the counts and judges its worker.
func (d *Dispatcher) recordOutcome(a *attempt, e *Event) {
	w, j := a.worker, a.job
	a.mayHaveRun = !e.Code.NeverRan()
	d.countAttempt(a, -1)
	w.connectionUsedAt = d.now
	if e.HasLoad {
		d.recordLoad(w, e)
	}
	a.clearOverdue()
	switch e.Code {
	case Served:
		d.recordAccepted(a)
		run := e.Took
		if a.startedAt != 0 {
			run = max(1, d.now-a.startedAt)
		}
		j.class.runtimes.Record(run)
		if !a.late {
			j.class.loop.Sample(float64(d.now-j.arrivedAt) / float64(j.objective))
		}
		w.latencyRatio += (min(float64(run)/float64(max(1, j.class.runtimes.Median())), 4) - w.latencyRatio) / 16
		w.failureRate *= 0.8
		if !d.inSlowStart(w) {
			// Not what was sent: refused jobs are no measure of capacity.
			d.servedSlots += a.slots * float64(run) / float64(second)
		}
		w.trial, w.backoff = false, 0
		if d.largeFleet() {
			d.markReported(w) // a slot has just come free there, on a connection that stays open
		}
		if !d.cfg.StartNotes {
			d.adjustCapacity(w, d.now-j.arrivedAt > j.objective)
		}
	case Saturated:
		w.acceptedAt = 0 // it may be draining
		d.adjustCapacity(w, true)
		d.backoffWorker(w, j)
	case Unreachable:
		w.connections = w.inFlightJobs
		d.eject(w)
	case WorkerError, Reset:
		// One error is chance; a run of them is a worker that empties its count
		// fast and so would draw every job. Of many dispatchers each meets a worker
		// seldom: it cannot wait for a run.
		w.failureRate += (1 - w.failureRate) * min(0.2*d.fleetScale, 0.5)
		if w.failureRate > maxFailureRate || w.trial {
			d.eject(w)
		}
		if w.failureRate < maxFailureRate && !a.late {
			j.class.loop.SampleLate()
		}
	case DeadlineExceeded, Cancelled:
		if a.startedAt == 0 && d.largeFleet() && w.consecutiveRejections < 2 && d.now-a.sentAt < j.objective/4 {
			d.backoffWorker(w, j) // it was moved early: the worker has a queue, or hangs
		} else if a.startedAt == 0 {
			d.eject(w)
		}
	}
	d.updateLevel(w)
}

// pause keeps jobs from a worker that has no room now: by our count it looks free, and
// would draw the next one.
func (d *Dispatcher) backoffWorker(w *worker, j *job) {
	w.consecutiveRejections = min(w.consecutiveRejections+1, 3)
	pause := j.class.runtimes.Median() / 8 << w.consecutiveRejections
	w.lastFaultAt = d.now
	w.ejectedUntil = d.now + pause/2 + d.rng.Int64N(pause/2+1)
}

// eject keeps jobs from a worker for a while that doubles each time, then lets
// one job try it.
func (d *Dispatcher) eject(w *worker) {
	least := int64(d.startDelay.avg + 4*d.startDelay.dev)
	if d.largeFleet() {
		least = max(least, second)
	}
	// Trials add up over the dispatchers.
	w.backoff = min(max(2*w.backoff, least, d.tickInterval), 4*int64(min(d.fleetScale, 4))*second)
	w.ejectedUntil = d.now + w.backoff + d.rng.Int64N(w.backoff/2+1)
	w.trial, w.lastFaultAt = true, d.now
}

// young reports whether a worker is still warming up.
func (d *Dispatcher) inSlowStart(w *worker) bool {
	return w.startedAt != 0 && d.now-w.startedAt < d.cfg.SlowStartDuration
}

// warmth is the share of its capacity that a worker is sure to have.
func (d *Dispatcher) slowStartWeight(w *worker) float64 {
	if !d.inSlowStart(w) {
		return 1
	}
	age := float64(d.now-w.startedAt) / float64(d.cfg.SlowStartDuration)
	return d.cfg.SlowStartCapacity + (1-d.cfg.SlowStartCapacity)*min(max(age, 0), 1)
}

// thawed reports whether a young worker may get our next job: it has had time, since our last,
// for our part of what it can do while it warms up, and more: all send about what it bears.
func (d *Dispatcher) slowStartReady(w *worker) bool {
	if d.needsSlowStartSlot(w) {
		return d.slowStartAdmits(w, d.minObjective)
	}
	from, to := float64(max(w.slowStartSentAt-w.startedAt, 0)), float64(max(d.now-w.startedAt, 0))
	first, grown := d.cfg.SlowStartCapacity, (to+from)/(2*float64(d.cfg.SlowStartDuration))
	done := (to - from) * (first + (1-first)*grown)
	return d.peakWorkerRate*max(1, d.cfg.OverloadMultiple/2)*done >= w.slowStartWork
}

// needsSlowStartSlot reports whether a worker is still warming up and no rate is known for it.
func (d *Dispatcher) needsSlowStartSlot(w *worker) bool {
	return d.peakWorkerRate <= 0 && d.inSlowStart(w)
}

// bears reports whether a young worker may get so much work where no rate is known: in its
// turn one light job, as it warms up more, in some turns a heavier one.
func (d *Dispatcher) slowStartAdmits(w *worker, work float64) bool {
	sent, turn := d.slowStartSent(w), d.slowStartSlots.At(d.now)
	most := d.minObjective * d.slowStartWeight(w) / d.cfg.SlowStartCapacity // in a turn
	return d.slowStartSlots.Owned(turn, w.hash) &&
		(sent+work <= most || sent == 0 && d.slowStartSlots.AllowsHeavy(turn, w.hash, work/most))
}

// lightest is the median running time of the class that has the least.
func (d *Dispatcher) minMedianRuntime() int64 {
	run := d.classes[0].runtimes.Median()
	for i := range d.classes {
		run = min(run, d.classes[i].runtimes.Median())
	}
	return run
}

// place moves a worker to where it belongs in the room lists.
func (d *Dispatcher) updateLevel(w *worker) {
	level := -1
	if w.state == Live && w.overdue == 0 && d.now >= w.ejectedUntil &&
		w.usedSlots < max(1, min(w.concurrencyLimit, w.maxSlots())) &&
		!(w.trial && w.inFlightJobs > 0) && !(d.inSlowStart(w) && !d.slowStartReady(w)) {
		level = int(w.usedSlots)
	}
	if level != w.level {
		d.setLevel(w, level)
	}
	if !w.pending && d.timeDependent(w) {
		d.markPending(w)
	}
}
