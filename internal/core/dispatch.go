package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// Stage 3, dispatch: each dispatcher takes one step with its new events, and its actions are executed in
// order. An action may cause further events, which are handled in another step.

// dispatch steps the dispatchers until none has events. A single dispatcher takes at least one step, even without
// events.
func (c *Core) dispatch() {
	for first := true; ; first = false {
		stepped := false
		for _, cl := range c.cells.all {
			if len(cl.events) > 0 || first && len(c.cells.all) == 1 {
				c.stepCell(cl)
				stepped = true
			}
		}
		if !stepped {
			return
		}
	}
}

// stepCell runs one step of a cell's dispatcher and executes its actions. In this step the dispatcher drops
// the jobs that leave the cell, which are then assigned again.
func (c *Core) stepCell(cl *cell) {
	events, leaving := cl.events, cl.leaving
	cl.events, cl.leaving = nil, nil
	actions := cl.dispatcher.Step(c.clock.Now(), events)
	c.updateEndpointsExpiry()
	for _, action := range actions {
		c.execute(cl, &action)
	}
	for _, j := range leaving {
		j.leaving = false
		if !j.answered.Load() {
			c.counters.Add("jobs.moved")
			c.assign(j)
		}
	}
}

// execute executes an action of a cell's dispatcher. Actions for a job that is no longer in the cell are
// ignored.
func (c *Core) execute(cl *cell, action *foxlift.Action) {
	switch action.Kind {
	case foxlift.ActionSend, foxlift.ActionCancel, foxlift.ActionShed, foxlift.ActionFail:
		// The job may have been answered or assigned to another cell.
		if j := c.jobs.byNumber[action.ID]; j != nil && j.cell == cl {
			c.executeJobAction(j, action)
		}
	case foxlift.ActionTimer:
		c.loop.postAfter(time.Duration(action.At-c.clock.Now()), timerFired{cl, action.Token})
	case foxlift.ActionHealthCheck:
		c.checkHealth(cl, action.Worker)
	case foxlift.ActionClose:
		c.env.Workers.CloseIdle(action.Worker)
	case foxlift.ActionMessage:
		if c.env.Peers != nil {
			c.env.Peers.Send(action.To, action.Data)
		}
	case foxlift.ActionWatchEndpoints:
		c.env.EndpointWatch.Watch()
	}
}

// executeJobAction executes an action on a job. It ignores the cancellation of an unknown or ended attempt, and
// an answer to a job that is answered already.
func (c *Core) executeJobAction(j *job, action *foxlift.Action) {
	switch action.Kind {
	case foxlift.ActionSend:
		c.send(j, action.Worker, time.Duration(action.Timeout))
	case foxlift.ActionCancel:
		if i := j.priorAttempts + action.Attempt; i < len(j.attempts) {
			c.finishAttempt(j.attempts[i], Report{Ended: true, Code: foxlift.Cancelled})
		}
	case foxlift.ActionShed:
		c.answer(j, Answer{Verdict: Shed, RetryAfter: time.Duration(action.RetryAfter)})
	case foxlift.ActionFail:
		c.answer(j, Answer{Verdict: Failed, Reason: ReasonAbandoned})
	}
}

// checkHealth starts a health check of a worker. Its result becomes an event of the cell's dispatcher.
func (c *Core) checkHealth(cl *cell, worker string) {
	c.counters.Add("probes.sent")
	sentAt := c.clock.Now()
	c.env.Workers.HealthCheck(worker, func(r Report) {
		c.loop.post(healthChecked{cl, worker, sentAt, r})
	})
}

// A healthChecked event is the result of a health check.
type healthChecked struct {
	cell   *cell
	worker string
	sentAt int64 // in Unix nanoseconds
	report Report
}

func (e healthChecked) apply(c *Core) {
	e.cell.notify(foxlift.Event{
		Kind: foxlift.EventHealthChecked, Worker: e.worker, Code: e.report.Code, Took: c.clock.Now() - e.sentAt,
		HasLoad: e.report.HasLoad, Load: e.report.Load,
	})
}

// A timerFired event means that a timer of a cell's dispatcher is due. For a retired cell without jobs it removes
// the cell instead.
type timerFired struct {
	cell  *cell
	token uint64
}

func (e timerFired) apply(c *Core) {
	if e.cell.retired && !c.jobs.hasJobsOf(e.cell) {
		c.removeCell(e.cell)
		return
	}
	e.cell.notify(foxlift.Event{Kind: foxlift.EventTimer, Token: e.token})
}
