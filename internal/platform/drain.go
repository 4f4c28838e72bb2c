package platform

import (
	"sync/atomic"
	"time"
)

// A drain is a time in which submitters are sent away while the scheduler goes on. The platform
// stops new connections 0.2 s after it has seen the health turn, which it asks for ten times a
// second; after 4 s no connection may rest here, or carry a job that came in the last 2 s.
type drain struct {
	since time.Time
	stay  time.Duration // that an idle connection stays
}

const (
	drainStay  = 600 * time.Millisecond  // that an idle connection stays: closed at once, it would only come back
	reliefStay = 200 * time.Millisecond  // the same where another process has the address: it goes there
	drainFirst = 400 * time.Millisecond  // for the first request on a connection that comes later
	drainRead  = 1700 * time.Millisecond // by then a request has come whole or is turned away
	drainPiece = 150 * time.Millisecond  // for the rest of a request that begins after that
)

// idleUntil is how long a connection may rest that was opened at a time.
func (d *drain) idleUntil(began time.Time) time.Time {
	return later(d.since.Add(d.stay), began.Add(drainFirst))
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
	if f.begins(&f.drain, drainStay) {
		f.counters.Add("drains.begun")
	}
}

// resume ends the drain. Connections that it has not closed yet stay.
func (f *front) resume() {
	if f.ends(&f.drain) {
		f.counters.Add("drains.ended")
	}
}

// relieve sends submitters to another process that listens on the same address, or, when that is
// gone, no longer does. The health stays as it is: the address is served.
func (f *front) relieve(on bool) {
	if on {
		f.begins(&f.relief, reliefStay)
	} else {
		f.ends(&f.relief)
	}
}

// begins begins one of the front's drains; false if there is one.
func (f *front) begins(at *atomic.Pointer[drain], stay time.Duration) bool {
	if at.Load() != nil || !at.CompareAndSwap(nil, &drain{time.Now(), stay}) {
		return false
	}
	f.wakeIdle()
	return true
}

// ends ends one of the front's drains; false if there is none.
func (f *front) ends(at *atomic.Pointer[drain]) bool {
	if at.Swap(nil) == nil {
		return false
	}
	f.wakeIdle()
	return true
}

// sending returns why submitters are sent away while the scheduler goes on; nil if they are not.
func (f *front) sending() *drain {
	if d := f.drain.Load(); d != nil {
		return d
	}
	return f.relief.Load()
}

// sendsAway reports whether answers end their connections.
func (f *front) sendsAway() bool { return f.leaving.Load() || f.sending() != nil }

// wakeIdle lets every idle connection look at how long it may rest.
func (f *front) wakeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.idlers() {
		s.conn.SetReadDeadline(wakeUp)
	}
}
