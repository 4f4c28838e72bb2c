package foxlift

// Workers' health: what their answers teach, how many jobs each may have, pauses after failures, and
// the slow start of young workers.

// took counts a job just sent.
func (d *Dispatcher) took(w *worker, a *attempt) {
	d.count(a, 1)
	w.conns = max(w.conns, w.jobs)
	w.idleAt = d.now
	w.keep(a.job.req.Key)
	if d.young(w) {
		w.coldFrom, w.coldWork = d.now, d.coldAfter(w, a)
	}
	d.place(w)
}

// learnStart learns from the delay before a job started. A late start is a soft
// 'full': the worker had no room for it.
func (d *Dispatcher) learnStart(a *attempt) {
	w, delay := a.worker, d.now-a.sent
	d.starts.add(float64(delay))
	if delay = d.beyondLeastDelay(a, delay); delay < d.tick {
		w.good = d.now
	} else {
		w.bad = d.now
	}
	late := delay > 2*d.tick
	a.heardOf()
	d.learnRoom(w, late)
	if !late {
		w.refusalsInARow = 0
		if w.failing <= failingMost {
			w.trial, w.backoff = false, 0 // one that fails what it starts shows its health at the end
		}
	}
	d.place(w)
}

const (
	lateStarts = 0.25 // share of late starts at which the window stays
	windowGain = 0.01 // share of the window that one start moves it by, at most

	failingMost = 0.4 // share of failures among a worker's late attempts that is no chance
)

// learnRoom moves the worker's cap and the fleet's window after an answer.
func (d *Dispatcher) learnRoom(w *worker, late bool) {
	defer d.recountCap(w)
	gain := windowGain * min(d.fleetScale, 8) // each of many sees fewer starts
	if late {
		w.cap, w.capped = max(1, min(w.cap, w.own)-0.5), true
		d.window = max(1, min(d.window, 2*d.busy())*(1-gain))
		return
	}
	if w.own >= w.cap-1 {
		w.cap, w.capped = w.cap+0.25, true
	}
	if d.busy() >= d.window/2 {
		d.window += d.window * gain * lateStarts / (1 - lateStarts)
	}
}

// release takes the end of an attempt into the counts and judges its worker.
func (d *Dispatcher) release(a *attempt, e *Event) {
	w, j := a.worker, a.job
	a.mayRun = !e.Code.NeverRan()
	d.count(a, -1)
	w.idleAt = d.now
	if e.HasLoad {
		d.report(w, e)
	}
	a.heardOf()
	switch e.Code {
	case Served:
		d.accepts(a)
		run := e.Took
		if a.started != 0 {
			run = max(1, d.now-a.started)
		}
		j.class.ran(run)
		if !a.late {
			j.class.sample(float64(d.now-j.came) / float64(j.wanted))
		}
		w.slow += (min(float64(run)/float64(max(1, j.class.median)), 4) - w.slow) / 16
		w.failing *= 0.8
		if !d.young(w) {
			// Not what was sent: refused jobs are no measure of capacity.
			d.served += a.slots * float64(run) / float64(second)
		}
		w.trial, w.backoff = false, 0
		if d.largeFleet() {
			d.heard(w) // a slot has just come free there, on a connection that stays open
		}
		if !d.cfg.StartNotes {
			d.learnRoom(w, d.now-j.came > j.wanted)
		}
	case Full:
		w.acceptedAt = 0 // it may be draining
		d.learnRoom(w, true)
		d.pause(w, j)
	case Unreachable:
		w.conns = w.jobs
		d.eject(w)
	case Erred, Reset:
		// One error is chance; a run of them is a worker that empties its count
		// fast and so would draw every job. Of many dispatchers each meets a worker
		// seldom: it cannot wait for a run.
		w.failing += (1 - w.failing) * min(0.2*d.fleetScale, 0.5)
		if w.failing > failingMost || w.trial {
			d.eject(w)
		}
		if w.failing < failingMost && !a.late {
			j.class.sample(lateRatio)
		}
	case TimedOut, Cancelled:
		if a.started == 0 && d.largeFleet() && w.refusalsInARow < 2 && d.now-a.sent < j.wanted/4 {
			d.pause(w, j) // it was moved early: the worker has a queue, or hangs
		} else if a.started == 0 {
			d.eject(w)
		}
	}
	d.place(w)
}

// pause keeps jobs from a worker that has no room now: by our count it looks free, and
// would draw the next one.
func (d *Dispatcher) pause(w *worker, j *job) {
	w.refusalsInARow = min(w.refusalsInARow+1, 3)
	pause := j.class.median / 8 << w.refusalsInARow
	w.bad = d.now
	w.ejectedUntil = d.now + pause/2 + d.rng.Int64N(pause/2+1)
}

// eject keeps jobs from a worker for a while that doubles each time, then lets
// one job try it.
func (d *Dispatcher) eject(w *worker) {
	least := int64(d.starts.avg + 4*d.starts.dev)
	if d.largeFleet() {
		least = max(least, second)
	}
	// Trials add up over the dispatchers.
	w.backoff = min(max(2*w.backoff, least, d.tick), 4*int64(min(d.fleetScale, 4))*second)
	w.ejectedUntil = d.now + w.backoff + d.rng.Int64N(w.backoff/2+1)
	w.trial, w.bad = true, d.now
}

// young reports whether a worker is still warming up.
func (d *Dispatcher) young(w *worker) bool { return w.up != 0 && d.now-w.up < d.cfg.WarmAfter }

// warmth is the share of its capacity that a worker is sure to have.
func (d *Dispatcher) warmth(w *worker) float64 {
	if !d.young(w) {
		return 1
	}
	age := float64(d.now-w.up) / float64(d.cfg.WarmAfter)
	return d.cfg.StartCapacity + (1-d.cfg.StartCapacity)*min(max(age, 0), 1)
}

// thawed reports whether a young worker may get our next job: it has had time, since our last,
// for our part of what it can do while it warms up, and more: all send about what it bears.
func (d *Dispatcher) thawed(w *worker) bool {
	if d.byTurns(w) {
		return d.bears(w, d.lightestAim)
	}
	from, to := float64(max(w.coldFrom-w.up, 0)), float64(max(d.now-w.up, 0))
	first, grown := d.cfg.StartCapacity, (to+from)/(2*float64(d.cfg.WarmAfter))
	done := (to - from) * (first + (1-first)*grown)
	return d.warmRate*max(1, d.cfg.FallMultiple/2)*done >= w.coldWork
}

// byTurns reports whether a worker is still warming up and no rate is known for it.
func (d *Dispatcher) byTurns(w *worker) bool { return d.warmRate <= 0 && d.young(w) }

// bears reports whether a young worker may get so much work where no rate is known: in its
// turn one light job, as it warms up more, in some turns a heavier one.
func (d *Dispatcher) bears(w *worker, work float64) bool {
	sent, turn := d.coldSent(w), d.turns.At(d.now)
	most := d.lightestAim * d.warmth(w) / d.cfg.StartCapacity // in a turn
	return d.turns.Mine(turn, w.hash) &&
		(sent+work <= most || sent == 0 && d.turns.Heavy(turn, w.hash, work/most))
}

// lightest is the median running time of the class that has the least.
func (d *Dispatcher) lightest() int64 {
	run := d.classes[0].median
	for i := range d.classes {
		run = min(run, d.classes[i].median)
	}
	return run
}

// place moves a worker to where it belongs in the room lists.
func (d *Dispatcher) place(w *worker) {
	level := -1
	if w.state == Live && w.overdue == 0 && d.now >= w.ejectedUntil && w.own < max(1, min(w.cap, w.slots())) &&
		!(w.trial && w.jobs > 0) && !(d.young(w) && !d.thawed(w)) {
		level = int(w.own)
	}
	if level != w.level {
		d.moveTo(w, level)
	}
	if !w.pending && d.timed(w) {
		d.revisit(w)
	}
}
