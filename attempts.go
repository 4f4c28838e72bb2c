package foxlift

// Attempts of jobs: sends, outcomes, retries, hedges of overdue attempts, final answers, and the rules by
// which the effect of a class allows a job to be sent again.

// maySend reports whether a job may be sent to a worker now. Every send is checked here, whatever its reason,
// so that this function alone enforces the rules on effects.
func (d *Dispatcher) maySend(j *job, w *worker) bool {
	if j.ended || j.stream || d.now >= j.req.Deadline || w.state != Live {
		return false
	}
	if d.remainingAttempts(j) <= 0 {
		return false
	}
	if j.inFlight > 0 && !d.cfg.MayHedge {
		return false
	}
	switch j.class.Effect {
	case AtMostOnce:
		return j.inFlight == 0 && j.mayHaveRun == nil
	case Deduplicated:
		first := j.mayHaveRun
		if first == nil {
			return true
		}
		if d.now-first.sentAt >= j.class.KeyTTL {
			return false
		}
		return j.class.Scope == ScopeAll ||
			j.class.Scope == ScopeZone && w.zone == first.worker.zone && w.zone >= 0 ||
			j.class.Scope == ScopeCell && w.cell == first.worker.cell
	}
	return true
}

// mayShed reports whether the job may be shed, which tells the client that it may safely retry.
func (d *Dispatcher) mayShed(j *job) bool {
	return j.mayHaveRun == nil || j.class.Effect == Idempotent ||
		j.class.Effect == Deduplicated && j.class.Scope == ScopeAll
}

// abandon ends a job that will not be served, and cancels its attempts if the host can. It sheds the job with
// the given retry time in nanoseconds, at most MaxRetryAfter, or fails it if a retry by the client may not be
// safe. A job that has ended is left alone.
func (d *Dispatcher) abandon(j *job, retryAfter int64) {
	if j.ended {
		return
	}
	if !d.mayShed(j) {
		d.actions = append(d.actions, Action{Kind: ActionFail, ID: j.id})
	} else {
		retryAfter = min(retryAfter, d.cfg.MaxRetryAfter)
		d.actions = append(d.actions, Action{Kind: ActionShed, ID: j.id, RetryAfter: retryAfter})
	}
	d.finish(j)
}

// finish marks a job as ended, removes it from its queue and cancels its attempts in flight. The job is kept
// until they have their outcomes.
func (d *Dispatcher) finish(j *job) {
	j.ended = true
	if j.queued {
		j.tenant.dequeue(j)
	}
	d.cancelAttempts(j)
	d.removeFinished(j)
}

// cancelAttempts cancels the attempts of a job that are in flight. It does nothing if the host cannot cancel,
// or if the answer of the job streams.
func (d *Dispatcher) cancelAttempts(j *job) {
	if !d.cfg.MayCancel || j.stream {
		return
	}
	for _, a := range j.attempts {
		if !a.done {
			d.actions = append(d.actions, Action{Kind: ActionCancel, ID: j.id, Attempt: a.number})
		}
	}
}

// send starts an attempt of a job at a worker and adds to the hedge budget. With many dispatchers and start
// notes the next tick is brought forward to the time at which the attempt becomes overdue.
func (d *Dispatcher) send(j *job, w *worker) {
	a := &attempt{
		job: j, worker: w, number: len(j.attempts),
		sentAt: d.now, slots: j.req.Slots, index: len(d.jobs.inFlight),
	}
	a.path = d.pathTo(w)
	j.attempts = append(j.attempts, a)
	d.jobs.inFlight = append(d.jobs.inFlight, a)
	j.inFlight++
	if j.mayHaveRun == nil {
		j.mayHaveRun = a // until its outcome proves otherwise
	}
	if d.manyDispatchers() && d.cfg.StartNotes {
		if a.unstarted = j.class.Effect == AtMostOnce; a.unstarted {
			d.jobs.unstarted++
		}
		if at := d.now + d.startLimit(a); at < d.timing.nextTickAt {
			d.timing.nextTickAt = at
			d.actions = append(d.actions, Action{Kind: ActionTimer, At: at, Token: 1})
		}
	}
	d.jobs.hedgeBudget = min(d.jobs.hedgeBudget+hedgesPerSend, maxHedgeBudget)
	d.actions = append(d.actions, Action{Kind: ActionSend, ID: j.id, Worker: w.id})
	d.recordSend(w, a)
}

// onStarted records that the worker has started an attempt. It ignores attempts that are unknown, have ended
// or were reported as started before.
func (d *Dispatcher) onStarted(e *Event) {
	a := d.attemptOf(e)
	if a == nil || a.done || a.startedAt != 0 {
		return
	}
	a.startedAt = d.now
	d.clearUnstarted(a)
	a.job.stream = a.job.stream || e.Stream
	d.recordStart(a)
}

// onOutcome ends an attempt. The job ends if the event says so; otherwise it is retried, unless the attempt
// was served. An unknown attempt or one that has ended is ignored.
func (d *Dispatcher) onOutcome(e *Event) {
	a := d.attemptOf(e)
	if a == nil || a.done {
		return
	}
	j := a.job
	a.done = true
	d.clearUnstarted(a)
	j.inFlight--
	last := len(d.jobs.inFlight) - 1
	d.jobs.inFlight[a.index] = d.jobs.inFlight[last]
	d.jobs.inFlight[a.index].index = a.index
	d.jobs.inFlight = d.jobs.inFlight[:last]
	if e.Code.NeverRan() && j.mayHaveRun == a {
		d.updateMayHaveRun(j)
	}
	d.recordOutcome(a, e)
	if e.Ended && !j.ended {
		d.finish(j)
	}
	if j.ended {
		d.removeFinished(j)
		return
	}
	if e.Code == Served {
		return // served, but the host has not answered the client with it: the job stays as it is
	}
	d.retry(j, e.Code)
}

// retry queues a job for a retry after an attempt of it failed, or abandons the job if it may not be sent
// again, the worker called it invalid or its deadline is at most a tick away. While another attempt is in
// flight it does nothing.
func (d *Dispatcher) retry(j *job, c Code) {
	if j.inFlight > 0 {
		return // another attempt may still serve it
	}
	noRepeat := j.class.Effect == AtMostOnce && j.mayHaveRun != nil
	if d.remainingAttempts(j) <= 0 || noRepeat || c == InvalidRequest || d.now+d.tickInterval >= j.req.Deadline {
		d.abandon(j, 0)
		return
	}
	if !j.retryQueued {
		j.retryQueued = true
		d.jobs.retryQueue = append(d.jobs.retryQueue, j)
	}
}

// checkOverdue finds the attempts in flight that should have started or ended by now. An attempt that is not
// reported as started within startLimit is overdue. Its worker gets no new jobs until the attempt starts or
// ends, because a hung worker answers nothing and would look free; its job is hedged at another worker if the
// class and the hedge budget allow that. After twice its job's objective an attempt counts as late.
func (d *Dispatcher) checkOverdue() {
	for i := len(d.jobs.inFlight) - 1; i >= 0; i-- {
		a := d.jobs.inFlight[i]
		j, age := a.job, d.now-a.sentAt
		if !a.late && age > 2*j.objective {
			a.late = true
			j.class.loop.SampleLate()
		}
		if d.manyDispatchers() && a.startedAt == 0 && !j.ended && j.class.Effect == Idempotent &&
			d.now-j.firstAttemptAt >= d.latestStart(j, 1) {
			// The job can no longer meet its objective, and starting it now would make later jobs late.
			d.abandon(j, d.retryAfter())
			continue
		}
		if age > j.objective/2 {
			d.clearUnstarted(a) // the worker may hang: it must not hold back jobs for other workers
		}
		if a.overdue || a.startedAt != 0 || age < d.startLimit(a) {
			continue
		}
		a.overdue = true
		a.worker.overdue++
		d.updateLevel(a.worker)
		if !j.ended && j.class.Effect != AtMostOnce && d.cfg.MayHedge && d.jobs.hedgeBudget >= 1 && !j.retryQueued {
			// The budget keeps hedges a small fraction of all sends: where workers do not stop cancelled jobs,
			// which no setting shows, hedges lengthen the very queues that made the starts late.
			d.jobs.hedgeBudget = max(0, d.jobs.hedgeBudget-1)
			j.retryQueued = true
			d.jobs.retryQueue = append(d.jobs.retryQueue, j)
		}
	}
}

const (
	hedgesPerSend  = 0.05 // hedges of overdue attempts that each send adds to the budget
	maxHedgeBudget = 5.0  // maximum and initial budget, in hedges, for the case that workers hang
)

// startLimit returns the time in nanoseconds after its send at which an attempt that is not reported as
// started is overdue: a quarter of the job's objective, or twice the objective if workers do not report
// starts, but at least the average start delay plus four mean deviations.
func (d *Dispatcher) startLimit(a *attempt) int64 {
	limit := a.job.objective / 4
	if !d.cfg.StartNotes {
		limit = 2 * a.job.objective
	}
	return max(limit, d.capacity.startDelays.Bound(4))
}
