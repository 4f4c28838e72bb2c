package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// Hard case 2: a worker that changes cell with jobs in flight goes on being counted: the dispatcher that
// gets it learns of them, until they end.
func TestWorkerChangesCellWithJobsInFlight(t *testing.T) {
	r := newCellRig(t, twoCells())
	for i := range 8 {
		r.submitToCell(fmt.Sprint("j", i), "reading", "t", 0)
	}
	id := r.sentTo[0]
	cellBefore := r.cellOf(id)
	// The same workers, all in the other cell.
	r.replan(t, &cells.Spec{Cells: []cells.Cell{{Name: "b", CapacityFraction: 1, Tenants: cellTenants}}})
	w := r.workers.byID[id]
	if w.cell.name != "b" || cellBefore != 0 {
		t.Fatalf("%s is in %s", id, w.cell.name)
	}
	inFlight := 0.0
	for _, worker := range r.sentTo {
		if worker == id {
			inFlight++
		}
	}
	if got := w.forCell(w.cell).ExternalSlots; got != inFlight || inFlight == 0 {
		t.Errorf("its new cell counts %v external slots, want %v", got, inFlight)
	}
	for i := range 8 {
		r.sent[i](ended(foxlift.Served))
	}
	r.settle()
	if got := w.forCell(w.cell).ExternalSlots; got != 0 {
		t.Errorf("%v slots stay counted", got)
	}
	old := r.cells.all[1]
	if !old.retired || r.jobs.hasJobsOf(old) {
		t.Error("the old cell is not retired and empty")
	}
	r.applyEvent(timerFired{old, 1})
	if len(r.cells.all) != 1 {
		t.Errorf("%d cells are kept", len(r.cells.all))
	}
}

// Hard case 4: a worker in slow start gets from all cells together no more than without them: one
// dispatcher alone sends there.
func TestWorkersInSlowStartHaveOneDispatcher(t *testing.T) {
	r := newCellRig(t, twoCells())
	restarted := cellWorkers(r.clock.Now())
	r.applyEvent(endpointsUpdated{kind: foxlift.EndpointsComplete, workers: restarted})
	sendersOf := map[string]map[*cell]bool{}
	jobsOf := map[string]int{}
	r.onSend = func(j *Job) {
		id := r.lastSentTo
		if sendersOf[id] == nil {
			sendersOf[id] = map[*cell]bool{}
		}
		sendersOf[id][r.jobs.open[j.ID].cell] = true
		jobsOf[id]++
	}
	if c := r.cellCondition(0); c != cells.SlowStart {
		t.Errorf("condition %v of a cell of workers in slow start", c)
	}
	for i := range 50 {
		r.submitToCell(fmt.Sprint("j", i), "reading", cellTenants[i%3], 0)
		if i%10 == 0 {
			<-time.After(20 * time.Millisecond)
			r.settle()
		}
	}
	for id, senders := range sendersOf {
		if len(senders) != 1 {
			t.Errorf("%s gets jobs from %d dispatchers", id, len(senders))
		}
	}
	// Nothing is known of what a worker can do that has warmed up: in a second each one in slow start
	// gets one job of all schedulers.
	for id, jobs := range jobsOf {
		if jobs > 3 {
			t.Errorf("%s, in slow start, got %d jobs", id, jobs)
		}
	}
}

// Hard case 5: two schedulers with endpoint lists of different age. Each confines by its own placement;
// the placements differ in few workers, no worker has two dispatchers at either, and they are the same as
// soon as the lists are.
func TestEndpointListsOfDifferentAge(t *testing.T) {
	updated, stale := newCellRig(t, twoCells()), newCellRig(t, twoCells())
	delta := []foxlift.Worker{
		{ID: "n10", State: foxlift.Draining}, {ID: "n11", State: foxlift.Removed}, {ID: "late"},
	}
	updated.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: delta})
	different := 0
	for i := range 10 {
		if id := fmt.Sprint("n", i); updated.cellOf(id) != stale.cellOf(id) {
			different++
		}
	}
	if different > 3 {
		t.Errorf("%d of 10 workers are in other cells for two removed and one new", different)
	}
	checkConfined(t, updated, "n10", "n11")
	checkConfined(t, stale)

	stale.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: delta})
	for id := range updated.workers.byID {
		a, aok := updated.placement.Load().layout.WorkerCell(id)
		b, bok := stale.placement.Load().layout.WorkerCell(id)
		if a != b || aok != bok {
			t.Errorf("%s is in cell %d at one and %d at the other", id, a, b)
		}
	}
	// One returns with a new id, another restarts: the same placement at both again.
	back := []foxlift.Worker{{ID: "n11b"}, {ID: "n3", StartedAt: updated.clock.Now()}}
	updated.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: back})
	stale.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: back[:1]})
	stale.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: back[1:]})
	if updated.cellOf("n11b") != stale.cellOf("n11b") || updated.cellOf("n3") != stale.cellOf("n3") {
		t.Error("the order of updates decides")
	}
}

// checkConfined checks that each tenant's jobs go to its cell's workers, and none to those excluded.
func checkConfined(t *testing.T, r *rig, excluded ...string) {
	t.Helper()
	for i := range 10 {
		before := len(r.sentTo)
		tenant := []string{"t", "u"}[i%2]
		r.submitToCell(fmt.Sprint("j", i), "reading", tenant, 0)
		for _, worker := range r.sentTo[before:] {
			if r.cellOf(worker) != i%2 {
				t.Errorf("%s's job is out of its cell", tenant)
			}
			for _, id := range excluded {
				if worker == id {
					t.Errorf("a job goes to %s", id)
				}
			}
		}
	}
}
