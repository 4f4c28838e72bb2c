package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// Hard case 2: a node that changes cell with claims out goes on being counted: the
// module that gets it hears of them, until they end.
func TestWorkerChangesCellWithJobsInFlight(t *testing.T) {
	r := newCellRig(t, twoCells())
	for i := range 8 {
		r.submitToCell(fmt.Sprint("j", i), "reading", "t", 0)
	}
	node, before := r.sentTo[0], r.cellOf(r.sentTo[0])
	// The map changes under it: the same nodes, all in the other cell.
	p, _ := r.settings.PlanCells(&cells.Spec{Cells: []cells.Cell{{Name: "b", CapacityFraction: 1, Tenants: []string{"t", "u", "v"}}}})
	if _, err := r.applyPlan(p); err != nil {
		t.Fatal(err)
	}
	r.dispatch()
	n := r.workers.byID[node]
	if n.cell.name != "b" || before != 0 {
		t.Fatalf("%s is in %s", node, n.cell.name)
	}
	out := 0.0
	for i := range r.sent {
		if r.sentTo[i] == node {
			out++
		}
	}
	if got := n.forCell(n.cell).ExternalSlots; got != out || out == 0 {
		t.Errorf("its new cell counts %v slots of others, want %v", got, out)
	}
	for i := range 8 {
		r.sent[i](ended(foxlift.Served))
	}
	r.settle()
	if got := n.forCell(n.cell).ExternalSlots; got != 0 {
		t.Errorf("%v slots stay counted", got)
	}
	if !r.cells.all[1].retired || r.jobs.hasJobsOf(r.cells.all[1]) {
		t.Error("the old cell is not retired and empty")
	}
	r.applyEvent(timerFired{r.cells.all[1], 1})
	if len(r.cells.all) != 1 {
		t.Errorf("%d cells are kept", len(r.cells.all))
	}
}

// Hard case 4: a cold node gets from all cells together no more than without them:
// one module alone sends there.
func TestWorkersInSlowStartHaveOneDispatcher(t *testing.T) {
	r := newCellRig(t, twoCells())
	r.applyEvent(endpointsUpdated{kind: foxlift.EndpointsComplete, workers: r.workerList(12, r.clock.Now())}) // all start anew
	by := map[string]map[*cell]bool{}
	r.onSend = func(j *Job) {
		id := r.lastWorker
		if by[id] == nil {
			by[id] = map[*cell]bool{}
		}
		by[id][r.jobs.open[j.ID].cell] = true
	}
	if c := r.cellCondition(0); c != cells.SlowStart {
		t.Errorf("condition %v of a cell of cold nodes", c)
	}
	for i := range 50 {
		r.submitToCell(fmt.Sprint("j", i), "reading", []string{"t", "u", "v"}[i%3], 0)
		if i%10 == 0 {
			<-time.After(20 * time.Millisecond)
			r.settle()
		}
	}
	for id, cs := range by {
		if len(cs) != 1 {
			t.Errorf("%s gets jobs from %d modules", id, len(cs))
		}
	}
	// Nothing is known of what a warm node can do: in a second each cold node gets
	// one job of all schedulers, as the budget says.
	for id, k := range countByName(r.sentTo) {
		if k > 3 {
			t.Errorf("cold %s got %d jobs", id, k)
		}
	}
}

// Hard case 5: two schedulers with lists of different age. Each confines by its own
// map; the maps differ in few nodes, no node has two modules at either, and they are
// the same as soon as the lists are.
func TestEndpointListsOfDifferentAge(t *testing.T) {
	young, old := newCellRig(t, twoCells()), newCellRig(t, twoCells())
	news := append(young.workerList(12, 0)[10:], foxlift.Worker{ID: "late", Kind: 0, Zone: 0})
	news[0].State, news[1].State = foxlift.Draining, foxlift.Removed
	young.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: news})
	differ := 0
	for i := range 10 {
		if id := fmt.Sprint("n", i); young.cellOf(id) != old.cellOf(id) {
			differ++
		}
	}
	if differ > 3 {
		t.Errorf("%d of 10 nodes are in other cells for two gone and one new", differ)
	}
	for _, r := range []*rig{young, old} {
		for i := range 10 {
			before := len(r.sentTo)
			tenant := []string{"t", "u"}[i%2]
			r.submitToCell(fmt.Sprint("j", i), "reading", tenant, 0)
			for _, n := range r.sentTo[before:] {
				if r.cellOf(n) != i%2 {
					t.Errorf("%s's job is out of its cell", tenant)
				}
				if r == young && (n == "n10" || n == "n11") {
					t.Errorf("a job goes to %s", n)
				}
			}
		}
	}
	old.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: news})
	for id := range young.workers.byID {
		a, aok := young.placement.Load().layout.WorkerCell(id)
		b, bok := old.placement.Load().layout.WorkerCell(id)
		if a != b || aok != bok {
			t.Errorf("%s is in cell %d at one and %d at the other", id, a, b)
		}
	}
	// One returns with a new id, another restarts: the same map at both again.
	back := []foxlift.Worker{{ID: "n11b", Kind: 0, Zone: 0}, {ID: "n3", Kind: 0, Zone: 0, StartedAt: young.clock.Now()}}
	young.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: back})
	old.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: back[:1]})
	old.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: back[1:]})
	if young.cellOf("n11b") != old.cellOf("n11b") || young.cellOf("n3") != old.cellOf("n3") {
		t.Error("the order of news decides")
	}
}
