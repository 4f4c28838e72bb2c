package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// An attempt is one run of a job on one worker.
type attempt struct {
	job        *job
	cell       *cell // whose dispatcher made it
	number     int   // as that dispatcher counts
	worker     string
	zone       int // of the worker, or unknownGroup
	workerCell int // the worker's cell in discovery's list, or unknownGroup
	sentAt     int64
	done       bool
	code       foxlift.Code // if done
	timer      *time.Timer  // ends it at its timeout
	cancel     func()
}

// event returns an event about the attempt for the dispatcher that made it.
func (a *attempt) event(kind foxlift.EventKind) foxlift.Event {
	return foxlift.Event{Kind: kind, ID: a.job.number, Attempt: a.number, Worker: a.worker}
}

// sameGroup reports whether the attempt's worker drops repeats of what another attempt's worker may
// have run.
func (a *attempt) inDedupGroupOf(first *attempt, scope foxlift.Scope) bool {
	switch scope {
	case foxlift.ScopeZone:
		return a.zone == first.zone && a.zone >= 0
	case foxlift.ScopeCell:
		return a.workerCell == first.workerCell && a.workerCell >= 0
	}
	return true
}
