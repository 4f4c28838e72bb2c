package platform

import (
	"sync/atomic"
	"time"
)

// A drain is a time in which clients' connections are closed while the scheduler goes on running. The deployment
// platform stops new connections 0.2 s after it has seen the health turn, which it asks for ten times a
// second; after 4 s no connection may be idle here, or carry a job that came in the last 2 s.
type drain struct {
	startedAt time.Time
	idleStay  time.Duration // that an idle connection stays
}

const (
	drainIdleStay     = 600 * time.Millisecond  // for idle connections: closed at once, a client would only come back
	successorIdleStay = 200 * time.Millisecond  // the same where a successor has the address: the client goes there
	drainFirstRequest = 400 * time.Millisecond  // for the first request on a connection that comes later
	drainReadTimeout  = 1700 * time.Millisecond // by then a request has come in full or is rejected
	drainReadRest     = 150 * time.Millisecond  // for the rest of a request that begins after that
)

// idleDeadline is until when a connection may be idle that was opened at openedAt.
func (d *drain) idleDeadline(openedAt time.Time) time.Time {
	return later(d.startedAt.Add(d.idleStay), openedAt.Add(drainFirstRequest))
}

// readDeadline is when a request that begins now must have come in full.
func (d *drain) readDeadline(now time.Time) time.Time {
	return later(d.startedAt.Add(drainReadTimeout), now.Add(drainReadRest))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// quiesce begins a drain, unless there is one.
func (s *clientServer) quiesce() {
	if s.startDrain(&s.operatorDrain, drainIdleStay) {
		s.counters.Add("drains.begun")
	}
}

// resume ends the drain. Connections that it has not closed yet stay.
func (s *clientServer) resume() {
	if s.stopDrain(&s.operatorDrain) {
		s.counters.Add("drains.ended")
	}
}

// yield closes clients' connections because a successor listens on the same address, or, when that is gone, no
// longer does. The health stays as it is: the address is served.
func (s *clientServer) yield(on bool) {
	if on {
		s.startDrain(&s.successorDrain, successorIdleStay)
	} else {
		s.stopDrain(&s.successorDrain)
	}
}

// startDrain begins one of the server's drains; false if there is one.
func (s *clientServer) startDrain(at *atomic.Pointer[drain], stay time.Duration) bool {
	if at.Load() != nil || !at.CompareAndSwap(nil, &drain{time.Now(), stay}) {
		return false
	}
	s.wakeIdle()
	return true
}

// stopDrain ends one of the server's drains; false if there is none.
func (s *clientServer) stopDrain(at *atomic.Pointer[drain]) bool {
	if at.Swap(nil) == nil {
		return false
	}
	s.wakeIdle()
	return true
}

// activeDrain returns the drain for which clients' connections are closed; nil if there is none.
func (s *clientServer) activeDrain() *drain {
	if d := s.operatorDrain.Load(); d != nil {
		return d
	}
	return s.successorDrain.Load()
}

// closesAfterAnswer reports whether answers end their connections.
func (s *clientServer) closesAfterAnswer() bool { return s.closeIdle.Load() || s.activeDrain() != nil }

// wakeIdle makes every idle connection look again at its deadline.
func (s *clientServer) wakeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idleConns() {
		c.conn.SetReadDeadline(pastDeadline)
	}
}
