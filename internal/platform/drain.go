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
	idleGrace time.Duration // that an idle connection stays
}

const (
	drainIdleGrace         = 600 * time.Millisecond  // for idle connections: closed at once, a client would only come back
	successorIdleGrace     = 200 * time.Millisecond  // the same where a successor has the address: the client goes there
	drainFirstRequestGrace = 400 * time.Millisecond  // for the first request on a connection that comes later
	drainReadTimeout       = 1700 * time.Millisecond // by then a request has come in full or is rejected
	drainLateReadTimeout   = 150 * time.Millisecond  // for the rest of a request that begins after that
)

// idleDeadline is until when a connection may be idle that was opened at openedAt.
func (d *drain) idleDeadline(openedAt time.Time) time.Time {
	return later(d.startedAt.Add(d.idleGrace), openedAt.Add(drainFirstRequestGrace))
}

// readDeadline is when a request that begins now must have come in full.
func (d *drain) readDeadline(now time.Time) time.Time {
	return later(d.startedAt.Add(drainReadTimeout), now.Add(drainLateReadTimeout))
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
	if s.startDrain(&s.operatorDrain, drainIdleGrace) {
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
func (s *clientServer) yieldConns(on bool) {
	if on {
		s.startDrain(&s.successorDrain, successorIdleGrace)
	} else {
		s.stopDrain(&s.successorDrain)
	}
}

// startDrain begins one of the server's drains; false if there is one.
func (s *clientServer) startDrain(target *atomic.Pointer[drain], idleGrace time.Duration) bool {
	if target.Load() != nil || !target.CompareAndSwap(nil, &drain{time.Now(), idleGrace}) {
		return false
	}
	s.wakeIdle()
	return true
}

// stopDrain ends one of the server's drains; false if there is none.
func (s *clientServer) stopDrain(target *atomic.Pointer[drain]) bool {
	if target.Swap(nil) == nil {
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
