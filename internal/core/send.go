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
	cl := &claim{job: j, cell: j.cell, attempt: len(j.claims) - j.base, node: node, sent: now, zone: -1, pod: -1}
	if n := c.known[node]; n != nil {
		cl.zone, cl.pod = n.Zone, n.Cell
	}
	within, rule := c.mayRepeat(cl)
	j.claims = append(j.claims, cl)
	j.out++
	c.count(cl, 1)
	left := j.deadline - now
	if rule != guard.Kept {
		// The module never asks for it. But the rule must not rest on one module's
		// knowledge, where a job passes from one to another.
		c.counters.Add("claims.withheld")
		c.counters.Add(rule.Counter())
		c.endClaim(cl, Report{Ended: true, Code: foxlift.NotSent})
		return
	}
	if j.answered.Load() || left <= 0 {
		c.endClaim(cl, Report{Ended: true, Code: foxlift.NotSent})
		return
	}
	c.counters.Add("claims.sent")
	if timeout <= 0 || timeout > left {
		timeout = left
	}
	cl.limit = c.after(timeout, claimReported{cl, Report{Ended: true, Code: foxlift.DeadlineExceeded}})
	cl.withdraw = c.nodes.Send(node, j.Job, AttemptLimits{j.remaining(now), within}, func(r Report) { c.post(claimReported{cl, r}) })
}

// mayRepeat returns the rule that a claim would break, because its job may have run, and within what
// time its last byte must be written (0: no limit). Nodes of one pod drop repeats of a
// keyed job for a time; it counts from the first claim that may have run.
func (c *Core) mayRepeat(cl *claim) (within time.Duration, rule guard.Rule) {
	class := &c.settings.Module.Classes[cl.job.class]
	r := guard.Repeat{ListTrusted: cl.cell.module.EndpointsUsable(), Effect: class.Effect}
	if first := cl.job.mayHaveRun(); first != nil {
		r.MayHaveRun = true
		r.SameGroup = cl.sameGroup(first, class.Scope)
		r.WindowLeft = time.Duration(first.sent + class.KeyTTL - cl.sent)
		if class.Effect == foxlift.Deduplicated {
			within = r.WindowLeft
		}
	}
	return within, r.Check()
}

// sameGroup reports whether a claim's node drops repeats of what another claim's node may have run.
func (cl *claim) sameGroup(first *claim, scope foxlift.Scope) bool {
	switch scope {
	case foxlift.ScopeZone:
		return cl.zone == first.zone && cl.zone >= 0
	case foxlift.ScopeCell:
		return cl.pod == first.pod && cl.pod >= 0
	}
	return true
}
