package core

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vatu-meals/foxlift"
)

// When a tenant migrates, its queued jobs must move to the new cell with the time that they have waited, its new
// jobs must go there, and its attempts in flight must finish in the old cell.
func TestMigrationTransfersQueuedJobs(t *testing.T) {
	// The test uses virtual time: on a busy machine a real wait can take so long that the job is too old to move.
	synctest.Test(t, testMigrationTransfersQueuedJobs)
}

func testMigrationTransfersQueuedJobs(t *testing.T) {
	spec := twoCells()
	spec.Cells[0].MaxJobs, spec.Cells[1].MaxJobs = 60, 60
	r := newCellRig(t, spec)
	n := r.saturate(t, "t")
	queued := r.jobs.open[fmt.Sprint("t-fill-", n)]
	<-time.After(30 * time.Millisecond) // the job has waited when it moves
	m := r.migrate(t, "t", 1)
	if m.Tenants != 1 || m.Queued != 1 || m.InFlight != n {
		t.Errorf("migrate() = %+v, want 1 tenant, 1 queued job and %d jobs in flight", m, n)
	}
	if queued.cell != r.cells.all[1] || queued.inFlight != 1 || r.cellOf(queued.attempts[0].worker) != 1 {
		t.Errorf("queued job is in cell %d with %d attempts in flight, want cell 1 with 1 attempt to a worker of cell 1",
			queued.cell.index, queued.inFlight)
	}
	if r.counters.Get("jobs.moved") != 1 {
		t.Errorf("jobs.moved = %d, want 1", r.counters.Get("jobs.moved"))
	}
	next := len(r.sent)
	r.submitToCell("new", "reading", "t", 0)
	if r.cellOf(r.sentTo[next]) != 1 {
		t.Errorf("new job is sent to cell %d, want 1", r.cellOf(r.sentTo[next]))
	}
	for i := range n { // the old cell's attempts end
		r.complete(i, foxlift.Served)
	}
	if r.counters.Get("jobs.served") != int64(n) {
		t.Errorf("jobs.served = %d after the old cell's attempts ended, want %d", r.counters.Get("jobs.served"), n)
	}
}

// An at-most-once job that may have run must not be sent again after its tenant has migrated, although the
// dispatcher of the new cell has no record of the attempt. It must get exactly one answer.
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
				t.Fatalf("%d attempts after outcome %d, want %d", len(r.sent), test.code, test.sent)
			}
			if test.sent == 2 {
				if r.cellOf(r.sentTo[1]) != 1 {
					t.Errorf("second attempt is sent to cell %d, want 1", r.cellOf(r.sentTo[1]))
				}
				r.sent[1](ended(foxlift.Served))
				r.sent[0](Report{Progress: true}) // late, of the first attempt
				r.settle()
			}
			if !client.gotOnly(test.want) {
				t.Errorf("answers are %+v, want one with verdict %d", client.answers, test.want)
			}
			if len(r.jobs.byNumber) != 0 {
				t.Errorf("the job table has %d jobs, want 0", len(r.jobs.byNumber))
			}
		})
	}
}

// The core must withhold an attempt that could run an at-most-once job twice, even if a dispatcher requests it.
func TestUnsafeRepeatIsWithheld(t *testing.T) {
	r := newCellRig(t, twoCells())
	client := r.submitToCell("j", "ratify", "t", 0)
	j := r.jobs.open["j"]
	r.sent[0](ended(foxlift.Reset))
	(<-r.loop.inbox).apply(r.Core) // recorded, but the dispatcher has not handled it yet
	r.send(j, "n1", 0)
	r.dispatch()
	withheld := r.counters.Get("claims.withheld")
	if len(r.sent) != 1 || withheld != 1 || len(client.answers) != 1 {
		t.Errorf("%d attempts sent, %d withheld, %d answers, want 1 of each", len(r.sent), withheld, len(client.answers))
	}
}

// Attempts before a migration must count towards the job's maximum number of attempts in the new cell.
func TestAttemptsCountAcrossMigrations(t *testing.T) {
	r := newCellRig(t, twoCells())
	client := r.submitToCell("j", "ratify", "t", 0)
	for i := range 3 {
		if len(r.sent) != i+1 {
			t.Fatalf("%d attempts after %d failures, want %d", len(r.sent), i, i+1)
		}
		r.migrate(t, "t", (i+1)%2)
		r.complete(i, foxlift.Unreachable)
	}
	if len(r.sent) != 3 || !client.gotOnly(Shed) {
		t.Errorf("%d attempts with answers %+v, want 3 with one of verdict Shed", len(r.sent), client.answers)
	}
}
