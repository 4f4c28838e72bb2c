package core

import "github.com/vatu-meals/foxlift"

// Stage 6, book: answers and ends of claims are counted, told to the module, and
// the job leaves the table with the last of them.

// VerdictCounters names the counter of each verdict. Those of jobs that were taken are also kept
// for each class.
var VerdictCounters = [...]string{
	Served: "jobs.served", Shed: "jobs.refused", Failed: "jobs.failed", Rejected: "jobs.rejected",
}

var codeCounters = [...]string{
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
	j.overdue.Stop()
	delete(c.open, j.ID)
	c.active.Store(int64(len(c.open)))
	j.reservation.leave()
	c.leaveKey(j)
	j.cell.book(j, a.Verdict)
	c.remember(j.ID, c.settings.Module.Classes[j.class].Effect != foxlift.Idempotent)
	c.counters.AddPart(VerdictCounters[a.Verdict], j.Class)
	j.Client.Answer(a)
	c.forget(j)
}

// abandon answers a job that the module has not ended, and tells the module.
func (c *Core) abandon(j *job, a Answer) {
	j.cell.tell(foxlift.Event{Kind: foxlift.EventClientDisconnected, ID: j.number})
	c.answer(j, a)
}

func (c *Core) bookClaim(cl *claim, r Report) {
	c.counters.Add(codeCounters[r.Code])
	e := cl.event(foxlift.EventOutcome)
	e.Code, e.Took, e.Ended = r.Code, c.clock.Now()-cl.sent, cl.job.answered.Load()
	e.HasLoad, e.Load = r.HasLoad, r.Load
	cl.cell.tell(e)
	c.forget(cl.job)
	c.rehome(cl.job)
}

// forget drops a job that is answered and has no claim out.
func (c *Core) forget(j *job) {
	if j.answered.Load() && j.out == 0 {
		delete(c.jobs, j.number)
	}
}
