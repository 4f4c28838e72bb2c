package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// Stage 1, accept: a job that a client sent gets its place in its cell's admission bound, is validated,
// and enters the job table. A job that is not valid is answered as Rejected; neither a dispatcher nor a
// worker learns of it.

// overdueGrace is how long past its deadline a job is answered at the latest. The platform's rules on
// sockets allow over 50 ms.
const overdueGrace = 30 * time.Millisecond

// Accept brings a job. It is answered once, through its Client: where its cell has no room, at once and
// on the caller's goroutine, so that a flood of one cell delays no event of another.
func (c *Core) Accept(j *Job) {
	if p := c.placement.Load(); p != nil && !c.reserveOrAnswer(p, j) {
		return
	}
	c.loop.post(jobSubmitted{j})
}

// reserveOrAnswer takes a place in the admission bound of the job's cell. Where it cannot, it answers
// the job and returns false.
func (c *Core) reserveOrAnswer(p *placement, j *Job) bool {
	// The id is looked at first: to shed a job whose id is in use would promise that a retry is
	// harmless, while the job that has the id runs.
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

// countShed counts that a job was shed before it was validated: its class may be unknown.
func (c *Core) countShed(j *Job) {
	if _, known := c.settings.Classes[j.Class]; known {
		c.counters.AddLabeled(VerdictCounters[Shed], j.Class)
		return
	}
	c.counters.Add(VerdictCounters[Shed])
}

type jobSubmitted struct{ job *Job }

func (e jobSubmitted) apply(c *Core) {
	class, tenant, reason := c.validate(e.job)
	if reason != "" {
		c.reject(e.job, reason)
		return
	}
	c.counters.Add("jobs.taken")
	// A client may say that it waits for years: no job waits longer than its class allows.
	maxWait := c.settings.Module.Classes[class].Deadline
	wait := min(max(int64(e.job.Remaining), 0), maxWait)
	j := &job{
		Job: e.job, class: class, tenant: tenant,
		deadline: e.job.ArrivedAt + wait, cell: c.ownerCell(tenant, e.job.Key),
	}
	c.jobs.add(j)
	c.updateActive()
	c.startOverdueTimer(j)
	c.admit(j)
}

// validate looks up the job's class and tenant. The reason says why the job is rejected; "" if it is valid.
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

// reject answers a job that is not valid.
func (c *Core) reject(j *Job, reason Reason) {
	j.reservation.release()
	if reason != ReasonRepeatedID { // else the id is that of another job
		c.idsInUse.Delete(j.ID)
	}
	c.counters.Add("jobs.rejected")
	j.Client.Answer(Answer{Verdict: Rejected, Reason: reason})
}

// startOverdueTimer makes sure that the client gets an answer. The dispatcher answers every job in time;
// should it ever not, the core does, a little later than the end of the last attempt, of which the
// dispatcher must learn first. In a shutdown it does so before the process may be killed.
func (c *Core) startOverdueTimer(j *job) {
	at := c.shutdown.capAtDeadline(j.deadline + int64(overdueGrace))
	j.overdueTimer = c.loop.postAfter(time.Duration(at-c.clock.Now()), jobOverdue{j})
}

type jobOverdue struct{ job *job }

func (e jobOverdue) apply(c *Core) {
	if !e.job.answered.Load() {
		c.counters.Add("jobs.overdue")
		c.abandon(e.job, Answer{Verdict: Failed, Reason: ReasonOverdue})
	}
}

// ClientDisconnected says that a job's client has gone away. The answer still comes.
func (c *Core) ClientDisconnected(j *Job) { c.loop.post(clientDisconnected{j}) }

type clientDisconnected struct{ job *Job }

func (e clientDisconnected) apply(c *Core) {
	// The id may be in use by another job, where this one was a repeat of it.
	if j := c.jobs.open[e.job.ID]; j != nil && j.Job == e.job {
		c.counters.Add("jobs.left")
		c.abandon(j, Answer{Verdict: Failed, Reason: ReasonClientDisconnected})
	}
}
