package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/guard"
)

// Stage 4, send: an attempt is made and handed to Workers. It ends at its timeout, which is never past
// the job's deadline, whatever the worker does.

func (c *Core) send(j *job, worker string, timeout time.Duration) {
	now := c.clock.Now()
	a := c.newAttempt(j, worker, now)
	writeWithin, rule := c.checkRepeat(a)
	j.attempts = append(j.attempts, a)
	j.inFlight++
	c.countSlots(a, 1)
	if rule != guard.None {
		// The dispatcher never asks for it. But the rule must not rest on what one dispatcher
		// knows, where a job passes from one to another.
		c.counters.Add("claims.withheld")
		c.counters.Add(rule.Counter())
		c.finishAttempt(a, Report{Ended: true, Code: foxlift.NotSent})
		return
	}
	remaining := j.remaining(now)
	if j.answered.Load() || remaining <= 0 {
		c.finishAttempt(a, Report{Ended: true, Code: foxlift.NotSent})
		return
	}
	c.counters.Add("claims.sent")
	if timeout <= 0 || timeout > remaining {
		timeout = remaining
	}
	a.timer = c.loop.postAfter(timeout, attemptReported{a, Report{Ended: true, Code: foxlift.DeadlineExceeded}})
	limits := AttemptLimits{Remaining: remaining, WriteWithin: writeWithin}
	a.cancel = c.env.Workers.Send(worker, j.Job, limits, func(r Report) {
		c.loop.post(attemptReported{a, r})
	})
}

// newAttempt makes the next attempt of a job.
func (c *Core) newAttempt(j *job, worker string, now int64) *attempt {
	a := &attempt{
		job: j, cell: j.cell, number: len(j.attempts) - j.priorAttempts,
		worker: worker, zone: unknownGroup, workerCell: unknownGroup, sentAt: now,
	}
	if w := c.workers.byID[worker]; w != nil {
		a.zone, a.workerCell = w.Zone, w.Cell
	}
	return a
}

// checkRepeat returns the rule that an attempt would break because its job may have run, and within
// what time its last byte must be written (0: no limit). Workers of one group drop repeats of an
// idempotency key for a window that begins with the first attempt that may have run.
func (c *Core) checkRepeat(a *attempt) (writeWithin time.Duration, rule guard.Invariant) {
	class := &c.settings.Module.Classes[a.job.class]
	repeat := guard.Repeat{EndpointsTrusted: a.cell.dispatcher.EndpointsUsable(), Effect: class.Effect}
	if first := a.job.firstPossibleRun(); first != nil {
		repeat.MayHaveRun = true
		repeat.SameGroup = a.inDedupGroupOf(first, class.Scope)
		repeat.WindowRemaining = time.Duration(first.sentAt + class.KeyTTL - a.sentAt)
		if class.Effect == foxlift.Deduplicated {
			writeWithin = repeat.WindowRemaining
		}
	}
	return writeWithin, repeat.Check()
}
