package core

import (
	"time"
)

// End says that the scheduler ends, and how long it has for what still comes in.
func (c *Core) BeginShutdown(left time.Duration) { c.post(shutdownBegun{c.clock.Now() + int64(left)}) }

type shutdownBegun struct{ deadline int64 }

func (e shutdownBegun) apply(c *Core) { c.shutdownDeadline = e.deadline }
