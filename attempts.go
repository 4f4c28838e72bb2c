package foxlift

// The life of a job's attempts: sends, retries, copies of overdue ones, the final answer, and the
// rules on effects, which say whether a job may be sent again.

// maySend is the one place that says whether a job may go to a worker now. The
// rules on effects are kept here, whatever the reason for sending.
func (d *Dispatcher) maySend(j *job, w *worker) bool {
	if j.ended || j.stream || d.now >= j.req.Deadline || w.state != Live {
		return false
	}
	if d.attemptsLeft(j) <= 0 {
		return false
	}
	if j.out > 0 && !d.cfg.MayCopy {
		return false
	}
	switch j.class.Effect {
	case AtMostOnce:
		return j.out == 0 && j.mayRan == nil
	case Deduplicated:
		first := j.mayRan
		if first == nil {
			return true
		}
		if d.now-first.sent >= j.class.KeyTTL {
			return false
		}
		return j.class.Scope == ScopeAll ||
			j.class.Scope == ScopeZone && w.zone == first.worker.zone && w.zone >= 0 ||
			j.class.Scope == ScopeCell && w.cell == first.worker.cell
	}
	return true
}

// mayRefuse says whether the client may be told that another try is harmless.
func (d *Dispatcher) mayRefuse(j *job) bool {
	return j.mayRan == nil || j.class.Effect == Idempotent ||
		j.class.Effect == Deduplicated && j.class.Scope == ScopeAll
}

// giveUp gives the final answer of a job that will not be served.
func (d *Dispatcher) giveUp(j *job, retryAfter int64) {
	if j.ended {
		return
	}
	if !d.mayRefuse(j) {
		d.actions = append(d.actions, Action{Kind: ActionFail, ID: j.id})
	} else {
		retryAfter = min(retryAfter, d.cfg.MaxRetryAfter)
		d.actions = append(d.actions, Action{Kind: ActionRefuse, ID: j.id, RetryAfter: retryAfter})
	}
	d.end(j)
}

// end marks a job as finally answered. Attempts still out are called off, and
// the job is kept until they have reported.
func (d *Dispatcher) end(j *job) {
	j.ended = true
	if j.queued {
		j.tenant.drop(j)
	}
	d.callOff(j)
	d.forget(j)
}

// callOff cancels the attempts of a job that are still out.
func (d *Dispatcher) callOff(j *job) {
	if !d.cfg.MayCancel || j.stream {
		return
	}
	for _, a := range j.attempts {
		if !a.done {
			d.actions = append(d.actions, Action{Kind: ActionCancel, ID: j.id, Attempt: a.number})
		}
	}
}

func (d *Dispatcher) send(j *job, w *worker) {
	a := &attempt{job: j, worker: w, number: len(j.attempts), sent: d.now, slots: j.req.Slots, index: len(d.out)}
	a.path = d.pathTo(w)
	j.attempts = append(j.attempts, a)
	d.out = append(d.out, a)
	j.out++
	if j.mayRan == nil {
		j.mayRan = a // until its outcome proves otherwise
	}
	if d.largeFleet() && d.cfg.StartNotes {
		if a.waits = j.class.Effect == AtMostOnce; a.waits {
			d.waits++
		}
		if at := d.now + d.startLimit(a); at < d.tickAt {
			d.tickAt = at
			d.actions = append(d.actions, Action{Kind: ActionTimer, At: at, Token: 1})
		}
	}
	d.copies = min(d.copies+copyShare, maxCopies)
	d.actions = append(d.actions, Action{Kind: ActionSend, ID: j.id, Worker: w.id})
	d.took(w, a)
}

func (d *Dispatcher) onStarted(e *Event) {
	a := d.attemptOf(e)
	if a == nil || a.done || a.started != 0 {
		return
	}
	a.started = d.now
	d.accepts(a)
	d.waited(a)
	a.job.stream = a.job.stream || e.Stream
	d.learnStart(a)
}

func (d *Dispatcher) onOutcome(e *Event) {
	a := d.attemptOf(e)
	if a == nil || a.done {
		return
	}
	j := a.job
	a.done = true
	d.waited(a)
	j.out--
	last := len(d.out) - 1
	d.out[a.index] = d.out[last]
	d.out[a.index].index = a.index
	d.out = d.out[:last]
	if e.Code.NeverRan() && j.mayRan == a {
		d.clearRan(j)
	}
	d.release(a, e)
	if e.Ended && !j.ended {
		d.end(j)
	}
	if j.ended {
		d.forget(j)
		return
	}
	if e.Code == Served {
		return // an ok that did not end the request is no news of it
	}
	d.retry(j, e.Code)
}

// retry decides on a job whose attempt has failed.
func (d *Dispatcher) retry(j *job, c Code) {
	if j.out > 0 {
		return // another attempt may still serve it
	}
	closed := j.class.Effect == AtMostOnce && j.mayRan != nil
	if d.attemptsLeft(j) <= 0 || closed || c == Blamed || d.now+d.tick >= j.req.Deadline {
		d.giveUp(j, 0)
		return
	}
	if !j.again {
		j.again = true
		d.resend = append(d.resend, j)
	}
}

// checkOverdue finds attempts that should have started or ended by now. Their
// worker gets nothing new until it is heard of (a hung worker answers nothing
// and would look free), and the job goes elsewhere where its class allows it.
func (d *Dispatcher) checkOverdue() {
	for i := len(d.out) - 1; i >= 0; i-- {
		a := d.out[i]
		j, age := a.job, d.now-a.sent
		if !a.late && age > 2*j.wanted {
			a.late = true
			j.class.sample(lateRatio)
		}
		if d.largeFleet() && a.started == 0 && !j.ended && j.class.Effect == Idempotent &&
			d.now-j.born >= d.timely(j)-j.class.median {
			// It can no more be in time: started late, it would make the next ones late.
			d.giveUp(j, d.comeBack())
			continue
		}
		if age > j.wanted/2 {
			d.waited(a) // the worker may hang: others need not wait for that
		}
		if a.overdue || a.started != 0 || age < d.startLimit(a) {
			continue
		}
		a.overdue = true
		a.worker.overdue++
		d.place(a.worker)
		if !j.ended && j.class.Effect != AtMostOnce && d.cfg.MayCopy && d.copies >= 1 && !j.again {
			// Where cancelled work runs on, and nobody says where, copies feed the very queues that made
			// starts late; few sends may be copies.
			d.copies = max(0, d.copies-1)
			j.again = true
			d.resend = append(d.resend, j)
		}
	}
}

const (
	copyShare = 0.05 // copies of overdue jobs, as a share of sends
	maxCopies = 5.0  // that may be saved up, for the moment when workers hang
)

// startLimit is how long an attempt may go without word of its start.
func (d *Dispatcher) startLimit(a *attempt) int64 {
	limit := a.job.wanted / 4
	if !d.cfg.StartNotes {
		limit = 2 * a.job.wanted
	}
	return max(limit, int64(d.starts.avg+4*d.starts.dev))
}
