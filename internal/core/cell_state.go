package core

import (
	"context"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// A CellState describes a cell at one moment. The counts of jobs and attempts, except Spilled and
// ShedOnArrival, include those of jobs that spilled into the cell. Served, Shed and Failed count since the cell
// was created. For a retired cell, CapacityFraction, Condition, Tenants, Bound and ShedOnArrival are not set.
type CellState struct {
	Name             string
	CapacityFraction float64 // of the fleet's capacity, from 0 to 1
	Retired          bool    // the plan no longer has the cell
	Evacuated        bool    // evacuated by the operator
	Condition        cells.Condition
	Workers          []WorkerState
	Tenants          []TenantState
	Open             int // jobs not yet answered
	Bound            int // maximum number of open jobs
	InFlight         int // attempts that have not ended
	Queued           int // open jobs without an attempt in flight
	Spilled          int // open jobs of the cell that are in the cell that it spills into
	Served           int64
	Shed             int64 // jobs shed after they passed the admission bound, by the dispatcher or by the core
	Failed           int64
	ShedOnArrival    int64 // jobs shed by Accept, since Start or the last Replan, because the bound was reached
}

// A WorkerState describes a worker of a cell.
type WorkerState struct {
	ID            string
	Kind          int // index of its machine kind; -1 if unknown
	Zone          int // index of its zone; -1 if unknown
	State         foxlift.WorkerState
	InSlowStart   bool
	InFlight      float64 // slots in flight at the worker from this cell
	ExternalSlots float64 // slots in flight at the worker from other cells and from another process
}

// A TenantState describes a tenant that a cell serves: its quota there and whether it has migrated.
type TenantState struct {
	Name     string
	Migrated bool    // its cells differ from the configured ones
	Quota    float64 // requests per second in this cell
}

// Cells returns the states of the cells of the plan by index, then those of retired cells. It returns
// ErrNoCells without cells, ErrShuttingDown if the core stops first, and the error of ctx if ctx ends first.
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

// cellState returns the state of a cell without its jobs and workers; i is its index in the set. For a retired
// cell it has only the name, the flags and the counts.
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

// addWorkerStates adds the workers, except removed ones, to the states of their cells.
func (c *Core) addWorkerStates(stateByCell map[*cell]*CellState) {
	now := c.clock.Now()
	for _, w := range c.workers.order {
		state := stateByCell[w.cell]
		if state == nil || w.State == foxlift.Removed {
			continue
		}
		state.Workers = append(state.Workers, WorkerState{
			ID: w.ID, Kind: w.Kind, Zone: w.Zone, State: w.State, InSlowStart: c.inSlowStart(w, now),
			InFlight: w.inFlight[w.cell], ExternalSlots: w.forCell(w.cell).ExternalSlots,
		})
	}
}
