package core

import "github.com/vatu-meals/foxlift"

// Stage 6, record: answers and outcomes of attempts are counted and told to the dispatcher, and a job
// leaves the table with its answer or its last attempt, whichever is later.

// VerdictCounters names the counter of each verdict. Those of jobs that were accepted are also kept
// for each class.
var VerdictCounters = [...]string{
	Served: "jobs.served", Shed: "jobs.refused", Failed: "jobs.failed", Rejected: "jobs.rejected",
}

// outcomeCounters names the counter of each outcome of an attempt.
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

// answer gives the job's one answer; a second one is dropped.
func (c *Core) answer(j *job, a Answer) {
	if j.answered.Load() {
		return
	}
	j.answered.Store(true)
	j.overdueTimer.Stop()
	delete(c.jobs.open, j.ID)
	c.updateActive()
	j.reservation.release()
	c.cells.releaseKey(j)
	j.cell.recordAnswer(a.Verdict)
	j.clearSpill()
	c.rememberID(j.ID, c.settings.Module.Classes[j.class].Effect != foxlift.Idempotent)
	c.counters.AddLabeled(VerdictCounters[a.Verdict], j.Class)
	j.Client.Answer(a)
	c.jobs.removeIfDone(j)
}

// abandon answers a job for which the dispatcher has no answer yet, and tells the dispatcher.
func (c *Core) abandon(j *job, a Answer) {
	j.cell.notify(foxlift.Event{Kind: foxlift.EventClientDisconnected, ID: j.number})
	c.answer(j, a)
}

// recordOutcome counts the outcome of an attempt and tells it to the dispatcher.
func (c *Core) recordOutcome(a *attempt, r Report) {
	c.counters.Add(outcomeCounters[r.Code])
	e := a.event(foxlift.EventOutcome)
	e.Code, e.Took, e.Ended = r.Code, c.clock.Now()-a.sentAt, a.job.answered.Load()
	e.HasLoad, e.Load = r.HasLoad, r.Load
	a.cell.notify(e)
	c.jobs.removeIfDone(a.job)
	c.reassign(a.job)
}

// rememberID keeps an answered job's id for the longest deadline.
func (c *Core) rememberID(id string, mustNotRunTwice bool) {
	c.jobs.recentIDs[id] = mustNotRunTwice
	c.loop.postAfter(c.jobs.idRetention, idExpired{id})
}

// idExpired ends the time in which an answered job's id must not come again. A client that sends the
// same job once more, instead of a retry with a new id, would have it run twice.
type idExpired struct{ id string }

func (e idExpired) apply(c *Core) {
	delete(c.jobs.recentIDs, e.id)
	c.idsInUse.Delete(e.id)
}
