package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// Stage 3, route: the module takes one step with all that is new, and its
// actions are carried out in order. Some make news at once; then it steps again.
func (c *Core) dispatch() {
	for first := true; ; first = false {
		stepped := false
		for _, cl := range c.cells {
			if len(cl.events) > 0 || first && len(c.cells) == 1 {
				c.stepCell(cl)
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
func (c *Core) stepCell(cl *cell) {
	news, leaving := cl.events, cl.leaving
	cl.events, cl.leaving = nil, nil
	for _, a := range cl.module.Step(c.clock.Now(), news) {
		c.execute(cl, &a)
	}
	for _, j := range leaving {
		j.leaving = false
		if !j.answered.Load() {
			c.counters.Add("jobs.moved")
			c.assign(j)
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

func (c *Core) execute(cl *cell, a *foxlift.Action) {
	switch a.Kind {
	case foxlift.ActionSend:
		if j := c.jobOf(cl, a.ID); j != nil {
			c.send(j, a.Worker, a.Timeout)
		}
	case foxlift.ActionCancel:
		if j := c.jobOf(cl, a.ID); j != nil && j.priorAttempts+a.Attempt < len(j.attempts) {
			c.finishAttempt(j.attempts[j.priorAttempts+a.Attempt], Report{Ended: true, Code: foxlift.Cancelled})
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
		c.after(a.At-c.clock.Now(), timerFired{cl, a.Token})
	case foxlift.ActionHealthCheck:
		c.counters.Add("probes.sent")
		node, sent := a.Worker, c.clock.Now()
		c.nodes.HealthCheck(node, func(r Report) { c.post(healthChecked{cl, node, sent, r}) })
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

type timerFired struct {
	cell  *cell
	token uint64
}

func (e timerFired) apply(c *Core) {
	if e.cell.retired && c.hasNoJobs(e.cell) {
		c.removeCell(e.cell)
		return
	}
	e.cell.notify(foxlift.Event{Kind: foxlift.EventTimer, Token: e.token})
}

type healthChecked struct {
	cell   *cell
	worker string
	sentAt int64
	report Report
}

func (e healthChecked) apply(c *Core) {
	e.cell.notify(foxlift.Event{
		Kind: foxlift.EventHealthChecked, Worker: e.worker, Code: e.report.Code, Took: c.clock.Now() - e.sentAt,
		HasLoad: e.report.HasLoad, Load: e.report.Load,
	})
}
