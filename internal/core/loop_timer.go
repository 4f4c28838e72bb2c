package core

import "time"

// A loopTimer posts an event to the event loop after a delay. A stopped timer refers to no event, nor to the job of
// the event: the Go runtime keeps stopped timers, with all that their functions refer to, until a quarter of the
// timers in its heap have been stopped. Its methods are called on the event loop's goroutine.
type loopTimer struct {
	timer *time.Timer
	event event // nil once it is applied or the timer is stopped
}

// stop drops the event, also if it has been posted and not been applied yet.
func (t *loopTimer) stop() {
	t.timer.Stop()
	t.event = nil
}

// apply implements event.
func (t *loopTimer) apply(c *Core) {
	if e := t.event; e != nil {
		t.event = nil
		e.apply(c)
	}
}
