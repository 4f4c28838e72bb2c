package core

// Which cell's module decides on a node, and what each module is told of its nodes.

import (
	"slices"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// spread tells each cell's module of the nodes that are its own. A node that goes to
// another cell looks to the module that had it like one that drains; the module that
// gets it hears how much of others is still out there, and counts it.
func (c *Core) distribute(kind foxlift.EndpointUpdate, told []foxlift.Worker) {
	var live []cells.Worker
	for _, n := range c.order {
		if n.State == foxlift.Live {
			live = append(live, cells.Worker{ID: n.ID, Zone: n.Zone, Kind: n.Kind})
		}
	}
	s := c.placement.Load()
	s = s.withLayout(s.layout.WithChanges(c.assigner.Update(live)))
	c.placement.Store(s)
	touched := map[string]bool{}
	for _, w := range told {
		touched[w.ID] = true
	}
	lists := make([][]foxlift.Worker, len(c.cells))
	for _, n := range c.order {
		old := n.cell
		if i, ok := s.layout.WorkerCell(n.ID); ok {
			n.cell = c.cells[i]
		} // else it stays with the module that knows it, to its end
		if n.cell == nil {
			continue
		}
		if old != nil && old != n.cell {
			c.counters.Add("cells.nodes_moved")
			w := n.Worker
			w.State = foxlift.Draining
			at := slices.Index(c.cells, old)
			lists[at] = append(lists[at], w)
		}
		if whole := kind != foxlift.EndpointsDelta && n.State != foxlift.Removed; whole || touched[n.ID] || old != n.cell {
			at := slices.Index(c.cells, n.cell)
			lists[at] = append(lists[at], n.forCell(n.cell))
		}
	}
	for i, cl := range c.cells {
		cl.notify(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: kind, Workers: lists[i]})
	}
}

// forCell returns a node's entry for a cell's module.
func (n *workerEntry) forCell(cl *cell) foxlift.Worker {
	w := n.Worker
	w.ExternalSlots = n.otherProcessSlots
	for other, slots := range n.inFlight {
		if other != cl {
			w.ExternalSlots += slots
		}
	}
	return w
}

// count follows which cell has how much out on a node, and tells the module that
// decides on the node of what is not its own.
func (c *Core) countSlots(cl *attempt, by float64) {
	n := c.byID[cl.worker]
	if n == nil || c.placement.Load() == nil {
		return
	}
	n.inFlight[cl.cell] += by * slotsOf(cl.job)
	if n.inFlight[cl.cell] <= 1e-9 {
		delete(n.inFlight, cl.cell)
	}
	if n.cell != nil && n.cell != cl.cell {
		n.cell.notify(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsDelta, Workers: []foxlift.Worker{n.forCell(n.cell)}})
	}
}
