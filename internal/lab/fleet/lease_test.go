package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// Limits of sends to a worker that drains.
const (
	notificationLimit = 6 * time.Second        // after a change at a discovery that runs, all count as notified
	maxHoldUp         = 150 * time.Millisecond // of a scheduler, between its clock and a write
)

// Workers begin to drain while discovery refuses the schedulers' calls after a wait, as one with too many
// callers does. Once the schedulers count as notified, these workers must receive nothing: jobs there are lost
// when the workers end.
func TestDrainWhileDiscoveryRefusesCalls(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 2, nil)
	must(t, f.StartAll(20*time.Second))
	awaitEndpoints(t, f, f.Processes...)
	f.Discovery.CorruptResponses(standin.UnavailableLate)
	load := f.StartLoad("refused", 100, 3)
	checkNothingAfterDrain(t, f, f.Workers()[:4])
	f.Discovery.CorruptResponses(standin.NoCorruption)
	sum := load.ResetTally()
	served := sum.Served
	await(t, "jobs are served by the current list", func() bool {
		sum = standin.Total(sum, load.ResetTally())
		return sum.Served > served
	})
	stopAndCheck(t, f, load, sum)
}

// A scheduler is killed, workers begin to drain while it is down, and it starts again with its old cached list while
// discovery refuses calls after a wait. These workers must receive nothing, however long discovery gives no answer.
func TestRestartWhileDiscoveryRefusesCalls(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1, nil)
	must(t, f.StartAll(20*time.Second))
	awaitEndpoints(t, f, f.Processes...)
	f.Processes[0].Kill()
	f.Discovery.CorruptResponses(standin.UnavailableLate)
	draining := f.Workers()[:4]
	must(t, f.StartAll(20*time.Second))
	load := f.StartLoad("restarted", 50, 3)
	checkNothingAfterDrain(t, f, draining)
	f.Discovery.CorruptResponses(standin.NoCorruption)
	sum := standin.Tally{}
	await(t, "jobs are served by the current list", func() bool {
		sum = standin.Total(sum, load.ResetTally())
		return sum.Served > 0
	})
	stopAndCheck(t, f, load, sum)
}

// checkNothingAfterDrain announces that workers drain, which discovery does not report to the schedulers, and
// checks that the workers, which go on accepting jobs, receive none for 2 s after the schedulers count as notified.
func checkNothingAfterDrain(t *testing.T, f *Fleet, draining []*standin.Worker) {
	t.Helper()
	for _, worker := range draining {
		f.Discovery.Put(worker, standin.Leaving)
	}
	lastSend := time.Now().Add(notificationLimit + drainGrace + maxHoldUp)
	<-time.After(time.Until(lastSend) + 2*time.Second)
	for _, worker := range draining {
		if late := worker.LastRequestTime().Sub(lastSend); late > 0 {
			t.Errorf("request reached draining worker %s %v after the latest time, want none", worker.Name, late)
		}
	}
	if t.Failed() {
		for _, p := range f.Processes {
			t.Logf("end of the log of %s:\n%s", p.Name, strings.Join(p.Log(), "\n"))
		}
	}
}
