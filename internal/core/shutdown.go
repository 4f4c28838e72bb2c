package core

import "time"

// A shutdownState holds the deadline of a shutdown, if one has begun.
type shutdownState struct {
	deadline int64 // time by which open jobs must be answered, in Unix nanoseconds; 0: no shutdown has begun
}

// begun reports whether a shutdown has begun.
func (s *shutdownState) begun() bool { return s.deadline > 0 }

// endsBefore reports whether a shutdown has begun whose deadline is before a time.
func (s *shutdownState) endsBefore(at int64) bool { return s.begun() && at > s.deadline }

// capAtDeadline returns the earlier of a time and the shutdown deadline; the time itself if no shutdown has
// begun.
func (s *shutdownState) capAtDeadline(at int64) int64 {
	if !s.begun() {
		return at
	}
	return min(at, s.deadline)
}

// BeginShutdown reports that the scheduler shuts down, and the remaining time in which the jobs that it still
// accepts must be answered. From then on, jobs that would end later by the latency objective of their class are
// shed, and the placement cannot be changed.
func (c *Core) BeginShutdown(remaining time.Duration) {
	c.loop.post(shutdownBegun{c.clock.Now() + int64(remaining)})
}

type shutdownBegun struct{ deadline int64 }

func (e shutdownBegun) apply(c *Core) { c.shutdown.deadline = e.deadline }
