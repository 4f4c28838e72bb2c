package platform

import (
	"time"
	"unique"

	"github.com/vatu-meals/foxlift"
)

// endpoint is a worker's entry in the endpoint table.
type endpoint struct {
	address          string // host:port; may be anything for a removed worker
	state            foxlift.WorkerState
	unavailableSince time.Time // when the list first reported it as not live; zero means that it is live
	processStart
	announcedStartMilli int64 // start of its process as discovery announced it, in Unix milliseconds
	zone, kind          unique.Handle[string]
	cell                int
}

// processStart is the time at which a worker's process started. The zero value means long ago.
type processStart struct {
	startedAt time.Time // on this process's monotonic clock
	coreTime  int64     // on the core's clock, in nanoseconds
}

// processStartOf converts a start time on another machine's wall clock, in Unix milliseconds, to the clocks of this
// process, which steps of the wall clock do not change. wall is the current wall-clock time, which is the same on all
// machines; clock returns the time on the core's clock. No other function converts between these clocks. A start that
// is not positive counts as long ago. A start in the future counts as now: the worker would otherwise stay in slow
// start until that time is reached.
func processStartOf(startedMilli int64, wall time.Time, clock func() int64) processStart {
	if startedMilli <= 0 {
		return processStart{}
	}
	age := max(0, wall.Sub(time.UnixMilli(startedMilli)))
	return processStart{time.Now().Add(-age), max(1, clock()-int64(age))}
}

// unavailableSince returns the time since which a worker has not been live, from its previous entry and its new state;
// zero if the new state is live.
func unavailableSince(previous endpoint, state foxlift.WorkerState) time.Time {
	switch {
	case state == foxlift.Live:
		return time.Time{}
	case previous.state != foxlift.Live:
		return previous.unavailableSince
	}
	return time.Now()
}
