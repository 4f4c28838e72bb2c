package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// Stage 2, admit: a job is shed if it was read after its deadline, if the platform has no memory for it, if too many
// jobs are open, if its id could not be kept after its answer, or if the scheduler would shut down before the job is
// done. Otherwise it is assigned to a cell, whose dispatcher sends, queues or sheds it.

const defaultRetryAfter = time.Second // retry-after time of jobs that the core sheds, if the settings allow it

// shedRetryAfter returns the retry-after time of a job that the core sheds: defaultRetryAfter, bounded by the
// settings' maximum; 0 if the settings allow no retry-after time.
func (c *Core) shedRetryAfter() time.Duration {
	return min(defaultRetryAfter, time.Duration(c.settings.Module.MaxRetryAfter))
}

// admit sheds the job or assigns it to a cell. If it sheds the job because of a shutdown, or because it was read after
// its deadline, the retry-after time is the longest that the settings allow.
func (c *Core) admit(j *job) {
	if j.remaining(c.clock.Now()) <= 0 {
		c.counters.Add("jobs.too_late")
		c.answer(j, Answer{Verdict: Shed, RetryAfter: time.Duration(c.settings.Module.MaxRetryAfter)})
		return
	}
	if j.NoMemory {
		c.counters.Add("jobs.no_memory")
		c.answer(j, Answer{Verdict: Shed, RetryAfter: c.shedRetryAfter()})
		return
	}
	// Beyond maxOpen no file descriptor may be left for the job's connection to a worker, and the job would
	// wait unread. It is shed before the dispatcher receives it.
	if len(c.jobs.open) > c.maxOpen {
		c.counters.Add("jobs.too_many")
		c.answer(j, Answer{Verdict: Shed, RetryAfter: c.shedRetryAfter()})
		return
	}
	class := &c.settings.Module.Classes[j.class]
	if class.Effect != foxlift.Idempotent && c.jobs.recent.isFull() {
		c.counters.Add("jobs.ids_full") // its id could not be kept, so that a repeat would run again
		c.answer(j, Answer{Verdict: Shed, RetryAfter: c.shedRetryAfter()})
		return
	}
	// A job that takes as long as the latency objective of its class would not be done before the shutdown
	// deadline. Another scheduler has more time for it.
	if c.shutdown.endsBefore(c.clock.Now() + class.LatencyObjective) {
		c.counters.Add("jobs.at_end")
		c.answer(j, Answer{Verdict: Shed, RetryAfter: time.Duration(c.settings.Module.MaxRetryAfter)})
		return
	}
	c.assign(j)
}

// requestDispatch adds the request for a job to the events of its cell's dispatcher, with the time since the
// job was read and the number of its earlier attempts, which it also records in job.priorAttempts.
func (c *Core) requestDispatch(j *job) {
	j.priorAttempts = len(j.attempts)
	j.cell.notify(foxlift.Event{Kind: foxlift.EventRequest, Request: foxlift.Request{
		ID: j.number, Class: j.class, Tenant: j.tenant, Deadline: j.deadline, Key: j.Key,
		Slots: j.Slots, Memory: j.Memory, ClientRetry: j.ClientRetry,
		Waited: max(0, c.clock.Now()-j.ArrivedAt-int64(j.Unread)), Unread: int64(j.Unread),
		PriorAttempts: j.priorAttempts, AllowedWorkers: j.allowedWorkers,
	}})
}
