package platform

import (
	"time"
	"unique"

	"github.com/vatu-meals/foxlift"
)

// An endpoint is a worker's entry in the endpoint table.
type endpoint struct {
	address          string
	state            foxlift.WorkerState
	unavailableSince time.Time // since when the list has had it as not live; zero: it is live
	processStart
	announcedStartMilli int64 // its process's start as discovery wrote it
	zone, kind          unique.Handle[string]
	cell                int
}

// A processStart is when a worker's process started; its zero value: long ago.
type processStart struct {
	startedAt time.Time // on this process's monotonic clock
	coreTime  int64     // on the core's clock
}

// processStartOf turns a start by another machine's wall clock, Unix time in milliseconds, into the clocks of this
// process, which no step of the wall clock moves. This is the one place where the two meet: wall is the wall
// clock now, which all machines share. A start that is not positive counts as long ago, one in the future as
// now: a worker would else be in slow start for as long as its clock is wrong.
func processStartOf(startedMilli int64, wall time.Time, clock func() int64) processStart {
	if startedMilli <= 0 {
		return processStart{}
	}
	age := max(0, wall.Sub(time.UnixMilli(startedMilli)))
	return processStart{time.Now().Add(-age), max(1, clock()-int64(age))}
}

// unavailableSince returns since when a worker is not live, from its entry before and its state now.
func unavailableSince(previous endpoint, state foxlift.WorkerState) time.Time {
	switch {
	case state == foxlift.Live:
		return time.Time{}
	case previous.state != foxlift.Live:
		return previous.unavailableSince
	}
	return time.Now()
}
