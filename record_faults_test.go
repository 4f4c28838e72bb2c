package foxlift_test

import (
	"slices"

	"github.com/vatu-meals/foxlift"
)

// A fault changes a fleet while it is recorded.
type fault func(h *fleetHost)

// A scheduledFault happens at a time after a recording's start.
type scheduledFault struct {
	delay int64
	fault fault
}

// scheduleFault schedules a random fault of the plan, and then the next one.
func (h *fleetHost) scheduleFault() {
	h.scheduleAfter(h.plan.faultInterval/2+h.rng.Int64N(h.plan.faultInterval), func() {
		h.plan.faults[h.rng.IntN(len(h.plan.faults))](h)
		h.scheduleFault()
	})
}

// sampleWorkers returns a random fraction of the workers.
func (h *fleetHost) sampleWorkers(fraction float64) (workers []*simWorker) {
	for _, w := range h.workers {
		if h.randomBool(fraction) {
			workers = append(workers, w)
		}
	}
	return workers
}

// setState sets a worker's state in the endpoint list. A removed worker that becomes live is a new process.
func (h *fleetHost) setState(w *simWorker, state foxlift.WorkerState) {
	if w.entry.State == foxlift.Removed && state == foxlift.Live {
		w.entry.StartedAt = h.now
	}
	w.entry.State = state
	h.notifyChange(w.entry)
}

// removeProcess ends a worker's process, resets its attempts and removes it from the endpoint list.
func (h *fleetHost) removeProcess(w *simWorker) {
	for _, a := range append(slices.Clone(w.running), w.queue...) {
		a.report(foxlift.Reset)
	}
	w.running, w.queue, w.keys = nil, nil, nil
	h.setState(w, foxlift.Removed)
}

// faultDrain drains workers, which are removed after 2 s and come back as new processes after 5 s.
func faultDrain(h *fleetHost) {
	for _, w := range h.sampleWorkers(0.15) {
		h.setState(w, foxlift.Draining)
		h.scheduleAfter(2*second, func() { h.removeProcess(w) })
		h.scheduleAfter(5*second, func() { h.setState(w, foxlift.Live) })
	}
}

// faultRetirement removes a worker permanently.
func faultRetirement(h *fleetHost) { h.removeProcess(h.workers[len(h.workers)-1]) }

// faultCrash ends the processes of workers; the dispatchers are notified late. The new processes are in slow start.
func faultCrash(h *fleetHost) {
	for _, w := range h.sampleWorkers(0.25) {
		h.removeProcess(w)
		h.scheduleAfter(h.exponential(3*second), func() { h.setState(w, foxlift.Live) })
	}
}

// faultZoneRestart restarts all workers of a zone. In the endpoint list only their start times change.
func faultZoneRestart(h *fleetHost) {
	zone := h.rng.IntN(2)
	for _, w := range h.workers {
		if w.entry.Zone == zone {
			w.entry.StartedAt, w.keys = h.now, nil
			h.notifyChange(w.entry)
		}
	}
}

// faultHang makes workers hang for a while.
func faultHang(h *fleetHost) {
	for _, w := range h.sampleWorkers(0.15) {
		w.hanging = true
		h.scheduleAfter(h.exponential(3*second), func() {
			w.hanging = false
			for _, a := range w.running {
				h.scheduleAfter(1, func() { w.finish(a) })
			}
			w.startNext()
		})
	}
}

// faultErrors makes workers fail jobs for a while.
func faultErrors(h *fleetHost) {
	for _, w := range h.sampleWorkers(0.15) {
		w.failing = true
		h.scheduleAfter(h.exponential(4*second), func() { w.failing = false })
	}
}

// faultSaturation makes workers reject all jobs for a while.
func faultSaturation(h *fleetHost) {
	for _, w := range h.sampleWorkers(0.2) {
		w.rejecting = true
		h.scheduleAfter(h.exponential(2*second), func() { w.rejecting = false })
	}
}

// faultFleetSaturation makes all workers reject all jobs for 3 s.
func faultFleetSaturation(h *fleetHost) {
	for _, w := range h.workers {
		w.rejecting = true
		h.scheduleAfter(3*second, func() { w.rejecting = false })
	}
}

// faultFlood makes a tenant send far more than its share for 4 s.
func faultFlood(h *fleetHost) {
	h.flooding = h.rng.IntN(max(1, len(h.plan.tenantWeights)))
	h.scheduleAfter(4*second, func() { h.flooding = -1 })
}

// faultQuotas changes the tenants' quotas, sometimes with a list of the wrong length.
func faultQuotas(h *fleetHost) {
	quotas := make([]float64, len(h.plan.config.Tenants)+h.rng.IntN(5)/4)
	for i := range quotas {
		quotas[i] = float64(h.rng.IntN(100))
	}
	for _, m := range h.members {
		m.receive(foxlift.Event{Kind: foxlift.EventQuotas, Quotas: quotas})
	}
}

// faultDiscovery makes calls to discovery fail for some seconds, in varying ways.
func faultDiscovery(h *fleetHost) {
	if h.discoveryFailing {
		return
	}
	h.drawFailure()
	h.failDiscovery(2*second + h.exponential(6*second))
}

// faultOutage returns a fault that makes calls to discovery fail in one way for a duration.
func faultOutage(failure foxlift.PollFailure, duration int64) fault {
	return func(h *fleetHost) {
		h.failure, h.failureFixed = failure, true
		h.failDiscovery(duration)
	}
}

// failDiscovery makes calls to discovery fail for a duration, after which it answers again.
func (h *fleetHost) failDiscovery(duration int64) {
	h.discoveryFailing = true
	h.scheduleAfter(duration, func() {
		h.discoveryFailing, h.failureFixed = false, false
		for _, m := range h.members {
			m.subscribed = m.subscribed || !m.config.PollEndpoints
			m.receiveEndpoints(foxlift.EndpointsConfirmed, nil)
		}
	})
}

// drawFailure chooses at random how calls to discovery fail from now on.
func (h *fleetHost) drawFailure() { h.failure = storedFailures[h.rng.IntN(len(storedFailures))] }

// faultDiscoveryChange configures another discovery.
func faultDiscoveryChange(h *fleetHost) {
	for _, m := range h.members {
		m.receiveEndpoints(foxlift.DiscoveryChanged, nil)
	}
}

// faultResync sends the complete endpoint list, from which sometimes a worker is missing.
func faultResync(h *fleetHost) {
	for _, m := range h.members {
		list := m.endpoints()
		if missing := h.rng.IntN(2 * len(list)); missing < len(list) {
			list = slices.Delete(list, missing, missing+1)
		}
		m.receiveEndpoints(foxlift.EndpointsComplete, list)
	}
}

// faultExternalUsage changes the slots that jobs sent past the dispatcher use at workers.
func faultExternalUsage(h *fleetHost) {
	for _, w := range h.sampleWorkers(0.2) {
		w.entry.ExternalSlots = float64(h.rng.IntN(4))
		h.notifyChange(w.entry)
	}
}

// faultTakeover replaces a scheduler's process by a new one that continues from its snapshot.
func faultTakeover(h *fleetHost) { h.members[h.rng.IntN(len(h.members))].takeover() }

// faultProcessRestart replaces a scheduler's process by a new one without learned state.
func faultProcessRestart(h *fleetHost) { h.members[h.rng.IntN(len(h.members))].start() }

// faultFirstRestart is faultProcessRestart for the first dispatcher.
func faultFirstRestart(h *fleetHost) { h.members[0].start() }

// faultBrokenContract sends a dispatcher events about unknown jobs, workers, peers and classes.
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
