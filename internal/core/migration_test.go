package core

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vatu-meals/foxlift"
)

// Hard case 9: a live migration. Queued jobs go over with their age, new ones go to the new cell, and
// attempts in flight finish where they are.
func TestMigrationTransfersQueuedJobs(t *testing.T) {
	// On virtual time: on a busy machine a real wait grows until the job is too old to go over.
	synctest.Test(t, testMigrationTransfersQueuedJobs)
}

func testMigrationTransfersQueuedJobs(t *testing.T) {
	spec := twoCells()
	spec.Cells[0].MaxJobs, spec.Cells[1].MaxJobs = 60, 60
	r := newCellRig(t, spec)
	n := r.saturate(t, "t")
	queued := r.jobs.open[fmt.Sprint("t-fill-", n)]
	<-time.After(30 * time.Millisecond) // it has an age to take along
	m := r.migrate(t, "t", 1)
	if m.Tenants != 1 || m.Queued != 1 || m.InFlight != n {
		t.Errorf("%+v, want 1 queued and %d in flight", m, n)
	}
	if queued.cell != r.cells.all[1] || queued.inFlight != 1 || r.cellOf(queued.attempts[0].worker) != 1 {
		t.Errorf("the queued job is in cell %d with %d attempts in flight", queued.cell.index, queued.inFlight)
	}
	if r.counters.Get("jobs.moved") != 1 {
		t.Errorf("%d jobs migrated", r.counters.Get("jobs.moved"))
	}
	next := len(r.sent)
	r.submitToCell("new", "reading", "t", 0)
	if r.cellOf(r.sentTo[next]) != 1 {
		t.Error("a new job goes to the old cell")
	}
	for i := range n { // the old cell's attempts end
		r.complete(i, foxlift.Served)
	}
	if r.counters.Get("jobs.served") != int64(n) {
		t.Errorf("%d of %d served where they were", r.counters.Get("jobs.served"), n)
	}
}

// Hard case 9: an at-most-once job that may have run is never sent again, and has its one answer, although
// the tenant's new cell knows nothing of the attempt.
func TestMigrationNeverRunsTwice(t *testing.T) {
	for name, test := range map[string]struct {
		code foxlift.Code
		sent int
		want Verdict
	}{
		"may have run":                    {foxlift.Reset, 1, Failed},
		"timed out":                       {foxlift.DeadlineExceeded, 1, Failed},
		"worker error":                    {foxlift.WorkerError, 1, Failed},
		"served":                          {foxlift.Served, 1, Served},
		"never ran, goes to the new cell": {foxlift.Saturated, 2, Served},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCellRig(t, twoCells())
			client := r.submitToCell("j", "ratify", "t", 0)
			r.migrate(t, "t", 1)
			r.complete(0, test.code)
			if len(r.sent) != test.sent {
				t.Fatalf("%d attempts, want %d", len(r.sent), test.sent)
			}
			if test.sent == 2 {
				if r.cellOf(r.sentTo[1]) != 1 {
					t.Error("the second attempt is in the old cell")
				}
				r.sent[1](ended(foxlift.Served))
				r.sent[0](Report{Progress: true}) // late, of the first attempt
				r.settle()
			}
			if !client.gotOnly(test.want) {
				t.Errorf("%+v, want one of verdict %d", client.answers, test.want)
			}
			if len(r.jobs.byNumber) != 0 {
				t.Errorf("%d jobs stay", len(r.jobs.byNumber))
			}
		})
	}
}

// The core itself keeps the rule, should a dispatcher ever ask for what it must not.
func TestUnsafeRepeatIsWithheld(t *testing.T) {
	r := newCellRig(t, twoCells())
	client := r.submitToCell("j", "ratify", "t", 0)
	j := r.jobs.open["j"]
	r.sent[0](ended(foxlift.Reset))
	(<-r.loop.inbox).apply(r.Core) // recorded, and not yet told to the dispatcher
	r.send(j, "n1", 0)
	r.dispatch()
	withheld := r.counters.Get("claims.withheld")
	if len(r.sent) != 1 || withheld != 1 || len(client.answers) != 1 {
		t.Errorf("%d attempts, %d withheld, %d answers", len(r.sent), withheld, len(client.answers))
	}
}

// Hard case 9: attempts count on across a migration; the bound on them is the job's.
func TestAttemptsCountAcrossMigrations(t *testing.T) {
	r := newCellRig(t, twoCells())
	client := r.submitToCell("j", "ratify", "t", 0)
	for i := range 3 {
		if len(r.sent) != i+1 {
			t.Fatalf("%d attempts after %d failures", len(r.sent), i)
		}
		r.migrate(t, "t", (i+1)%2)
		r.complete(i, foxlift.Unreachable)
	}
	if len(r.sent) != 3 || !client.gotOnly(Shed) {
		t.Errorf("%d attempts, answers %+v", len(r.sent), client.answers)
	}
}
