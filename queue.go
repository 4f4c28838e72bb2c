package foxlift

// The tenants' queues. Nothing is decided here.

import "slices"

// tenantOf finds a tenant; jobs of no known one have one of their own.
func (d *Dispatcher) tenantOf(i int) *tenant {
	if i < 0 || i >= len(d.cfg.Tenants) {
		i = len(d.tenants) - 1
	}
	return &d.tenants[i]
}

// enqueue puts a job into its tenant's queue.
func (d *Dispatcher) enqueue(j *job) {
	j.queued = true
	q := &j.tenant.queues[j.req.Class]
	q.jobs = append(q.jobs, j)
}

// dequeue takes a job out of its tenant's queue.
func (t *tenant) dequeue(j *job) {
	q := &t.queues[j.req.Class]
	if i := slices.Index(q.jobs, j); i >= 0 {
		q.jobs = slices.Delete(q.jobs, i, i+1)
	}
	j.queued = false
}

// nextInQueue returns the oldest job of a queue, or the newest, of those that this round of dispatch has
// not found without a worker; nil if there is none.
func nextInQueue(q []*job, newest bool, round int64) *job {
	for i := range q {
		j := q[i]
		if newest {
			j = q[len(q)-1-i]
		}
		if j.blockedRound != round {
			return j
		}
	}
	return nil
}

// hasQueued reports whether the tenant has queued jobs.
func (t *tenant) hasQueued() bool {
	for k := range t.queues {
		if len(t.queues[k].jobs) > 0 {
			return true
		}
	}
	return false
}
