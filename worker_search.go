package foxlift

// The search for a job's worker: which workers are examined.

import (
	"math"

	"github.com/vatu-meals/foxlift/internal/decision/health"
)

const (
	sampleSize  = 24   // workers sampled for one job at each level of Dispatcher.free
	maxFullScan = 1024 // level size up to which a retry of an Idempotent job that was sent before examines all
)

// A workerSearch finds the worker with the least cost for a job.
type workerSearch struct {
	d        *Dispatcher
	j        *job
	best     *worker
	bestCost float64
}

// pickWorker returns the worker for a job, or nil if no worker is eligible. It chooses the least cost: the
// worker's level, which is the slots in use there, rounded down, plus placementCost and the cost of a fetch.
// While the endpoint list is stale no worker is eligible.
func (d *Dispatcher) pickWorker(j *job) *worker {
	if !d.EndpointsUsable() {
		return nil
	}
	s := workerSearch{d: d, j: j, bestCost: math.Inf(1)}
	if j.req.Key != 0 && (d.manyDispatchers() || d.cfg.Prices.Fetch > 0) {
		s.searchAffinity()
		if j.class.Effect != AtMostOnce && d.manyDispatchers() && s.bestCost < health.NoFreeSlotCost {
			return s.best // the worker mostly has a free slot, or soon will
		}
	}
	for level := 0; level < d.free.numLevels && float64(level) < s.bestCost; level++ {
		s.searchLevel(level)
	}
	return s.best
}

// consider examines a worker and keeps it if it is the cheapest so far. extraCost is added to its
// placementCost; unless cached is true, so is the cost of a fetch where the worker lacks the job's key. A
// random amount of up to 0.001 breaks ties.
func (s *workerSearch) consider(w *worker, extraCost float64, cached bool) {
	d, j := s.d, s.j
	d.workersExamined++
	if !d.eligible(j, w) {
		return
	}
	if j.req.Key != 0 && !cached && !w.cachedKeys.Contains(j.req.Key) {
		extraCost += d.fetchCost(j)
	}
	if cost := d.placementCost(j, w) + extraCost + float64(d.rng.Float64()*1e-3); cost < s.bestCost {
		s.best, s.bestCost = w, cost
	}
}

// searchAffinity examines the affinity set of the job's key, except workers that report no free slots. The
// first worker's cost is reduced by 4 times prices.fetch, that of later ones by less.
func (s *workerSearch) searchAffinity() {
	d := s.d
	workers := d.affinityWorkers(s.j)
	for i, w := range workers {
		if w.level >= 0 && (!w.report.Valid() || d.capacity.reports.ReportPressure(&w.report, s.j.req.Slots) < 1) {
			fetchSaving := float64(4 * d.cfg.Prices.Fetch * (1 - float64(i)/float64(len(workers))))
			s.consider(w, float64(w.level)-fetchSaving, true)
		}
	}
}

// searchLevel examines the workers of one level: all of them if they are at most sampleSize, or if the job
// may have run already (for an Idempotent job only up to maxFullScan workers). Otherwise it examines a random
// sample and the workers that reported last.
func (s *workerSearch) searchLevel(level int) {
	d, j := s.d, s.j
	workers := d.free.view(j.class.Kind, level)
	if workers.size <= sampleSize ||
		j.mayHaveRun != nil && (workers.size <= maxFullScan || j.class.Effect != Idempotent) {
		for _, part := range workers.parts {
			for _, w := range part {
				s.consider(w, float64(level), false)
			}
		}
		return
	}
	for range sampleSize {
		s.consider(workers.at(d.rng.IntN(workers.size)), float64(level), false)
	}
	for _, w := range d.capacity.recentReports.workers {
		if w != nil && w.level == level && (j.class.Kind < 0 || w.kind == j.class.Kind) {
			s.consider(w, float64(level), false)
		}
	}
}
