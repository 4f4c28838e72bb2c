package foxlift

// The endpoint list: when to poll discovery for it, and what its changes mean for the workers.

import "github.com/vatu-meals/foxlift/internal/decision/affinity"

// pollEndpoints asks for the list's changes, if it is time.
func (d *Dispatcher) pollEndpoints() {
	if d.cfg.PollEndpoints && d.endpoints.poll.Begin(d.now) {
		d.actions = append(d.actions, Action{Kind: ActionWatchEndpoints})
	}
}

// onEndpoints takes in what came of a poll.
func (d *Dispatcher) onEndpoints(e *Event) {
	switch e.EndpointUpdate {
	case EndpointsConfirmed:
		d.endpoints.lease.Confirm(d.now)
	case DiscoveryChanged:
		d.endpoints.lease.ChangeDiscovery(d.now)
	case EndpointsPollFailed:
		d.endpoints.lease.RecordFailure(e.PollFailure)
		d.endpoints.poll.Fail(d.now, d.rng)
	default:
		d.endpoints.poll.Succeed()
		d.applyEndpoints(e.EndpointUpdate, e.Workers)
	}
}

// applyEndpoints takes over a list or its changes.
func (d *Dispatcher) applyEndpoints(kind EndpointUpdate, entries []Worker) {
	d.endpoints.events++
	for i := range entries {
		d.applyEndpoint(&entries[i])
	}
	if kind != EndpointsDelta {
		d.removeUnlisted()
	}
	d.updateLive()
	if kind == EndpointsCached || d.capacity.startWindow.Slots() == 0 {
		// Nothing is known against it.
		d.capacity.startWindow.Set(d.limitSum.Mean() * float64(len(d.liveWorkers)) / d.fleetScale)
	}
	d.updatePending()
}

// applyEndpoint takes over an entry of the list.
func (d *Dispatcher) applyEndpoint(e *Worker) {
	w := d.workers[e.ID]
	if w == nil {
		w = d.addWorker(e.ID)
		w.limit.Restore(d.limitSum.Mean(), false)
	}
	d.free.setLevel(w, -1) // its kind may change
	w.setState(e.State, d.now)
	d.updateLimitSum(w)
	w.zone, w.kind, w.cell, w.lastListEvent = e.Zone, e.Kind, e.Cell, d.endpoints.events
	d.capacity.externalSlots += e.ExternalSlots - w.externalSlots
	w.usedSlots, w.externalSlots = w.usedSlots+e.ExternalSlots-w.externalSlots, e.ExternalSlots
	if w.kind+1 >= len(d.free.byKind) {
		w.kind = -1
	}
	if w.warmup.StartedAt() != e.StartedAt {
		d.resetWorker(w, e.StartedAt)
	}
	d.indexWorker(w)
}

// resetWorker forgets what was learned of a process that is no more.
func (d *Dispatcher) resetWorker(w *worker, startedAt int64) {
	w.outlier.Reset()
	w.warmup.Restart(startedAt)
	w.latencyRatio = 0
	w.report.Invalidate()
	w.connections.open, w.cachedKeys = 0, affinity.CachedKeys{}
	w.limit.Restore(d.limitSum.Mean(), false)
	d.capacity.slowStart.DelayFirstSend(&w.warmup, d.now, d.minMedianRuntime(), d.rng)
}

// removedRetention is how long a removed worker counts as lost and may come back as itself.
const removedRetention = 60 * second
