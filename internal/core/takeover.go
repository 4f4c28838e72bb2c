package core

import (
	"context"
	"time"

	"github.com/vatu-meals/foxlift"
)

// A State is the state that one process of a scheduler hands over to its successor in an upgrade: the learned
// state of its dispatchers and the ids of jobs that must not run twice. It is stored as JSON.
type State struct {
	DrainProgress
	Modules map[string]*foxlift.Snapshot `json:"Modules"` // by name of the cell; "" without cells
	IDs     []string                     `json:"IDs"`     // ids of open or recent jobs that must not run twice
}

// A DrainProgress is the part of a State that the successor polls while the predecessor drains.
type DrainProgress struct {
	TakenAt  int64              `json:"At"`   // time of the state, in Unix nanoseconds
	Open     int                `json:"Open"` // number of jobs accepted and not yet answered
	InFlight map[string]float64 `json:"Out"`  // slots in flight, by worker
}

// State returns the state that a successor needs in order to take over. It returns the error of ctx if ctx ends
// first, and ErrShuttingDown if the core stops first.
func (c *Core) State(ctx context.Context) (*State, error) {
	return callOnEventLoop(ctx, c, func(c *Core) (*State, error) { return c.state(), nil })
}

// state is State on the event loop's goroutine.
func (c *Core) state() *State {
	s := &State{
		DrainProgress: DrainProgress{TakenAt: c.clock.Now(), Open: len(c.jobs.open), InFlight: map[string]float64{}},
		Modules:       map[string]*foxlift.Snapshot{},
	}
	for _, cl := range c.cells.all {
		if !cl.retired {
			s.Modules[cl.name] = cl.dispatcher.Snapshot()
		}
	}
	for _, j := range c.jobs.byNumber {
		for _, a := range j.attempts {
			if !a.done {
				s.InFlight[a.worker] += j.slots()
			}
		}
	}
	for _, j := range c.jobs.open {
		if c.settings.Module.Classes[j.class].Effect != foxlift.Idempotent {
			s.IDs = append(s.IDs, j.ID)
		}
	}
	for _, recent := range c.jobs.recent.runOnce.all() {
		s.IDs = append(s.IDs, recent.id)
	}
	return s
}

// EndpointsFreshFor returns for how long jobs may still be sent by the endpoint list if discovery does not answer. It
// returns the error of ctx if ctx ends first, and ErrShuttingDown if the core stops first.
func (c *Core) EndpointsFreshFor(ctx context.Context) (time.Duration, error) {
	return callOnEventLoop(ctx, c, func(c *Core) (time.Duration, error) {
		return time.Duration(max(0, c.cells.all[0].dispatcher.EndpointsExpireAt()-c.clock.Now())), nil
	})
}

// RestoreState applies the state that a predecessor handed over; a cell that the state does not name keeps its
// own. It must be called before the first job. It returns the error of ctx if ctx ends first, and ErrShuttingDown
// if the core stops first.
func (c *Core) RestoreState(ctx context.Context, s *State) error {
	_, err := callOnEventLoop(ctx, c, func(c *Core) (struct{}, error) {
		c.restore(s)
		return struct{}{}, nil
	})
	return err
}

// restore is RestoreState on the event loop's goroutine.
func (c *Core) restore(s *State) {
	for _, cl := range c.cells.all {
		if snapshot := s.Modules[cl.name]; snapshot != nil {
			cl.dispatcher.Restore(snapshot)
		}
	}
	for _, id := range s.IDs {
		c.rememberID(id, true)
		c.idsInUse.Store(id, struct{}{})
	}
	c.applyExternalSlots(s.InFlight)
}

// SetExternalSlots sets the slots in flight of another process of the scheduler, by worker; a worker that is not
// in the map has none. The dispatchers count them like slots of another cell.
func (c *Core) SetExternalSlots(slots map[string]float64) { c.loop.post(externalSlotsChanged{slots}) }

type externalSlotsChanged struct{ slots map[string]float64 }

func (e externalSlotsChanged) apply(c *Core) { c.applyExternalSlots(e.slots) }

// applyExternalSlots sets the slots of another process and sends the changed workers to their dispatchers.
func (c *Core) applyExternalSlots(slots map[string]float64) {
	changed := map[*cell][]foxlift.Worker{}
	for _, w := range c.workers.order {
		if w.otherProcessSlots == slots[w.ID] {
			continue
		}
		w.otherProcessSlots = slots[w.ID]
		if cl := c.cellOf(w); cl != nil {
			changed[cl] = append(changed[cl], w.forCell(cl))
		}
	}
	for cl, workers := range changed {
		cl.notifyEndpoints(foxlift.EndpointsDelta, workers)
	}
}
