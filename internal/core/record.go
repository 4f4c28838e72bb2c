package core

import "github.com/vatu-meals/foxlift"

// Stage 6, record: answers and outcomes of attempts are counted and passed to the dispatcher. A job is removed
// from the table after its answer and the end of its last attempt.

// VerdictCounters holds the name of the counter of each verdict. Verdicts of jobs of a known class, except
// Rejected, are also counted for each class.
var VerdictCounters = [...]string{
	Served: "jobs.served", Shed: "jobs.refused", Failed: "jobs.failed", Rejected: "jobs.rejected",
}

// outcomeCounters holds the name of the counter of each outcome of an attempt.
var outcomeCounters = [...]string{
	foxlift.Served:           "claims.served",
	foxlift.WorkerError:      "claims.erred",
	foxlift.Saturated:        "claims.turned_away",
	foxlift.InvalidRequest:   "claims.blamed",
	foxlift.DeadlineExceeded: "claims.timed_out",
	foxlift.Unreachable:      "claims.unreachable",
	foxlift.Reset:            "claims.reset",
	foxlift.Cancelled:        "claims.cancelled",
	foxlift.NotSent:          "claims.not_sent",
}

// answer sends the job's answer to its client, releases what the job occupies, except for its attempts in
// flight, and keeps its id from being used again for a time. It does nothing if the job is answered already.
func (c *Core) answer(j *job, a Answer) {
	if j.answered.Load() {
		return
	}
	j.answered.Store(true)
	j.Payload = nil // attempts in flight have their own reference
	j.overdueTimer.stop()
	delete(c.jobs.open, j.ID)
	c.updateActive()
	j.reservation.release()
	c.cells.releaseKey(j)
	j.cell.recordAnswer(a.Verdict)
	j.clearSpill()
	c.rememberID(j.ID, c.unsafeToRetry(j))
	c.counters.AddLabeled(VerdictCounters[a.Verdict], j.Class)
	j.Client.Answer(a)
	c.jobs.removeIfDone(j)
}

// abandon answers a job that its dispatcher has not answered, and notifies the dispatcher that the client no
// longer waits.
func (c *Core) abandon(j *job, a Answer) {
	j.cell.notify(foxlift.Event{Kind: foxlift.EventClientDisconnected, ID: j.number})
	c.answer(j, a)
}

// recordOutcome counts the outcome of an attempt and passes it to the dispatcher that requested the attempt. It
// then removes the job from the table if the job is done, or reassigns it if only the attempt kept it in its
// cell.
func (c *Core) recordOutcome(a *attempt, r Report) {
	c.counters.Add(outcomeCounters[r.Code])
	e := a.event(foxlift.EventOutcome)
	e.Code, e.Took, e.Ended = r.Code, c.clock.Now()-a.sentAt, a.job.answered.Load()
	e.HasLoad, e.Load = r.HasLoad, r.Load
	a.cell.notify(e)
	c.jobs.removeIfDone(a.job)
	c.reassign(a.job)
}
