package core

import "time"

// A Clock tells the time in Unix nanoseconds. It is the wall clock at its start plus what has passed
// since on the monotonic clock: workers' start times in the endpoint list are Unix times and must compare
// with it, and a wall clock that is set meanwhile must not move deadlines.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time in Unix nanoseconds.
func (c Clock) Now() int64 { return c.start.UnixNano() + int64(time.Since(c.start)) }
