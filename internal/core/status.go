package core

import "sync/atomic"

// A status is what any goroutine may read of the core's state.
type status struct {
	ready      atomic.Bool
	hasWorkers atomic.Bool
	openJobs   atomic.Int64
}

// Ready reports whether jobs can be accepted: the endpoint list has a live worker, and discovery has
// answered since the start or the cached list may be used. It stays so when the lease is over.
func (c *Core) Ready() bool { return c.status.ready.Load() }

// HasWorkers reports whether the endpoint list has a live worker, however old it is.
func (c *Core) HasWorkers() bool { return c.status.hasWorkers.Load() }

// Active returns how many jobs are accepted and not yet answered. Any goroutine may call it.
func (c *Core) Active() int { return int(c.status.openJobs.Load()) }

// updateReady sets whether jobs can be accepted.
func (c *Core) updateReady() {
	hasWorkers := c.workers.liveCount > 0
	c.status.hasWorkers.Store(hasWorkers)
	c.status.ready.Store(hasWorkers && (c.confirmed || c.cells.all[0].dispatcher.EndpointsUsable()))
}

// updateActive sets how many jobs are open.
func (c *Core) updateActive() { c.status.openJobs.Store(int64(len(c.jobs.open))) }
