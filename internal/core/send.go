package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/guard"
)

// Stage 4, send: an attempt is created and passed to Workers. It ends at its timeout at the latest, which is
// never after the job's deadline.

// send starts an attempt of a job on a worker. A timeout of 0 or less, or beyond the job's deadline, means until
// the deadline. An attempt that would violate an invariant, or whose job is answered or out of time, ends at
// once as NotSent.
func (c *Core) send(j *job, worker string, timeout time.Duration) {
	now := c.clock.Now()
	a := c.newAttempt(j, worker, now)
	writeWithin, rule := c.checkRepeat(a)
	j.attempts = append(j.attempts, a)
	j.inFlight++
	c.countSlots(a, 1)
	if rule != guard.None {
		// Dispatchers do not request such attempts. The check does not rely on that, because a job may pass
		// from one dispatcher to another, and none of them has the complete state of the job.
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

// newAttempt returns the next attempt of a job, which it does not add to the job's list.
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

// checkRepeat returns the invariant that an attempt would violate, guard.None if none, and the time within which
// the attempt's last byte must be written (0: no limit). Only a repeat of a job of a Deduplicated class has such
// a limit: the workers of a group drop repeats of an idempotency key during a window that begins with the first
// attempt that may have run.
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
