package core

import "github.com/vatu-meals/foxlift"

// Stage 6, book: answers and ends of claims are counted, told to the module, and
// the job leaves the table with the last of them.

// VerdictCounters names the counter of each verdict. Those of jobs that were taken are also kept
// for each class.
var VerdictCounters = [...]string{
	Served: "jobs.served", Shed: "jobs.refused", Failed: "jobs.failed", Rejected: "jobs.rejected",
}

var outcomeCounters = [...]string{
	foxlift.Served: "claims.served", foxlift.WorkerError: "claims.erred", foxlift.Saturated: "claims.turned_away",
	foxlift.InvalidRequest: "claims.blamed", foxlift.DeadlineExceeded: "claims.timed_out", foxlift.Unreachable: "claims.unreachable",
	foxlift.Reset: "claims.reset", foxlift.Cancelled: "claims.cancelled", foxlift.NotSent: "claims.not_sent",
}

// answer gives the job's one answer; a second one goes nowhere.
func (c *Core) answer(j *job, a Answer) {
	if j.answered.Load() {
		return
	}
	j.answered.Store(true)
	j.overdueTimer.Stop()
	delete(c.open, j.ID)
	c.active.Store(int64(len(c.open)))
	j.reservation.release()
	c.releaseKey(j)
	j.cell.recordAnswer(j, a.Verdict)
	c.rememberID(j.ID, c.settings.Module.Classes[j.class].Effect != foxlift.Idempotent)
	c.counters.AddPart(VerdictCounters[a.Verdict], j.Class)
	j.Client.Answer(a)
	c.removeIfDone(j)
}

// abandon answers a job that the module has not ended, and tells the module.
func (c *Core) abandon(j *job, a Answer) {
	j.cell.notify(foxlift.Event{Kind: foxlift.EventClientDisconnected, ID: j.number})
	c.answer(j, a)
}

func (c *Core) recordOutcome(cl *attempt, r Report) {
	c.counters.Add(outcomeCounters[r.Code])
	e := cl.event(foxlift.EventOutcome)
	e.Code, e.Took, e.Ended = r.Code, c.clock.Now()-cl.sentAt, cl.job.answered.Load()
	e.HasLoad, e.Load = r.HasLoad, r.Load
	cl.cell.notify(e)
	c.removeIfDone(cl.job)
	c.reassign(cl.job)
}

// forget drops a job that is answered and has no claim out.
func (c *Core) removeIfDone(j *job) {
	if j.answered.Load() && j.inFlight == 0 {
		delete(c.jobs, j.number)
	}
}
