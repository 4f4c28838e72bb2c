package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

// Each tenant's jobs go to the nodes of its cell alone.
func TestCellsConfine(t *testing.T) {
	r := newCellRig(t, twoCells())
	for i := range 12 {
		tenant := []string{"t", "u"}[i%2]
		r.submitToCell(fmt.Sprint("j", i), "reading", tenant, 0)
		if got := r.cellOf(r.sentTo[i]); got != i%2 {
			t.Errorf("%s's job is in cell %d", tenant, got)
		}
	}
	if r.placement.Load().layout.WorkerCount(0) == 0 || r.placement.Load().layout.WorkerCount(1) == 0 {
		t.Fatal("a cell without nodes")
	}
}

// Hard case 3: an empty cell spills, bounded, or refuses at once with advice.
func TestEmptyCell(t *testing.T) {
	r := newCellRig(t, twoCells())
	r.evacuate(0)
	bound := r.placement.Load().layout.SpillBound(0, r.placement.Load().jobBounds[1])
	var got []*recordingClient
	for i := range bound + 4 {
		got = append(got, r.submitToCell(fmt.Sprint("j", i), "reading", "t", 0))
	}
	refused := 0
	for _, a := range got {
		if len(a.answers) == 1 && a.answers[0].Verdict == Shed && a.answers[0].RetryAfter > 0 {
			refused++
		}
	}
	if refused != 4 || r.cells.all[0].spilled != bound {
		t.Errorf("%d refused, %d spilled; want 4 and %d", refused, r.cells.all[0].spilled, bound)
	}
	for i := range r.sentTo {
		if r.cellOf(r.sentTo[i]) != 1 {
			t.Error("a job is in the empty cell")
		}
	}
	r.evacuate(1) // both: nowhere to spill, and no round
	if a := r.submitToCell("k", "reading", "t", 0); len(a.answers) != 1 || a.answers[0].Verdict != Shed {
		t.Errorf("%+v", a.answers)
	}
	for _, report := range r.sent {
		report(ended(foxlift.Served))
	}
	r.settle()
	if r.cells.all[0].spilled != 0 {
		t.Errorf("%d spilled jobs stay counted", r.cells.all[0].spilled)
	}
}

// Hard case 6: the flood of one cell stays before the core, and takes no place of
// another's.
func TestFloodIsShedBeforeTheCore(t *testing.T) {
	r := newCellRig(t, twoCells())
	refused := 0
	for i := range 300 {
		a := &recordingClient{}
		r.Accept(&Job{ID: fmt.Sprint("f", i), Class: "reading", Tenant: "t", ArrivedAt: r.clock.Now(), Remaining: time.Second, Client: a})
		if len(a.answers) == 1 && a.answers[0].Verdict == Shed && a.answers[0].RetryAfter > 0 {
			refused++
		}
	}
	if len(r.loop.inbox) > 30 || refused != 300-len(r.loop.inbox) {
		t.Errorf("%d of 300 are in the inbox, %d refused", len(r.loop.inbox), refused)
	}
	r.settle()
	if a := r.submitToCell("u", "reading", "u", 0); len(a.answers) != 0 {
		t.Errorf("the other cell's job: %+v", a.answers)
	}
}

// An id that is in use is bad input also where its cell is full: a refusal would
// promise that another try is harmless. Found by TestModel.
func TestRepeatedIDAtASaturatedCell(t *testing.T) {
	r := newCellRig(t, twoCells())
	take := func(id string) *recordingClient {
		a := &recordingClient{}
		r.Accept(&Job{ID: id, Class: "ratify", Tenant: "t", ArrivedAt: r.clock.Now(), Remaining: time.Second, Client: a})
		r.settle()
		return a
	}
	first := take("j")
	for i := 0; r.counters.Get("jobs.cell_full") == 0; i++ {
		take(fmt.Sprint("fill", i))
	}
	if a := take("j"); len(a.answers) != 1 || a.answers[0].Verdict != Rejected {
		t.Errorf("in use: %+v", a.answers)
	}
	r.sent[0](ended(foxlift.Served))
	r.settle()
	if a := take("j"); len(first.answers) != 1 || len(a.answers) != 1 || a.answers[0].Verdict != Rejected {
		t.Errorf("answered: %+v", a.answers)
	}
	r.applyEvent(idExpired{"j"})
	if a := take("j"); len(a.answers) == 1 && a.answers[0].Verdict == Rejected {
		t.Errorf("forgotten: %+v", a.answers)
	}
}

// Hard case 8: a key that floods is held to a few nodes and a few jobs; others of the
// same tenant and class go past it.
func TestKeyFlood(t *testing.T) {
	spec := twoCells()
	spec.KeyWorkers, spec.KeyJobs = 2, 12
	r := newCellRig(t, spec)
	used := map[string]bool{}
	for i := range 20 {
		before := len(r.sentTo)
		r.submitToCell(fmt.Sprint("k", i), "reading", "t", 77)
		for _, n := range r.sentTo[before:] {
			used[n] = true
		}
	}
	if len(used) > 2 || r.counters.Get("jobs.key_full") != 8 {
		t.Errorf("the key is on %v, %d refused", used, r.counters.Get("jobs.key_full"))
	}
	if len(r.sentTo) >= 12 {
		t.Fatal("the key's nodes are never full: nothing is held behind it")
	}
	before := len(r.sentTo)
	r.submitToCell("other", "reading", "t", 5)
	r.submitToCell("none", "reading", "t", 0)
	if len(r.sentTo) != before+2 {
		t.Errorf("%d of 2 other jobs are sent while the key waits", len(r.sentTo)-before)
	}
}

// Hard case 11: the nodes of one cell answer "failed" at once. The other cell's module
// sees nothing of it.
func TestFailingReleaseInOneCell(t *testing.T) {
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
			r.sent[k](ended(code))
			r.settle()
		}
	}
	if b := r.cells.all[1].answers; b[Served] != 100 || b[Shed]+b[Failed] != 0 {
		t.Errorf("the other cell's answers: %v", b)
	}
	if a := r.cells.all[0].answers; a[Served] != 0 {
		t.Errorf("the bad cell serves %d", a[Served])
	}
}

// Hard case 7: what a tenant is lent in its cell is taken back at once: when another
// returns, the next place that is free is that one's.
func TestLentCapacityIsReturned(t *testing.T) {
	spec := twoCells()
	spec.Cells[1].Jobs = 60
	r := newCellRig(t, spec)
	n := r.saturate(t, "u") // all of the cell, far over what the tenant has tokens for
	if n < 8 {
		t.Fatalf("only %d jobs are lent a place", n)
	}
	for i := range 5 {
		r.submitToCell(fmt.Sprint("more", i), "reading", "u", 0)
	}
	r.submitToCell("back", "reading", "v", 0)
	if len(r.sent) != n {
		t.Fatalf("%d claims with %d places", len(r.sent), n)
	}
	var next string
	r.onSend = func(j *Job) {
		if next == "" {
			next = j.ID
		}
	}
	for i := 0; next == "" && i < n; i++ {
		r.sent[i](Report{})
		r.sent[i](ended(foxlift.Served))
		r.settle()
	}
	if next != "back" {
		t.Errorf("the next place is %s's", next)
	}
}
