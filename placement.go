package foxlift

// Placement by late binding: the eligibility of a worker for a job and the cost of placing the job there.

import (
	"slices"
)

const (
	// Placement costs, in units of one job of this dispatcher in flight at the worker.
	crossZoneCost = 40.0 // a worker of another zone, at prices.crossZone 1; divided by min(fleetScale, 8)
	heavyJobCost  = 40.0 // a heavy job at a worker early in its slow start
	baseFetchCost = 2.0  // a worker's fetch of a job's data, which occupies a slot meanwhile

	minHeavyJobWeight = 0.3 // slow-start weight below which only jobs of the lightest class avoid heavyJobCost
)

// fetchCost returns the cost of a fetch, in jobs in flight. With many dispatchers it falls for long jobs, as
// a fetch is then a small part of the run time and a free slot matters more.
func (d *Dispatcher) fetchCost(j *job) float64 {
	if !d.manyDispatchers() {
		return baseFetchCost
	}
	return baseFetchCost * min(1, 2*float64(d.minMedianRuntime())/float64(max(1, j.class.runtimes.Median())))
}

const affinityHeadroom = 1.5 // size of an affinity set over the workers that its fraction of the jobs fills

// affinityWorkers returns the affinity set of a job's key, at most affinity.MaxWorkers: the workers that are
// likely to have cached the data of the key's jobs. All dispatchers compute the same order without
// communicating. With many dispatchers the set grows with the key's fraction of the jobs seen here, and by
// one worker after each attempt.
func (d *Dispatcher) affinityWorkers(j *job) []*worker {
	if j.affinityEventNumber != d.endpoints.events {
		j.affinity, j.affinityPool = d.rankAffinity(j)
		j.affinityEventNumber = d.endpoints.events
	}
	if !d.manyDispatchers() {
		return j.affinity
	}
	n := max(1+len(j.attempts), int(affinityHeadroom*d.keys.keyLog.Fraction(j.req.Key)*float64(j.affinityPool)))
	return j.affinity[:min(n, len(j.affinity))]
}

// eligible reports whether a job may be placed on a worker now.
func (d *Dispatcher) eligible(j *job, w *worker) bool {
	if w.level < 0 || !d.maySend(j, w) {
		return false
	}
	if j.req.AllowedWorkers != nil && !slices.Contains(j.req.AllowedWorkers, w.id) {
		return false
	}
	if d.manyDispatchers() && j.class.Effect == AtMostOnce {
		limit := d.maxUnstarted()
		if d.inSlowStart(w) {
			limit *= 2 // it mostly has a free slot, and sends to it are paced
		}
		if d.jobs.unstarted >= limit {
			return false
		}
	}
	if d.hasCompleteUsage() && w.usedSlots > 0 && j.req.Memory > 0 &&
		w.usedMemory+j.req.Memory > d.memoryCapacity(w) {
		return false // it would wait at the head of the worker's queue and block the jobs behind it
	}
	if w.outlier.OnTrial() && j.class.Effect == AtMostOnce && d.hasRepeatableClass {
		return false // a worker that failed gets its trial job from the classes that can be sent again
	}
	if !d.slowStartAdmits(j, w) {
		return false
	}
	for _, a := range j.attempts {
		if a.worker == w {
			return false
		}
	}
	return true
}

// slowStartAdmits reports whether slow start lets a worker take a job. Only workers in slow start for which
// no rate is known are restricted here.
func (d *Dispatcher) slowStartAdmits(j *job, w *worker) bool {
	s := &d.capacity.slowStart
	return !s.NeedsSlot(&w.warmup, d.now) ||
		s.Admits(&w.warmup, d.now, s.EstimatedWork(j.req.Slots, j.class.LatencyObjective))
}

// placementCost returns the cost of a worker relative to others of its level, in jobs in flight there. It
// adds up the worker's pressure, its zone, a new connection, its latency and the risk that no slot is free.
// It can be as low as -1/3, at a worker that runs jobs faster than the median or has served none yet.
func (d *Dispatcher) placementCost(j *job, w *worker) float64 {
	cost := d.capacity.reports.Pressure(&w.report, j.req.Slots, d.now) / 2
	if cost >= 0.45 { // a pressure of 0.9 or more costs as much as a job in flight
		cost = 1
	}
	if w.zone != d.cfg.Zone {
		cost += crossZoneCost * d.cfg.Prices.CrossZone / min(d.fleetScale, 8)
	}
	if d.needsConnection(w) {
		cost += float64(3 * d.cfg.Prices.Handshake)
	}
	cost += (w.latencyRatio - 1) / 3
	switch {
	case !d.manyDispatchers():
	case d.inSlowStart(w) && d.slowStartWeight(w) < minHeavyJobWeight &&
		j.class.runtimes.Median() > d.minMedianRuntime():
		cost += heavyJobCost
	case j.class.Effect == AtMostOnce || d.remainingAttempts(j) == 1:
		cost += w.outlier.Cost(d.now) // it cannot be moved, so a recent prompt start weighs in full
	case !d.inSlowStart(w): // sends to workers in slow start are paced
		cost += w.outlier.Cost(d.now) / 10
	}
	return cost
}
