package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

// The jobs of a tenant must go only to workers of the tenant's cell.
func TestJobsStayInTheirCell(t *testing.T) {
	r := newCellRig(t, twoCells())
	for i := range 12 {
		tenant := []string{"t", "u"}[i%2]
		r.submitToCell(fmt.Sprint("j", i), "reading", tenant, 0)
		if got := r.cellOf(r.sentTo[i]); got != i%2 {
			t.Errorf("job %d of tenant %s is sent to cell %d, want %d", i, tenant, got, i%2)
		}
	}
	if layout := r.placement.Load().layout; layout.WorkerCount(0) == 0 || layout.WorkerCount(1) == 0 {
		t.Fatalf("cells have %d and %d workers, want at least 1 each", layout.WorkerCount(0), layout.WorkerCount(1))
	}
}

// The jobs of a cell that can take none must spill into another cell up to the spill bound, and be shed with a
// retry-after time beyond it or if the other cell is unavailable too.
func TestEvacuatedCellSpillsOrSheds(t *testing.T) {
	r := newCellRig(t, twoCells())
	r.evacuate(0)
	p := r.placement.Load()
	bound := p.layout.SpillBound(0, p.jobBounds[1])
	shed := 0
	for i := range bound + 4 {
		if r.submitToCell(fmt.Sprint("j", i), "reading", "t", 0).wasShed() {
			shed++
		}
	}
	if shed != 4 || r.cells.all[0].spilled != bound {
		t.Errorf("%d jobs are shed and %d spilled, want 4 and %d", shed, r.cells.all[0].spilled, bound)
	}
	for _, worker := range r.sentTo {
		if r.cellOf(worker) != 1 {
			t.Errorf("a job is sent to worker %s of cell %d, want cell 1", worker, r.cellOf(worker))
		}
	}
	r.evacuate(1) // now no cell is available
	if client := r.submitToCell("k", "reading", "t", 0); !client.gotOnly(Shed) {
		t.Errorf("answers with both cells evacuated are %+v, want one with verdict Shed", client.answers)
	}
	for _, report := range r.sent {
		report(ended(foxlift.Served))
	}
	r.settle()
	if r.cells.all[0].spilled != 0 {
		t.Errorf("%d spilled jobs are counted after all are answered, want 0", r.cells.all[0].spilled)
	}
}

// A flood in one cell must be shed by Accept, before it reaches the event loop, and must not use the admission
// bound of another cell.
func TestCellFloodIsShedBeforeEventLoop(t *testing.T) {
	r := newCellRig(t, twoCells())
	shed := 0
	for i := range 300 {
		j, client := r.newJob(fmt.Sprint("f", i), "reading", "t", time.Second)
		r.Accept(j)
		if client.wasShed() {
			shed++
		}
	}
	if len(r.loop.inbox) > 30 || shed != 300-len(r.loop.inbox) {
		t.Errorf("of 300 jobs %d are in the inbox and %d shed, want at most 30 and all others",
			len(r.loop.inbox), shed)
	}
	r.settle()
	if client := r.submitToCell("u", "reading", "u", 0); len(client.answers) != 0 {
		t.Errorf("answers to a job of the other cell are %+v, want none yet", client.answers)
	}
}

// A job whose id is in use must be rejected even if its cell is saturated. TestModel found that it was shed, which
// tells the client that a retry is safe although the first job may run.
func TestRepeatedIDAtASaturatedCell(t *testing.T) {
	r := newCellRig(t, twoCells())
	acceptAndSettle := func(id string) *recordingClient {
		j, client := r.newJob(id, "ratify", "t", time.Second)
		r.Accept(j)
		r.settle()
		return client
	}
	first := acceptAndSettle("j")
	for i := 0; r.counters.Get("jobs.cell_full") == 0; i++ {
		acceptAndSettle(fmt.Sprint("fill", i))
	}
	if client := acceptAndSettle("j"); !client.gotOnly(Rejected) {
		t.Errorf("answers to an id in use are %+v, want one with verdict Rejected", client.answers)
	}
	r.complete(0, foxlift.Served)
	if client := acceptAndSettle("j"); len(first.answers) != 1 || !client.gotOnly(Rejected) {
		t.Errorf("first job has %d answers, want 1; answers to its id are %+v, want one with verdict Rejected",
			len(first.answers), client.answers)
	}
	r.expireIDs()
	if client := acceptAndSettle("j"); client.gotOnly(Rejected) {
		t.Errorf("answers to an expired id are %+v, want none with verdict Rejected", client.answers)
	}
}

// A flood of jobs with one affinity key must use only WorkersPerKey workers and MaxJobsPerKey open jobs, and must
// not block other jobs of the same tenant and class.
func TestAffinityKeyFloodIsBounded(t *testing.T) {
	spec := twoCells()
	spec.WorkersPerKey, spec.MaxJobsPerKey = 2, 12
	r := newCellRig(t, spec)
	used := map[string]bool{}
	for i := range 20 {
		before := len(r.sentTo)
		r.submitToCell(fmt.Sprint("k", i), "reading", "t", 77)
		for _, worker := range r.sentTo[before:] {
			used[worker] = true
		}
	}
	if len(used) > 2 || r.counters.Get("jobs.key_full") != 8 {
		t.Errorf("the key uses workers %v, jobs.key_full = %d, want at most 2 workers and 8",
			used, r.counters.Get("jobs.key_full"))
	}
	if len(r.sentTo) >= 12 {
		t.Fatalf("%d attempts for the key, want less than 12, so that jobs of the key are queued", len(r.sentTo))
	}
	before := len(r.sentTo)
	r.submitToCell("other", "reading", "t", 5)
	r.submitToCell("none", "reading", "t", 0)
	if len(r.sentTo) != before+2 {
		t.Errorf("%d other jobs are sent while jobs of the key are queued, want 2", len(r.sentTo)-before)
	}
}

// If all workers of one cell fail at the same time, as with a faulty release, the jobs of the other cell must be
// served as before.
func TestWorkerFailuresStayInOneCell(t *testing.T) {
	r := newCellRig(t, twoCells())
	for i := range 200 {
		before := len(r.sent)
		r.submitToCell(fmt.Sprint("j", i), "reading", []string{"t", "u"}[i%2], 0)
		for k := before; k < len(r.sent); k++ {
			code := foxlift.Served
			if r.cellOf(r.sentTo[k]) == 0 {
				code = foxlift.WorkerError
			}
			r.sent[k](Report{})
			r.complete(k, code)
		}
	}
	if answers := r.cells.all[1].answerCounts; answers[Served] != 100 || answers[Shed]+answers[Failed] != 0 {
		t.Errorf("answers of the other cell by verdict are %v, want 100 served and none shed or failed", answers)
	}
	if answers := r.cells.all[0].answerCounts; answers[Served] != 0 {
		t.Errorf("the failing cell has served %d jobs, want 0", answers[Served])
	}
}

// A tenant may use idle capacity of its cell beyond its quota. When another tenant of the cell submits a job again,
// that job must get the next free slot, before the first tenant's queued jobs.
func TestLentCapacityIsReturned(t *testing.T) {
	spec := twoCells()
	spec.Cells[1].MaxJobs = 60
	r := newCellRig(t, spec)
	slots := r.saturate(t, "u") // all slots of the cell, far more than the tenant's tokens allow
	if slots < 8 {
		t.Fatalf("saturate() = %d jobs, want at least 8", slots)
	}
	for i := range 5 {
		r.submitToCell(fmt.Sprint("more", i), "reading", "u", 0)
	}
	r.submitToCell("back", "reading", "v", 0)
	if len(r.sent) != slots {
		t.Fatalf("%d attempts in a saturated cell, want %d", len(r.sent), slots)
	}
	var next string
	r.onSend = func(j *Job) {
		if next == "" {
			next = j.ID
		}
	}
	for i := 0; next == "" && i < slots; i++ {
		r.sent[i](Report{})
		r.complete(i, foxlift.Served)
	}
	if next != "back" {
		t.Errorf("the next free slot goes to job %q, want %q", next, "back")
	}
}
