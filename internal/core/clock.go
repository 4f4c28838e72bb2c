package core

import "time"

// A Clock returns the time in Unix nanoseconds: the wall clock at its start plus the monotonic time since
// then. It is comparable with the start times of workers in the endpoint list, which are Unix times, and
// setting the wall clock does not move deadlines.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the current wall clock time.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time in Unix nanoseconds.
func (c Clock) Now() int64 { return c.start.UnixNano() + int64(time.Since(c.start)) }
