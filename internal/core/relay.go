package core

import "github.com/vatu-meals/foxlift"

// Stage 5, relay: what workers report of attempts goes to the dispatcher that made them, and the first
// result to the client.

type attemptReported struct {
	attempt *attempt
	report  Report
}

func (e attemptReported) apply(c *Core) {
	a := e.attempt
	switch {
	case e.report.Ended:
		c.finishAttempt(a, e.report)
	case a.done: // late: its dispatcher may have the job anew, and count from 0 again
	case e.report.Progress:
		a.cell.notify(a.event(foxlift.EventProgress))
	default:
		a.cell.notify(a.event(foxlift.EventStarted))
	}
}

// finishAttempt ends an attempt once, with one outcome for the dispatcher.
func (c *Core) finishAttempt(a *attempt, r Report) {
	if a.done {
		return
	}
	a.done, a.code = true, r.Code
	a.job.inFlight--
	c.countSlots(a, -1)
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.cancel != nil {
		a.cancel() // no effect on one that has ended by itself
	}
	if r.Code == foxlift.Served {
		c.answer(a.job, Answer{Verdict: Served, Result: r.Result})
	}
	c.recordOutcome(a, r)
}
