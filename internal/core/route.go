package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// Stage 3, route: the module takes one step with all that is new, and its
// actions are carried out in order. Some make news at once; then it steps again.
func (c *Core) route() {
	for {
		news := c.news
		c.news = nil
		for _, a := range c.module.Step(c.clock.Now(), news) {
			c.carryOut(&a)
		}
		if len(c.news) == 0 {
			return
		}
	}
}

func (c *Core) carryOut(a *foxlift.Action) {
	switch a.Kind {
	case foxlift.ActionSend:
		if j := c.jobs[a.ID]; j != nil {
			c.send(j, a.Worker, a.Timeout)
		}
	case foxlift.ActionCancel:
		if j := c.jobs[a.ID]; j != nil && a.Attempt < len(j.claims) {
			c.endClaim(j.claims[a.Attempt], Report{Ended: true, Code: foxlift.Cancelled})
		}
	case foxlift.ActionRefuse:
		if j := c.jobs[a.ID]; j != nil {
			c.answer(j, Answer{Verdict: Refused, RetryAfter: time.Duration(a.RetryAfter)})
		}
	case foxlift.ActionFail:
		if j := c.jobs[a.ID]; j != nil {
			c.answer(j, Answer{Verdict: Failed, Reason: "given up"})
		}
	case foxlift.ActionTimer:
		c.after(a.At-c.clock.Now(), timerDue{a.Token})
	case foxlift.ActionProbe:
		c.counters.Add("probes.sent")
		node, sent := a.Worker, c.clock.Now()
		c.nodes.Probe(node, func(r Report) { c.post(nodeProbed{node, sent, r}) })
	case foxlift.ActionClose:
		c.nodes.CloseIdle(a.Worker)
	case foxlift.ActionSubscribe:
		c.machines.Watch()
	}
}

type timerDue struct{ token uint64 }

func (e timerDue) apply(c *Core) {
	c.news = append(c.news, foxlift.Event{Kind: foxlift.EventTimer, Token: e.token})
}

type nodeProbed struct {
	node   string
	sent   int64
	report Report
}

func (e nodeProbed) apply(c *Core) {
	c.news = append(c.news, foxlift.Event{
		Kind: foxlift.EventProbed, Worker: e.node, Code: e.report.Code, Took: c.clock.Now() - e.sent,
		HasLoad: e.report.HasLoad, Load: e.report.Load,
	})
}
