package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

const defaultRetryAfter = time.Second // advice to submitters when there is no room

// shedRetryAfter is that advice, where the settings allow one.
func (c *Core) shedRetryAfter() time.Duration {
	return min(defaultRetryAfter, time.Duration(c.settings.Module.MaxRetryAfter))
}

// Stage 2, admit: the module hears of the job and holds, sends or refuses it.
// Past the number that may be open it is refused before the module: a job that
// waits unread because no descriptor is left for its connection is lost.
func (c *Core) admit(j *job) {
	if len(c.open) > c.maxOpen {
		c.counters.Add("jobs.too_many")
		c.answer(j, Answer{Verdict: Shed, RetryAfter: c.shedRetryAfter()})
		return
	}
	if class := &c.settings.Module.Classes[j.class]; c.shutdownDeadline > 0 && c.clock.Now()+class.LatencyObjective > c.shutdownDeadline {
		// It would hardly be done before the end: another scheduler has more time.
		c.counters.Add("jobs.at_end")
		c.answer(j, Answer{Verdict: Shed, RetryAfter: time.Duration(c.settings.Module.MaxRetryAfter)})
		return
	}
	c.assign(j)
}

// hand gives a job to the module of its cell.
func (c *Core) requestDispatch(j *job) {
	j.priorAttempts = len(j.attempts)
	j.cell.notify(foxlift.Event{Kind: foxlift.EventRequest, Request: foxlift.Request{
		ID: j.number, Class: j.class, Tenant: j.tenant, Deadline: j.deadline, Key: j.Key,
		Slots: j.Slots, Memory: j.Memory, ClientRetry: j.ClientRetry,
		Waited: max(0, c.clock.Now()-j.ArrivedAt), PriorAttempts: j.priorAttempts, AllowedWorkers: j.allowedWorkers,
	}})
}
