package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// Stage 3, route: the module takes one step with all that is new, and its
// actions are carried out in order. Some make news at once; then it steps again.
func (c *Core) route() {
	for first := true; ; first = false {
		stepped := false
		for _, cl := range c.cells {
			if len(cl.news) > 0 || first && len(c.cells) == 1 {
				c.step(cl)
				stepped = true
			}
		}
		if !stepped {
			return
		}
	}
}

// step lets one cell's module take one step. Jobs that leave it have left it then,
// and go on to where they belong.
func (c *Core) step(cl *cell) {
	news, leaving := cl.news, cl.leaving
	cl.news, cl.leaving = nil, nil
	for _, a := range cl.module.Step(c.clock.Now(), news) {
		c.carryOut(cl, &a)
	}
	for _, j := range leaving {
		j.leaving = false
		if !j.answered.Load() {
			c.counters.Add("jobs.moved")
			c.place(j)
		}
	}
}

// jobOf finds the job that an action is about, if the cell still has it.
func (c *Core) jobOf(cl *cell, id uint64) *job {
	if j := c.jobs[id]; j != nil && j.cell == cl {
		return j
	}
	return nil
}

func (c *Core) carryOut(cl *cell, a *foxlift.Action) {
	switch a.Kind {
	case foxlift.ActionSend:
		if j := c.jobOf(cl, a.ID); j != nil {
			c.send(j, a.Worker, a.Timeout)
		}
	case foxlift.ActionCancel:
		if j := c.jobOf(cl, a.ID); j != nil && j.base+a.Attempt < len(j.claims) {
			c.endClaim(j.claims[j.base+a.Attempt], Report{Ended: true, Code: foxlift.Cancelled})
		}
	case foxlift.ActionShed:
		if j := c.jobOf(cl, a.ID); j != nil {
			c.answer(j, Answer{Verdict: Shed, RetryAfter: time.Duration(a.RetryAfter)})
		}
	case foxlift.ActionFail:
		if j := c.jobOf(cl, a.ID); j != nil {
			c.answer(j, Answer{Verdict: Failed, Reason: "given up"})
		}
	case foxlift.ActionTimer:
		c.after(a.At-c.clock.Now(), timerDue{cl, a.Token})
	case foxlift.ActionHealthCheck:
		c.counters.Add("probes.sent")
		node, sent := a.Worker, c.clock.Now()
		c.nodes.HealthCheck(node, func(r Report) { c.post(nodeProbed{cl, node, sent, r}) })
	case foxlift.ActionClose:
		c.nodes.CloseIdle(a.Worker)
	case foxlift.ActionMessage:
		if c.peers != nil {
			c.peers.Send(a.To, a.Data)
		}
	case foxlift.ActionWatchEndpoints:
		c.machines.Watch()
	}
}

type timerDue struct {
	cell  *cell
	token uint64
}

func (e timerDue) apply(c *Core) {
	if e.cell.retired && c.empty(e.cell) {
		c.drop(e.cell)
		return
	}
	e.cell.tell(foxlift.Event{Kind: foxlift.EventTimer, Token: e.token})
}

type nodeProbed struct {
	cell   *cell
	node   string
	sent   int64
	report Report
}

func (e nodeProbed) apply(c *Core) {
	e.cell.tell(foxlift.Event{
		Kind: foxlift.EventHealthChecked, Worker: e.node, Code: e.report.Code, Took: c.clock.Now() - e.sent,
		HasLoad: e.report.HasLoad, Load: e.report.Load,
	})
}
