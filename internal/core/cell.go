package core

import (
	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// A cell is a part of the fleet with a dispatcher of its own: a flood in one cell moves no other cell's
// regulator, queues or counts. Each worker is in one cell, so that each scheduler has one dispatcher that
// sends there, and the bound on a worker in slow start holds as it does without cells. Without a plan
// there is one cell, which has everything.
type cell struct {
	name       string
	index      int // in the plan; retiredIndex if it has it no more
	dispatcher *foxlift.Dispatcher
	events     []foxlift.Event // for the dispatcher's next step
	leaving    []*job          // of which the dispatcher is being told that they go
	quotas     []float64       // as last told to the dispatcher
	retired    bool            // the plan has it no more: its attempts in flight come to their end
	evacuated  bool            // by the operator: nothing goes there

	spilled      int      // of its jobs, open in the cell that it spills into
	answerCounts [3]int64 // by verdict, Rejected aside
}

const retiredIndex = -1

// notify keeps an event for the dispatcher's next step.
func (cl *cell) notify(e foxlift.Event) { cl.events = append(cl.events, e) }

// notifyEndpoints keeps an update of the endpoint list for the dispatcher's next step.
func (cl *cell) notifyEndpoints(kind foxlift.EndpointUpdate, workers []foxlift.Worker) {
	cl.notify(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: kind, Workers: workers})
}

// recordAnswer counts an answer.
func (cl *cell) recordAnswer(v Verdict) {
	if int(v) < len(cl.answerCounts) {
		cl.answerCounts[v]++
	}
}

// newCell makes a cell whose dispatcher knows these quotas.
func (c *Core) newCell(name string, tenants []foxlift.Tenant) (*cell, error) {
	cfg := c.settings.Module
	cfg.Tenants = tenants
	cfg.MayGossip = cfg.MayGossip && name == "" // what one cell admits says nothing to another's peers
	dispatcher, err := foxlift.New(cfg, cellSeed(c.cells.seed, name))
	if err != nil {
		return nil, err
	}
	cl := &cell{name: name, dispatcher: dispatcher}
	if c.confirmed {
		cl.notifyEndpoints(foxlift.EndpointsConfirmed, nil)
	}
	return cl, nil
}

// cellSeed derives a cell's seed from the core's, so that cells do not move in step.
func cellSeed(seed uint64, name string) uint64 {
	const fnvPrime = 0x100000001b3 // of the 64-bit FNV-1a hash
	for _, b := range []byte(name) {
		seed = (seed ^ uint64(b)) * fnvPrime
	}
	return seed
}

// cellCondition returns what a cell of the plan can do now.
func (c *Core) cellCondition(index int) cells.Condition {
	if c.cells.all[index].evacuated {
		return cells.Unavailable
	}
	condition, now := cells.Unavailable, c.clock.Now()
	c.placement.Load().layout.EachWorker(index, func(id string) bool {
		if c.inSlowStart(c.workers.byID[id], now) {
			condition = cells.SlowStart
			return true
		}
		condition = cells.Healthy
		return false
	})
	return condition
}

// inSlowStart reports whether a worker has started not long ago.
func (c *Core) inSlowStart(w *workerEntry, now int64) bool {
	return w.StartedAt != 0 && now-w.StartedAt < c.settings.Module.SlowStartDuration
}

// removeCell removes a cell that is retired and has no jobs.
func (c *Core) removeCell(cl *cell) {
	c.cells.remove(cl)
	for _, w := range c.workers.byID {
		delete(w.inFlight, cl)
		if w.cell == cl {
			w.cell = nil
		}
	}
}
