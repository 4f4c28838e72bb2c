package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// Hard case 9: a live move. Held jobs go over with their age, new ones go to the new
// cell, and claims that are out finish where they are.
func TestMigrationTakesQueuedJobs(t *testing.T) {
	spec := twoCells()
	spec.Cells[0].Jobs, spec.Cells[1].Jobs = 60, 60
	r := newCellRig(t, spec)
	n := r.saturate(t, "t")
	held := r.jobs.open[fmt.Sprint("t-fill-", n)]
	<-time.After(30 * time.Millisecond) // it has an age to take along
	m := r.migrate(t, "t", 1)
	if m.Tenants != 1 || m.Queued != 1 || m.InFlight != n {
		t.Errorf("%+v, want 1 held and %d out", m, n)
	}
	if held.cell != r.cells.all[1] || held.inFlight != 1 || r.cellOf(held.attempts[0].worker) != 1 {
		t.Errorf("the held job is in cell %d with %d claims out", held.cell.index, held.inFlight)
	}
	if r.counters.Get("jobs.moved") != 1 {
		t.Errorf("%d jobs moved", r.counters.Get("jobs.moved"))
	}
	at := len(r.sent)
	r.submitToCell("new", "reading", "t", 0)
	if r.cellOf(r.sentTo[at]) != 1 {
		t.Error("a new job goes to the old cell")
	}
	for i := range n { // the old cell's claims end
		r.sent[i](ended(foxlift.Served))
		r.settle()
	}
	if r.counters.Get("jobs.served") != int64(n) {
		t.Errorf("%d of %d served where they were", r.counters.Get("jobs.served"), n)
	}
}

// Hard case 9: an at-most-once job that may have run is never sent again, and has its
// one answer, although the tenant's new cell knows nothing of the claim.
func TestMigrationNeverRunsTwice(t *testing.T) {
	for name, c := range map[string]struct {
		code foxlift.Code
		sent int
		want Verdict
	}{
		"may have run": {foxlift.Reset, 1, Failed}, "timed out": {foxlift.DeadlineExceeded, 1, Failed},
		"erred": {foxlift.WorkerError, 1, Failed}, "served": {foxlift.Served, 1, Served},
		"never ran, goes to the new cell": {foxlift.Saturated, 2, Served},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCellRig(t, twoCells())
			a := r.submitToCell("j", "ratify", "t", 0)
			r.migrate(t, "t", 1)
			r.sent[0](ended(c.code))
			r.settle()
			if len(r.sent) != c.sent {
				t.Fatalf("%d claims, want %d", len(r.sent), c.sent)
			}
			if c.sent == 2 {
				if r.cellOf(r.sentTo[1]) != 1 {
					t.Error("the second claim is in the old cell")
				}
				r.sent[1](ended(foxlift.Served))
				r.sent[0](Report{Progress: true}) // late, of the first claim
				r.settle()
			}
			if len(a.answers) != 1 || a.answers[0].Verdict != c.want {
				t.Errorf("%+v, want one of verdict %d", a.answers, c.want)
			}
			if len(r.jobs.byNumber) != 0 {
				t.Errorf("%d jobs stay", len(r.jobs.byNumber))
			}
		})
	}
}

// The core itself keeps the rule, should a module ever ask for what it must not.
func TestUnsafeRepeatIsWithheld(t *testing.T) {
	r := newCellRig(t, twoCells())
	a := r.submitToCell("j", "ratify", "t", 0)
	j := r.jobs.open["j"]
	r.sent[0](ended(foxlift.Reset))
	(<-r.loop.inbox).apply(r.Core) // booked, and not yet told to the module
	r.send(j, "n1", 0)
	r.dispatch()
	if len(r.sent) != 1 || r.counters.Get("claims.withheld") != 1 || len(a.answers) != 1 {
		t.Errorf("%d claims, %d withheld, %d answers", len(r.sent), r.counters.Get("claims.withheld"), len(a.answers))
	}
}

// Hard case 9: attempts count on across a move; the bound on them is the job's.
func TestAttemptsCountAcrossMigrations(t *testing.T) {
	r := newCellRig(t, twoCells())
	a := r.submitToCell("j", "ratify", "t", 0)
	for i := range 3 {
		if len(r.sent) != i+1 {
			t.Fatalf("%d claims after %d refusals", len(r.sent), i)
		}
		r.migrate(t, "t", (i+1)%2)
		r.sent[i](ended(foxlift.Unreachable))
		r.settle()
	}
	if len(r.sent) != 3 || len(a.answers) != 1 || a.answers[0].Verdict != Shed {
		t.Errorf("%d claims, answers %+v", len(r.sent), a.answers)
	}
}

// Hard case 9: 1,000 moves to and fro under load, with claims that end in every way,
// a node list that changes, and another plan in the middle. Every job has one answer,
// none that must not runs twice, and nothing is left behind.
func TestThousandMigrations(t *testing.T) {
	spec := twoCells()
	spec.KeyWorkers, spec.KeyJobs = 2, 4
	r := newCellRig(t, spec)
	rng := rand.New(rand.NewPCG(8, 9))
	var jobs []*recordingClient
	ran := map[string]int{} // at-most-once jobs, by claims that may have run
	reported := 0
	end := func(code foxlift.Code) {
		r.sent[reported](ended(code))
		reported++
		r.settle()
	}
	ids := []string{}
	r.onSend = func(j *Job) { ids = append(ids, j.ID) }
	codes := slices.Repeat([]foxlift.Code{foxlift.Served}, 60) // else all nodes would soon be shut for failing
	codes = append(codes, foxlift.Saturated, foxlift.Reset, foxlift.Unreachable, foxlift.WorkerError, foxlift.NotSent)
	for i := range 1000 {
		for range rng.IntN(3) {
			id := fmt.Sprint("j", len(jobs))
			jobs = append(jobs, r.submitToCell(id, []string{"reading", "ratify"}[rng.IntN(2)], []string{"t", "u", "v"}[rng.IntN(3)], uint64(rng.IntN(4))))
		}
		r.migrate(t, []string{"t", "u", "v"}[rng.IntN(3)], rng.IntN(2))
		for reported < len(r.sent) && rng.IntN(3) > 0 {
			code := codes[rng.IntN(len(codes))]
			if id := ids[reported]; !code.NeverRan() && slices.Contains(r.atMostOnceIDs, id) {
				ran[id]++
			}
			end(code)
		}
		switch {
		case i%100 == 50:
			list := r.workerList(12, 0)
			list[rng.IntN(12)].State = foxlift.Draining
			r.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: list})
		case i == 333 || i == 666:
			next := twoCells()
			if i == 333 {
				next.Cells = append(next.Cells, cells.Cell{Name: "c", CapacityFraction: 0}, cells.Cell{Name: "d", Tenants: []string{}})
				next.Cells[0].CapacityFraction, next.Cells[1].CapacityFraction = 0.4, 0.3
			}
			p, faults := r.settings.PlanCells(next)
			if faults != nil {
				t.Fatal(faults)
			}
			if _, err := r.applyPlan(p); err != nil {
				t.Fatal(err)
			}
			r.dispatch()
		}
	}
	for reported < len(r.sent) {
		end(foxlift.Served)
	}
	for tries := 0; len(r.jobs.open) > 0 && tries < 1000; tries++ { // held ones: their time runs out
		r.applyEvent(<-r.loop.inbox)
		for reported < len(r.sent) {
			end(foxlift.Served)
		}
	}
	for i, a := range jobs {
		if len(a.answers) != 1 {
			t.Errorf("job %d has %d answers", i, len(a.answers))
		}
	}
	for id, k := range ran {
		if k > 1 {
			t.Errorf("%s may have run %d times", id, k)
		}
	}
	if len(r.jobs.byNumber) != 0 || len(r.jobs.open) != 0 || len(r.cells.jobsByKey) != 0 {
		t.Errorf("%d jobs, %d open, %d keys stay", len(r.jobs.byNumber), len(r.jobs.open), len(r.cells.jobsByKey))
	}
	for i, cl := range r.cells.all {
		if cl.spilled != 0 {
			t.Errorf("%s: %d spilled jobs stay", cl.name, cl.spilled)
		}
		if !cl.retired {
			if open, _, _ := r.placement.Load().admission.Open(i); open != 0 {
				t.Errorf("%s: %d places stay taken", cl.name, open)
			}
		}
	}
	for id, n := range r.workers.byID {
		if len(n.inFlight) != 0 {
			t.Errorf("%s: claims stay counted: %v", id, n.inFlight)
		}
	}
	t.Logf("%d jobs, %d claims, %d jobs moved", len(jobs), len(r.sent), r.counters.Get("jobs.moved"))
	if len(r.sent) < len(jobs)/4 || r.counters.Get("jobs.moved") == 0 || r.counters.Get("claims.withheld") != 0 {
		t.Errorf("%d jobs moved, %d claims withheld", r.counters.Get("jobs.moved"), r.counters.Get("claims.withheld"))
	}
}
