package foxlift

// Jobs and their attempts. Nothing is decided here.

import "math"

// A job is a request that is queued or in flight, or that has ended and still has attempts in flight.
type job struct {
	id                  uint64
	class               *class
	tenant              *tenant
	req                 Request
	arrivedAt           int64
	addedAt             int64 // time of the step that added it
	firstAttemptAt      int64 // time when the client first sent the request, estimated from its deadline
	objective           int64 // latency objective of this job, counted from firstAttemptAt
	attempts            []*attempt
	inFlight            int       // number of attempts in flight
	mayHaveRun          *attempt  // first attempt that may have run; nil if none
	ended, queued       bool      // ended: answered, or its client has disconnected; queued: in its tenant's queue
	healthChecks        int       // number of health checks requested for it
	retryQueued         bool      // in jobTable.retryQueue
	stream              bool      // its answer streams: it is neither cancelled nor sent again
	blockedRound        int64     // last round of dispatch that found no worker for it
	affinity            []*worker // first workers in the order of its affinity key
	affinityPool        int       // number of workers in that order, of which affinity has the first
	affinityEventNumber int64     // number of the endpoint list event after which affinity was ranked
}

// An attempt is one run of a job on one worker.
type attempt struct {
	job               *job
	worker            *worker
	number            int   // index in job.attempts
	sentAt, startedAt int64 // startedAt is 0 until the start is reported
	index             int   // position in jobTable.inFlight
	path              int   // bit 0: it needed a new connection; bit 1: its worker is in another zone
	slots             float64
	done              bool // its outcome was reported
	mayHaveRun        bool // it has ended, and the job may have run
	overdue           bool // it has not started in time, and counts in worker.overdue
	unstarted         bool // it counts in jobTable.unstarted
	late              bool // its class's latency loop has counted it as late
}

// attemptOf returns the attempt that an event is about, or nil if it is unknown.
func (d *Dispatcher) attemptOf(e *Event) *attempt {
	j := d.jobs.byID[e.ID]
	if j == nil || e.Attempt < 0 || e.Attempt >= len(j.attempts) {
		return nil
	}
	return j.attempts[e.Attempt]
}

// updateMayHaveRun finds the first attempt of a job that may have run, after another was proved not to have;
// nil if there is none. An attempt in flight counts.
func (d *Dispatcher) updateMayHaveRun(j *job) {
	j.mayHaveRun = nil
	for _, a := range j.attempts {
		if !a.done || a.mayHaveRun {
			j.mayHaveRun = a
			return
		}
	}
}

// remainingAttempts returns how many more attempts a job may have: none if it is 0 or negative, and
// math.MaxInt if there is no limit.
func (d *Dispatcher) remainingAttempts(j *job) int {
	if d.cfg.MaxAttempts <= 0 {
		return math.MaxInt
	}
	return d.cfg.MaxAttempts - j.req.PriorAttempts - len(j.attempts)
}

// clearUnstarted removes an attempt from the count of those that wait for their start, if it is in it.
func (d *Dispatcher) clearUnstarted(a *attempt) {
	if a.unstarted {
		a.unstarted = false
		d.jobs.unstarted--
	}
}

// clearOverdue removes an attempt from its worker's count of overdue ones, if it is in it.
func (a *attempt) clearOverdue() {
	if a.overdue {
		a.overdue = false
		a.worker.overdue--
	}
}

// removeFinished deletes a job if it has ended and has no attempt in flight.
func (d *Dispatcher) removeFinished(j *job) {
	if j.ended && j.inFlight == 0 {
		delete(d.jobs.byID, j.id)
	}
}
