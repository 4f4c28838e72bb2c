package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/guard"
)

// Stage 4, send: a claim is made and handed to Nodes. It ends at its limit, which
// is never past the submitter's patience, whatever the node does.
func (c *Core) send(j *job, node string, timeout int64) {
	now := c.clock.Now()
	cl := &attempt{job: j, cell: j.cell, number: len(j.attempts) - j.priorAttempts, worker: node, sentAt: now, zone: -1, workerCell: -1}
	if n := c.byID[node]; n != nil {
		cl.zone, cl.workerCell = n.Zone, n.Cell
	}
	within, rule := c.checkRepeat(cl)
	j.attempts = append(j.attempts, cl)
	j.inFlight++
	c.countSlots(cl, 1)
	left := j.deadline - now
	if rule != guard.None {
		// The module never asks for it. But the rule must not rest on one module's
		// knowledge, where a job passes from one to another.
		c.counters.Add("claims.withheld")
		c.counters.Add(rule.Counter())
		c.finishAttempt(cl, Report{Ended: true, Code: foxlift.NotSent})
		return
	}
	if j.answered.Load() || left <= 0 {
		c.finishAttempt(cl, Report{Ended: true, Code: foxlift.NotSent})
		return
	}
	c.counters.Add("claims.sent")
	if timeout <= 0 || timeout > left {
		timeout = left
	}
	cl.timer = c.after(timeout, attemptReported{cl, Report{Ended: true, Code: foxlift.DeadlineExceeded}})
	cl.cancel = c.nodes.Send(node, j.Job, AttemptLimits{j.remaining(now), within}, func(r Report) { c.post(attemptReported{cl, r}) })
}

// checkRepeat returns the rule that a claim would break, because its job may have run, and within what
// time its last byte must be written (0: no limit). Nodes of one pod drop repeats of a
// keyed job for a time; it counts from the first claim that may have run.
func (c *Core) checkRepeat(cl *attempt) (within time.Duration, rule guard.Invariant) {
	class := &c.settings.Module.Classes[cl.job.class]
	r := guard.Repeat{EndpointsTrusted: cl.cell.module.EndpointsUsable(), Effect: class.Effect}
	if first := cl.job.mayHaveRun(); first != nil {
		r.MayHaveRun = true
		r.SameGroup = cl.sameGroup(first, class.Scope)
		r.WindowRemaining = time.Duration(first.sentAt + class.KeyTTL - cl.sentAt)
		if class.Effect == foxlift.Deduplicated {
			within = r.WindowRemaining
		}
	}
	return within, r.Check()
}

// sameGroup reports whether a claim's node drops repeats of what another claim's node may have run.
func (cl *attempt) sameGroup(first *attempt, scope foxlift.Scope) bool {
	switch scope {
	case foxlift.ScopeZone:
		return cl.zone == first.zone && cl.zone >= 0
	case foxlift.ScopeCell:
		return cl.workerCell == first.workerCell && cl.workerCell >= 0
	}
	return true
}
