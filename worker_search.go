package foxlift

// The search for a job's worker: which of them are looked at.

import (
	"math"

	"github.com/vatu-meals/foxlift/internal/decision/health"
)

const (
	sampleSize  = 24   // workers looked at for one job, of those with as many slots of ours
	maxFullScan = 1024 // workers that are all looked at for a job that may go anywhere but where it failed
)

// A workerSearch finds the worker that costs a job least.
type workerSearch struct {
	d        *Dispatcher
	j        *job
	best     *worker
	bestCost float64
}

// pickWorker finds the worker for a job: of those with room, the one with the fewest slots of ours, a
// crossing of zones and a fetch counting as some more, and ties going to the one that promises most. It
// is nil if none may.
func (d *Dispatcher) pickWorker(j *job) *worker {
	if !d.endpoints.lease.Fresh(d.now) {
		return d.pickAccepting(j)
	}
	s := workerSearch{d: d, j: j, bestCost: math.Inf(1)}
	if j.req.Key != 0 && (d.manyDispatchers() || d.cfg.Prices.Fetch > 0) {
		s.searchAffinity()
		if j.class.Effect != AtMostOnce && d.manyDispatchers() && s.bestCost < health.NoFreeSlotCost {
			return s.best // it mostly has a slot free, or soon
		}
	}
	for level := 0; level < d.free.numLevels && float64(level) < s.bestCost; level++ {
		s.searchLevel(level)
	}
	return s.best
}

// consider looks at a worker, at a cost beside that of its own; cached says that it surely has what the
// job needs.
func (s *workerSearch) consider(w *worker, extraCost float64, cached bool) {
	d, j := s.d, s.j
	d.workersExamined++
	if !d.eligible(j, w) {
		return
	}
	if j.req.Key != 0 && !cached && !w.cachedKeys.Contains(j.req.Key) {
		extraCost += d.fetchCost(j)
	}
	if cost := d.placementCost(j, w) + extraCost + d.rng.Float64()*1e-3; cost < s.bestCost {
		s.best, s.bestCost = w, cost
	}
}

// searchAffinity looks at the workers that are likely to have what jobs with the key need.
func (s *workerSearch) searchAffinity() {
	d := s.d
	workers := d.affinityWorkers(s.j)
	for i, w := range workers {
		if w.level >= 0 && (!w.report.Valid() || d.capacity.reports.ReportPressure(&w.report, s.j.req.Slots) < 1) {
			fetchSaving := 4 * d.cfg.Prices.Fetch * (1 - float64(i)/float64(len(workers)))
			s.consider(w, float64(w.level)-fetchSaving, true)
		}
	}
}

// searchLevel looks at the workers of one level: at all if they are few, or at a sample and at those that
// have reported last.
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
	for _, w := range d.capacity.reported.workers {
		if w != nil && w.level == level && (j.class.Kind < 0 || w.kind == j.class.Kind) {
			s.consider(w, float64(level), false)
		}
	}
}
