package core

// The cells of the core: each has a module of its own.

import (
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// A cell is a part of the fleet with a module of its own: a flood in one cell moves
// no other cell's regulator, queues or counts. Each node is in one cell, so that each
// scheduler has one module that sends there, and the budget of a cold node holds as
// it does without cells. Without a plan there is one cell, which has everything.
type cell struct {
	name      string
	index     int // in the plan; -1 for one that is retired
	module    *foxlift.Dispatcher
	events    []foxlift.Event // for the module's next step
	leaving   []*job          // that the module is being told of as gone
	quotas    []float64       // as last told to the module
	retired   bool            // the plan has it no more: what it has out comes to its end
	evacuated bool            // by the operator: nothing goes there

	spilled int      // of its jobs, open in the cell that it spills into
	answers [3]int64 // answers, by verdict
}

// tell keeps an event for the module's next step.
func (cl *cell) notify(e foxlift.Event) { cl.events = append(cl.events, e) }

// book counts an answer.
func (cl *cell) recordAnswer(j *job, v Verdict) {
	if int(v) < len(cl.answers) {
		cl.answers[v]++
	}
	j.endSpill()
}

func (j *job) endSpill() {
	if j.spilledFrom != nil {
		j.spilledFrom.spilled--
		j.spilledFrom = nil
	}
}

// newCell makes a cell whose module knows these quotas.
func (c *Core) newCell(name string, tenants []foxlift.Tenant) (*cell, error) {
	cfg := c.settings.Module
	cfg.Tenants = tenants
	cfg.MayGossip = cfg.MayGossip && name == "" // what one cell admits says nothing to another's peers
	seed := c.seed
	for _, b := range []byte(name) {
		seed = (seed ^ uint64(b)) * 0x100000001b3 // FNV-1a, so that cells do not move in step
	}
	module, err := foxlift.New(cfg, seed)
	cl := &cell{name: name, module: module}
	if c.confirmed {
		cl.notify(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsConfirmed})
	}
	return cl, err
}

// begin makes the cells of a plan, without nodes.
func (c *Core) initCells(p *cells.Plan) error {
	l := cells.NewLayout(p)
	c.assigner = cells.NewAssigner(p)
	for i := range p.CellCount() {
		cl, err := c.newPlannedCell(l, i)
		if err != nil {
			return err
		}
		c.cells = append(c.cells, cl)
	}
	c.placement.Store(newPlacement(l, 0)) // Connect knows the bounds
	return nil
}

// planned makes the cell that a plan has at i.
func (c *Core) newPlannedCell(l *cells.Layout, i int) (*cell, error) {
	quotas := l.Quotas(i)
	tenants := slices.Clone(c.settings.Module.Tenants)
	for t := range tenants {
		tenants[t].Quota = quotas[t]
	}
	cl, err := c.newCell(l.Plan().CellName(i), tenants)
	cl.index, cl.quotas = i, quotas
	return cl, err
}

// condition is what a cell can do now.
func (c *Core) cellCondition(i int) cells.Condition {
	s := c.placement.Load()
	if c.cells[i].evacuated {
		return cells.Unavailable
	}
	state, now, warm := cells.Unavailable, c.clock.Now(), c.settings.Module.SlowStartDuration
	s.layout.EachWorker(i, func(id string) bool {
		if n := c.byID[id]; n.StartedAt != 0 && now-n.StartedAt < warm {
			state = cells.SlowStart
			return true
		}
		state = cells.Healthy
		return false
	})
	return state
}

// empty reports whether no job is left to a cell.
func (c *Core) hasNoJobs(cl *cell) bool {
	for _, j := range c.jobs {
		if j.cell == cl {
			return false
		}
	}
	return true
}

// drop forgets a cell that is retired and empty.
func (c *Core) removeCell(cl *cell) {
	c.cells = slices.DeleteFunc(c.cells, func(x *cell) bool { return x == cl })
	for _, n := range c.byID {
		delete(n.inFlight, cl)
		if n.cell == cl {
			n.cell = nil
		}
	}
}
