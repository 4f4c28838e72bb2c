package foxlift

// Placement, by late binding: which worker gets a job, and whether it is asked for its load before.

import (
	"math"
	"slices"
)

const (
	sampled      = 24   // workers looked at for one job, of those with as many
	mostTried    = 1024 // workers that are all looked at for a job that may go anywhere but where it failed
	crossingJobs = 40.0 // of our jobs, that a crossing at the price of a whole job weighs; one of many has few
	unproven     = 3.0  // that a worker weighs where our last job found no room
	heavyFrom    = 0.3  // warmth from which a young worker gets other than the lightest jobs
	fetchJobs    = 2.0  // that a worker's fetch of what a job needs weighs: it holds a slot meanwhile
)

// pick finds the worker for a job: of those with room, the one with the fewest
// of our jobs, a crossing of zones and a fetch counting as some more, and ties
// going to the one that promises most. It is nil if none may.
func (d *Dispatcher) pick(j *job) *worker {
	if !d.listFresh() {
		return d.pickAccepting(j)
	}
	var best *worker
	bestCost := math.Inf(1)
	try := func(w *worker, extra float64, has bool) {
		d.looked++
		if !d.fits(j, w) {
			return
		}
		if j.req.Key != 0 && !has && !w.holds(j.req.Key) {
			extra += d.fetch(j)
		}
		if c := d.cost(j, w) + extra + d.rng.Float64()*1e-3; c < bestCost {
			best, bestCost = w, c
		}
	}
	if j.req.Key != 0 && (d.largeFleet() || d.cfg.Prices.Fetch > 0) {
		ws := d.homesOf(j)
		for i, w := range ws {
			if w.level >= 0 && (!w.loaded || d.reported(w, j.req.Slots) < 1) {
				try(w, float64(w.level)-4*d.cfg.Prices.Fetch*(1-float64(i)/float64(len(ws))), true)
			}
		}
		if j.class.Effect != AtMostOnce && d.largeFleet() && bestCost < unproven {
			return best // it mostly has a slot free, or soon
		}
	}
	for l := 0; l < d.levels && float64(l) < bestCost; l++ {
		ws := d.roomAt(j.class.Kind, l)
		if ws.size <= sampled || j.mayRan != nil && (ws.size <= mostTried || j.class.Effect != Idempotent) {
			for _, part := range ws.parts {
				for _, w := range part {
					try(w, float64(l), false)
				}
			}
			continue
		}
		for range sampled {
			try(ws.at(d.rng.IntN(ws.size)), float64(l), false)
		}
		for _, w := range d.fresh {
			if w != nil && w.level == l && (j.class.Kind < 0 || w.kind == j.class.Kind) {
				try(w, float64(l), false)
			}
		}
	}
	return best
}

// fetch is the jobs that a fetch weighs. It takes less of a long job's time; many look for room first.
func (d *Dispatcher) fetch(j *job) float64 {
	if !d.largeFleet() {
		return fetchJobs
	}
	return fetchJobs * min(1, 2*float64(d.lightest())/float64(max(1, j.class.median)))
}

const (
	mostHomes = 16  // that a key has
	homeRoom  = 1.5 // homes of a key over what its part of the jobs would fill
)

// homesOf returns the workers that are likely to have what the jobs with a key need: all
// dispatchers send them to the same few without speaking. Many spread a key over as many
// as its part of the jobs seen here asks for, and over one more after each attempt.
func (d *Dispatcher) homesOf(j *job) []*worker {
	if j.homesAt != d.lists {
		j.homes, j.homesOf = d.nearest(j)
		j.homesAt = d.lists
	}
	if !d.largeFleet() {
		return j.homes
	}
	n := max(1+len(j.attempts), int(homeRoom*d.keys.part(j.req.Key)*float64(j.homesOf)))
	return j.homes[:min(n, len(j.homes))]
}

// fits says whether a worker in the room lists suits this job.
func (d *Dispatcher) fits(j *job, w *worker) bool {
	if w.level < 0 || !d.maySend(j, w) || j.req.Among != nil && !slices.Contains(j.req.Among, w.id) {
		return false
	}
	if d.largeFleet() && j.class.Effect == AtMostOnce {
		room := d.queueRoom()
		if d.young(w) {
			room *= 2 // it mostly has room, and is paced
		}
		if d.waits >= room {
			return false
		}
	}
	if d.knows() && w.own > 0 && j.req.Memory > 0 && w.memory+j.req.Memory > d.memoryOf(w) {
		return false // it would wait at the head of the queue, and the others behind it
	}
	if w.trial && j.class.Effect == AtMostOnce && d.repeatable {
		return false // a worker that failed is tried with jobs that can be moved
	}
	if d.byTurns(w) && !d.bears(w, d.coldSize(j)) {
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
func (d *Dispatcher) cost(j *job, w *worker) float64 {
	c := d.pressure(w, j.req.Slots) / 2
	if c >= 0.45 {
		c = 1
	}
	if w.zone != d.cfg.Zone {
		c += crossingJobs * d.cfg.Prices.CrossZone / min(d.fleetScale, 8)
	}
	if d.dials(w) {
		c += 3 * d.cfg.Prices.Handshake
	}
	c += (w.slow - 1) / 3
	switch {
	case !d.largeFleet():
	case d.young(w) && d.warmth(w) < heavyFrom && j.class.median > d.lightest():
		c += crossingJobs
	case j.class.Effect == AtMostOnce || d.attemptsLeft(j) == 1:
		c += d.doubt(w) // it stays where it is sent: best where one of ours has just started
	case !d.young(w): // which are paced
		c += d.doubt(w) / 10
	}
	return c
}

// doubt rates how likely a job finds no slot free at a worker. What the last of ours found
// holds for long: of jobs sent where it had started at once 65 in 100 did in the next second
// and 45 later on, 24 where none of ours had been, 12 where it had not.
func (d *Dispatcher) doubt(w *worker) float64 {
	switch {
	case w.bad > w.good:
		return unproven
	case w.good == 0:
		return 0.85 * unproven
	}
	return 0.4 * unproven * (1 - math.Exp(-float64(d.now-w.good)/float64(2*second)))
}

// pressure guesses from the load report how likely a job waits: 0 to 1. An old
// report tells little, since the jobs it counted have ended: it fades towards
// what is usual in the fleet.
func (d *Dispatcher) pressure(w *worker, slots float64) float64 {
	if !w.loaded {
		return d.usual.avg
	}
	age := float64(d.now-w.loadAt) / float64(d.fade)
	return d.usual.avg + (d.reported(w, slots)-d.usual.avg)*math.Exp(-age)
}

// reported is the pressure that the last load report shows.
func (d *Dispatcher) reported(w *worker, slots float64) float64 {
	p, known := 0.0, false
	for i, g := range d.cfg.Gauges {
		x := w.load[i]
		switch g {
		case GaugeFreeSlots:
			free := x - w.since
			p, known = max(p, 1/max(1, 2+free-slots)), true
		case GaugeQueue:
			p, known = max(p, x/(1+x)), true
		case GaugeBusy:
			if !known {
				p = max(p, x*x)
			}
		}
	}
	return min(p, 1)
}

const fullFleet = 0.8 // usual pressure at which asking finds no room and only adds work

// scout lets a job wait a moment while two workers are asked for their load, where
// no two with room have reported lately: a quiet dispatcher knows of the fleet only what
// was true many jobs ago. The answers make those workers the last that reported.
func (d *Dispatcher) scout(j *job) bool {
	if d.knows() || !d.cfg.MayProbe || len(d.cfg.Gauges) == 0 ||
		len(d.live) <= len(d.fresh) || d.usual.avg > fullFleet {
		return false
	}
	known := 0
	for _, w := range d.fresh {
		if w != nil && w.level == 0 && d.now-w.loadAt < d.fade/8 && d.reported(w, 1) < 1 {
			known++
		}
	}
	if known >= 2 {
		return false
	}
	for range 2 {
		if w := d.live[d.rng.IntN(len(d.live))]; w.level == 0 && !d.young(w) {
			d.actions = append(d.actions, Action{Kind: ActionProbe, Worker: w.id})
			j.asked++
		}
	}
	if j.asked > 0 {
		d.scouting = append(d.scouting, j)
	}
	return j.asked > 0
}
