package core

import "github.com/vatu-meals/foxlift"

// Stage 4, send: a claim is made and handed to Nodes. It ends at its limit, which
// is never past the submitter's patience, whatever the node does.
func (c *Core) send(j *job, node string, timeout int64) {
	now := c.clock.Now()
	cl := &claim{job: j, cell: j.cell, attempt: len(j.claims) - j.base, node: node, sent: now}
	again := j.mayHaveRun()
	j.claims = append(j.claims, cl)
	j.out++
	c.count(cl, 1)
	left := j.deadline - now
	if again && c.settings.Module.Classes[j.class].Effect == foxlift.AtMostOnce {
		// The module never asks for it. But the rule must not rest on one module's
		// knowledge, where a job passes from one to another.
		c.counters.Add("claims.withheld")
		c.endClaim(cl, Report{Ended: true, Code: foxlift.NotSent})
		return
	}
	if j.answered || left <= 0 {
		c.endClaim(cl, Report{Ended: true, Code: foxlift.NotSent})
		return
	}
	c.counters.Add("claims.sent")
	if timeout <= 0 || timeout > left {
		timeout = left
	}
	cl.limit = c.after(timeout, claimReported{cl, Report{Ended: true, Code: foxlift.TimedOut}})
	cl.withdraw = c.nodes.Send(node, j.Job, j.remaining(now), func(r Report) { c.post(claimReported{cl, r}) })
}
