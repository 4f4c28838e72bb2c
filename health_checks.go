package foxlift

// Health checks before placement: whether workers are asked for their load while a job waits.

import "slices"

const (
	saturatedPressure = 0.8 // usual pressure at which asking finds no room and only adds work
	workersPerCheck   = 2   // workers that are asked for one job
)

// requestHealthChecks lets a job wait a moment while two workers are asked for their load, where no two
// with room have reported lately: a quiet dispatcher knows of the fleet only what was true many jobs ago.
// The answers make those workers the last that reported. It reports whether the job waits.
func (d *Dispatcher) requestHealthChecks(j *job) bool {
	if d.hasCompleteUsage() || !d.cfg.MayHealthCheck || len(d.cfg.Gauges) == 0 ||
		len(d.liveWorkers) <= len(d.capacity.reported.workers) ||
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

// recentlyFreeWorkers returns how many of the workers that reported last have room and none of our jobs.
func (d *Dispatcher) recentlyFreeWorkers() (n int) {
	reports := &d.capacity.reports
	for _, w := range d.capacity.reported.workers {
		if w != nil && w.level == 0 && reports.Fresh(&w.report, d.now) && reports.ReportPressure(&w.report, 1) < 1 {
			n++
		}
	}
	return n
}

// onHealthChecked ends the wait of the jobs that were waiting for an answer.
func (d *Dispatcher) onHealthChecked(e *Event) {
	w := d.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Code == Served && e.HasLoad {
		d.recordLoad(w, e)
	}
	d.markPending(w) // it may have more slots than was known
	d.finishHealthChecks(func(j *job) bool { return true })
}

// finishHealthChecks queues the jobs whose health checks are done.
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
