package core

import (
	"github.com/vatu-meals/foxlift"
)

// UpdateEndpoints brings news of the machine list, as discovery has answered it.
func (c *Core) UpdateEndpoints(kind foxlift.EndpointUpdate, entries []foxlift.Worker) {
	c.post(endpointsUpdated{kind: kind, workers: entries})
}

// ConfirmEndpoints says that discovery has answered and that nothing has changed.
func (c *Core) ConfirmEndpoints() { c.post(endpointsUpdated{kind: foxlift.EndpointsConfirmed}) }

// ChangeDiscovery says that another discovery is to be asked from now on.
func (c *Core) ChangeDiscovery() { c.post(endpointsUpdated{kind: foxlift.DiscoveryChanged}) }

// RecordPollFailure says that a call to discovery has failed, and what that tells of it.
func (c *Core) RecordPollFailure(failure foxlift.PollFailure) {
	c.post(endpointsUpdated{kind: foxlift.EndpointsPollFailed, failure: failure})
}

// Ready reports whether jobs can be taken: the list has an active machine and can be trusted.
func (c *Core) Ready() bool { return c.ready.Load() }

// Listed reports whether the list has an active machine, however old it is.
func (c *Core) HasWorkers() bool { return c.hasWorkers.Load() }

// endpointsUpdated is news of the machine list.
type endpointsUpdated struct {
	kind    foxlift.EndpointUpdate
	failure foxlift.PollFailure
	workers []foxlift.Worker
}

func (e endpointsUpdated) apply(c *Core) {
	switch e.kind {
	case foxlift.EndpointsPollFailed:
		c.counters.Add("machines.failed")
		c.notifyCells(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: e.kind, PollFailure: e.failure})
		return // the old list remains
	case foxlift.EndpointsConfirmed:
		c.recordConfirmation()
		return
	case foxlift.DiscoveryChanged:
		c.notifyCells(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: e.kind})
		return
	}
	c.counters.Add("machines.told")
	if e.kind != foxlift.EndpointsCached {
		c.recordConfirmation()
	}
	c.update(e.kind, e.workers)
	if c.placement.Load() == nil {
		c.cells[0].notify(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: e.kind, Workers: c.withExternalSlots(e.workers)})
	} else {
		c.distribute(e.kind, e.workers)
		c.reassignAll()
	}
	c.prune()
}

// recordConfirmation tells each module that the list is up to date.
func (c *Core) recordConfirmation() {
	c.confirmed = true
	c.notifyCells(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsConfirmed})
}

// notifyCells keeps an event for the next step of each cell's module.
func (c *Core) notifyCells(e foxlift.Event) {
	for _, cl := range c.cells {
		cl.notify(e)
	}
}

// updateReady notes whether jobs can be taken: there is a live machine, and the list that says so holds.
func (c *Core) updateReady() {
	c.hasWorkers.Store(c.liveCount > 0)
	c.ready.Store(c.liveCount > 0 && (c.confirmed || c.cells[0].module.EndpointsUsable()))
}
