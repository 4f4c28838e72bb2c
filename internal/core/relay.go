package core

import "github.com/vatu-meals/foxlift"

// Stage 5, relay: what execute nodes tell goes to the module, and the first
// result to the submitter.

type attemptReported struct {
	attempt *attempt
	report  Report
}

func (e attemptReported) apply(c *Core) {
	cl := e.attempt
	switch {
	case e.report.Ended:
		c.finishAttempt(cl, e.report)
	case cl.done: // late: its module may have the job anew, and count from 0 again
	case e.report.Progress:
		cl.cell.notify(cl.event(foxlift.EventProgress))
	default:
		cl.cell.notify(cl.event(foxlift.EventStarted))
	}
}

// finishAttempt ends a claim once, with one outcome for the module.
func (c *Core) finishAttempt(cl *attempt, r Report) {
	if cl.done {
		return
	}
	cl.done, cl.code = true, r.Code
	cl.job.inFlight--
	c.countSlots(cl, -1)
	if cl.timer != nil {
		cl.timer.Stop()
	}
	if cl.cancel != nil {
		cl.cancel() // no effect on one that has ended by itself
	}
	if r.Code == foxlift.Served {
		c.answer(cl.job, Answer{Verdict: Served, Result: r.Result})
	}
	c.recordOutcome(cl, r)
}
