package platform

import "time"

// A drain is a time in which submitters are sent away while the scheduler goes on. The platform
// stops new connections 0.2 s after it has seen the health turn, which it asks for ten times a
// second; after 4 s no connection may rest here, or carry a job that came in the last 2 s.
type drain struct{ since time.Time }

const (
	drainStay  = 600 * time.Millisecond  // that an idle connection stays: closed at once, it would only come back
	drainFirst = 400 * time.Millisecond  // for the first request on a connection that comes later
	drainRead  = 1700 * time.Millisecond // by then a request has come whole or is turned away
	drainPiece = 150 * time.Millisecond  // for the rest of a request that begins after that
)

// idleUntil is how long a connection may rest that was opened at a time.
func (d *drain) idleUntil(began time.Time) time.Time {
	return later(d.since.Add(drainStay), began.Add(drainFirst))
}

// readUntil is when a request must have come whole that begins now.
func (d *drain) readUntil(now time.Time) time.Time {
	return later(d.since.Add(drainRead), now.Add(drainPiece))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// quiesce begins a drain, unless there is one.
func (f *front) quiesce() {
	if !f.drain.CompareAndSwap(nil, &drain{time.Now()}) {
		return
	}
	f.counters.Add("drains.begun")
	f.wakeIdle()
}

// resume ends the drain. Connections that it has not closed yet stay.
func (f *front) resume() {
	if f.drain.Swap(nil) != nil {
		f.counters.Add("drains.ended")
		f.wakeIdle()
	}
}

// sendsAway reports whether answers end their connections.
func (f *front) sendsAway() bool {
	return f.leaving.Load() || f.relieved.Load() || f.drain.Load() != nil
}

// wakeIdle lets every idle connection look at how long it may rest.
func (f *front) wakeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.idlers() {
		s.conn.SetReadDeadline(wakeUp)
	}
}
