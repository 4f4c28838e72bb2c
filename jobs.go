package foxlift

// The jobs and their attempts. Nothing is decided here.

import "math"

// A job is a request that is queued, in flight, or ended with attempts still in flight.
type job struct {
	id               uint64
	class            *class
	tenant           *tenant
	req              Request
	arrivedAt        int64
	firstAttemptAt   int64 // when its client first asked, as far as its deadline tells
	objective        int64 // it should take no longer than this
	attempts         []*attempt
	inFlight         int      // attempts in flight
	mayHaveRun       *attempt // the first attempt that may have run
	ended, queued    bool
	healthChecks     int       // workers that are checked for it
	retryQueued      bool      // in jobTable.retryQueue
	stream           bool      // bound to a stream: no deadline any more
	blockedRound     int64     // the round of dispatch that found no worker for it
	affinity         []*worker // the workers of its key, the first in its order first,
	affinityPool     int       // the first of so many workers,
	affinityRankedAt int64     // by the list event of this number
}

// An attempt is one run of a job on one worker.
type attempt struct {
	job               *job
	worker            *worker
	number            int
	sentAt, startedAt int64
	index             int // in jobTable.inFlight
	path              int // how it went: over a new connection 1, to another zone 2 more
	slots             float64
	done              bool
	mayHaveRun        bool // it ended, and may have run
	overdue           bool // not started in time, and counted so
	unstarted         bool // counted in jobTable.unstarted
	late              bool // counted as late in its class's loop
}

// attemptOf finds the attempt that an event is about, or nil.
func (d *Dispatcher) attemptOf(e *Event) *attempt {
	j := d.jobs.byID[e.ID]
	if j == nil || e.Attempt < 0 || e.Attempt >= len(j.attempts) {
		return nil
	}
	return j.attempts[e.Attempt]
}

// updateMayHaveRun finds the first attempt that may have run, now that one is proved
// never to have.
func (d *Dispatcher) updateMayHaveRun(j *job) {
	j.mayHaveRun = nil
	for _, a := range j.attempts {
		if !a.done || a.mayHaveRun {
			j.mayHaveRun = a
			return
		}
	}
}

// remainingAttempts is how many more attempts a job may have.
func (d *Dispatcher) remainingAttempts(j *job) int {
	if d.cfg.MaxAttempts <= 0 {
		return math.MaxInt
	}
	return d.cfg.MaxAttempts - j.req.PriorAttempts - len(j.attempts)
}

// recordStarted ends an attempt's wait for its start.
func (d *Dispatcher) clearUnstarted(a *attempt) {
	if a.unstarted {
		a.unstarted = false
		d.jobs.unstarted--
	}
}

// clearOverdue ends an attempt's being overdue.
func (a *attempt) clearOverdue() {
	if a.overdue {
		a.overdue = false
		a.worker.overdue--
	}
}

// forget drops a job that has ended once all its attempts have.
func (d *Dispatcher) removeFinished(j *job) {
	if j.ended && j.inFlight == 0 {
		delete(d.jobs.byID, j.id)
	}
}
