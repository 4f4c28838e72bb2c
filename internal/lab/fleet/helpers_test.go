package fleet

import (
	"os"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/standin"
)

var program string // the built binary

func TestMain(m *testing.M) {
	os.Exit(RunWithProgram(func(built string) int {
		program = built
		return m.Run()
	}))
}

// small is a fleet of so many processes with eight workers, and short jobs.
func newSmallFleet(t *testing.T, schedulers int, change func(*Options)) *Fleet {
	t.Helper()
	o := Options{
		Topology: lab.Topology{
			Schedulers: schedulers,
			Sockets:    256,
			Zones:      []string{"east"},
			Kinds:      []lab.WorkerKind{{Name: "k", Count: 8, Slots: 4, Speed: 1}},
			Tenants:    []lab.Tenant{{Name: "all", QuotaFraction: 1}},
			Classes: []lab.Class{
				{
					Name:             "reading",
					Effect:           "idempotent",
					ServiceTime:      20 * time.Millisecond,
					JobFraction:      0.7,
					LatencyObjective: 500 * time.Millisecond,
					Deadline:         3 * time.Second,
				},
				{
					Name:             "ratify",
					Effect:           "at_most_once",
					ServiceTime:      60 * time.Millisecond,
					JobFraction:      0.3,
					LatencyObjective: time.Second,
					Deadline:         5 * time.Second,
				},
			},
		},
		Program: program,
		CallCost: standin.CallCost{
			PerCall: time.Millisecond,
			PerHost: 100 * time.Microsecond,
			MaxWait: time.Second,
		},
	}
	if change != nil {
		change(&o)
	}
	f, err := New(o)
	must(t, err)
	t.Cleanup(f.Close)
	return f
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !holds(); <-time.After(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// awaitEndpoints waits until each process has had an answer from discovery since the last call.
// It makes a change for them: a watch without one is answered late.
func awaitEndpoints(t *testing.T, f *Fleet, which ...*Process) {
	t.Helper()
	f.Discovery.Put(f.Workers()[0], standin.Active)
	awaitAnswers(t, f, which...)
}

// awaitAnswers does so where discovery has something to answer anyway.
func awaitAnswers(t *testing.T, f *Fleet, which ...*Process) {
	t.Helper()
	for _, p := range which {
		await(t, p.Name+" has the list", func() bool { return !f.Discovery.TakeFirstResponse(p.Name).IsZero() })
	}
}

// learnsOf submits jobs until a worker that they did not know runs some, and judges.
func checkNewWorkerServes(t *testing.T, f *Fleet, name string, fresh *standin.Worker) {
	t.Helper()
	l := f.StartLoad(name, 400, 2)
	await(t, "the new worker runs jobs", func() bool { return len(fresh.Runs()) > 0 })
	stopAndCheck(t, f, l, standin.Tally{})
}

// serves submits jobs at every process until each has served some, and judges: each job
// has one whole answer, none that must not run twice did, no worker was overloaded, discovery's queue
// is empty in the end.
func checkServes(t *testing.T, f *Fleet, name string) {
	t.Helper()
	l := f.StartLoad(name, 20*float64(len(f.Processes)), 1)
	sum := standin.Tally{}
	await(t, "jobs are served", func() bool {
		sum = standin.Total(sum, l.ResetTally())
		return sum.Served+sum.Late >= 5*len(f.Processes)
	})
	stopAndCheck(t, f, l, sum)
}

// terminates ends a load, some of whose jobs have been counted, and judges.
func stopAndCheck(t *testing.T, f *Fleet, l *Load, sum standin.Tally) {
	t.Helper()
	if sum = standin.Total(sum, l.Stop()); sum.Lost > 0 {
		t.Errorf("%d of %d jobs without a whole answer", sum.Lost, sum.Sent)
	}
	checkInvariants(t, f)
}

func checkInvariants(t *testing.T, f *Fleet) {
	t.Helper()
	if ids := f.DuplicateJobs(); len(ids) > 0 {
		t.Errorf("ran twice: %v", ids)
	}
	if n := f.OverloadedWorkers(); n > 0 {
		t.Errorf("%d workers were overloaded", n)
	}
	await(t, "discovery's queue drains", func() bool { return f.Discovery.Calls().Waiting == 0 })
}
