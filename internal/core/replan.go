package core

import (
	"context"
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// Replan carries out another plan as moves: cells of the same name keep what they
// have, others begin, and those that the plan lacks finish what they have out. What
// Move and Evacuate changed before is over: the file says where tenants are.
func (c *Core) Replan(ctx context.Context, p *cells.Plan) (m Migration, err error) {
	if err := c.call(ctx, func(c *Core) {
		switch {
		case c.placement.Load() == nil:
			err = ErrNoCells
		case c.shutdownDeadline > 0:
			err = errShuttingDown
		default:
			m, err = c.applyPlan(p)
		}
	}); err != nil {
		return Migration{}, err
	}
	return m, err
}

func (c *Core) applyPlan(p *cells.Plan) (Migration, error) {
	old := map[string]*cell{}
	for _, cl := range c.cells {
		old[cl.name] = cl // of two with one name the one that is retired comes last, and lives again
	}
	l := cells.NewLayout(p)
	var now []*cell
	for i := range p.CellCount() {
		cl := old[p.CellName(i)]
		if cl == nil {
			var err error
			if cl, err = c.newPlannedCell(l, i); err != nil {
				return Migration{}, err // nothing has changed yet
			}
		}
		now = append(now, cl)
	}
	for i, cl := range now {
		cl.index, cl.retired, cl.evacuated = i, false, false
	}
	for _, cl := range c.cells {
		if !slices.Contains(now, cl) {
			cl.index, cl.retired = -1, true
			now = append(now, cl)
		}
	}
	c.cells = now
	before := c.placement.Load().layout
	c.assigner = cells.NewAssigner(p)
	s := newPlacement(l, c.maxOpen)
	c.placement.Store(s)
	for _, j := range c.open {
		j.Job.reservation.release()
		i := l.Cell(j.tenant, j.Key)
		s.admission.Reserve(i, j.tenant)
		j.Job.reservation = reservation{s.admission, i, j.tenant}
	}
	c.distribute(foxlift.EndpointsDelta, nil)
	return c.adoptPlacement(before, c.placement.Load()), nil
}
