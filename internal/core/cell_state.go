package core

import (
	"context"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// A CellState is what a cell is and has at one moment.
type CellState struct {
	Name             string
	CapacityFraction float64
	Retired          bool
	Evacuated        bool
	Condition        cells.Condition
	Workers          []WorkerState
	Tenants          []TenantState
	Open             int // jobs not yet answered
	Bound            int // on those
	InFlight         int // attempts that have not ended
	Queued           int // jobs that wait in the dispatcher
	Spilled          int // of its jobs, in the cell that it spills into
	Served           int64
	Shed             int64 // by the dispatcher or for want of a worker
	Failed           int64
	ShedOnArrival    int64 // on arrival: the cell had no room
}

// A WorkerState is a worker as its cell sees it.
type WorkerState struct {
	ID            string
	Kind          int
	Zone          int
	State         foxlift.WorkerState
	InSlowStart   bool
	InFlight      float64 // slots that this cell has in flight there
	ExternalSlots float64 // the same of other cells and another process
}

// A TenantState is a tenant that lives in a cell.
type TenantState struct {
	Name     string
	Migrated bool // the operator's file has it elsewhere
	Quota    float64
}

// Cells returns the state of all cells.
func (c *Core) Cells(ctx context.Context) ([]CellState, error) {
	return callOnEventLoop(ctx, c, func(c *Core) ([]CellState, error) {
		if c.placement.Load() == nil {
			return nil, ErrNoCells
		}
		return c.cellStates(), nil
	})
}

func (c *Core) cellStates() []CellState {
	states := make([]CellState, len(c.cells.all))
	stateByCell := map[*cell]*CellState{}
	for i, cl := range c.cells.all {
		states[i] = c.cellState(i, cl)
		stateByCell[cl] = &states[i]
	}
	c.addWorkerStates(stateByCell)
	for _, j := range c.jobs.byNumber {
		state := stateByCell[j.cell]
		state.InFlight += j.inFlight
		if j.answered.Load() {
			continue
		}
		state.Open++
		if j.inFlight == 0 {
			state.Queued++
		}
	}
	return states
}

// cellState returns what a cell itself knows; i is its index in the set.
func (c *Core) cellState(i int, cl *cell) CellState {
	state := CellState{
		Name: cl.name, Retired: cl.retired, Evacuated: cl.evacuated, Spilled: cl.spilled,
		Served: cl.answerCounts[Served], Shed: cl.answerCounts[Shed], Failed: cl.answerCounts[Failed],
	}
	if cl.retired {
		return state
	}
	p := c.placement.Load()
	plan := p.layout.Plan()
	state.CapacityFraction, state.Condition = plan.CapacityFraction(i), c.cellCondition(i)
	_, state.Bound, state.ShedOnArrival = p.admission.Usage(i)
	for t, name := range plan.TenantNames() {
		if p.layout.ServedBy(t, i) {
			tenant := TenantState{Name: name, Migrated: p.layout.Migrated(t), Quota: cl.quotas[t]}
			state.Tenants = append(state.Tenants, tenant)
		}
	}
	return state
}

// addWorkerStates adds the workers to the states of their cells.
func (c *Core) addWorkerStates(stateOf map[*cell]*CellState) {
	now := c.clock.Now()
	for _, w := range c.workers.order {
		state := stateOf[w.cell]
		if state == nil || w.State == foxlift.Removed {
			continue
		}
		state.Workers = append(state.Workers, WorkerState{
			ID: w.ID, Kind: w.Kind, Zone: w.Zone, State: w.State, InSlowStart: c.inSlowStart(w, now),
			InFlight: w.inFlight[w.cell], ExternalSlots: w.forCell(w.cell).ExternalSlots,
		})
	}
}
