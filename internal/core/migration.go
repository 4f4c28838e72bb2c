package core

import (
	"context"
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// A Moved says what a change of the map did.
type Migration struct {
	Tenants  int // that go to another cell
	Queued   int // jobs that went over with their age
	InFlight int // jobs that finish where their claims are
}

// change runs one change of the map on the core's goroutine. do returns the new
// layout; nothing is done if it returns an error.
func (c *Core) changeLayout(ctx context.Context, do func(*cells.Layout) (*cells.Layout, error)) (m Migration, err error) {
	if err := c.call(ctx, func(c *Core) {
		s := c.placement.Load()
		switch {
		case s == nil:
			err = ErrNoCells
		case c.shutdownDeadline > 0:
			err = errShuttingDown
		default:
			var l *cells.Layout
			if l, err = do(s.layout); err == nil {
				m = c.adoptPlacement(s.layout, s.withLayout(l))
			}
		}
	}); err != nil {
		return Migration{}, err
	}
	return m, err
}

// adopt makes a scheme the one that holds: modules hear of their new shares, and
// jobs that wait go over. old is the layout that held before.
func (c *Core) adoptPlacement(old *cells.Layout, s *placement) (m Migration) {
	for t := range old.Plan().TenantNames() {
		if !old.SameCells(s.layout, t) {
			m.Tenants++
		}
	}
	c.placement.Store(s)
	for i, cl := range c.cells {
		if cl.retired {
			continue
		}
		if q := s.layout.Quotas(i); !slices.Equal(q, cl.quotas) {
			cl.quotas = q
			cl.notify(foxlift.Event{Kind: foxlift.EventQuotas, Quotas: q})
		}
	}
	m.Queued = c.reassignAll()
	for _, j := range c.open {
		if j.inFlight > 0 && c.ownerCell(j.tenant, j.Key) != j.cell {
			m.InFlight++
		}
	}
	c.counters.Add("cells.map_changed")
	return m
}

// Move makes a cell the one of a tenant. Its new jobs go there from now on, and so
// do those that wait; claims that are out finish where they are.
func (c *Core) MigrateTenant(ctx context.Context, tenant, to string) (Migration, error) {
	return c.changeLayout(ctx, func(l *cells.Layout) (*cells.Layout, error) {
		t, i := l.Plan().TenantIndex(tenant), l.Plan().CellIndex(to)
		if err := l.CheckMigration(t, i); err != nil {
			return nil, err
		}
		if c.cells[i].evacuated {
			return nil, cells.ErrEvacuated
		}
		return l.WithTenant(t, i), nil
	})
}

// Evacuate moves all tenants out of a cell and keeps spilled jobs from it, until
// RestorePlacement.
func (c *Core) Evacuate(ctx context.Context, name string) (Migration, error) {
	return c.changeLayout(ctx, func(l *cells.Layout) (*cells.Layout, error) {
		i := l.Plan().CellIndex(name)
		if i < 0 {
			return nil, cells.ErrUnknownCell
		}
		rescues, err := l.Evacuation(i, func(other int) bool { return c.cellCondition(other) != cells.Unavailable })
		if err != nil {
			return nil, err
		}
		for _, r := range rescues {
			l = l.WithTenant(r.Tenant, r.To)
		}
		c.cells[i].evacuated = true
		return l, nil
	})
}

// RestorePlacement puts back to where the file has it what Move and Evacuate changed: one
// tenant, the tenants of one cell, or all where both names are empty.
func (c *Core) RestorePlacement(ctx context.Context, tenant, name string) (Migration, error) {
	return c.changeLayout(ctx, func(l *cells.Layout) (*cells.Layout, error) {
		p := l.Plan()
		if tenant != "" && p.TenantIndex(tenant) < 0 {
			return nil, cells.ErrUnknownTenant
		}
		if name != "" && p.CellIndex(name) < 0 {
			return nil, cells.ErrUnknownCell
		}
		for t := range p.TenantSlots() {
			one := tenant != "" && t == p.TenantIndex(tenant)
			ofCell := tenant == "" && (name == "" || l.ConfiguredIn(t, p.CellIndex(name)))
			if (one || ofCell) && l.Migrated(t) {
				l = l.Restored(t)
			}
		}
		for i, cl := range c.cells {
			if tenant == "" && !cl.retired && (name == "" || i == p.CellIndex(name)) {
				cl.evacuated = false
			}
		}
		return l, nil
	})
}
