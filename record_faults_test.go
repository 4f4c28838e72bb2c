package foxlift_test

import (
	"slices"

	"github.com/vatu-meals/foxlift"
)

// A fault is something that happens to a fleet while it is recorded.
type fault func(h *fleetHost)

// A scheduledFault happens at a time after a recording's start.
type scheduledFault struct {
	after int64
	fault fault
}

// scheduleFault lets one of the plan's faults happen, and the next one later.
func (h *fleetHost) scheduleFault() {
	h.after(h.plan.every/2+h.rng.Int64N(h.plan.every), func() {
		h.plan.faults[h.rng.IntN(len(h.plan.faults))](h)
		h.scheduleFault()
	})
}

// pick draws some workers.
func (h *fleetHost) pick(share float64) (workers []*simWorker) {
	for _, w := range h.workers {
		if h.chance(share) {
			workers = append(workers, w)
		}
	}
	return workers
}

// change sets a worker's state in the list.
func (h *fleetHost) change(w *simWorker, state foxlift.WorkerState) {
	if w.entry.State == foxlift.Removed && state == foxlift.Live {
		w.entry.StartedAt = h.now
	}
	w.entry.State = state
	h.notifyChange(w.entry)
}

// vanish ends a worker's process with all that it has.
func (h *fleetHost) vanish(w *simWorker) {
	for _, a := range append(slices.Clone(w.running), w.queue...) {
		a.report(foxlift.Reset)
	}
	w.running, w.queue, w.keys = nil, nil, nil
	h.change(w, foxlift.Removed)
}

// faultDrain drains workers; they go and come back anew.
func faultDrain(h *fleetHost) {
	for _, w := range h.pick(0.15) {
		h.change(w, foxlift.Draining)
		h.after(2*second, func() { h.vanish(w) })
		h.after(5*second, func() { h.change(w, foxlift.Live) })
	}
}

// faultRetirement takes a worker out for good.
func faultRetirement(h *fleetHost) { h.vanish(h.workers[len(h.workers)-1]) }

// faultCrash kills workers, of which the dispatchers learn late; they come back cold.
func faultCrash(h *fleetHost) {
	for _, w := range h.pick(0.25) {
		h.vanish(w)
		h.after(h.exponential(3*second), func() { h.change(w, foxlift.Live) })
	}
}

// faultZoneRestart starts all workers of a zone anew, of which the list tells nothing but their starts.
func faultZoneRestart(h *fleetHost) {
	zone := h.rng.IntN(2)
	for _, w := range h.workers {
		if w.entry.Zone == zone {
			w.entry.StartedAt, w.keys = h.now, nil
			h.notifyChange(w.entry)
		}
	}
}

// faultHang lets workers hang for a while.
func faultHang(h *fleetHost) {
	for _, w := range h.pick(0.15) {
		w.hangs = true
		h.after(h.exponential(3*second), func() {
			w.hangs = false
			for _, a := range w.running {
				h.after(1, func() { w.finish(a) })
			}
			w.startNext()
		})
	}
}

// faultErrors lets workers fail jobs for a while.
func faultErrors(h *fleetHost) {
	for _, w := range h.pick(0.15) {
		w.errs = true
		h.after(h.exponential(4*second), func() { w.errs = false })
	}
}

// faultSaturation lets workers turn all jobs away for a while.
func faultSaturation(h *fleetHost) {
	for _, w := range h.pick(0.2) {
		w.saturated = true
		h.after(h.exponential(2*second), func() { w.saturated = false })
	}
}

// faultFleetSaturation lets all workers turn all jobs away for a while.
func faultFleetSaturation(h *fleetHost) {
	for _, w := range h.workers {
		w.saturated = true
		h.after(3*second, func() { w.saturated = false })
	}
}

// faultFlood lets a tenant send far more than its share for a while.
func faultFlood(h *fleetHost) {
	h.flooding = h.rng.IntN(max(1, len(h.plan.weights)))
	h.after(4*second, func() { h.flooding = -1 })
}

// faultQuotas changes the tenants' shares; now and then by a list of the wrong length.
func faultQuotas(h *fleetHost) {
	quotas := make([]float64, len(h.plan.config.Tenants)+h.rng.IntN(5)/4)
	for i := range quotas {
		quotas[i] = float64(h.rng.IntN(100))
	}
	for _, m := range h.members {
		m.receive(foxlift.Event{Kind: foxlift.EventQuotas, Quotas: quotas})
	}
}

// faultDiscovery lets calls to discovery fail for some seconds, in all ways that are told apart.
func faultDiscovery(h *fleetHost) {
	if h.discoveryFails {
		return
	}
	h.drawFailure()
	h.failDiscovery(2*second + h.exponential(6*second))
}

// faultOutage lets calls to discovery fail for some time, all in one way.
func faultOutage(failure foxlift.PollFailure, length int64) fault {
	return func(h *fleetHost) {
		h.failure, h.failureLasts = failure, true
		h.failDiscovery(length)
	}
}

// failDiscovery lets calls to discovery fail for some time.
func (h *fleetHost) failDiscovery(length int64) {
	h.discoveryFails = true
	h.after(length, func() {
		h.discoveryFails, h.failureLasts = false, false
		for _, m := range h.members {
			m.subscribed = m.subscribed || !m.config.PollEndpoints
			m.receiveEndpoints(foxlift.EndpointsConfirmed, nil)
		}
	})
}

// drawFailure draws what failed calls tell of discovery from now on.
func (h *fleetHost) drawFailure() { h.failure = storedFailures[h.rng.IntN(len(storedFailures))] }

// faultDiscoveryChange names another discovery.
func faultDiscoveryChange(h *fleetHost) {
	for _, m := range h.members {
		m.receiveEndpoints(foxlift.DiscoveryChanged, nil)
	}
}

// faultResync tells the whole list, in which now and then a worker is missing.
func faultResync(h *fleetHost) {
	for _, m := range h.members {
		list := m.endpoints()
		if missing := h.rng.IntN(2 * len(list)); missing < len(list) {
			list = slices.Delete(list, missing, missing+1)
		}
		m.receiveEndpoints(foxlift.EndpointsComplete, list)
	}
}

// faultExternalUsage changes how many slots others of the host have out at workers.
func faultExternalUsage(h *fleetHost) {
	for _, w := range h.pick(0.2) {
		w.entry.ExternalSlots = float64(h.rng.IntN(4))
		h.notifyChange(w.entry)
	}
}

// faultTakeover lets a new process of a scheduler take over from the old one.
func faultTakeover(h *fleetHost) { h.members[h.rng.IntN(len(h.members))].takeover() }

// faultProcessRestart lets a new process of a scheduler begin, which knows nothing.
func faultProcessRestart(h *fleetHost) { h.members[h.rng.IntN(len(h.members))].begin() }

// faultFirstRestart does so in the first dispatcher's place.
func faultFirstRestart(h *fleetHost) { h.members[0].begin() }

// faultBrokenContract passes events about things that there are not.
func faultBrokenContract(h *fleetHost) {
	m := h.members[h.rng.IntN(len(h.members))]
	missing := uint64(1) << 60
	for _, e := range []foxlift.Event{
		{Kind: foxlift.EventOutcome, ID: missing},
		{Kind: foxlift.EventStarted, ID: missing, Attempt: 3},
		{Kind: foxlift.EventClientDisconnected, ID: missing},
		{Kind: foxlift.EventHealthChecked, Worker: "nowhere"},
		{Kind: foxlift.EventMessage, From: -1, Data: []byte("x")},
		{Kind: foxlift.EventProgress, ID: missing},
		{Kind: foxlift.EventRequest, Request: foxlift.Request{ID: missing, Class: 77}},
	} {
		m.receive(e)
	}
}
