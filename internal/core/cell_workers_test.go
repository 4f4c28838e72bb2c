package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// When a worker moves to another cell with jobs in flight, the dispatcher of the new cell must count their slots as
// external slots until they end; otherwise it would overload the worker.
func TestWorkerChangesCellWithJobsInFlight(t *testing.T) {
	r := newCellRig(t, twoCells())
	for i := range 8 {
		r.submitToCell(fmt.Sprint("j", i), "reading", "t", 0)
	}
	id := r.sentTo[0]
	cellBefore := r.cellOf(id)
	// The new plan has all workers in the other cell.
	r.replan(t, &cells.Spec{Cells: []cells.Cell{{Name: "b", CapacityFraction: 1, Tenants: cellTenants}}})
	w := r.workers.byID[id]
	if w.cell.name != "b" || cellBefore != 0 {
		t.Fatalf("worker %s is in cell %q after cell %d, want %q after 0", id, w.cell.name, cellBefore, "b")
	}
	inFlight := 0.0
	for _, worker := range r.sentTo {
		if worker == id {
			inFlight++
		}
	}
	if got := w.forCell(w.cell).ExternalSlots; got != inFlight || inFlight == 0 {
		t.Errorf("forCell() in the new cell has %v external slots, want %v and more than 0", got, inFlight)
	}
	for i := range 8 {
		r.sent[i](ended(foxlift.Served))
	}
	r.settle()
	if got := w.forCell(w.cell).ExternalSlots; got != 0 {
		t.Errorf("forCell() has %v external slots after all attempts ended, want 0", got)
	}
	old := r.cells.all[1]
	if !old.retired || r.jobs.hasJobsOf(old) {
		t.Errorf("old cell: retired = %v, hasJobsOf() = %v, want true and false", old.retired, r.jobs.hasJobsOf(old))
	}
	r.applyEvent(timerFired{old, 1})
	if len(r.cells.all) != 1 {
		t.Errorf("%d cells after the timer of the retired cell, want 1", len(r.cells.all))
	}
}

// A worker in slow start must not get more jobs with cells than without: only one dispatcher may send to it, as
// each dispatcher would otherwise send as many jobs as one worker in slow start can take.
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
		t.Errorf("cellCondition(0) = %v, want %v", c, cells.SlowStart)
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
			t.Errorf("worker %s gets jobs from %d dispatchers, want 1", id, len(senders))
		}
	}
	// The capacity of a worker after slow start is still unknown. In that case each worker in slow start gets one
	// job per second from all schedulers together.
	for id, jobs := range jobsOf {
		if jobs > 3 {
			t.Errorf("worker %s in slow start got %d jobs, want at most 3", id, jobs)
		}
	}
}

// Two schedulers may have endpoint lists of different age. Each must keep jobs in their cells by its own list, the
// placements must differ for few workers, and they must be equal once the lists are.
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
		t.Errorf("%d of 10 workers change cell for two workers less and one more, want at most 3", different)
	}
	checkConfined(t, updated, "n10", "n11")
	checkConfined(t, stale)

	stale.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: delta})
	for id := range updated.workers.byID {
		a, aok := updated.placement.Load().layout.WorkerCell(id)
		b, bok := stale.placement.Load().layout.WorkerCell(id)
		if a != b || aok != bok {
			t.Errorf("WorkerCell(%q) = %d, %v with one scheduler and %d, %v with the other, want equal results",
				id, a, aok, b, bok)
		}
	}
	// One worker returns with a new id and another restarts. The placements must be equal although the schedulers
	// get the updates in different steps.
	back := []foxlift.Worker{{ID: "n11b"}, {ID: "n3", StartedAt: updated.clock.Now()}}
	updated.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: back})
	stale.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: back[:1]})
	stale.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: back[1:]})
	if updated.cellOf("n11b") != stale.cellOf("n11b") || updated.cellOf("n3") != stale.cellOf("n3") {
		t.Errorf("cells of n11b and n3 are %d and %d with one scheduler, %d and %d with the other, want equal cells",
			updated.cellOf("n11b"), updated.cellOf("n3"), stale.cellOf("n11b"), stale.cellOf("n3"))
	}
}

// checkConfined checks that each tenant's jobs go only to workers of its cell, and none to the excluded workers.
func checkConfined(t *testing.T, r *rig, excluded ...string) {
	t.Helper()
	for i := range 10 {
		before := len(r.sentTo)
		tenant := []string{"t", "u"}[i%2]
		r.submitToCell(fmt.Sprint("j", i), "reading", tenant, 0)
		for _, worker := range r.sentTo[before:] {
			if r.cellOf(worker) != i%2 {
				t.Errorf("a job of tenant %s is sent to worker %s of cell %d, want cell %d",
					tenant, worker, r.cellOf(worker), i%2)
			}
			for _, id := range excluded {
				if worker == id {
					t.Errorf("a job is sent to worker %s, which is not live", id)
				}
			}
		}
	}
}
