package core

import (
	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// slotTolerance is below which a sum of slots is taken for zero: the sums are of fractions.
const slotTolerance = 1e-9

// distribute updates which cell each worker is in, and tells each cell's dispatcher of its workers. To
// the dispatcher that had it, a worker that goes to another cell looks as if it drained; the one that
// gets it learns how many slots of others are still in flight there. changed are the workers that the
// update names.
func (c *Core) distributeWorkers(kind foxlift.EndpointUpdate, changed []foxlift.Worker) {
	layout := c.updateLayout()
	inUpdate := map[string]bool{}
	for i := range changed {
		inUpdate[changed[i].ID] = true
	}
	updates := make(map[*cell][]foxlift.Worker, len(c.cells.all))
	for _, w := range c.workers.order {
		previous := w.cell
		// A worker that the layout does not have stays with the dispatcher that knows it, to its end.
		if i, ok := layout.WorkerCell(w.ID); ok {
			w.cell = c.cells.all[i]
		}
		if w.cell == nil {
			continue
		}
		if previous != nil && previous != w.cell {
			c.counters.Add("cells.nodes_moved")
			draining := w.Worker
			draining.State = foxlift.Draining
			updates[previous] = append(updates[previous], draining)
		}
		isListed := kind != foxlift.EndpointsDelta && w.State != foxlift.Removed
		if isListed || inUpdate[w.ID] || previous != w.cell {
			updates[w.cell] = append(updates[w.cell], w.forCell(w.cell))
		}
	}
	for _, cl := range c.cells.all {
		cl.notifyEndpoints(kind, updates[cl])
	}
}

// updateLayout brings the placement up to date with the live workers and returns its layout.
func (c *Core) updateLayout() *cells.Layout {
	var live []cells.Worker
	for _, w := range c.workers.order {
		if w.State == foxlift.Live {
			live = append(live, cells.Worker{ID: w.ID, Zone: w.Zone, Kind: w.Kind})
		}
	}
	p := c.placement.Load()
	p = p.withLayout(p.layout.WithChanges(c.cells.assigner.Update(live)))
	c.placement.Store(p)
	return p.layout
}

// countSlots counts slots of an attempt in (sign 1) or out (sign -1), and tells the dispatcher that has
// the worker of slots that are not its own.
func (c *Core) countSlots(a *attempt, sign float64) {
	w := c.workers.byID[a.worker]
	if w == nil || c.placement.Load() == nil {
		return
	}
	w.inFlight[a.cell] += sign * a.job.slots()
	if w.inFlight[a.cell] <= slotTolerance {
		delete(w.inFlight, a.cell)
	}
	if w.cell != nil && w.cell != a.cell {
		w.cell.notifyEndpoints(foxlift.EndpointsDelta, []foxlift.Worker{w.forCell(w.cell)})
	}
}

// cellOf returns the cell whose dispatcher has a worker; nil if there is none yet.
func (c *Core) cellOf(w *workerEntry) *cell {
	if c.placement.Load() == nil {
		return c.cells.all[0]
	}
	return w.cell
}
