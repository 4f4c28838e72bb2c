package foxlift

import "github.com/vatu-meals/foxlift/internal/saturate"

// Admission control: which jobs are queued, for how long, and which are shed.

// onRequest adds a new job. The job is queued, or waits for health checks before that. A job whose deadline
// is at most two ticks away is queued and also urgent: shedUrgent answers it at the end of the step unless it
// was sent. A late job is only urgent, so it is always shed: it is past its maximum queue time, and at least
// two ticks old, and half of the start window is in use.
func (d *Dispatcher) onRequest(req *Request) {
	if req.Class < 0 || req.Class >= len(d.classes) || d.jobs.byID[req.ID] != nil {
		return // the host violates its contract: see the package comment
	}
	c := &d.classes[req.Class]
	j := &job{
		id: req.ID, class: c, tenant: d.tenantOf(req.Tenant), req: *req,
		arrivedAt: d.now - req.Waited, addedAt: d.now,
	}
	if j.req.Slots <= 0 {
		j.req.Slots = 1
	}
	size := c.runtimes.Median()
	if req.Size > 0 {
		size = req.Size
	}
	j.objective = c.LatencyObjective + saturate.Int64(c.ObjectiveStretch*float64(size))
	// A client's retry has the deadline of the client's first attempt, and its objective counts from that
	// attempt: a retry that is late already is worth nothing, and must not displace other jobs when capacity is
	// short. The time of the first attempt is estimated from the deadline and the longest wait of any client.
	clientWait := req.Deadline + req.Unread - j.arrivedAt // as if the request had been sent when it was read
	c.maxClientWait = max(c.maxClientWait, clientWait)
	j.firstAttemptAt = j.arrivedAt + clientWait - c.maxClientWait
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

// shedUrgent sheds the urgent jobs that were not sent in this step, with MaxRetryAfter as their retry time:
// those that arrived too late to meet their objective, and those whose deadline is too close to wait for the
// next tick. Without it a client's last retry, which may arrive just before its deadline, would get no answer
// at all.
func (d *Dispatcher) shedUrgent() {
	for _, j := range d.jobs.urgent {
		if len(j.attempts) == 0 {
			d.abandon(j, d.cfg.MaxRetryAfter)
		}
	}
	clear(d.jobs.urgent)
	d.jobs.urgent = d.jobs.urgent[:0]
}

// Bounds on queuing for a few dispatchers that do not exchange their usage (lacksPeerUsage). Each queues a
// large part of the fleet's work, and a job that is sent with just enough time for a median run is late at
// every worker that also has jobs of other dispatchers. In other fleets maxQueueTime has 1 for remainingRuns
// and 2 for excessQueueDivisor.
const (
	remainingRuns      = 2 // median runs that must fit between the longest queue time and the objective
	excessQueueDivisor = 8 // a job over its tenant's quota is queued for its class's objective over this
	newestFirstLength  = 3 // queue length of a class of a tenant from which the newest job is sent first
)

// lacksPeerUsage reports whether this is one of a few dispatchers that do not exchange their usage.
func (d *Dispatcher) lacksPeerUsage() bool { return !d.manyDispatchers() && !d.hasCompleteUsage() }

// maxQueueTime returns the age in nanoseconds at which a queued job is shed, at least 1. The age counts from
// the client's first attempt, and leaves time for a median run and the start delay before timelyLimit. Jobs
// of a tenant that exceeds its quota are shed earlier, at a fraction of their class's objective: jobs over
// the quota are worth almost nothing, and a long queue of them would delay the tenant's other jobs.
func (d *Dispatcher) maxQueueTime(j *job) int64 {
	divisor, runs := int64(2), int64(1)
	if d.lacksPeerUsage() {
		divisor, runs = excessQueueDivisor, remainingRuns
	}
	if j.tenant.quota.ExceedsQuota() {
		return max(1, j.class.LatencyObjective/divisor)
	}
	return max(1, d.latestStart(j, runs)-d.capacity.startDelays.Bound(2))
}

// latestStart returns the age in nanoseconds up to which the given number of median runs of a job still end
// by timelyLimit. It is at least half of timelyLimit while no running times of the class are measured: the
// median is the whole objective then, which would leave a job no time to wait.
func (d *Dispatcher) latestStart(j *job, runs int64) int64 {
	limit := d.timelyLimit(j)
	start := limit - runs*j.class.runtimes.Median()
	if !j.class.runtimes.Measured() {
		return max(start, limit/2)
	}
	return start
}

// newestFirst reports whether the newest job of a tenant's queue is sent first. It is the one with the most
// time left, which matters where most jobs of the queue must be shed or where more jobs are queued than can
// all meet their objective.
func (d *Dispatcher) newestFirst(t *tenant, q []*job) bool {
	return t.quota.ExceedsQuota() || d.lacksPeerUsage() && len(q) >= newestFirstLength
}

// timelyLimit returns the age in nanoseconds up to which a job counts as able to meet its objective: the
// objective itself, except for a job without a size estimate at one of many dispatchers. Its limit is based
// on the lower quartile of the running times: the median includes fetches and slow workers, so a light job
// has a shorter objective, and many dispatchers cannot afford to queue jobs that miss it.
func (d *Dispatcher) timelyLimit(j *job) int64 {
	if !d.manyDispatchers() || j.req.Size > 0 {
		return j.objective
	}
	stretch := j.class.ObjectiveStretch * float64(j.class.runtimes.LowerQuartile())
	return j.class.LatencyObjective + saturate.Int64(stretch)
}

// retryAfter returns the time after which a client should retry a job that was shed because capacity is
// short: a random time from half of MaxRetryAfter to the whole, so that clients do not all retry at once. It
// is 0, which means no advice, if MaxRetryAfter is 0.
func (d *Dispatcher) retryAfter() int64 {
	return d.cfg.MaxRetryAfter/2 + d.rng.Int64N(d.cfg.MaxRetryAfter/2+1)
}

// expireQueued sheds the queued jobs that have reached their maximum queue time or are at most two ticks from
// their deadline: those that were added in this step, if addedInStep is true, otherwise all others.
func (d *Dispatcher) expireQueued(addedInStep bool) {
	for i := range d.tenants {
		t := &d.tenants[i]
		for k := range t.queues {
			q := &t.queues[k]
			for n := 0; n < len(q.jobs); {
				j := q.jobs[n]
				isNew := j.addedAt == d.now
				if isNew != addedInStep || !d.isExpired(j) {
					n++
					continue
				}
				d.abandon(j, d.retryAfter())
			}
		}
	}
}

// isExpired reports whether a queued job has reached its maximum queue time or is at most two ticks from its
// deadline.
func (d *Dispatcher) isExpired(j *job) bool {
	return d.now-j.firstAttemptAt >= d.maxQueueTime(j) || d.now+2*d.tickInterval >= j.req.Deadline
}
