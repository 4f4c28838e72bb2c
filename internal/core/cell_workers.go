package core

import (
	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// slotTolerance is the largest sum of slots that counts as zero. Slots are fractions, so that the sums have
// rounding errors.
const slotTolerance = 1e-9

// distributeWorkers assigns the workers to cells and sends each cell's dispatcher the update for its workers.
// A worker that moves to another cell is sent to its previous dispatcher as draining, and to its new one with
// the slots that other cells still have in flight there. changed holds the workers of the update; with
// EndpointsDelta only they and the workers that move are sent.
func (c *Core) distributeWorkers(kind foxlift.EndpointUpdate, changed []foxlift.Worker) {
	layout := c.updateLayout()
	inUpdate := map[string]bool{}
	for i := range changed {
		inUpdate[changed[i].ID] = true
	}
	updates := make(map[*cell][]foxlift.Worker, len(c.cells.all))
	for _, w := range c.workers.order {
		previous := w.cell
		// A worker that is not in the layout, because it is not live, stays in its cell until it is removed.
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

// updateLayout updates the placement to the current live workers and returns its new layout.
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

// countSlots adds (sign 1) or subtracts (sign -1) the slots of an attempt at its worker. If the worker now
// belongs to another cell than the attempt, that cell's dispatcher is sent the changed external slots. It does
// nothing without a plan, or if the worker is no longer in the table.
func (c *Core) countSlots(a *attempt, sign float64) {
	w := c.workers.byID[a.worker]
	if w == nil || c.placement.Load() == nil {
		return
	}
	w.inFlight[a.cell] += float64(sign * a.job.slots())
	if w.inFlight[a.cell] <= slotTolerance {
		delete(w.inFlight, a.cell)
	}
	if w.cell != nil && w.cell != a.cell {
		w.cell.notifyEndpoints(foxlift.EndpointsDelta, []foxlift.Worker{w.forCell(w.cell)})
	}
}

// cellOf returns the cell of a worker: without a plan the only cell, with one nil if the worker has not been
// assigned to a cell.
func (c *Core) cellOf(w *workerEntry) *cell {
	if c.placement.Load() == nil {
		return c.cells.all[0]
	}
	return w.cell
}
