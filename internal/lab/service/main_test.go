package service

import (
	"os"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

var program string // the built binary

func TestMain(m *testing.M) {
	os.Exit(fleet.RunWithProgram(func(built string) int {
		program = built
		return m.Run()
	}))
}

// testTimeout bounds waits for events that no rule limits. It is far above every time limit of the
// rules.
const testTimeout = 30 * time.Second

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// await waits until a condition holds, and fails the test after a limit.
func await(t *testing.T, description string, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); <-time.After(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", limit, description)
		}
	}
}

// deploy starts the scheduler of a topology and ends it with the test.
func deploy(t *testing.T, topology lab.Topology) *Deployment {
	t.Helper()
	d, err := Deploy(t.Context(), program, topology)
	must(t, err)
	t.Cleanup(d.Close)
	return d
}

// iterations returns the first number with -short and the second one otherwise.
func iterations(short, whole int) int {
	if testing.Short() {
		return short
	}
	return whole
}

// testbed is a deployment under load.
type testbed struct {
	*Deployment
	load      *Load
	startedAt time.Time
}

// startUnderLoad starts a deployment and a load, and returns once jobs are being answered.
func startUnderLoad(t *testing.T) *testbed {
	t.Helper()
	d := deploy(t, DefaultTopology())
	s := &testbed{d, StartLoad(d.Addr(), d.Fleet.Topology, DefaultLoad), time.Now()}
	s.awaitProgress(t)
	return s
}

// awaitProgress waits until 20 more jobs have ended.
func (s *testbed) awaitProgress(t *testing.T) {
	t.Helper()
	before, _ := s.load.EndedJobs()
	await(t, "jobs are answered", testTimeout, func() bool {
		now, _ := s.load.EndedJobs()
		return now >= before+20
	})
}

// stopAndCheck ends the load and the scheduler, and checks that no job was lost, that no at-most-once
// job ran twice, and that at most maxUnreadPerUpgrade jobs per upgrade were Unread.
func (s *testbed) stopAndCheck(t *testing.T, upgrades int) {
	t.Helper()
	tally := s.load.Stop()
	t.Log(tally.Line())
	for _, record := range tally.Lost {
		t.Error("lost:", record.Describe(s.startedAt))
	}
	for _, record := range tally.WrongResults {
		t.Error("wrong result:", record.Describe(s.startedAt))
	}
	if len(tally.Unread) > maxUnreadPerUpgrade*upgrades {
		for _, record := range tally.Unread {
			t.Error("not read:", record.Describe(s.startedAt))
		}
	}
	if ids := s.Fleet.DuplicateJobs(); len(ids) > 0 {
		t.Errorf("at-most-once jobs %v ran more than once, want none", ids)
	}
	if sum := tally.Total(); sum.OK == 0 {
		t.Error("no job was served, want some")
	}
	must(t, s.Terminate(t.Context()))
}
