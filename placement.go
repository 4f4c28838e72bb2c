package foxlift

// Placement, by late binding: which worker gets a job, and whether it is asked for its load before.

import (
	"math"
	"slices"

	"github.com/vatu-meals/foxlift/internal/decision/health"
)

const (
	sampleSize     = 24   // workers looked at for one job, of those with as many
	maxScanned     = 1024 // workers that are all looked at for a job that may go anywhere but where it failed
	crossZoneJobs  = 40.0 // of our jobs, that a crossing at the price of a whole job weighs; one of many has few
	heavyJobWeight = 0.3  // warmth from which a young worker gets other than the lightest jobs
	fetchJobs      = 2.0  // that a worker's fetch of what a job needs weighs: it holds a slot meanwhile
)

// pick finds the worker for a job: of those with room, the one with the fewest
// of our jobs, a crossing of zones and a fetch counting as some more, and ties
// going to the one that promises most. It is nil if none may.
func (d *Dispatcher) pickWorker(j *job) *worker {
	if !d.lease.Fresh(d.now) {
		return d.pickAccepting(j)
	}
	var best *worker
	bestCost := math.Inf(1)
	try := func(w *worker, extra float64, has bool) {
		d.candidatesExamined++
		if !d.eligible(j, w) {
			return
		}
		if j.req.Key != 0 && !has && !w.cachedKeys.Contains(j.req.Key) {
			extra += d.fetchCost(j)
		}
		if c := d.placementCost(j, w) + extra + d.rng.Float64()*1e-3; c < bestCost {
			best, bestCost = w, c
		}
	}
	if j.req.Key != 0 && (d.largeFleet() || d.cfg.Prices.Fetch > 0) {
		ws := d.affinityWorkers(j)
		for i, w := range ws {
			if w.level >= 0 && (!w.report.Valid() || d.reports.Reported(&w.report, j.req.Slots) < 1) {
				try(w, float64(w.level)-4*d.cfg.Prices.Fetch*(1-float64(i)/float64(len(ws))), true)
			}
		}
		if j.class.Effect != AtMostOnce && d.largeFleet() && bestCost < health.UnprovenCost {
			return best // it mostly has a slot free, or soon
		}
	}
	for l := 0; l < d.freeLevels && float64(l) < bestCost; l++ {
		ws := d.freeAt(j.class.Kind, l)
		if ws.size <= sampleSize || j.mayHaveRun != nil && (ws.size <= maxScanned || j.class.Effect != Idempotent) {
			for _, part := range ws.parts {
				for _, w := range part {
					try(w, float64(l), false)
				}
			}
			continue
		}
		for range sampleSize {
			try(ws.at(d.rng.IntN(ws.size)), float64(l), false)
		}
		for _, w := range d.recentlyReported {
			if w != nil && w.level == l && (j.class.Kind < 0 || w.kind == j.class.Kind) {
				try(w, float64(l), false)
			}
		}
	}
	return best
}

// fetch is the jobs that a fetch weighs. It takes less of a long job's time; many look for room first.
func (d *Dispatcher) fetchCost(j *job) float64 {
	if !d.largeFleet() {
		return fetchJobs
	}
	return fetchJobs * min(1, 2*float64(d.minMedianRuntime())/float64(max(1, j.class.runtimes.Median())))
}

const affinityHeadroom = 1.5 // workers of a key over what its fraction of the jobs would fill

// affinityPool returns the workers that are likely to have what the jobs with a key need: all
// dispatchers send them to the same few without speaking. Many spread a key over as many
// as its part of the jobs seen here asks for, and over one more after each attempt.
func (d *Dispatcher) affinityWorkers(j *job) []*worker {
	if j.affinityEvent != d.endpointEvents {
		j.affinity, j.affinityPool = d.rankAffinity(j)
		j.affinityEvent = d.endpointEvents
	}
	if !d.largeFleet() {
		return j.affinity
	}
	n := max(1+len(j.attempts), int(affinityHeadroom*d.recentKeys.Fraction(j.req.Key)*float64(j.affinityPool)))
	return j.affinity[:min(n, len(j.affinity))]
}

// fits says whether a worker in the room lists suits this job.
func (d *Dispatcher) eligible(j *job, w *worker) bool {
	if w.level < 0 || !d.maySend(j, w) {
		return false
	}
	if j.req.AllowedWorkers != nil && !slices.Contains(j.req.AllowedWorkers, w.id) {
		return false
	}
	if d.largeFleet() && j.class.Effect == AtMostOnce {
		room := d.maxUnstarted()
		if d.inSlowStart(w) {
			room *= 2 // it mostly has room, and is paced
		}
		if d.unstarted >= room {
			return false
		}
	}
	if d.knowsAllUsage() && w.usedSlots > 0 && j.req.Memory > 0 &&
		w.usedMemory+j.req.Memory > d.memoryCapacity(w) {
		return false // it would wait at the head of the queue, and the others behind it
	}
	if w.outlier.OnTrial() && j.class.Effect == AtMostOnce && d.hasRepeatableClass {
		return false // a worker that failed is tried with jobs that can be moved
	}
	if d.slowStart.NeedsSlot(&w.warmup, d.now) &&
		!d.slowStart.Admits(&w.warmup, d.now, d.slowStart.Work(j.req.Slots, j.class.LatencyObjective)) {
		return false
	}
	for _, a := range j.attempts {
		if a.worker == w {
			return false
		}
	}
	return true
}

// cost rates a worker among equals: the share of a job's worth that is likely
// lost there, and the jobs that a crossing or a fetch stands for.
func (d *Dispatcher) placementCost(j *job, w *worker) float64 {
	c := d.reports.Pressure(&w.report, j.req.Slots, d.now) / 2
	if c >= 0.45 {
		c = 1
	}
	if w.zone != d.cfg.Zone {
		c += crossZoneJobs * d.cfg.Prices.CrossZone / min(d.fleetScale, 8)
	}
	if d.needsConnection(w) {
		c += 3 * d.cfg.Prices.Handshake
	}
	c += (w.latencyRatio - 1) / 3
	switch {
	case !d.largeFleet():
	case d.inSlowStart(w) && d.slowStartWeight(w) < heavyJobWeight &&
		j.class.runtimes.Median() > d.minMedianRuntime():
		c += crossZoneJobs
	case j.class.Effect == AtMostOnce || d.remainingAttempts(j) == 1:
		c += w.outlier.Cost(d.now) // it stays where it is sent: best where one of ours has just started
	case !d.inSlowStart(w): // which are paced
		c += w.outlier.Cost(d.now) / 10
	}
	return c
}

const saturatedPressure = 0.8 // usual pressure at which asking finds no room and only adds work

// scout lets a job wait a moment while two workers are asked for their load, where
// no two with room have reported lately: a quiet dispatcher knows of the fleet only what
// was true many jobs ago. The answers make those workers the last that reported.
func (d *Dispatcher) requestHealthChecks(j *job) bool {
	if d.knowsAllUsage() || !d.cfg.MayHealthCheck || len(d.cfg.Gauges) == 0 ||
		len(d.liveWorkers) <= len(d.recentlyReported) || d.reports.Usual().Average > saturatedPressure {
		return false
	}
	known := 0
	for _, w := range d.recentlyReported {
		if w != nil && w.level == 0 && d.reports.Recent(&w.report, d.now) && d.reports.Reported(&w.report, 1) < 1 {
			known++
		}
	}
	if known >= 2 {
		return false
	}
	for range 2 {
		if w := d.liveWorkers[d.rng.IntN(len(d.liveWorkers))]; w.level == 0 && !d.inSlowStart(w) {
			d.actions = append(d.actions, Action{Kind: ActionHealthCheck, Worker: w.id})
			j.healthChecks++
		}
	}
	if j.healthChecks > 0 {
		d.awaitingHealthCheck = append(d.awaitingHealthCheck, j)
	}
	return j.healthChecks > 0
}
