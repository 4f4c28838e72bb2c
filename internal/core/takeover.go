package core

import (
	"context"

	"github.com/vatu-meals/foxlift"
)

// A State is what one process of a scheduler hands over to the next: what its decision modules have
// learned, and what must not be done twice. It can be written as JSON.
type State struct {
	Progress
	Modules map[string]*foxlift.Snapshot `json:"Modules"` // by the cell's name, "" without cells
	IDs     []string                     `json:"IDs"`     // of jobs that must not run twice, open or answered not long ago
}

// A Progress is the part of a State that the next process looks at again and again.
type Progress struct {
	TakenAt  int64              `json:"At"`   // when it was so, in Unix nanoseconds
	Open     int                `json:"Open"` // jobs taken and not yet answered
	InFlight map[string]float64 `json:"Out"`  // slots of claims that have not ended, by node
}

// State returns what another process would have to know to go on from here.
func (c *Core) State(ctx context.Context) (s *State, err error) {
	err = c.call(ctx, func(c *Core) { s = c.state() })
	return s, err
}

func (c *Core) state() *State {
	s := &State{
		Progress: Progress{TakenAt: c.clock.Now(), Open: len(c.open), InFlight: map[string]float64{}},
		Modules:  map[string]*foxlift.Snapshot{},
	}
	for _, cl := range c.cells {
		if !cl.retired {
			s.Modules[cl.name] = cl.module.Snapshot()
		}
	}
	for _, j := range c.jobs {
		for _, cl := range j.attempts {
			if !cl.done {
				s.InFlight[cl.worker] += slotsOf(j)
			}
		}
	}
	for _, j := range c.open {
		if c.settings.Module.Classes[j.class].Effect != foxlift.Idempotent {
			s.IDs = append(s.IDs, j.ID)
		}
	}
	for id, once := range c.recentIDs {
		if once {
			s.IDs = append(s.IDs, id)
		}
	}
	return s
}

// RestoreState goes on from what another process handed over. It is called while no job has come yet.
func (c *Core) RestoreState(ctx context.Context, s *State) error {
	return c.call(ctx, func(c *Core) { c.restore(s) })
}

func (c *Core) restore(s *State) {
	for _, cl := range c.cells {
		if module := s.Modules[cl.name]; module != nil {
			cl.module.Restore(module)
		}
	}
	for _, id := range s.IDs {
		c.rememberID(id, true)
		c.idsInUse.Store(id, struct{}{})
	}
	c.applyExternalSlots(s.InFlight)
}

// SetExternalSlots tells how many slots another process of the scheduler has out at the nodes. The modules
// count them as they count those of another cell.
func (c *Core) SetExternalSlots(out map[string]float64) { c.post(externalSlotsChanged{out}) }

type externalSlotsChanged struct{ slots map[string]float64 }

func (e externalSlotsChanged) apply(c *Core) { c.applyExternalSlots(e.slots) }

func (c *Core) applyExternalSlots(out map[string]float64) {
	told := map[*cell][]foxlift.Worker{}
	for _, n := range c.order {
		if n.otherProcessSlots == out[n.ID] {
			continue
		}
		n.otherProcessSlots = out[n.ID]
		if cl := c.cellOf(n); cl != nil {
			told[cl] = append(told[cl], n.forCell(cl))
		}
	}
	for cl, workers := range told {
		cl.notify(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsDelta, Workers: workers})
	}
}

// cellOf returns the cell whose module decides on a node; nil if there is none yet.
func (c *Core) cellOf(n *workerEntry) *cell {
	if c.placement.Load() == nil {
		return c.cells[0]
	}
	return n.cell
}

// withExternalSlots returns entries of the list with what another process has out there.
func (c *Core) withExternalSlots(entries []foxlift.Worker) []foxlift.Worker {
	told := entries
	for i := range entries {
		n := c.byID[entries[i].ID]
		if n == nil || n.otherProcessSlots == 0 {
			continue
		}
		if &told[0] == &entries[0] {
			told = append([]foxlift.Worker(nil), entries...)
		}
		told[i].ExternalSlots = n.otherProcessSlots
	}
	return told
}

// slotsOf is how many slots a job takes; 1 where that is not known.
func slotsOf(j *job) float64 {
	if j.Slots <= 0 {
		return 1
	}
	return j.Slots
}
