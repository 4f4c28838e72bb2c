// Package guard checks the platform's rules as invariants of single actions. The input of a check is what is
// known just before the scheduler sends bytes, repeats a job or closes a connection; the result is the
// invariant that the action would violate. The checks are pure functions without state. The caller counts the
// violation and cancels the action, but a connection is closed all the same. The rest of the scheduler is
// written so that no invariant is ever violated: a count above zero shows a defect in it
// (docs/operate/service.md).
package guard

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// An Invariant is one of the platform's rules. Its value is the name under which violations are counted.
type Invariant string

// The invariants.
const (
	None Invariant = "" // no invariant is violated

	// WorkerDrained: no attempt is sent to a worker later than the grace period after it began draining or
	// was removed, except the last byte of an attempt whose other bytes were written in time.
	WorkerDrained Invariant = "drain"
	// LeaseExpired: no attempt is sent on the basis of an endpoint list that may no longer be used.
	LeaseExpired Invariant = "lease"
	// ClientDisconnected: no attempt is started for a client that disconnected more than DisconnectTolerance ago.
	ClientDisconnected Invariant = "gone"
	// DeadlineExceeded: the time announced to a worker does not exceed the time until the client's deadline by
	// more than DeadlineTolerance.
	DeadlineExceeded Invariant = "deadline"
	// DuplicateRun: a job that may already have run is repeated only if its class allows that.
	DuplicateRun Invariant = "duplicate"
	// Unanswered: a connection is not closed before the client has an answer to each accepted job.
	Unanswered Invariant = "lost"
)

// Counter returns the name of the counter of the invariant's violations. It must not be called on None.
func (i Invariant) Counter() string { return "invariant." + string(i) }

// Invariants lists all invariants, in the order in which they are checked.
var Invariants = []Invariant{
	WorkerDrained, LeaseExpired, ClientDisconnected, DeadlineExceeded, DuplicateRun, Unanswered,
}

const (
	// DisconnectTolerance is how long after a client's disconnection an attempt may still be started.
	DisconnectTolerance = 100 * time.Millisecond
	// DeadlineTolerance is by how much the time announced to a worker may exceed the remaining time.
	DeadlineTolerance = 150 * time.Millisecond
)

// A Send describes a write of bytes of an attempt that is about to happen.
type Send struct {
	State           foxlift.WorkerState // of the worker in the endpoint list
	UnavailableFor  time.Duration       // how long the list has had the worker in State, if not Live
	Grace           time.Duration       // how long attempts may be sent in such a state
	DisconnectedFor time.Duration       // time since the client disconnected; 0: it is connected
	AnnouncedTime   time.Duration       // time until the deadline as announced to the worker
	RemainingTime   time.Duration       // actual time until the deadline; less than 0 counts as 0
	LastByte        bool                // all bytes but the last were written within the grace period
}

// Check returns the first of WorkerDrained, ClientDisconnected and DeadlineExceeded that the write would violate,
// or None.
func (s Send) Check() Invariant {
	switch {
	case s.State != foxlift.Live && s.UnavailableFor > s.Grace && !s.LastByte:
		return WorkerDrained
	case s.DisconnectedFor > DisconnectTolerance:
		return ClientDisconnected
	case s.AnnouncedTime > max(0, s.RemainingTime)+DeadlineTolerance:
		return DeadlineExceeded
	}
	return None
}

// A Repeat describes an attempt of a job that is about to be assigned to a worker.
type Repeat struct {
	EndpointsTrusted bool           // the endpoint list may be used, at least for some workers
	Effect           foxlift.Effect // of the job's class
	MayHaveRun       bool           // an earlier attempt may have run or may still run
	SameGroup        bool           // the worker rejects duplicates of jobs that the earlier attempt's worker may have run
	WindowRemaining  time.Duration  // remaining time during which it does so
}

// Check returns LeaseExpired or DuplicateRun if the attempt would violate it, in this order, or None.
func (r Repeat) Check() Invariant {
	switch {
	case !r.EndpointsTrusted:
		return LeaseExpired
	case !r.MayHaveRun || r.Effect == foxlift.Idempotent:
		return None
	case r.Effect == foxlift.Deduplicated && r.SameGroup && r.WindowRemaining > 0:
		return None
	}
	return DuplicateRun
}

// A Close describes the client of a connection that the scheduler is about to close: whether it still waits
// for an answer.
type Close struct {
	AnswerPending bool // an accepted job of the client is not answered
	Disconnected  bool // the client has closed the connection
}

// Check returns Unanswered if closing the connection would violate it, or None.
func (c Close) Check() Invariant {
	if c.AnswerPending && !c.Disconnected {
		return Unanswered
	}
	return None
}
