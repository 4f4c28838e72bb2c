package platform

import (
	"sync/atomic"
	"time"
)

// A drain is a period in which client connections are closed while the scheduler keeps running. The deployment platform
// checks the health ten times a second and stops new connections 0.2 s after a check fails. After 4 s no connection
// may be idle here, or have a job that arrived in the last 2 s.
type drain struct {
	startedAt time.Time
	idleGrace time.Duration // how long an idle connection stays open
}

const (
	// An idle connection stays open this long in a drain by the operators. If it were closed at once, the client would
	// only connect again.
	drainIdleGrace         = 600 * time.Millisecond
	successorIdleGrace     = 200 * time.Millisecond  // shorter: the client's new connection goes to the successor
	drainFirstRequestGrace = 400 * time.Millisecond  // for the first request on a connection opened during the drain
	drainReadTimeout       = 1700 * time.Millisecond // from the start; then an incomplete request is rejected
	drainLateReadTimeout   = 150 * time.Millisecond  // minimum time to read a request that begins late in the drain
)

// idleDeadline returns the time until which a connection that was opened at openedAt may be idle.
func (d *drain) idleDeadline(openedAt time.Time) time.Time {
	return later(d.startedAt.Add(d.idleGrace), openedAt.Add(drainFirstRequestGrace))
}

// readDeadline returns the time by which a request that begins now must have arrived completely.
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

// quiesce starts the operators' drain. It does nothing if that drain is active.
func (s *clientServer) quiesce() {
	if s.startDrain(&s.operatorDrain, drainIdleGrace) {
		s.counters.Add("drains.begun")
	}
}

// resume ends the operators' drain. Connections that have not been closed yet stay open.
func (s *clientServer) resume() {
	if s.stopDrain(&s.operatorDrain) {
		s.counters.Add("drains.ended")
	}
}

// yieldConns starts (on) or ends (off) the drain for a successor that listens on the same address. Health checks keep
// succeeding, because the address is still served.
func (s *clientServer) yieldConns(on bool) {
	if on {
		s.startDrain(&s.successorDrain, successorIdleGrace)
	} else {
		s.stopDrain(&s.successorDrain)
	}
}

// startDrain stores a new drain in target, one of the server's drains. It returns false if that drain is active.
func (s *clientServer) startDrain(target *atomic.Pointer[drain], idleGrace time.Duration) bool {
	if target.Load() != nil || !target.CompareAndSwap(nil, &drain{time.Now(), idleGrace}) {
		return false
	}
	s.wakeIdle()
	return true
}

// stopDrain ends target, one of the server's drains. It returns false if that drain is not active.
func (s *clientServer) stopDrain(target *atomic.Pointer[drain]) bool {
	if target.Swap(nil) == nil {
		return false
	}
	s.wakeIdle()
	return true
}

// activeDrain returns the drain in force, the operators' one first, or nil if there is none.
func (s *clientServer) activeDrain() *drain {
	if d := s.operatorDrain.Load(); d != nil {
		return d
	}
	return s.successorDrain.Load()
}

// closesAfterAnswer reports whether connections are closed after their next answer.
func (s *clientServer) closesAfterAnswer() bool { return s.closeIdle.Load() || s.activeDrain() != nil }

// wakeIdle interrupts the read of every idle connection, so that it recomputes its deadline.
func (s *clientServer) wakeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idleConns() {
		c.conn.SetReadDeadline(pastDeadline)
	}
}
