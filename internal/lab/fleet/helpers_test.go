package fleet

import (
	"os"
	"sync"
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

// newSmallFleet returns a fleet with the given number of schedulers, eight workers and short jobs.
// change, if not nil, modifies the options.
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

// await waits until a condition holds, and fails the test after 30 s.
func await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); <-time.After(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met in time: %s", description)
		}
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// awaitEndpoints waits until discovery has answered each process since the last call. It changes the
// endpoint list first, because a watch without a change is answered late.
func awaitEndpoints(t *testing.T, f *Fleet, processes ...*Process) {
	t.Helper()
	f.Discovery.Put(f.Workers()[0], standin.Active)
	awaitAnswers(t, f, processes...)
}

// awaitAnswers is like awaitEndpoints, but changes nothing: discovery must have something to answer.
func awaitAnswers(t *testing.T, f *Fleet, processes ...*Process) {
	t.Helper()
	for _, p := range processes {
		await(t, p.Name+" has the endpoint list", func() bool { return !f.Discovery.TakeFirstResponse(p.Name).IsZero() })
	}
}

// checkNewWorkerServes sends jobs until a worker that was not in the cached endpoint list runs some,
// and checks the invariants.
func checkNewWorkerServes(t *testing.T, f *Fleet, name string, newWorker *standin.Worker) {
	t.Helper()
	load := f.StartLoad(name, 400, 2)
	await(t, "the new worker runs jobs", func() bool { return len(newWorker.Runs()) > 0 })
	stopAndCheck(t, f, load, standin.Tally{})
}

// checkServes sends jobs to all processes until enough were served for five at each, and checks that
// each job has one complete answer, no at-most-once job ran twice, no worker was overloaded, and
// discovery's queue is empty at the end.
func checkServes(t *testing.T, f *Fleet, name string) {
	t.Helper()
	load := f.StartLoad(name, 20*float64(len(f.Processes)), 1)
	sum := standin.Tally{}
	await(t, "jobs are served", func() bool {
		sum = standin.Total(sum, load.ResetTally())
		return sum.Served+sum.Late >= 5*len(f.Processes)
	})
	stopAndCheck(t, f, load, sum)
}

// checkRefuses sends five jobs of each class to each of the processes, and checks that all are shed.
func checkRefuses(t *testing.T, f *Fleet, processes ...*Process) {
	t.Helper()
	const jobs = 5
	var wait sync.WaitGroup
	var clients []*standin.Client
	for _, p := range processes {
		for _, class := range f.Classes {
			client := newClient(p.Addr, class, f.Tenants[0])
			client.Name = "refused/" + class.Name + "/" + p.Name
			clients = append(clients, client)
			for range jobs {
				wait.Go(func() { client.Send() })
			}
		}
	}
	wait.Wait()
	for _, client := range clients {
		if tally := client.TakeTally(); tally.Shed != jobs {
			t.Errorf("%s: tally %+v, want %d jobs shed", client.Name, tally, jobs)
		}
	}
}

// stopAndCheck ends a load and checks that no job was lost, also not among the jobs already counted in
// sum; then it checks the invariants.
func stopAndCheck(t *testing.T, f *Fleet, load *Load, sum standin.Tally) {
	t.Helper()
	if sum = standin.Total(sum, load.Stop()); sum.Lost > 0 {
		t.Errorf("%d of %d jobs got no complete answer, want 0", sum.Lost, sum.Sent)
	}
	checkInvariants(t, f)
}

// checkInvariants checks that no at-most-once job ran twice, that no worker was overloaded, and that
// discovery's queue becomes empty.
func checkInvariants(t *testing.T, f *Fleet) {
	t.Helper()
	if ids := f.DuplicateJobs(); len(ids) > 0 {
		t.Errorf("at-most-once jobs %v ran more than once, want none", ids)
	}
	if n := f.OverloadedWorkers(); n > 0 {
		t.Errorf("%d workers were overloaded, want 0", n)
	}
	await(t, "discovery's queue is empty", func() bool { return f.Discovery.Calls().Waiting == 0 })
}
