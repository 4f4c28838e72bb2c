package core

import "time"

// A shutdownState says whether the scheduler shuts down.
type shutdownState struct {
	deadline int64 // when what comes now must be answered, ns; 0: no shutdown has begun
}

func (s *shutdownState) begun() bool { return s.deadline > 0 }

// deadlineBefore reports whether the scheduler ends before a time.
func (s *shutdownState) endsBefore(at int64) bool { return s.begun() && at > s.deadline }

// limit bounds a time by the end of the scheduler, if that has been told.
func (s *shutdownState) capAtDeadline(at int64) int64 {
	if !s.begun() {
		return at
	}
	return min(at, s.deadline)
}

// BeginShutdown says that the scheduler shuts down, and how long it has for what still comes in.
func (c *Core) BeginShutdown(remaining time.Duration) {
	c.loop.post(shutdownBegun{c.clock.Now() + int64(remaining)})
}

type shutdownBegun struct{ deadline int64 }

func (e shutdownBegun) apply(c *Core) { c.shutdown.deadline = e.deadline }
