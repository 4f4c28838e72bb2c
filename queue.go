package foxlift

// The queues of the tenants. Nothing is decided here.

import "slices"

// tenantOf returns the tenant with an index. Jobs with an unknown index share the last tenant.
func (d *Dispatcher) tenantOf(i int) *tenant {
	if i < 0 || i >= len(d.cfg.Tenants) {
		i = len(d.tenants) - 1
	}
	return &d.tenants[i]
}

// enqueue appends a job to its tenant's queue for the job's class.
func (d *Dispatcher) enqueue(j *job) {
	j.queued = true
	q := &j.tenant.queues[j.req.Class]
	q.jobs = append(q.jobs, j)
}

// dequeue removes a job from its tenant's queue, if it is there.
func (t *tenant) dequeue(j *job) {
	q := &t.queues[j.req.Class]
	if i := slices.Index(q.jobs, j); i >= 0 {
		q.jobs = slices.Delete(q.jobs, i, i+1)
	}
	j.queued = false
}

// nextInQueue returns the oldest job of a queue, or the newest if newest is set. It skips the jobs for which
// this round of dispatch has found no worker, and returns nil if no other job is left.
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
