// Package guard holds the platform's rules as checks of single actions: what is known in the moment before
// the scheduler sends, repeats or closes goes in, the rule that the action would break comes out. The checks
// are pure; the caller gives up the action and counts the rule. Other code keeps the rules in the first
// place, so that a count over zero is a fault there (docs/operate/service.md).
package guard

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// A Rule is one of the platform's rules.
type Invariant string

// The rules, by the names under which their violations are counted.
const (
	None               Invariant = ""
	WorkerDrained      Invariant = "drain"     // nothing goes to a node past the grace after it drains or is gone
	LeaseExpired       Invariant = "lease"     // nothing is sent by a list that may be past its lease
	ClientDisconnected Invariant = "gone"      // nothing is begun for a submitter that has left
	DeadlineExceeded   Invariant = "deadline"  // a node is told of no more time than the submitter has left
	DuplicateRun       Invariant = "duplicate" // what may have run is repeated only as its class allows
	Unanswered         Invariant = "lost"      // a submitter whose job was taken gets an answer before the close
)

// Counter returns the name of the counter of a rule's violations.
func (r Invariant) Counter() string { return "invariant." + string(r) }

// Rules are all rules, in the order of their checks.
var Invariants = []Invariant{WorkerDrained, LeaseExpired, ClientDisconnected, DeadlineExceeded, DuplicateRun, Unanswered}

const (
	// DisconnectTolerance is how long after a submitter has left an attempt may still begin.
	DisconnectTolerance = 100 * time.Millisecond
	// DeadlineTolerance is by how much the time that a node is told may be over what the submitter has left.
	DeadlineTolerance = 150 * time.Millisecond
)

// A Send is what is known when bytes of an attempt are about to be written.
type Send struct {
	State           foxlift.WorkerState // of its node in the list
	UnavailableFor  time.Duration       // how long the list has had the node in this state, if not live
	Grace           time.Duration       // after which nothing more may begin there
	DisconnectedFor time.Duration       // how long ago the submitter was seen to have left; 0: it is there
	AnnouncedTime   time.Duration       // how long the node is told that the submitter waits
	RemainingTime   time.Duration       // how long it really waits
	LastByte        bool                // the rest has been written, within the grace
}

// Check returns the rule that the write would break.
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

// A Repeat is what is known when a job is about to be handed to a node.
type Repeat struct {
	EndpointsTrusted bool           // the machine list can be trusted
	Effect           foxlift.Effect // of its class
	MayHaveRun       bool           // an earlier attempt may have run, or may yet
	SameGroup        bool           // the node drops repeats of what that attempt's node may have run
	WindowRemaining  time.Duration  // for which it does so
}

// Check returns the rule that the attempt would break.
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

// A Close is what is known when the scheduler ends a submitter's connection.
type Close struct {
	Owed         bool // a job was taken from it and not answered
	Disconnected bool // the submitter has ended it
}

// Check returns the rule that the close would break.
func (c Close) Check() Invariant {
	if c.Owed && !c.Disconnected {
		return Unanswered
	}
	return None
}
