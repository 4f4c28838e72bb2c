package foxlift

// The endpoint list: polling discovery for it and applying its changes to the workers.

import "github.com/vatu-meals/foxlift/internal/decision/affinity"

// pollEndpoints starts a poll of discovery if one is due.
func (d *Dispatcher) pollEndpoints() {
	if d.cfg.PollEndpoints && d.endpoints.poll.Begin(d.now) {
		d.actions = append(d.actions, Action{Kind: ActionWatchEndpoints})
	}
}

// onEndpoints handles the result of a poll or a change of discovery. A list or its changes end the poll's
// backoff, but only EndpointsConfirmed renews the lease.
func (d *Dispatcher) onEndpoints(e *Event) {
	switch e.EndpointUpdate {
	case EndpointsConfirmed:
		d.endpoints.lease.Confirm(d.now)
	case EndpointsInherited:
		d.endpoints.lease.Inherit(d.now, e.EndpointsFreshFor)
	case DiscoveryChanged:
		d.endpoints.lease.ChangeDiscovery(d.now)
	case EndpointsPollFailed:
		d.endpoints.lease.RecordFailure(d.now, e.PollFailure)
		d.endpoints.poll.Fail(d.now, d.rng)
	default:
		d.endpoints.poll.Succeed()
		d.applyEndpoints(e.EndpointUpdate, e.Workers)
	}
}

// applyEndpoints applies a complete endpoint list or its changed entries.
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
		// Start with this dispatcher's part of the fleet's capacity: nothing has shown yet that it is less.
		d.capacity.startWindow.Set(d.limitSum.Mean() * float64(len(d.liveWorkers)) / d.fleetScale)
	}
	d.updatePending()
}

// applyEndpoint applies one entry of the list, and adds the worker if it is new.
func (d *Dispatcher) applyEndpoint(e *Worker) {
	w := d.workers[e.ID]
	if w == nil {
		w = d.addWorker(e.ID)
		w.limit.Restore(d.limitSum.Mean(), false)
	}
	d.free.setLevel(w, -1) // the lists are by kind, which may change below
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

// resetWorker discards the state learned from a worker's former process, except its total slots and its count
// of rejections. The new process started at startedAt; the first send to it is delayed if it is in slow
// start.
func (d *Dispatcher) resetWorker(w *worker, startedAt int64) {
	w.outlier.Reset()
	w.warmup.Restart(startedAt)
	w.latencyRatio = 0
	w.report.Invalidate()
	w.connections.open, w.cachedKeys = 0, affinity.CachedKeys{}
	w.limit.Restore(d.limitSum.Mean(), false)
	d.capacity.slowStart.DelayFirstSend(&w.warmup, d.now, d.minMedianRuntime(), d.rng)
}

// removedRetention is the minimum time for which a removed worker keeps its state in case it comes back, and
// counts as lost if it did not drain.
const removedRetention = 60 * second
