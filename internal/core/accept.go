package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// Stage 1, take in: a job that a front has read is checked against what holds
// for any front and gets its place in the table. What does not pass is answered
// as Rejected, and neither the module nor an execute node hears of it.

type jobSubmitted struct{ job *Job }

func (e jobSubmitted) apply(c *Core) {
	class, tenant, reason := c.validate(e.job)
	if reason != "" {
		e.job.reservation.release()
		if reason != repeatedID {
			c.idsInUse.Delete(e.job.ID)
		}
		c.counters.Add("jobs.rejected")
		e.job.Client.Answer(Answer{Verdict: Rejected, Reason: reason})
		return
	}
	c.counters.Add("jobs.taken")
	// A submitter may claim to wait for years: nothing waits longer than its class.
	longest := c.settings.Module.Classes[class].Deadline
	wait := min(max(int64(e.job.Remaining), 0), longest)
	c.lastNumber++
	j := &job{Job: e.job, number: c.lastNumber, class: class, tenant: tenant, deadline: e.job.ArrivedAt + wait, cell: c.ownerCell(tenant, e.job.Key)}
	c.jobs[j.number], c.open[j.ID] = j, j
	c.active.Store(int64(len(c.open)))
	// The module answers every job in time. Should it ever not, the submitter
	// still gets an answer: a little later than the end of the last claim, which
	// the module must hear of first.
	end := j.deadline + int64(overdueGrace)
	if c.shutdownDeadline > 0 {
		end = min(end, c.shutdownDeadline) // whoever is killed then has lost no job
	}
	j.overdueTimer = c.after(end-c.clock.Now(), jobOverdue{j})
	c.admit(j)
}

const overdueGrace = 30 * time.Millisecond // past the deadline; rules on sockets allow over 50

const repeatedID = "repeated id"

// check looks up the job's class and tenant; reason says what is wrong with it.
func (c *Core) validate(j *Job) (class, tenant int, reason string) {
	class, ok := c.settings.Classes[j.Class]
	if !ok {
		return 0, 0, "unknown class"
	}
	if c.settings.Module.Classes[class].Effect == foxlift.Deduplicated && !j.HasIdempotencyKey {
		return 0, 0, "no key, which its class needs"
	}
	tenant = -1
	if len(c.settings.Tenants) > 0 {
		if tenant, ok = c.settings.Tenants[j.Tenant]; !ok {
			return 0, 0, "unknown tenant"
		}
	}
	if _, answered := c.recentIDs[j.ID]; answered || c.open[j.ID] != nil {
		return 0, 0, repeatedID
	}
	return class, tenant, ""
}

type jobOverdue struct{ job *job }

func (e jobOverdue) apply(c *Core) {
	if !e.job.answered.Load() {
		c.counters.Add("jobs.overdue")
		c.abandon(e.job, Answer{Verdict: Failed, Reason: "overdue"})
	}
}

type clientLeft struct{ job *Job }

func (e clientLeft) apply(c *Core) {
	// The id may be in use by another job, where this one was a repeat of it.
	if j := c.open[e.job.ID]; j != nil && j.Job == e.job {
		c.counters.Add("jobs.left")
		c.abandon(j, Answer{Verdict: Failed, Reason: "the submitter left"})
	}
}

// remember keeps an answered job's id for the longest deadline.
func (c *Core) rememberID(id string, once bool) {
	c.recentIDs[id] = once
	c.after(c.maxDeadline, idExpired{id})
}

// An idExpired ends the time in which an answered job's id may not come again. A
// submitter that sends a job once more, instead of a new try with a new id, would
// have it run twice.
type idExpired struct{ id string }

func (e idExpired) apply(c *Core) {
	delete(c.recentIDs, e.id)
	c.idsInUse.Delete(e.id)
}

// remaining is how long the job's submitter still waits.
func (j *job) remaining(now int64) time.Duration { return time.Duration(j.deadline - now) }

// Accept brings a job. It is answered once, through its Client: where its cell
// has no room, at once and on the caller's goroutine, so that a flood of one cell
// does not even stand in the way of the others' events.
func (c *Core) Accept(j *Job) {
	if s := c.placement.Load(); s != nil {
		// An id that is in use first: to refuse it would promise that another try is
		// harmless, while the job that has it runs.
		if _, there := c.idsInUse.LoadOrStore(j.ID, struct{}{}); there {
			c.counters.Add("jobs.rejected")
			j.Client.Answer(Answer{Verdict: Rejected, Reason: repeatedID})
			return
		}
		if !s.reserve(c, j) {
			c.idsInUse.Delete(j.ID)
			c.counters.Add("jobs.taken")
			c.countShed(j)
			c.counters.Add("jobs.cell_full")
			j.Client.Answer(Answer{Verdict: Shed, RetryAfter: c.shedRetryAfter()})
			return
		}
	}
	c.post(jobSubmitted{j})
}

// Left says that a job's submitter has gone away. The answer still comes.
func (c *Core) ClientDisconnected(j *Job) { c.post(clientLeft{j}) }

// countShed counts the refusal of a job that has not been checked: its class may be unknown.
func (c *Core) countShed(j *Job) {
	if _, known := c.settings.Classes[j.Class]; known {
		c.counters.AddPart(VerdictCounters[Shed], j.Class)
		return
	}
	c.counters.Add(VerdictCounters[Shed])
}
