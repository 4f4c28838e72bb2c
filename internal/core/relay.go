package core

import "github.com/vatu-meals/foxlift"

// Stage 5, relay: what execute nodes tell goes to the module, and the first
// result to the submitter.

type claimReported struct {
	claim  *claim
	report Report
}

func (e claimReported) apply(c *Core) {
	cl := e.claim
	switch {
	case e.report.Ended:
		c.endClaim(cl, e.report)
	case cl.done: // late: its module may have the job anew, and count from 0 again
	case e.report.Progress:
		cl.cell.tell(cl.event(foxlift.EventProgress))
	default:
		cl.cell.tell(cl.event(foxlift.EventStarted))
	}
}

// endClaim ends a claim once, with one outcome for the module.
func (c *Core) endClaim(cl *claim, r Report) {
	if cl.done {
		return
	}
	cl.done, cl.code = true, r.Code
	cl.job.out--
	c.count(cl, -1)
	if cl.limit != nil {
		cl.limit.Stop()
	}
	if cl.withdraw != nil {
		cl.withdraw() // no effect on one that has ended by itself
	}
	if r.Code == foxlift.Served {
		c.answer(cl.job, Answer{Verdict: Served, Result: r.Result})
	}
	c.bookClaim(cl, r)
}
