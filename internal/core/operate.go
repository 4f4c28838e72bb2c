package core

import (
	"context"
	"errors"
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// What an operator may ask and do while the scheduler runs. Each call becomes one
// event on the core's goroutine, so that it is carried out whole, between two steps
// of the modules; a caller that goes away in the meantime holds up nothing.

// ErrNoCells means that the scheduler runs without cells.
var ErrNoCells = errors.New("this scheduler has no cells: its operator's file names none")

// A Moved says what a change of the map did.
type Migration struct {
	Tenants  int // that go to another cell
	Queued   int // jobs that went over with their age
	InFlight int // jobs that finish where their claims are
}

// A CellState is what a cell is and has at one moment.
type CellState struct {
	Name      string
	Fraction  float64
	Retired   bool
	Evacuated bool
	Condition cells.Condition
	Workers   []WorkerState
	Tenants   []TenantState
	Open      int // jobs not yet answered
	Bound     int // on those
	InFlight  int // claims that have not ended
	Queued    int // jobs that wait in the module
	Spilled   int // of its jobs, in the cell that it spills into
	Served    int64
	Shed      int64 // by the module or for want of a node
	Failed    int64
	Rejected  int64 // refused at the front: the cell had no room
}

// A WorkerState is a node as its cell sees it.
type WorkerState struct {
	ID            string
	Kind          int
	Zone          int
	State         foxlift.WorkerState
	InSlowStart   bool
	InFlight      float64 // slots of claims that this cell has out there
	ExternalSlots float64 // the same of other cells
}

// A TenantState is a tenant that lives in a cell.
type TenantState struct {
	Name     string
	Migrated bool // the file has it elsewhere
	Quota    float64
}

// operation is an operator's request: done on the core's goroutine.
type operatorCall struct {
	do   func(*Core)
	done chan struct{}
}

func (o operatorCall) apply(c *Core) {
	o.do(c)
	close(o.done)
}

// operate runs do on the core's goroutine and waits for it, or for ctx to end.
func (c *Core) call(ctx context.Context, do func(*Core)) error {
	o := operatorCall{do, make(chan struct{})}
	select {
	case c.inbox <- o:
	case <-c.stopped:
		return errShuttingDown
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-o.done:
		return nil
	case <-c.stopped:
		return errShuttingDown
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Cells returns the state of all cells.
func (c *Core) Cells(ctx context.Context) (states []CellState, err error) {
	if err := c.call(ctx, func(c *Core) {
		if c.placement.Load() == nil {
			err = ErrNoCells
			return
		}
		states = c.cellStates()
	}); err != nil {
		return nil, err
	}
	return states, err
}

func (c *Core) cellStates() []CellState {
	s := c.placement.Load()
	p := s.layout.Plan()
	states := make([]CellState, len(c.cells))
	at := map[*cell]*CellState{}
	now, warm := c.clock.Now(), c.settings.Module.SlowStartDuration
	for i, cl := range c.cells {
		states[i] = CellState{
			Name: cl.name, Retired: cl.retired, Evacuated: cl.evacuated, Spilled: cl.spilled,
			Served: cl.answers[Served], Shed: cl.answers[Shed], Failed: cl.answers[Failed],
		}
		x := &states[i]
		at[cl] = x
		if cl.retired {
			continue
		}
		x.Fraction, x.Condition = p.Share(i), c.cellCondition(i)
		_, x.Bound, x.Rejected = s.admission.Open(i)
		for t, name := range p.TenantNames() {
			if s.layout.Lives(t, i) {
				x.Tenants = append(x.Tenants, TenantState{name, s.layout.Moved(t), cl.quotas[t]})
			}
		}
	}
	for _, n := range c.order {
		if x := at[n.cell]; x != nil && n.State != foxlift.Removed {
			out := n.inFlight[n.cell]
			x.Workers = append(x.Workers, WorkerState{
				ID: n.ID, Kind: n.Kind, Zone: n.Zone, State: n.State, InFlight: out,
				InSlowStart: n.StartedAt != 0 && now-n.StartedAt < warm, ExternalSlots: n.forCell(n.cell).ExternalSlots,
			})
		}
	}
	for _, j := range c.jobs {
		x := at[j.cell]
		x.InFlight += j.inFlight
		if !j.answered.Load() {
			x.Open++
			if j.inFlight == 0 {
				x.Queued++
			}
		}
	}
	return states
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
		if !old.SamePlace(s.layout, t) {
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
		t, i := l.Plan().Tenant(tenant), l.Plan().Find(to)
		if err := l.MayMove(t, i); err != nil {
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
		i := l.Plan().Find(name)
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
		if tenant != "" && p.Tenant(tenant) < 0 {
			return nil, cells.ErrUnknownTenant
		}
		if name != "" && p.Find(name) < 0 {
			return nil, cells.ErrUnknownCell
		}
		for t := range p.Slots() {
			one := tenant != "" && t == p.Tenant(tenant)
			ofCell := tenant == "" && (name == "" || l.Home(t, p.Find(name)))
			if (one || ofCell) && l.Moved(t) {
				l = l.Restored(t)
			}
		}
		for i, cl := range c.cells {
			if tenant == "" && !cl.retired && (name == "" || i == p.Find(name)) {
				cl.evacuated = false
			}
		}
		return l, nil
	})
}

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
	for i := range p.Cells() {
		cl := old[p.Name(i)]
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
		s.admission.Take(i, j.tenant)
		j.Job.reservation = reservation{s.admission, i, j.tenant}
	}
	c.distribute(foxlift.EndpointsDelta, nil)
	return c.adoptPlacement(before, c.placement.Load()), nil
}
