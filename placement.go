package foxlift

// Placement, by late binding: which workers suit a job, and what each would cost it.

import (
	"slices"
)

const (
	// What a worker's cost counts, in jobs of ours that are in flight there.
	crossZoneCost = 40.0 // a crossing, at prices.crossZone 1; divided by fleetScale, by 8 at most
	heavyJobCost  = 40.0 // a heavy job at a worker that has just begun its slow start
	baseFetchCost = 2.0  // a worker's fetch of what a job needs: it takes a slot meanwhile

	minHeavyJobWeight = 0.3 // slow-start weight from which a worker gets other than the lightest jobs
)

// fetchCost is the jobs that a fetch weighs. It takes less of a long job's time; many dispatchers look for
// free slots first.
func (d *Dispatcher) fetchCost(j *job) float64 {
	if !d.manyDispatchers() {
		return baseFetchCost
	}
	return baseFetchCost * min(1, 2*float64(d.minMedianRuntime())/float64(max(1, j.class.runtimes.Median())))
}

const affinityHeadroom = 1.5 // workers of a key over what its fraction of the jobs would fill

// affinityWorkers returns the workers that are likely to have what the jobs with a key need: all
// dispatchers send them to the same few without speaking. Many spread a key over as many
// as its fraction of the jobs seen here asks for, and over one more after each attempt.
func (d *Dispatcher) affinityWorkers(j *job) []*worker {
	if j.affinityRankedAt != d.endpoints.events {
		j.affinity, j.affinityPool = d.rankAffinity(j)
		j.affinityRankedAt = d.endpoints.events
	}
	if !d.manyDispatchers() {
		return j.affinity
	}
	n := max(1+len(j.attempts), int(affinityHeadroom*d.keys.keyLog.Fraction(j.req.Key)*float64(j.affinityPool)))
	return j.affinity[:min(n, len(j.affinity))]
}

// eligible says whether a worker suits this job.
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
			limit *= 2 // it mostly has a free slot, and is paced
		}
		if d.jobs.unstarted >= limit {
			return false
		}
	}
	if d.hasCompleteUsage() && w.usedSlots > 0 && j.req.Memory > 0 &&
		w.usedMemory+j.req.Memory > d.memoryCapacity(w) {
		return false // it would wait at the head of the queue, and the others behind it
	}
	if w.outlier.OnTrial() && j.class.Effect == AtMostOnce && d.hasRepeatableClass {
		return false // a worker that failed is tried with jobs that can be moved
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

// slowStartAdmits reports whether a worker bears a job, if it is warming up and no rate is known.
func (d *Dispatcher) slowStartAdmits(j *job, w *worker) bool {
	s := &d.capacity.slowStart
	return !s.NeedsSlot(&w.warmup, d.now) ||
		s.Admits(&w.warmup, d.now, s.EstimatedWork(j.req.Slots, j.class.LatencyObjective))
}

// placementCost rates a worker among equals: the fraction of a job's worth that is likely
// lost there, and the jobs that a crossing or a fetch stands for.
func (d *Dispatcher) placementCost(j *job, w *worker) float64 {
	cost := d.capacity.reports.Pressure(&w.report, j.req.Slots, d.now) / 2
	if cost >= 0.45 {
		cost = 1
	}
	if w.zone != d.cfg.Zone {
		cost += crossZoneCost * d.cfg.Prices.CrossZone / min(d.fleetScale, 8)
	}
	if d.needsConnection(w) {
		cost += 3 * d.cfg.Prices.Handshake
	}
	cost += (w.latencyRatio - 1) / 3
	switch {
	case !d.manyDispatchers():
	case d.inSlowStart(w) && d.slowStartWeight(w) < minHeavyJobWeight &&
		j.class.runtimes.Median() > d.minMedianRuntime():
		cost += heavyJobCost
	case j.class.Effect == AtMostOnce || d.remainingAttempts(j) == 1:
		cost += w.outlier.Cost(d.now) // it stays where it is sent: best where one of ours has just started
	case !d.inSlowStart(w): // which are paced
		cost += w.outlier.Cost(d.now) / 10
	}
	return cost
}
