package service

import (
	"sync"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// metricsDelay is how old the reported metrics may be.
const metricsDelay = 500 * time.Millisecond

// awaitMetrics fetches the metrics until a condition holds, and fails the test after a limit.
func awaitMetrics(t *testing.T, d *Deployment, description string, limit time.Duration, condition func(Metrics) bool) {
	t.Helper()
	var last Metrics
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last metrics: %+v", last)
		}
	})
	await(t, description, limit, func() bool {
		f, err := AdminClient{d.Current.AdminAddr}.Stats(t.Context())
		must(t, err)
		last = f
		return condition(f)
	})
}

// Under overload and with failing workers, the metrics must count the same served, shed and failed
// jobs as the clients do, and the same attempts as the workers do.
func TestMetricsAgreeWithClients(t *testing.T) {
	world := DefaultTopology()
	world.Kinds[0].Count, world.Kinds[0].Slots = 4, 2
	d := deploy(t, world)
	o := DefaultLoad
	o.Rate = 2.5 * world.Capacity()
	load := StartLoad(d.Addr(), d.Fleet.Topology, o)
	for _, n := range d.Fleet.Workers() {
		n.SetBehaviour(standin.Behaviour{FailEvery: 5})
	}
	enough := float64(iterations(20, 150))
	await(t, "jobs are served, shed and failed", testTimeout, func() bool {
		sum := load.Total()
		return min(sum.OK, sum.Shed, sum.Errors) >= enough
	})
	tally := load.Stop()
	t.Log(tally.Line())
	if len(tally.Lost) > 0 {
		t.Errorf("lost jobs %v, want none", tally.Lost)
	}
	var reported Metrics
	defer func() {
		t.Log(reported.Mismatches(tally.Answers))
		t.Logf("scheduler reports %.0f attempts, workers have read %d requests", reported.Attempts, d.Fleet.RequestsRead())
	}()
	awaitMetrics(t, d, "the metrics count the clients' responses", metricsDelay, func(f Metrics) bool {
		reported = f
		return f.Mismatches(tally.Answers) == ""
	})
	awaitMetrics(t, d, "the metrics count the attempts that the workers read", metricsDelay, func(f Metrics) bool {
		reported = f
		return WithinTolerance(f.Attempts, float64(d.Fleet.RequestsRead()), AttemptsTolerance)
	})
	if reported.Active > absoluteTolerance {
		t.Errorf("metrics report %.0f active jobs, want at most %d: all jobs have ended", reported.Active, absoluteTolerance)
	}
}

// servedJobs returns how many jobs were served according to the metrics.
func (m Metrics) servedJobs() (sum float64) {
	for _, r := range m.Responses {
		sum += r.OK
	}
	return sum
}

// A process must count only its own jobs: after an upgrade the metrics start at 0 again.
func TestMetricsStartAtZeroAfterUpgrade(t *testing.T) {
	s := startUnderLoad(t)
	before, _ := s.load.EndedJobs()
	_, err := s.Upgrade(t.Context())
	must(t, err)
	s.awaitProgress(t)
	tally := s.load.Stop()
	maxServed := float64(tally.Sent-before) + absoluteTolerance
	awaitMetrics(t, s.Deployment, "only jobs after the upgrade are counted", metricsDelay, func(f Metrics) bool {
		return f.servedJobs() > 0 && f.servedJobs() <= maxServed
	})
	must(t, s.Terminate(t.Context()))
}

// The number of active jobs must include running jobs and jobs that wait for a worker, and be 0 once
// all jobs are answered.
func TestActiveJobsAreCounted(t *testing.T) {
	const jobs = 24
	world := DefaultTopology()
	class := &world.Classes[1]
	class.ServiceTime, class.LatencyObjective, class.Deadline = 3*time.Second, 8*time.Second, 10*time.Second
	d := deploy(t, world)
	var wait sync.WaitGroup
	for range jobs {
		c, err := dial(d.Addr(), time.Now().Add(testTimeout))
		must(t, err)
		t.Cleanup(func() { c.conn.Close() })
		text := requestText("active/north/ratify/"+c.localPort(), *class, "north")
		wait.Go(func() {
			checkServed(t, c, text, "active job")
		})
	}
	await(t, "the jobs run", testTimeout, func() bool { return startedJobs(d) >= jobs })
	active := func(actual float64) func(Metrics) bool {
		return func(f Metrics) bool { return WithinTolerance(f.Active, actual, ActiveTolerance) }
	}
	awaitMetrics(t, d, "all jobs are active", metricsDelay, active(jobs))
	wait.Wait()
	awaitMetrics(t, d, "no job is active", metricsDelay, active(0))
}

// startedJobs returns how many different jobs the workers have started.
func startedJobs(d *Deployment) int {
	ids := map[string]bool{}
	for _, n := range d.Fleet.Workers() {
		for id := range n.Runs() {
			ids[id] = true
		}
	}
	return len(ids)
}

// The reported pool size must follow changes of the endpoint list, and workers that crashed must be
// reported as ejected.
func TestPoolIsReported(t *testing.T) {
	d := deploy(t, DefaultTopology())
	size := func(n float64) func(Metrics) bool {
		return func(f Metrics) bool { return f.PoolSize == n && f.Ejected == 0 }
	}
	awaitMetrics(t, d, "all workers are in the pool", 2*time.Second, size(8))
	added, err := d.Fleet.AddWorker(d.Fleet.Kinds[0], time.Time{})
	must(t, err)
	awaitMetrics(t, d, "the added worker is in the pool", 2*time.Second, size(9))
	d.Fleet.Discovery.Put(added, "left")
	awaitMetrics(t, d, "the removed worker is not in the pool", 2*time.Second, size(8))
	load := StartLoad(d.Addr(), d.Fleet.Topology, DefaultLoad)
	for _, n := range d.Fleet.Workers()[:2] {
		n.Crash()
	}
	awaitMetrics(t, d, "the two crashed workers are ejected", 10*time.Second, func(f Metrics) bool {
		return f.PoolSize == 8 && f.Ejected == 2
	})
	if tally := load.Stop(); tally.Total().OK == 0 {
		t.Errorf("no job was served, want some: %s", tally.Line())
	}
	must(t, d.Terminate(t.Context()))
}
