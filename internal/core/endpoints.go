package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// UpdateEndpoints reports an update of the endpoint list from discovery. With the kind EndpointsDelta workers
// holds only the changed workers, otherwise the complete list. It returns before the update is applied: the
// caller must not change workers afterwards.
func (c *Core) UpdateEndpoints(kind foxlift.EndpointUpdate, workers []foxlift.Worker) {
	c.loop.post(endpointsUpdated{kind: kind, workers: workers})
}

// ConfirmEndpoints reports that discovery has answered that the endpoint list has not changed.
func (c *Core) ConfirmEndpoints() {
	c.loop.post(endpointsUpdated{kind: foxlift.EndpointsConfirmed})
}

// ChangeDiscovery reports that another discovery must be polled from now on.
func (c *Core) ChangeDiscovery() {
	c.loop.post(endpointsUpdated{kind: foxlift.DiscoveryChanged})
}

// RecordPollFailure reports that a poll of discovery has failed, and the kind of failure.
func (c *Core) RecordPollFailure(failure foxlift.PollFailure) {
	c.loop.post(endpointsUpdated{kind: foxlift.EndpointsPollFailed, failure: failure})
}

// InheritEndpoints reports that the endpoint list is the predecessor's, and for how long that process might still
// send jobs by it. Nothing follows from that once discovery has answered this process.
func (c *Core) InheritEndpoints(freshFor time.Duration) {
	c.loop.post(endpointsUpdated{kind: foxlift.EndpointsInherited, freshFor: freshFor})
}

// An endpointsUpdated event is an update of the endpoint list or the result of a poll for it.
type endpointsUpdated struct {
	kind     foxlift.EndpointUpdate
	failure  foxlift.PollFailure // if kind is EndpointsPollFailed
	freshFor time.Duration       // if kind is EndpointsInherited
	workers  []foxlift.Worker    // the list or its changes; nil for kinds without workers
}

func (e endpointsUpdated) apply(c *Core) {
	switch e.kind {
	case foxlift.EndpointsPollFailed:
		c.counters.Add("machines.failed")
		c.cells.notifyAll(foxlift.Event{
			Kind: foxlift.EventEndpoints, EndpointUpdate: e.kind, PollFailure: e.failure,
		})
	case foxlift.EndpointsConfirmed:
		c.recordConfirmation()
	case foxlift.EndpointsInherited, foxlift.DiscoveryChanged:
		c.cells.notifyAll(foxlift.Event{
			Kind: foxlift.EventEndpoints, EndpointUpdate: e.kind, EndpointsFreshFor: int64(e.freshFor),
		})
	default:
		c.counters.Add("machines.told")
		if e.kind != foxlift.EndpointsCached {
			c.recordConfirmation()
		}
		c.updateWorkers(e.kind, e.workers)
	}
}

// recordConfirmation records that discovery has answered and notifies each dispatcher that the endpoint list is
// up to date.
func (c *Core) recordConfirmation() {
	c.confirmed = true
	c.cells.notifyAll(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsConfirmed})
}

// updateWorkers applies an update of the endpoint list to the worker table and passes it on to the dispatchers.
// With cells, jobs are then reassigned, because the cells' workers and conditions may have changed.
func (c *Core) updateWorkers(kind foxlift.EndpointUpdate, workers []foxlift.Worker) {
	c.workers.update(kind, workers)
	if c.placement.Load() == nil {
		c.cells.all[0].notifyEndpoints(kind, c.workers.withExternalSlots(workers))
	} else {
		c.distributeWorkers(kind, workers)
		c.reassignAll()
	}
	c.workers.prune()
}
