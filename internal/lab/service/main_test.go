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

// patience is for what comes at its own pace: far beyond any rule.
const testTimeout = 30 * time.Second

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// await waits until a condition holds, and fails after a limit.
func await(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); <-time.After(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// deploy starts a world's scheduler and ends it with the test.
func deploy(t *testing.T, world lab.Topology) *Deployment {
	t.Helper()
	d, err := Deploy(t.Context(), program, world)
	must(t, err)
	t.Cleanup(d.Close)
	return d
}

// size is small in short runs of the tests.
func iterations(short, whole int) int {
	if testing.Short() {
		return short
	}
	return whole
}

// A testbed is a deployment under load.
type testbed struct {
	*Deployment
	load      *Load
	startedAt time.Time
}

// underLoad starts a deployment and a load, and returns once jobs are being answered.
func startUnderLoad(t *testing.T) *testbed {
	t.Helper()
	d := deploy(t, DefaultTopology())
	s := &testbed{d, StartLoad(d.Addr(), d.Fleet.Topology, DefaultLoad), time.Now()}
	s.awaitProgress(t)
	return s
}

// awaitProgress waits until some more jobs have ended.
func (s *testbed) awaitProgress(t *testing.T) {
	t.Helper()
	before, _ := s.load.EndedJobs()
	await(t, "jobs are answered", testTimeout, func() bool {
		now, _ := s.load.EndedJobs()
		return now >= before+20
	})
}

// terminates ends the load and the scheduler, and judges: no job is lost, no at-most-once job ran
// twice, and in each upgrade two at most were Unread.
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
			t.Error("turned back:", record.Describe(s.startedAt))
		}
	}
	if ids := s.Fleet.DuplicateJobs(); len(ids) > 0 {
		t.Errorf("ran twice: %v", ids)
	}
	if sum := tally.Total(); sum.OK == 0 {
		t.Error("no job was served")
	}
	must(t, s.Terminate(t.Context()))
}
