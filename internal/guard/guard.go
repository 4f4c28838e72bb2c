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
type Rule string

// The rules, by the names under which their violations are counted.
const (
	Kept      Rule = ""
	Drain     Rule = "drain"     // nothing goes to a node past the grace after it drains or is gone
	Lease     Rule = "lease"     // nothing is sent by a list that may be past its lease
	Gone      Rule = "gone"      // nothing is begun for a submitter that has left
	Deadline  Rule = "deadline"  // a node is told of no more time than the submitter has left
	Duplicate Rule = "duplicate" // what may have run is repeated only as its class allows
	Lost      Rule = "lost"      // a submitter whose job was taken gets an answer before the close
)

// Counter returns the name of the counter of a rule's violations.
func (r Rule) Counter() string { return "invariant." + string(r) }

// Rules are all rules, in the order of their checks.
var Rules = []Rule{Drain, Lease, Gone, Deadline, Duplicate, Lost}

const (
	// GoneSlack is how long after a submitter has left an attempt may still begin.
	GoneSlack = 100 * time.Millisecond
	// DeadlineSlack is by how much the time that a node is told may be over what the submitter has left.
	DeadlineSlack = 150 * time.Millisecond
)

// A Send is what is known when bytes of an attempt are about to be written.
type Send struct {
	State    foxlift.WorkerState // of its node in the list
	Off      time.Duration       // how long the list has had the node in this state, if not live
	Grace    time.Duration       // after which nothing more may begin there
	LeftAgo  time.Duration       // how long ago the submitter was seen to have left; 0: it is there
	Told     time.Duration       // how long the node is told that the submitter waits
	Remains  time.Duration       // how long it really waits
	LastByte bool                // the rest has been written, within the grace
}

// Check returns the rule that the write would break.
func (s Send) Check() Rule {
	switch {
	case s.State != foxlift.Live && s.Off > s.Grace && !s.LastByte:
		return Drain
	case s.LeftAgo > GoneSlack:
		return Gone
	case s.Told > max(0, s.Remains)+DeadlineSlack:
		return Deadline
	}
	return Kept
}

// A Repeat is what is known when a job is about to be handed to a node.
type Repeat struct {
	ListTrusted bool           // the machine list can be trusted
	Effect      foxlift.Effect // of its class
	MayHaveRun  bool           // an earlier attempt may have run, or may yet
	SameGroup   bool           // the node drops repeats of what that attempt's node may have run
	WindowLeft  time.Duration  // for which it does so
}

// Check returns the rule that the attempt would break.
func (r Repeat) Check() Rule {
	switch {
	case !r.ListTrusted:
		return Lease
	case !r.MayHaveRun || r.Effect == foxlift.Idempotent:
		return Kept
	case r.Effect == foxlift.Deduplicated && r.SameGroup && r.WindowLeft > 0:
		return Kept
	}
	return Duplicate
}

// A Close is what is known when the scheduler ends a submitter's connection.
type Close struct {
	Owed bool // a job was taken from it and not answered
	Left bool // the submitter has ended it
}

// Check returns the rule that the close would break.
func (c Close) Check() Rule {
	if c.Owed && !c.Left {
		return Lost
	}
	return Kept
}
