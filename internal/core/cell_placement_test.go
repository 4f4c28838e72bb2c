package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

// Each tenant's jobs go to the workers of its cell alone.
func TestJobsStayInTheirCell(t *testing.T) {
	r := newCellRig(t, twoCells())
	for i := range 12 {
		tenant := []string{"t", "u"}[i%2]
		r.submitToCell(fmt.Sprint("j", i), "reading", tenant, 0)
		if got := r.cellOf(r.sentTo[i]); got != i%2 {
			t.Errorf("%s's job is in cell %d", tenant, got)
		}
	}
	if layout := r.placement.Load().layout; layout.WorkerCount(0) == 0 || layout.WorkerCount(1) == 0 {
		t.Fatal("a cell without workers")
	}
}

// Hard case 3: an empty cell spills, bounded, or sheds at once with advice.
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
		t.Errorf("%d shed, %d spilled; want 4 and %d", shed, r.cells.all[0].spilled, bound)
	}
	for _, worker := range r.sentTo {
		if r.cellOf(worker) != 1 {
			t.Error("a job is in the empty cell")
		}
	}
	r.evacuate(1) // both: nowhere to spill, and no cycle
	if client := r.submitToCell("k", "reading", "t", 0); !client.gotOnly(Shed) {
		t.Errorf("%+v", client.answers)
	}
	for _, report := range r.sent {
		report(ended(foxlift.Served))
	}
	r.settle()
	if r.cells.all[0].spilled != 0 {
		t.Errorf("%d spilled jobs stay counted", r.cells.all[0].spilled)
	}
}

// Hard case 6: the flood of one cell is shed before the event loop, and takes no place of another's.
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
		t.Errorf("%d of 300 are in the inbox, %d shed", len(r.loop.inbox), shed)
	}
	r.settle()
	if client := r.submitToCell("u", "reading", "u", 0); len(client.answers) != 0 {
		t.Errorf("the other cell's job: %+v", client.answers)
	}
}

// A job whose id is in use is rejected also where its cell is saturated: to shed it would promise that a
// retry is harmless. Found by TestModel.
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
		t.Errorf("in use: %+v", client.answers)
	}
	r.complete(0, foxlift.Served)
	if client := acceptAndSettle("j"); len(first.answers) != 1 || !client.gotOnly(Rejected) {
		t.Errorf("answered: %+v", client.answers)
	}
	r.applyEvent(idExpired{"j"})
	if client := acceptAndSettle("j"); client.gotOnly(Rejected) {
		t.Errorf("expired: %+v", client.answers)
	}
}

// Hard case 8: an affinity key that floods is kept to a few workers and a few jobs; others of the same
// tenant and class go past it.
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
		t.Errorf("the key is on %v, %d shed", used, r.counters.Get("jobs.key_full"))
	}
	if len(r.sentTo) >= 12 {
		t.Fatal("the key's workers are never saturated: nothing is queued behind it")
	}
	before := len(r.sentTo)
	r.submitToCell("other", "reading", "t", 5)
	r.submitToCell("none", "reading", "t", 0)
	if len(r.sentTo) != before+2 {
		t.Errorf("%d of 2 other jobs are sent while the key waits", len(r.sentTo)-before)
	}
}

// Hard case 11: the workers of one cell fail at once. The other cell's dispatcher sees nothing of it.
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
		t.Errorf("the other cell's answers: %v", answers)
	}
	if answers := r.cells.all[0].answerCounts; answers[Served] != 0 {
		t.Errorf("the failing cell serves %d", answers[Served])
	}
}

// Hard case 7: capacity that a tenant is lent in its cell is returned at once: when another tenant comes
// back, the next slot that is free is that one's.
func TestLentCapacityIsReturned(t *testing.T) {
	spec := twoCells()
	spec.Cells[1].MaxJobs = 60
	r := newCellRig(t, spec)
	slots := r.saturate(t, "u") // all of the cell, far over what the tenant has tokens for
	if slots < 8 {
		t.Fatalf("only %d jobs are lent a slot", slots)
	}
	for i := range 5 {
		r.submitToCell(fmt.Sprint("more", i), "reading", "u", 0)
	}
	r.submitToCell("back", "reading", "v", 0)
	if len(r.sent) != slots {
		t.Fatalf("%d attempts with %d slots", len(r.sent), slots)
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
		t.Errorf("the next slot is %s's", next)
	}
}
