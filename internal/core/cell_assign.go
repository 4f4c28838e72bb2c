package core

// Which cell a job belongs to: its placement there on arrival, and its way on when the map changes.

import (
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// home is the cell in which a tenant's jobs with a key live.
func (c *Core) ownerCell(tenant int, key uint64) *cell {
	s := c.placement.Load()
	if s == nil {
		return c.cells[0]
	}
	return c.cells[s.layout.Cell(tenant, key)]
}

// way is where a job belongs now.
func (c *Core) routeOf(j *job) cells.Route {
	s := c.placement.Load()
	home := c.ownerCell(j.tenant, j.Key)
	return s.layout.Route(j.tenant, j.Key, c.cellCondition, func(to int) bool {
		if j.spilledFrom == home && j.cell.index == to {
			return true // it has its room there
		}
		return home.spilled < s.layout.SpillBound(home.index, s.jobBounds[to])
	})
}

// place gives a job to the cell where it belongs, with its age, or refuses it.
func (c *Core) assign(j *job) {
	s := c.placement.Load()
	if s == nil {
		c.requestDispatch(j)
		return
	}
	way, home := c.routeOf(j), c.ownerCell(j.tenant, j.Key)
	j.endSpill()
	j.cell = c.cells[way.Cell]
	if way.Shed {
		c.counters.Add("jobs.cell_unable")
		c.shedOrFail(j)
		return
	}
	if way.Spilled {
		j.spilledFrom = home
		home.spilled++
		c.counters.Add("jobs.spilled")
	}
	if j.Job.reservation.admission != nil && j.Job.reservation.cell != way.Cell {
		j.Job.reservation.admission.Transfer(j.Job.reservation.cell, way.Cell, j.Job.reservation.tenant)
		j.Job.reservation.cell = way.Cell
	}
	if most := s.layout.Plan().KeyJobs(); most > 0 && j.Key != 0 && !c.acquireKey(j, most) {
		c.counters.Add("jobs.key_full")
		c.shedOrFail(j)
		return
	}
	j.allowedWorkers = s.layout.KeyWorkers(way.Cell, j.Key)
	c.requestDispatch(j)
}

// refuse answers a job that the core will not hand to any module. One that may have
// run is never told that another try is harmless.
func (c *Core) shedOrFail(j *job) {
	if c.unsafeToRetry(j) {
		c.answer(j, Answer{Verdict: Failed, Reason: "given up"})
		return
	}
	c.answer(j, Answer{Verdict: Shed, RetryAfter: c.shedRetryAfter()})
}

// unsafeToRetry reports whether the job may have run and its class minds another run.
func (c *Core) unsafeToRetry(j *job) bool {
	return j.mayHaveRun() != nil && c.settings.Module.Classes[j.class].Effect != foxlift.Idempotent
}

// A cellKey is a key in a cell.
type cellKey struct {
	cell *cell
	key  uint64
}

// acquireKey counts a job among those with its key in its cell; false if there are as
// many as may be.
func (c *Core) acquireKey(j *job, most int) bool {
	c.releaseKey(j)
	k := cellKey{j.cell, j.Key}
	if c.jobsByKey[k] >= most {
		return false
	}
	c.jobsByKey[k]++
	j.heldKey = k
	return true
}

func (c *Core) releaseKey(j *job) {
	if j.heldKey.cell == nil {
		return
	}
	if c.jobsByKey[j.heldKey]--; c.jobsByKey[j.heldKey] == 0 {
		delete(c.jobsByKey, j.heldKey)
	}
	j.heldKey = cellKey{}
}

// rehome sends a job on that is not where it belongs. One with a claim out finishes
// where it is, and so does one that may have run, unless repeats of it are harmless:
// only the module that sent it knows which its class allows.
func (c *Core) reassign(j *job) {
	s := c.placement.Load()
	if s == nil || j.answered.Load() || j.inFlight > 0 || j.leaving {
		return
	}
	if c.unsafeToRetry(j) {
		return
	}
	way := c.routeOf(j)
	if !way.Shed && c.cells[way.Cell] == j.cell && slices.Equal(j.allowedWorkers, s.layout.KeyWorkers(way.Cell, j.Key)) {
		return
	}
	j.leaving = true
	j.cell.leaving = append(j.cell.leaving, j)
	j.cell.notify(foxlift.Event{Kind: foxlift.EventClientDisconnected, ID: j.number})
}

// reassignAll looks at every open job, in the order they came.
func (c *Core) reassignAll() (moved int) {
	open := make([]*job, 0, len(c.open))
	for _, j := range c.open {
		open = append(open, j)
	}
	slices.SortFunc(open, func(a, b *job) int { return int(int64(a.number) - int64(b.number)) })
	for _, j := range open {
		before := j.leaving
		c.reassign(j)
		if j.leaving && !before {
			moved++
		}
	}
	return moved
}
