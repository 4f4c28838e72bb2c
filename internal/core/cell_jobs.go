package core

// Which cell a job belongs to: its placement there on arrival, and its way on when the map changes.

import (
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// home is the cell in which a tenant's jobs with a key live.
func (c *Core) home(tenant int, key uint64) *cell {
	s := c.scheme.Load()
	if s == nil {
		return c.cells[0]
	}
	return c.cells[s.layout.Cell(tenant, key)]
}

// way is where a job belongs now.
func (c *Core) way(j *job) cells.Route {
	s := c.scheme.Load()
	home := c.home(j.tenant, j.Key)
	return s.layout.Route(j.tenant, j.Key, c.condition, func(to int) bool {
		if j.spilled == home && j.cell.index == to {
			return true // it has its room there
		}
		return home.spillsOut < s.layout.SpillBound(home.index, s.jobs[to])
	})
}

// place gives a job to the cell where it belongs, with its age, or refuses it.
func (c *Core) place(j *job) {
	s := c.scheme.Load()
	if s == nil {
		c.hand(j)
		return
	}
	way, home := c.way(j), c.home(j.tenant, j.Key)
	j.unspill()
	j.cell = c.cells[way.Cell]
	if way.Shed {
		c.counters.Add("jobs.cell_unable")
		c.refuse(j)
		return
	}
	if way.Spilled {
		j.spilled = home
		home.spillsOut++
		c.counters.Add("jobs.spilled")
	}
	if j.Job.reservation.gate != nil && j.Job.reservation.cell != way.Cell {
		j.Job.reservation.gate.Move(j.Job.reservation.cell, way.Cell, j.Job.reservation.tenant)
		j.Job.reservation.cell = way.Cell
	}
	if most := s.layout.Plan().KeyJobs(); most > 0 && j.Key != 0 && !c.enterKey(j, most) {
		c.counters.Add("jobs.key_full")
		c.refuse(j)
		return
	}
	j.among = s.layout.KeyNodes(way.Cell, j.Key)
	c.hand(j)
}

// refuse answers a job that the core will not hand to any module. One that may have
// run is never told that another try is harmless.
func (c *Core) refuse(j *job) {
	if c.repeatHarms(j) {
		c.answer(j, Answer{Verdict: Failed, Reason: "given up"})
		return
	}
	c.answer(j, Answer{Verdict: Shed, RetryAfter: c.fullRetry()})
}

// repeatHarms reports whether the job may have run and its class minds another run.
func (c *Core) repeatHarms(j *job) bool {
	return j.mayHaveRun() != nil && c.settings.Module.Classes[j.class].Effect != foxlift.Idempotent
}

// A keyIn is a key in a cell.
type keyIn struct {
	cell *cell
	key  uint64
}

// enterKey counts a job among those with its key in its cell; false if there are as
// many as may be.
func (c *Core) enterKey(j *job, most int) bool {
	c.leaveKey(j)
	k := keyIn{j.cell, j.Key}
	if c.keys[k] >= most {
		return false
	}
	c.keys[k]++
	j.keyed = k
	return true
}

func (c *Core) leaveKey(j *job) {
	if j.keyed.cell == nil {
		return
	}
	if c.keys[j.keyed]--; c.keys[j.keyed] == 0 {
		delete(c.keys, j.keyed)
	}
	j.keyed = keyIn{}
}

// rehome sends a job on that is not where it belongs. One with a claim out finishes
// where it is, and so does one that may have run, unless repeats of it are harmless:
// only the module that sent it knows which its class allows.
func (c *Core) rehome(j *job) {
	s := c.scheme.Load()
	if s == nil || j.answered.Load() || j.out > 0 || j.leaving {
		return
	}
	if c.repeatHarms(j) {
		return
	}
	way := c.way(j)
	if !way.Shed && c.cells[way.Cell] == j.cell && slices.Equal(j.among, s.layout.KeyNodes(way.Cell, j.Key)) {
		return
	}
	j.leaving = true
	j.cell.leaving = append(j.cell.leaving, j)
	j.cell.tell(foxlift.Event{Kind: foxlift.EventClientDisconnected, ID: j.number})
}

// rehomeAll looks at every open job, in the order they came.
func (c *Core) rehomeAll() (moved int) {
	open := make([]*job, 0, len(c.open))
	for _, j := range c.open {
		open = append(open, j)
	}
	slices.SortFunc(open, func(a, b *job) int { return int(int64(a.number) - int64(b.number)) })
	for _, j := range open {
		before := j.leaving
		c.rehome(j)
		if j.leaving && !before {
			moved++
		}
	}
	return moved
}
