package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// Stage 1, accept: a submitted job reserves capacity in the admission bound of its cell, is validated and is
// added to the job table. An invalid job is answered as Rejected and reaches neither a dispatcher nor a
// worker.

// overdueGrace is the time after a job's deadline at which the core answers it if its dispatcher has not. It is
// below the delay that the platform's socket rules allow, which is over 50 ms.
const overdueGrace = 30 * time.Millisecond

// Accept submits a job, which is answered exactly once, through its Client; after Stop it may not be answered.
// With cells, a job whose id is in use is rejected and a job beyond the admission bound of its cell is shed
// before Accept returns, on the caller's goroutine, so that a flood in one cell does not delay the events of
// other cells. Before Start these bounds are 0.
func (c *Core) Accept(j *Job) {
	if p := c.placement.Load(); p != nil && !c.reserveOrAnswer(p, j) {
		return
	}
	c.loop.post(jobSubmitted{j})
}

// reserveOrAnswer records the job's id as in use and reserves capacity for the job in the admission bound of
// its cell. If the id is in use already or the bound is reached, it answers the job and returns false.
func (c *Core) reserveOrAnswer(p *placement, j *Job) bool {
	// The id is checked before the bound: shedding a job whose id is in use would tell the client that a
	// retry is safe, although the job with this id may be running.
	if _, inUse := c.idsInUse.LoadOrStore(j.ID, struct{}{}); inUse {
		c.counters.Add("jobs.rejected")
		j.Client.Answer(Answer{Verdict: Rejected, Reason: ReasonRepeatedID})
		return false
	}
	if !p.reserve(j, c.tenantIndex(j.Tenant)) {
		c.idsInUse.Delete(j.ID)
		c.counters.Add("jobs.taken")
		c.countShed(j)
		c.counters.Add("jobs.cell_full")
		j.Client.Answer(Answer{Verdict: Shed, RetryAfter: c.shedRetryAfter()})
		return false
	}
	return true
}

// countShed counts a job that is shed before validation, without the class label if its class is unknown.
func (c *Core) countShed(j *Job) {
	if _, known := c.settings.Classes[j.Class]; known {
		c.counters.AddLabeled(VerdictCounters[Shed], j.Class)
		return
	}
	c.counters.Add(VerdictCounters[Shed])
}

// A jobSubmitted event is a job that Accept has passed on to the event loop.
type jobSubmitted struct{ job *Job }

func (e jobSubmitted) apply(c *Core) {
	class, tenant, reason := c.validate(e.job)
	if reason != "" {
		c.reject(e.job, reason)
		return
	}
	c.counters.Add("jobs.taken")
	// The client chooses Remaining freely, so the deadline of the class bounds it.
	maxWait := c.settings.Module.Classes[class].Deadline
	wait := min(max(int64(e.job.Remaining), 0), maxWait)
	j := &job{
		Job: e.job, class: class, tenant: tenant,
		deadline: e.job.ArrivedAt + wait, cell: c.ownerCell(tenant, e.job.Key),
	}
	c.jobs.add(j)
	c.updateActive()
	c.startOverdueTimer(j)
	if c.mustAwaitIDs(j) {
		c.hold(j)
		return
	}
	c.admit(j)
}

// validate returns the indexes of the job's class and tenant (noTenant if the settings have no tenants), and
// the reason for rejecting the job. The reason is "" if the job is valid; otherwise the indexes are 0.
func (c *Core) validate(j *Job) (class, tenant int, reason Reason) {
	class, ok := c.settings.Classes[j.Class]
	if !ok {
		return 0, 0, ReasonUnknownClass
	}
	if c.settings.Module.Classes[class].Effect == foxlift.Deduplicated && !j.HasIdempotencyKey {
		return 0, 0, ReasonNoIdempotencyKey
	}
	tenant = noTenant
	if len(c.settings.Tenants) > 0 {
		if tenant, ok = c.settings.Tenants[j.Tenant]; !ok {
			return 0, 0, ReasonUnknownTenant
		}
	}
	if c.jobs.isKnown(j.ID) {
		return 0, 0, ReasonRepeatedID
	}
	return class, tenant, ""
}

// reject answers an invalid job as Rejected and releases its reservation and its id.
func (c *Core) reject(j *Job, reason Reason) {
	j.reservation.release()
	if reason != ReasonRepeatedID { // otherwise the id belongs to another job, open or recently answered
		c.idsInUse.Delete(j.ID)
	}
	c.counters.Add("jobs.rejected")
	j.Client.Answer(Answer{Verdict: Rejected, Reason: reason})
}

// startOverdueTimer starts the timer that answers the job if its dispatcher fails to, which would be a
// defect. The timer fires overdueGrace after the deadline, so that the dispatcher first receives the outcome
// of the last attempt. For a job accepted during a shutdown it fires at the shutdown deadline at the latest,
// before the process may be killed.
func (c *Core) startOverdueTimer(j *job) {
	at := c.shutdown.capAtDeadline(j.deadline + int64(overdueGrace))
	j.overdueTimer = c.loop.postAfter(time.Duration(at-c.clock.Now()), jobOverdue{j})
}

// A jobOverdue event means that the overdue timer of a job has fired.
type jobOverdue struct{ job *job }

func (e jobOverdue) apply(c *Core) {
	if !e.job.answered.Load() {
		c.counters.Add("jobs.overdue")
		c.abandon(e.job, Answer{Verdict: Failed, Reason: ReasonOverdue})
	}
}

// ClientDisconnected reports that the client of a job has disconnected. If the job is open it is answered as
// Failed with ReasonClientDisconnected: Client.Answer is called even then.
func (c *Core) ClientDisconnected(j *Job) { c.loop.post(clientDisconnected{j}) }

// A clientDisconnected event means that the client of a job has disconnected.
type clientDisconnected struct{ job *Job }

func (e clientDisconnected) apply(c *Core) {
	// If this job was rejected for a repeated id, the open job with the id is a different one.
	if j := c.jobs.open[e.job.ID]; j != nil && j.Job == e.job {
		c.counters.Add("jobs.left")
		c.abandon(j, Answer{Verdict: Failed, Reason: ReasonClientDisconnected})
	}
}
