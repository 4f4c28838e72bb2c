package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// Stage 2, admit: a job is shed where too many are open, or where the scheduler ends before it would be
// done. Else it is assigned to its cell, whose dispatcher sends, queues or sheds it.

const defaultRetryAfter = time.Second // advice to clients whose jobs the core sheds

// shedRetryAfter returns that advice, where the settings allow one.
func (c *Core) shedRetryAfter() time.Duration {
	return min(defaultRetryAfter, time.Duration(c.settings.Module.MaxRetryAfter))
}

func (c *Core) admit(j *job) {
	// Past that number a job could wait unread, because no descriptor is left for its connection to a
	// worker. It is shed before the dispatcher learns of it.
	if len(c.jobs.open) > c.maxOpen {
		c.counters.Add("jobs.too_many")
		c.answer(j, Answer{Verdict: Shed, RetryAfter: c.shedRetryAfter()})
		return
	}
	class := &c.settings.Module.Classes[j.class]
	if c.shutdown.endsBefore(c.clock.Now() + class.LatencyObjective) { // another scheduler has more time
		c.counters.Add("jobs.at_end")
		c.answer(j, Answer{Verdict: Shed, RetryAfter: time.Duration(c.settings.Module.MaxRetryAfter)})
		return
	}
	c.assign(j)
}

// requestDispatch gives a job to the dispatcher of its cell.
func (c *Core) requestDispatch(j *job) {
	j.priorAttempts = len(j.attempts)
	j.cell.notify(foxlift.Event{Kind: foxlift.EventRequest, Request: foxlift.Request{
		ID: j.number, Class: j.class, Tenant: j.tenant, Deadline: j.deadline, Key: j.Key,
		Slots: j.Slots, Memory: j.Memory, ClientRetry: j.ClientRetry,
		Waited: max(0, c.clock.Now()-j.ArrivedAt), PriorAttempts: j.priorAttempts, AllowedWorkers: j.allowedWorkers,
	}})
}
