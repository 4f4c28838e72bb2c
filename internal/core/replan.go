package core

import (
	"context"
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// Replan changes the plan of the cells without a restart. Cells whose name is in both plans keep their
// dispatchers, cells that are new are created, and cells that the new plan does not have finish their attempts
// in flight. Earlier changes by MigrateTenant and Evacuate are discarded: tenants go to the cells of the new
// plan. It returns ErrNoCells, ErrShuttingDown, the error of ctx, or that of foxlift.New for a new cell.
func (c *Core) Replan(ctx context.Context, plan *cells.Plan) (Migration, error) {
	return callOnEventLoop(ctx, c, func(c *Core) (Migration, error) {
		if _, err := c.changeablePlacement(); err != nil {
			return Migration{}, err
		}
		return c.applyPlan(plan)
	})
}

// applyPlan replaces the plan on the event loop's goroutine. If it returns an error, nothing has changed.
func (c *Core) applyPlan(plan *cells.Plan) (Migration, error) {
	layout := cells.NewLayout(plan)
	planned, err := c.cellsForPlan(layout)
	if err != nil {
		return Migration{}, err
	}
	for i, cl := range planned {
		cl.index, cl.retired, cl.evacuated = i, false, false
	}
	for _, cl := range c.cells.all {
		if !slices.Contains(planned, cl) {
			cl.index, cl.retired = retiredIndex, true
			planned = append(planned, cl)
		}
	}
	c.cells.all = planned
	previous := c.placement.Load().layout
	c.cells.assigner = cells.NewAssigner(plan)
	p := newPlacement(layout, c.maxOpen)
	c.placement.Store(p)
	for _, j := range c.jobs.open {
		j.reservation.release()
		i := layout.Cell(j.tenant, j.Key)
		p.admission.Reserve(i, j.tenant)
		j.reservation = reservation{p.admission, i, j.tenant}
	}
	c.distributeWorkers(foxlift.EndpointsDelta, nil)
	return c.adoptPlacement(previous, c.placement.Load()), nil
}

// cellsForPlan returns the cells of a layout's plan by index: existing cells with the plan's names, including
// retired ones, and new ones for the other names. The error is that of foxlift.New.
func (c *Core) cellsForPlan(layout *cells.Layout) ([]*cell, error) {
	byName := map[string]*cell{}
	for _, cl := range c.cells.all {
		byName[cl.name] = cl // of two cells with a name, the retired one comes last and is reused
	}
	var planned []*cell
	for i := range layout.Plan().CellCount() {
		cl := byName[layout.Plan().CellName(i)]
		if cl == nil {
			var err error
			if cl, err = c.newPlannedCell(layout, i); err != nil {
				return nil, err
			}
		}
		planned = append(planned, cl)
	}
	return planned, nil
}
