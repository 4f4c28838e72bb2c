package service

import (
	"sync"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// lateness is by how much figures may be late.
const metricsDelay = 500 * time.Millisecond

// awaitFigures fetches the figures until they hold, which they do in time.
func awaitMetrics(t *testing.T, d *Deployment, what string, limit time.Duration, holds func(Metrics) bool) {
	t.Helper()
	var last Metrics
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the last figures: %+v", last)
		}
	})
	await(t, what, limit, func() bool {
		f, err := AdminClient{d.Current.AdminAddr}.Stats(t.Context())
		must(t, err)
		last = f
		return holds(f)
	})
}

// After too much load, with workers that fail, the figures agree with the clients' own.
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
		t.Errorf("lost: %v", tally.Lost)
	}
	var told Metrics
	defer func() {
		t.Log(told.Mismatches(tally.Answers))
		t.Logf("tries %.0f, the workers have read %d", told.Attempts, d.Fleet.RequestsRead())
	}()
	awaitMetrics(t, d, "the responses are the clients'", metricsDelay, func(f Metrics) bool {
		told = f
		return f.Mismatches(tally.Answers) == ""
	})
	awaitMetrics(t, d, "the tries are the workers'", metricsDelay, func(f Metrics) bool {
		told = f
		return WithinTolerance(f.Attempts, float64(d.Fleet.RequestsRead()), AttemptsTolerance)
	})
	if told.Active > absoluteTolerance {
		t.Errorf("%.0f jobs are active, and all have ended", told.Active)
	}
}

// served is how many jobs the figures say were served.
func (f Metrics) servedJobs() (sum float64) {
	for _, r := range f.Responses {
		sum += r.OK
	}
	return sum
}

// A process counts its own jobs only: after an upgrade it begins at 0.
func TestMetricsStartAtZeroAfterUpgrade(t *testing.T) {
	s := startUnderLoad(t)
	before, _ := s.load.EndedJobs()
	_, err := s.Upgrade(t.Context())
	must(t, err)
	s.awaitProgress(t)
	tally := s.load.Stop()
	most := float64(tally.Sent-before) + absoluteTolerance
	awaitMetrics(t, s.Deployment, "it counts some, and none from before the upgrade", metricsDelay, func(f Metrics) bool {
		return f.servedJobs() > 0 && f.servedJobs() <= most
	})
	must(t, s.Terminate(t.Context()))
}

// While jobs run, and wait for a worker, as many are active; once they are answered, none is.
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
			checkServed(t, c, text, "an active job")
		})
	}
	await(t, "the jobs run", testTimeout, func() bool { return startedJobs(d) >= jobs })
	active := func(truth float64) func(Metrics) bool {
		return func(f Metrics) bool { return WithinTolerance(f.Active, truth, ActiveTolerance) }
	}
	awaitMetrics(t, d, "they are active", metricsDelay, active(jobs))
	wait.Wait()
	awaitMetrics(t, d, "none is active", metricsDelay, active(0))
}

// runs is how many different jobs the workers have begun.
func startedJobs(d *Deployment) int {
	ids := map[string]bool{}
	for _, n := range d.Fleet.Workers() {
		for id := range n.Runs() {
			ids[id] = true
		}
	}
	return len(ids)
}

// The pool is as large as the endpoint list, also as that changes, and workers that crashed are
// reported as ejected.
func TestPoolIsReported(t *testing.T) {
	d := deploy(t, DefaultTopology())
	size := func(n float64) func(Metrics) bool {
		return func(f Metrics) bool { return f.PoolSize == n && f.Ejected == 0 }
	}
	awaitMetrics(t, d, "all workers are in the pool", 2*time.Second, size(8))
	added, err := d.Fleet.AddWorker(d.Fleet.Kinds[0], time.Time{})
	must(t, err)
	awaitMetrics(t, d, "another one is", 2*time.Second, size(9))
	d.Fleet.Discovery.Put(added, "left")
	awaitMetrics(t, d, "it has left", 2*time.Second, size(8))
	load := StartLoad(d.Addr(), d.Fleet.Topology, DefaultLoad)
	for _, n := range d.Fleet.Workers()[:2] {
		n.Crash()
	}
	awaitMetrics(t, d, "two are avoided", 10*time.Second, func(f Metrics) bool {
		return f.PoolSize == 8 && f.Ejected == 2
	})
	if tally := load.Stop(); tally.Total().OK == 0 {
		t.Error(tally.Line())
	}
	must(t, d.Terminate(t.Context()))
}
