package core

import (
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// ownerCell returns the cell that serves a tenant's jobs with an affinity key, regardless of spilling; without
// a plan, the only cell.
func (c *Core) ownerCell(tenant int, key uint64) *cell {
	p := c.placement.Load()
	if p == nil {
		return c.cells.all[0]
	}
	return c.cells.all[p.layout.Cell(tenant, key)]
}

// routeOf returns the current route of a job: its owner cell, the cell that the owner spills into, or shed. It
// must not be called without a plan.
func (c *Core) routeOf(j *job) cells.Route {
	p := c.placement.Load()
	owner := c.ownerCell(j.tenant, j.Key)
	return p.layout.Route(j.tenant, j.Key, c.cellCondition, func(to int) bool {
		if j.spilledFrom == owner && j.cell.index == to {
			return true // the job is already counted in owner.spilled
		}
		return owner.spilled < p.layout.SpillBound(owner.index, p.jobBounds[to])
	})
}

// assign routes a job to a cell and requests its dispatch there; without a plan, in the only cell. The job is
// shed or failed if no cell can take it, or if the cell has the maximum number of open jobs with its affinity
// key.
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

// shedOrFail answers a job that is assigned to no dispatcher: Failed if a retry by the client is unsafe, else
// Shed.
func (c *Core) shedOrFail(j *job) {
	if c.unsafeToRetry(j) {
		c.answer(j, Answer{Verdict: Failed, Reason: ReasonAbandoned})
		return
	}
	c.answer(j, Answer{Verdict: Shed, RetryAfter: c.shedRetryAfter()})
}

// unsafeToRetry reports whether the job may have run and its class is not idempotent.
func (c *Core) unsafeToRetry(j *job) bool {
	return j.firstPossibleRun() != nil && c.settings.Module.Classes[j.class].Effect != foxlift.Idempotent
}

// reassign withdraws an open job from its cell's dispatcher if its route or its allowed workers have changed,
// and reports whether it did; stepCell then assigns the job again. A job with an attempt in flight stays in its
// cell. So does a job that may have run, unless its class is idempotent, because only the dispatcher that
// sent it has the attempts that decide whether the class allows a repeat. Without a plan, and for a job that
// is leaving its cell already, it returns false.
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

// reassignAll calls reassign for every open job, in order of acceptance, and returns for how many it returned
// true.
func (c *Core) reassignAll() (leavingCount int) {
	for _, j := range c.jobs.openInOrder() {
		if c.reassign(j) {
			leavingCount++
		}
	}
	return leavingCount
}
