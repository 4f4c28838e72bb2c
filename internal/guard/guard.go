// Package guard holds the platform's rules as invariants of single actions: what is known just before
// the scheduler sends, repeats or closes goes in, the invariant that the action would violate comes out.
// The checks are pure and own no state; the caller gives up the action and counts the violation. Other
// code is written so that none is ever violated: a count over zero is a defect there
// (docs/operate/service.md).
package guard

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// An Invariant is one of the platform's rules, by the name under which its violations are counted.
type Invariant string

// The invariants.
const (
	None Invariant = "" // nothing is violated

	// WorkerDrained: nothing is sent to a worker past the grace after it began to drain or was removed.
	WorkerDrained Invariant = "drain"
	// LeaseExpired: nothing is sent by an endpoint list that may not be used any more.
	LeaseExpired Invariant = "lease"
	// ClientDisconnected: no attempt begins for a client that has disconnected.
	ClientDisconnected Invariant = "gone"
	// DeadlineExceeded: a worker is told of no more time than the client's deadline leaves.
	DeadlineExceeded Invariant = "deadline"
	// DuplicateRun: what may have run is repeated only as its class allows.
	DuplicateRun Invariant = "duplicate"
	// Unanswered: a client whose job was accepted gets an answer before the connection is closed.
	Unanswered Invariant = "lost"
)

// Counter returns the name of the counter of an invariant's violations.
func (i Invariant) Counter() string { return "invariant." + string(i) }

// Invariants are all invariants, in the order of their checks.
var Invariants = []Invariant{
	WorkerDrained, LeaseExpired, ClientDisconnected, DeadlineExceeded, DuplicateRun, Unanswered,
}

const (
	// DisconnectTolerance is how long after a client has disconnected an attempt may still begin.
	DisconnectTolerance = 100 * time.Millisecond
	// DeadlineTolerance is by how much the time that a worker is told may exceed what is left.
	DeadlineTolerance = 150 * time.Millisecond
)

// A Send is what is known when bytes of an attempt are about to be written.
type Send struct {
	State           foxlift.WorkerState // of its worker in the endpoint list
	UnavailableFor  time.Duration       // since the list has had the worker in this state, if not live
	Grace           time.Duration       // after which nothing more may begin there
	DisconnectedFor time.Duration       // since the client was seen to have disconnected; 0: it has not
	AnnouncedTime   time.Duration       // that the worker is told until the deadline
	RemainingTime   time.Duration       // that really remains
	LastByte        bool                // all but the last byte was written within the grace
}

// Check returns the invariant that the write would violate.
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

// A Repeat is what is known when a job is about to be handed to a worker.
type Repeat struct {
	EndpointsTrusted bool           // the endpoint list may be used, if only for some workers
	Effect           foxlift.Effect // of the job's class
	MayHaveRun       bool           // an earlier attempt may have run, or may yet
	SameGroup        bool           // the worker drops repeats of what that attempt's worker may have run
	WindowRemaining  time.Duration  // for which it does so
}

// Check returns the invariant that the attempt would violate.
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

// A Close is what is known when the scheduler ends a client's connection.
type Close struct {
	AnswerPending bool // a job was accepted from it and not answered
	Disconnected  bool // the client has ended it
}

// Check returns the invariant that the close would violate.
func (c Close) Check() Invariant {
	if c.AnswerPending && !c.Disconnected {
		return Unanswered
	}
	return None
}
