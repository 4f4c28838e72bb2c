package core

import "github.com/vatu-meals/foxlift"

// Stage 5, relay: reports of attempts are passed to the dispatcher that requested them, and the first result is
// passed to the client.

// An attemptReported event is a report of a worker about an attempt, or the attempt's timeout.
type attemptReported struct {
	attempt *attempt
	report  Report
}

func (e attemptReported) apply(c *Core) {
	a := e.attempt
	switch {
	case e.report.Ended:
		c.finishAttempt(a, e.report)
	case a.done:
		// The report is late and is dropped: the job may since have been assigned to the same dispatcher again,
		// which would take the number for that of a later attempt, as it numbers attempts from 0 again.
	case e.report.Progress:
		a.cell.notify(a.event(foxlift.EventProgress))
	default:
		a.cell.notify(a.event(foxlift.EventStarted))
	}
}

// finishAttempt ends an attempt, closes its connection if that is still in use, answers the job if the outcome is
// Served, and passes the outcome to the dispatcher. It does nothing if the attempt has ended already.
func (c *Core) finishAttempt(a *attempt, r Report) {
	if a.done {
		return
	}
	a.done, a.code = true, r.Code
	a.job.inFlight--
	c.countSlots(a, -1)
	if a.timer != nil {
		a.timer.stop()
	}
	if a.cancel != nil {
		a.cancel() // has no effect if the worker has ended the attempt
	}
	if r.Code == foxlift.Served {
		c.answer(a.job, Answer{Verdict: Served, Result: r.Result})
	}
	c.recordOutcome(a, r)
}
