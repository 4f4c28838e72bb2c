package core

import (
	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// A cell is a part of the fleet with its own dispatcher, so that a flood in one cell does not affect the
// admission rate, queues or counts of another cell. Each worker belongs to one cell, so that only one dispatcher of
// each scheduler sends to it, and the limit for a worker in slow start holds as it does without cells. Without
// a plan there is one cell with all tenants and workers.
type cell struct {
	name       string
	index      int // index in the plan, or retiredIndex; 0 without a plan
	dispatcher *foxlift.Dispatcher
	events     []foxlift.Event // events for the dispatcher's next step
	leaving    []*job          // jobs that leave the cell in the dispatcher's next step
	quotas     []float64       // requests per second of each tenant, as last sent to the dispatcher; nil without a plan
	retired    bool            // the plan no longer has the cell; its attempts in flight still finish
	evacuated  bool            // evacuated by the operator; its condition is Unavailable, so that it receives no jobs

	spilled      int      // number of its open jobs that are in the cell that it spills into
	answerCounts [3]int64 // number of answers by verdict, without Rejected
}

const retiredIndex = -1 // index of a cell that the plan no longer has

// notify adds an event to the dispatcher's next step.
func (cl *cell) notify(e foxlift.Event) { cl.events = append(cl.events, e) }

// notifyEndpoints adds an update of the endpoint list to the dispatcher's next step.
func (cl *cell) notifyEndpoints(kind foxlift.EndpointUpdate, workers []foxlift.Worker) {
	cl.notify(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: kind, Workers: workers})
}

// recordAnswer counts an answer by its verdict; Rejected is not counted.
func (cl *cell) recordAnswer(v Verdict) {
	if int(v) < len(cl.answerCounts) {
		cl.answerCounts[v]++
	}
}

// newCell returns a cell whose dispatcher has the given tenants and quotas. The name is "" without a plan. The
// error is that of foxlift.New.
func (c *Core) newCell(name string, tenants []foxlift.Tenant) (*cell, error) {
	cfg := c.settings.Module
	cfg.Tenants = tenants
	cfg.MayGossip = cfg.MayGossip && name == "" // the admission rate of one cell is no use to peers
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

// cellSeed derives the seed of a cell's dispatcher from the core's seed and the cell's name, so that the
// dispatchers of different cells make different random choices.
func cellSeed(seed uint64, name string) uint64 {
	const fnvPrime = 0x100000001b3 // of the 64-bit FNV-1a hash
	for _, b := range []byte(name) {
		seed = (seed ^ uint64(b)) * fnvPrime
	}
	return seed
}

// cellCondition returns the condition of a cell of the plan: Healthy if it has a live worker that is not in
// slow start, SlowStart if all its live workers are, and Unavailable if it has none or is evacuated.
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

// inSlowStart reports whether a worker started less than the slow start duration before now, in Unix
// nanoseconds. A worker without a start time is not in slow start.
func (c *Core) inSlowStart(w *workerEntry, now int64) bool {
	return w.StartedAt != 0 && now-w.StartedAt < c.settings.Module.SlowStartDuration
}

// removeCell removes a retired cell without jobs, and the references of workers to it.
func (c *Core) removeCell(cl *cell) {
	c.cells.remove(cl)
	for _, w := range c.workers.byID {
		delete(w.inFlight, cl)
		if w.cell == cl {
			w.cell = nil
		}
	}
}
