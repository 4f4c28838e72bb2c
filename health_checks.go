package foxlift

// Health checks before placement: when a job waits while some workers are asked for their load.

import "slices"

const (
	saturatedPressure = 0.8 // fleet pressure above which checks find no free slot and only add load
	workersPerCheck   = 2   // most workers that are checked for one job
)

// requestHealthChecks asks up to workersPerCheck random workers, which may get a job and have less than one
// slot in use, for their load while a job waits. It reports whether it asked any, so that the job waits. The
// answers put the workers into recentReports, which placement considers: a dispatcher with little traffic has
// only outdated load reports. It asks none if the fleet is loaded, if workersPerCheck workers with a free
// slot reported recently, if checks are not possible or show nothing new, or if no job may be sent by the
// endpoint list, by which a worker may drain.
func (d *Dispatcher) requestHealthChecks(j *job) bool {
	if d.hasCompleteUsage() || !d.cfg.MayHealthCheck || len(d.cfg.Gauges) == 0 || !d.EndpointsUsable() ||
		len(d.liveWorkers) <= len(d.capacity.recentReports.workers) ||
		d.capacity.reports.FleetPressure().Average > saturatedPressure ||
		d.recentlyFreeWorkers() >= workersPerCheck {
		return false
	}
	for range workersPerCheck {
		if w := d.liveWorkers[d.rng.IntN(len(d.liveWorkers))]; w.level == 0 && !d.inSlowStart(w) {
			d.actions = append(d.actions, Action{Kind: ActionHealthCheck, Worker: w.id})
			j.healthChecks++
		}
	}
	if j.healthChecks > 0 {
		d.jobs.awaitingHealthCheck = append(d.jobs.awaitingHealthCheck, j)
	}
	return j.healthChecks > 0
}

// recentlyFreeWorkers returns how many workers of recentReports have a fresh report that shows a free slot,
// may get a job, and have less than one slot in use (level 0).
func (d *Dispatcher) recentlyFreeWorkers() (n int) {
	reports := &d.capacity.reports
	for _, w := range d.capacity.recentReports.workers {
		if w != nil && w.level == 0 && reports.Fresh(&w.report, d.now) && reports.ReportPressure(&w.report, 1) < 1 {
			n++
		}
	}
	return n
}

// onHealthChecked records the load that a checked worker reports, and ends the wait of all jobs that wait for
// a check. An unknown worker is ignored; onTick ends the wait after a tick at the latest.
func (d *Dispatcher) onHealthChecked(e *Event) {
	w := d.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Code == Served && e.HasLoad {
		d.recordLoad(w, e)
	}
	d.markPending(w) // it may have reported more slots than before
	d.finishHealthChecks(func(j *job) bool { return true })
}

// finishHealthChecks queues the waiting jobs for which done returns true, and drops those that have ended.
func (d *Dispatcher) finishHealthChecks(done func(*job) bool) {
	d.jobs.awaitingHealthCheck = slices.DeleteFunc(d.jobs.awaitingHealthCheck, func(j *job) bool {
		if !j.ended && !done(j) {
			return false
		}
		if !j.ended {
			d.enqueue(j)
		}
		return true
	})
}
