package core

import (
	"context"
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// A Migration describes the effect of a change of the placement.
type Migration struct {
	Tenants  int // tenants whose cells change
	Queued   int // queued jobs that are assigned again, mostly to another cell, where their waiting time counts
	InFlight int // open jobs with attempts in flight outside the cell that now serves them, which finish there
}

// MigrateTenant assigns a tenant to the cell named to. The tenant's new jobs and queued jobs go to that cell;
// attempts in flight finish where they are, and jobs that may have run stay unless their class is idempotent.
// It returns the error of cells.Layout.CheckMigration, cells.ErrEvacuated, ErrNoCells, ErrShuttingDown or the
// error of ctx.
func (c *Core) MigrateTenant(ctx context.Context, tenant, to string) (Migration, error) {
	return c.changeLayout(ctx, func(layout *cells.Layout) (*cells.Layout, error) {
		t, i := layout.Plan().TenantIndex(tenant), layout.Plan().CellIndex(to)
		if err := layout.CheckMigration(t, i); err != nil {
			return nil, err
		}
		if c.cells.all[i].evacuated {
			return nil, cells.ErrEvacuated
		}
		return layout.WithMigration(t, i), nil
	})
}

// Evacuate migrates all tenants of a cell to other cells, and stops jobs from spilling into it, until
// RestorePlacement of this cell or of all tenants, or Replan. It returns cells.ErrUnknownCell,
// cells.ErrNoTargetCell, ErrNoCells, ErrShuttingDown or the error of ctx.
func (c *Core) Evacuate(ctx context.Context, name string) (Migration, error) {
	return c.changeLayout(ctx, func(layout *cells.Layout) (*cells.Layout, error) {
		i := layout.Plan().CellIndex(name)
		if i < 0 {
			return nil, cells.ErrUnknownCell
		}
		moves, err := layout.PlanEvacuation(i, func(other int) bool {
			return c.cellCondition(other) != cells.Unavailable
		})
		if err != nil {
			return nil, err
		}
		for _, move := range moves {
			layout = layout.WithMigration(move.Tenant, move.To)
		}
		c.cells.all[i].evacuated = true
		return layout, nil
	})
}

// RestorePlacement undoes MigrateTenant and Evacuate, and returns tenants to their configured cells: one tenant,
// the tenants configured in the cell named name, or all tenants if both arguments are empty. If both are given, it
// returns only the tenant, and checks that the cell exists. Only without a tenant does it also end the evacuation of
// the named cell or of all cells. It returns cells.ErrUnknownTenant, cells.ErrUnknownCell, ErrNoCells,
// ErrShuttingDown or the error of ctx.
func (c *Core) RestorePlacement(ctx context.Context, tenant, name string) (Migration, error) {
	return c.changeLayout(ctx, func(layout *cells.Layout) (*cells.Layout, error) {
		plan := layout.Plan()
		if tenant != "" && plan.TenantIndex(tenant) < 0 {
			return nil, cells.ErrUnknownTenant
		}
		if name != "" && plan.CellIndex(name) < 0 {
			return nil, cells.ErrUnknownCell
		}
		if tenant == "" {
			c.clearEvacuations(plan, name)
			return restoreTenants(layout, func(t int) bool {
				return name == "" || layout.ConfiguredIn(t, plan.CellIndex(name))
			}), nil
		}
		return restoreTenants(layout, func(t int) bool { return t == plan.TenantIndex(tenant) }), nil
	})
}

// restoreTenants returns the layout with the selected migrated tenants in their configured cells. selected is
// also called with the index of the entry for jobs without a tenant.
func restoreTenants(layout *cells.Layout, selected func(tenant int) bool) *cells.Layout {
	for t := range layout.Plan().TenantTableSize() {
		if selected(t) && layout.Migrated(t) {
			layout = layout.WithoutMigration(t)
		}
	}
	return layout
}

// clearEvacuations ends the evacuation of a cell, or of all cells if the name is empty.
func (c *Core) clearEvacuations(plan *cells.Plan, name string) {
	for i, cl := range c.cells.all {
		if !cl.retired && (name == "" || i == plan.CellIndex(name)) {
			cl.evacuated = false
		}
	}
}

// changeLayout applies one change of the layout on the event loop's goroutine. change returns the new layout; if
// it returns an error, the layout stays as it is.
func (c *Core) changeLayout(
	ctx context.Context, change func(*cells.Layout) (*cells.Layout, error),
) (Migration, error) {
	return callOnEventLoop(ctx, c, func(c *Core) (Migration, error) {
		p, err := c.changeablePlacement()
		if err != nil {
			return Migration{}, err
		}
		layout, err := change(p.layout)
		if err != nil {
			return Migration{}, err
		}
		return c.adoptPlacement(p.layout, p.withLayout(layout)), nil
	})
}

// changeablePlacement returns the placement, or ErrNoCells without cells, or ErrShuttingDown during a shutdown.
func (c *Core) changeablePlacement() (*placement, error) {
	p := c.placement.Load()
	if p == nil {
		return nil, ErrNoCells
	}
	if c.shutdown.begun() {
		return nil, ErrShuttingDown
	}
	return p, nil
}

// adoptPlacement publishes a placement, sends the changed quotas to the dispatchers, reassigns queued jobs and
// returns the effect. previous is the layout before the change.
func (c *Core) adoptPlacement(previous *cells.Layout, p *placement) Migration {
	var m Migration
	for t := range previous.Plan().TenantNames() {
		if !previous.SameCells(p.layout, t) {
			m.Tenants++
		}
	}
	c.placement.Store(p)
	for i, cl := range c.cells.all {
		if cl.retired {
			continue
		}
		if quotas := p.layout.Quotas(i); !slices.Equal(quotas, cl.quotas) {
			cl.quotas = quotas
			cl.notify(foxlift.Event{Kind: foxlift.EventQuotas, Quotas: quotas})
		}
	}
	m.Queued = c.reassignAll()
	for _, j := range c.jobs.open {
		if j.inFlight > 0 && c.ownerCell(j.tenant, j.Key) != j.cell {
			m.InFlight++
		}
	}
	c.counters.Add("cells.map_changed")
	return m
}
