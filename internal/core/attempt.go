package core

import "github.com/vatu-meals/foxlift"

// An attempt is one try to run a job on one worker. Times are in Unix nanoseconds.
type attempt struct {
	job        *job
	cell       *cell  // the cell whose dispatcher requested the attempt
	number     int    // number of the attempt since the job's last request to that dispatcher, from 0
	worker     string // worker id
	zone       int    // zone of the worker, or unknownGroup
	workerCell int    // foxlift.Worker.Cell of the worker, or unknownGroup
	sentAt     int64
	done       bool         // the attempt has ended
	code       foxlift.Code // outcome, if done
	timer      *loopTimer   // ends the attempt at its timeout; nil if it was not sent
	cancel     func()       // closes the attempt's connection; nil if it was not sent
}

// event returns an event about the attempt for the dispatcher that requested it.
func (a *attempt) event(kind foxlift.EventKind) foxlift.Event {
	return foxlift.Event{Kind: kind, ID: a.job.number, Attempt: a.number, Worker: a.worker}
}

// inDedupGroupOf reports whether the attempt's worker is in the group that drops repeats of jobs that the
// worker of the first attempt may have run. It returns false if the zone or cell that defines the group is
// unknown, and always true if the group is all workers.
func (a *attempt) inDedupGroupOf(first *attempt, scope foxlift.Scope) bool {
	switch scope {
	case foxlift.ScopeZone:
		return a.zone == first.zone && a.zone >= 0
	case foxlift.ScopeCell:
		return a.workerCell == first.workerCell && a.workerCell >= 0
	}
	return true
}
