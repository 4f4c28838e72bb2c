package core

import "sync/atomic"

// A status is the part of the core's state that any goroutine may read.
type status struct {
	ready      atomic.Bool
	hasWorkers atomic.Bool
	openJobs   atomic.Int64

	endpointsExpireAt atomic.Int64 // time at which the endpoint list becomes stale, in Unix nanoseconds
}

// Ready reports whether jobs can be accepted: the endpoint list has a live worker, and discovery has answered
// since the start or need not be awaited any longer. An expired lease does not change it: jobs are then shed.
// Any goroutine may call it.
func (c *Core) Ready() bool { return c.status.ready.Load() }

// HasWorkers reports whether the endpoint list has a live worker, regardless of the age of the list. Any
// goroutine may call it.
func (c *Core) HasWorkers() bool { return c.status.hasWorkers.Load() }

// Active returns the number of jobs accepted and not yet answered. Any goroutine may call it.
func (c *Core) Active() int { return int(c.status.openJobs.Load()) }

// EndpointsFresh reports whether jobs may be sent by the endpoint list now, which may have become stale since the
// dispatcher chose a worker. Any goroutine may call it.
func (c *Core) EndpointsFresh() bool { return c.clock.Now() < c.status.endpointsExpireAt.Load() }

// updateReady updates the values that Ready and HasWorkers return. It is called after each step of the event loop.
func (c *Core) updateReady() {
	hasWorkers := c.workers.liveCount > 0
	c.status.hasWorkers.Store(hasWorkers)
	c.status.ready.Store(hasWorkers && (c.confirmed || !c.cells.all[0].dispatcher.AwaitsEndpoints()))
}

// updateEndpointsExpiry updates the value that EndpointsFresh uses. It is called before the actions of a step are
// executed, so that it is in force for the attempts of that step.
func (c *Core) updateEndpointsExpiry() {
	c.status.endpointsExpireAt.Store(c.cells.all[0].dispatcher.EndpointsExpireAt())
}

// updateActive updates the value that Active returns.
func (c *Core) updateActive() { c.status.openJobs.Store(int64(len(c.jobs.open))) }
