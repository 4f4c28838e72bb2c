package core

import (
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// ownerCell returns the cell that a tenant's jobs with an affinity key belong to.
func (c *Core) ownerCell(tenant int, key uint64) *cell {
	p := c.placement.Load()
	if p == nil {
		return c.cells.all[0]
	}
	return c.cells.all[p.layout.Cell(tenant, key)]
}

// routeOf returns where a job is to go now: to its own cell, or to the one that this spills into.
func (c *Core) routeOf(j *job) cells.Route {
	p := c.placement.Load()
	owner := c.ownerCell(j.tenant, j.Key)
	return p.layout.Route(j.tenant, j.Key, c.cellCondition, func(to int) bool {
		if j.spilledFrom == owner && j.cell.index == to {
			return true // it has its room there
		}
		return owner.spilled < p.layout.SpillBound(owner.index, p.jobBounds[to])
	})
}

// assign gives a job to the dispatcher of the cell where it is to go, with its age, or sheds it.
func (c *Core) assign(j *job) {
	p := c.placement.Load()
	if p == nil {
		c.requestDispatch(j)
		return
	}
	route, owner := c.routeOf(j), c.ownerCell(j.tenant, j.Key)
	j.clearSpill()
	j.cell = c.cells.all[route.Cell]
	if route.Shed {
		c.counters.Add("jobs.cell_unable")
		c.shedOrFail(j)
		return
	}
	if route.Spilled {
		j.spilledFrom = owner
		owner.spilled++
		c.counters.Add("jobs.spilled")
	}
	j.reservation.transfer(route.Cell)
	if maxJobs := p.layout.Plan().MaxJobsPerKey(); maxJobs > 0 && j.Key != 0 && !c.cells.acquireKey(j, maxJobs) {
		c.counters.Add("jobs.key_full")
		c.shedOrFail(j)
		return
	}
	j.allowedWorkers = p.layout.KeyWorkers(route.Cell, j.Key)
	c.requestDispatch(j)
}

// shedOrFail answers a job that the core gives to no dispatcher. The client of one that may have run is
// not told that a retry is harmless.
func (c *Core) shedOrFail(j *job) {
	if c.unsafeToRetry(j) {
		c.answer(j, Answer{Verdict: Failed, Reason: ReasonAbandoned})
		return
	}
	c.answer(j, Answer{Verdict: Shed, RetryAfter: c.shedRetryAfter()})
}

// unsafeToRetry reports whether the job may have run and its class does not allow that it runs again.
func (c *Core) unsafeToRetry(j *job) bool {
	return j.firstPossibleRun() != nil && c.settings.Module.Classes[j.class].Effect != foxlift.Idempotent
}

// reassign takes a job away from a cell where it no longer belongs; stepCell then assigns it anew. A job
// with an attempt in flight finishes where it is, and so does one that may have run, unless it may run
// again: only the dispatcher that sent it knows what its class allows.
func (c *Core) reassign(j *job) (isLeaving bool) {
	p := c.placement.Load()
	if p == nil || j.answered.Load() || j.inFlight > 0 || j.leaving || c.unsafeToRetry(j) {
		return false
	}
	route := c.routeOf(j)
	staysInCell := !route.Shed && c.cells.all[route.Cell] == j.cell
	if staysInCell && slices.Equal(j.allowedWorkers, p.layout.KeyWorkers(route.Cell, j.Key)) {
		return false
	}
	j.leaving = true
	j.cell.leaving = append(j.cell.leaving, j)
	j.cell.notify(foxlift.Event{Kind: foxlift.EventClientDisconnected, ID: j.number})
	return true
}

// reassignAll reassigns every open job, in the order they came, and returns how many leave their cell.
func (c *Core) reassignAll() (leavingCount int) {
	for _, j := range c.jobs.openInOrder() {
		if c.reassign(j) {
			leavingCount++
		}
	}
	return leavingCount
}
