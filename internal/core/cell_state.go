package core

import (
	"context"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

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
		x.Fraction, x.Condition = p.CapacityFraction(i), c.cellCondition(i)
		_, x.Bound, x.Rejected = s.admission.Open(i)
		for t, name := range p.TenantNames() {
			if s.layout.ServedBy(t, i) {
				x.Tenants = append(x.Tenants, TenantState{name, s.layout.Migrated(t), cl.quotas[t]})
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
