package foxlift

// Admission control: which jobs are queued, for how long, and which are shed.

// accept takes a new job in: it is queued, waits for health checks, or is urgent.
func (d *Dispatcher) onRequest(req *Request) {
	if req.Class < 0 || req.Class >= len(d.classes) || d.jobs.byID[req.ID] != nil {
		return // the host broke the contract: there is nothing sensible to do
	}
	c := &d.classes[req.Class]
	j := &job{id: req.ID, class: c, tenant: d.tenantOf(req.Tenant), req: *req, arrivedAt: d.now - req.Waited}
	if j.req.Slots <= 0 {
		j.req.Slots = 1
	}
	size := c.runtimes.Median()
	if req.Size > 0 {
		size = req.Size
	}
	j.objective = c.LatencyObjective + int64(c.ObjectiveStretch*float64(size))
	// A client's retry brings what is left of its patience: the job is as old as the first attempt. Its
	// objective counts from there, and what is too late for it is worth nothing: where capacity is short
	// it must not take the place of the rest.
	c.maxClientWait = max(c.maxClientWait, req.Deadline-j.arrivedAt)
	j.firstAttemptAt = req.Deadline - c.maxClientWait
	d.jobs.byID[req.ID] = j
	d.keys.keyLog.Add(req.Key)
	d.rate.RecordArrival()
	j.tenant.quota.RecordArrival(req.Class)
	age := d.now - j.firstAttemptAt
	halfFull := d.occupiedSlots() >= d.capacity.startWindow.Slots()/2
	late := halfFull && age >= max(d.maxQueueTime(j), 2*d.tickInterval)
	if late || req.Deadline-d.now <= 2*d.tickInterval {
		d.jobs.urgent = append(d.jobs.urgent, j)
	} else if d.requestHealthChecks(j) {
		return
	}
	if !late {
		d.enqueue(j)
	}
}

// shedUrgent sheds the jobs that came too late, and those that have found no worker at once and have no
// time to wait for the next tick: a client's last retry may come just before its deadline, and would get
// no answer at all.
func (d *Dispatcher) shedUrgent() {
	for _, j := range d.jobs.urgent {
		if len(j.attempts) == 0 {
			d.abandon(j, d.cfg.MaxRetryAfter)
		}
	}
	clear(d.jobs.urgent)
	d.jobs.urgent = d.jobs.urgent[:0]
}

// How long a few dispatchers queue jobs that do not tell each other of their usage. What each queues is a
// large part of the fleet's work, and a job sent with time for the median run is late at every worker that
// has others' jobs.
const (
	remainingRuns      = 2 // median runs that fit after the longest time in the queue; 1 elsewhere
	excessQueueDivisor = 8 // part of its objective that a job of a tenant over its quota is queued; 2 elsewhere
	newestFirstLength  = 3 // queued jobs of one class and tenant, of which the newest goes first
)

// lacksPeerUsage says that this is one of a few dispatchers, and does not know of the others' jobs.
func (d *Dispatcher) lacksPeerUsage() bool { return !d.manyDispatchers() && !d.hasCompleteUsage() }

// maxQueueTime is how old a queued job may become. That of a tenant over its quota is shed early: what it
// sends past the quota is nearly worthless, and a queue of it would delay the rest.
func (d *Dispatcher) maxQueueTime(j *job) int64 {
	divisor, runs := int64(2), int64(1)
	if d.lacksPeerUsage() {
		divisor, runs = excessQueueDivisor, remainingRuns
	}
	if j.tenant.quota.ExceedsQuota() {
		return max(1, j.class.LatencyObjective/divisor)
	}
	return max(1, d.timelyLimit(j)-runs*j.class.runtimes.Median()-d.capacity.startDelays.Bound(2))
}

// newestFirst says that of a tenant's queue the newest job goes first, which has its whole time
// before it: most must be refused, or more wait than can all be in time.
func (d *Dispatcher) newestFirst(t *tenant, q []*job) bool {
	return t.quota.ExceedsQuota() || d.lacksPeerUsage() && len(q) >= newestFirstLength
}

// timelyLimit is the time in which a job without a size hint surely meets its objective. The median that
// stands for its own work has fetches and slow workers in it: what is expected of a light job is less, and
// many dispatchers have no queue to spare for those that miss it.
func (d *Dispatcher) timelyLimit(j *job) int64 {
	if !d.manyDispatchers() || j.req.Size > 0 {
		return j.objective
	}
	return j.class.LatencyObjective + int64(j.class.ObjectiveStretch*float64(j.class.runtimes.LowerQuartile()))
}

// retryAfter is the advice to a client whose job was shed for want of capacity; with jitter.
func (d *Dispatcher) retryAfter() int64 {
	return d.cfg.MaxRetryAfter/2 + d.rng.Int64N(d.cfg.MaxRetryAfter/2+1)
}

// expireQueued sheds jobs that have waited too long to meet their objective.
func (d *Dispatcher) expireQueued() {
	for i := range d.tenants {
		t := &d.tenants[i]
		for k := range t.queues {
			q := &t.queues[k]
			for n := 0; n < len(q.jobs); {
				j := q.jobs[n]
				if d.now-j.firstAttemptAt < d.maxQueueTime(j) && d.now+2*d.tickInterval < j.req.Deadline {
					n++
					continue
				}
				d.abandon(j, d.retryAfter())
			}
		}
	}
}
