package foxlift

// The machine list: when to ask discovery for it, and what its news changes.

func (d *Dispatcher) askForList() {
	if c := &d.listCall; d.cfg.ListOnRequest && !c.joined && !c.waiting && d.now >= c.next {
		c.waiting = true
		d.actions = append(d.actions, Action{Kind: ActionSubscribe})
	}
}

func (d *Dispatcher) onList(e *Event) {
	c, kind, entries := &d.listCall, e.List, e.Workers
	switch kind {
	case ListConfirmed:
		d.lease.confirm(d.now)
		return
	case ListMoved:
		d.lease.move(d.now, d.cfg.ListLease)
		return
	}
	c.joined, c.waiting = kind != ListFailed && (c.joined || c.waiting), false
	if kind == ListFailed { // for all together: they spread out, within what counts as not asking
		d.lease.fail(e.Failure)
		c.backoff = min(max(2*c.backoff, second/2), max(d.cfg.MustAskIn/2, second/2))
		c.next = d.now + c.backoff/2 + d.rng.Int64N(c.backoff/2+1)
		return
	}
	c.backoff = 0
	d.lists++
	for i := range entries {
		d.onWorker(&entries[i])
	}
	if kind != ListChanges {
		d.dropUnlisted()
	}
	d.collectLive()
	if kind == ListSaved || d.window == 0 {
		d.window = d.meanCap() * float64(len(d.live)) / d.fleetScale // nothing is known against it
	}
	d.placePending()
}

func (d *Dispatcher) onWorker(e *Worker) {
	w := d.workers[e.ID]
	if w == nil {
		w = d.newWorker(e.ID)
		w.cap = d.meanCap()
	}
	d.moveTo(w, -1) // its kind may change
	w.setState(e.State, d.now)
	d.recountCap(w)
	w.zone, w.kind, w.cell, w.listed = e.Zone, e.Kind, e.Cell, d.lists
	d.othersOut += e.Others - w.others
	w.own, w.others = w.own+e.Others-w.others, e.Others
	if w.kind+1 >= len(d.room) {
		w.kind = -1
	}
	if w.up != e.Started {
		d.restarted(w, e.Started)
	}
	d.noteWorker(w)
}

// restarted forgets what was learned of a process that is no more. The first
// send to a young worker is put off at random, or all would send at once.
func (d *Dispatcher) restarted(w *worker, at int64) {
	w.up, w.ejectedUntil, w.backoff, w.trial, w.failing, w.slow = at, 0, 0, false, 0, 0
	w.loaded, w.conns, w.since, w.keys, w.good, w.bad = false, 0, 0, nil, 0, 0
	w.cap, w.capped = d.meanCap(), false
	if d.young(w) && d.coldSent(w) == 0 {
		w.coldFrom, w.coldWork = w.up, float64(d.lightest())*d.rng.Float64()
	}
}

// meanCap is what a worker counts at until it answers.
func (d *Dispatcher) meanCap() float64 { return d.caps.mean(4) }

// keepGone is how long a worker that is gone counts as lost and may come back as itself.
const keepGone = 60 * second
