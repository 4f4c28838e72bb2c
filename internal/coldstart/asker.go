// Package coldstart decides when a scheduler that knows little asks discovery, so that all
// schedulers of a fleet together spare it though they neither see nor tell each other
// anything. It has no I/O and no clock: the caller says what came of each call and waits as
// it is told.
package coldstart

import (
	"math/rand/v2"
	"time"
)

// An Outcome is what came of a call to discovery.
type Outcome uint8

const (
	Answered    Outcome = iota // with a list or its changes
	Busy                       // refused by discovery itself, after a wait for its turn or at once
	Silent                     // nothing within the time allowed
	Unreachable                // no connection, or it ended without an answer
	Faulty                     // an answer that is of no use
)

// The figures by which all schedulers together are bounded. With n of them:
//
//   - calls that fail at once come back within n/mostFailing seconds, on average after half of
//     that: 2 x mostFailing calls a second in sum, whatever n is;
//   - calls that waited w for their turn come back within max(w, n/mostFailing) at first, in
//     sum at most n/(w + w/2) a second, so that what discovery's queue turned away comes back
//     by the time that it has worked the queue off;
//   - first calls come at most mostFirst a second;
//   - calls that fell silent come back within silentMost: they were ended after waits that the
//     schedulers draw at random, and a silent discovery has no queue.
const (
	mostFailing    = 100.0
	mostFirst      = 300.0
	startSpread    = time.Second            // by which the schedulers' starts are spread in any case
	silentMost     = 250 * time.Millisecond // pause after a call that fell silent
	leastPause     = 50 * time.Millisecond  // between two calls of one scheduler
	growthMost     = time.Second            // to which the pauses of a few schedulers grow
	movedFirst     = 250 * time.Millisecond // half the longest first pause after another discovery was named
	schedulersMost = 1_000_000
	movedTries     = 64 // after so many failures it is a discovery like any other
)

// An Asker says how long to wait before each call. It is not safe for concurrent use.
type Asker struct {
	schedulers int
	longest    time.Duration
	rng        *rand.Rand
	waited     int // calls in a row that were turned away after a wait
	failed     int // calls in a row that failed at once
	moved      int // calls left to another discovery that has been named and not yet answered
}

// NewAsker makes one of so many schedulers' askers. A pause is never longer than longest: what
// may go by without a call until the list counts as known; 0 for no bound.
func NewAsker(schedulers int, longest time.Duration, rng *rand.Rand) *Asker {
	return &Asker{schedulers: min(max(1, schedulers), schedulersMost), longest: longest, rng: rng}
}

// First returns the pause before the first call after a start. No call has failed yet: it is
// shorter than those that follow may be.
func (a *Asker) First() time.Duration {
	pause := a.jitter(seconds(float64(a.schedulers)/mostFirst)-startSpread, 0)
	if a.longest > 0 {
		pause = min(pause, a.longest/8)
	}
	return pause
}

// Moved notes that another discovery is to be asked, at once: what the last one did tells
// nothing of it.
func (a *Asker) Moved() {
	a.waited, a.failed, a.moved = 0, 0, movedTries
}

// After notes what came of a call that took so long and returns the pause before the next.
func (a *Asker) After(o Outcome, took time.Duration) time.Duration {
	fleet := seconds(float64(a.schedulers) / mostFailing)
	window := fleet
	switch o {
	case Answered:
		a.waited, a.failed, a.moved = 0, 0, 0
		return 0
	case Silent:
		// Not the queue's doing: what waits too long there is refused, sooner than a call is given
		// up. What was missed counts as told soon.
		a.waited, a.failed = 0, 0
		window = min(fleet, silentMost)
	case Busy:
		// The first time, whoever waited w comes back within w: by then the queue that had no
		// room is worked off. Who has been turned away more often comes back sooner than those
		// that were for the first time, else some never get their turn.
		a.failed = 0
		a.waited++
		window = max(took, fleet) * 2 / time.Duration(a.waited+1)
	default:
		// A discovery that is down costs nothing to ask and says nothing of its queue. A few
		// schedulers would ask all the time.
		a.failed = min(a.failed+1, 16)
		window = max(fleet, min(growthMost, leastPause<<a.failed))
	}
	if a.moved > 0 {
		// What it has to tell counts as told soon: all ask at first, then as above.
		window = min(fleet, movedFirst<<min(4, movedTries+1-a.moved))
		a.moved--
	}
	return a.jitter(window, leastPause)
}

// jitter draws a pause up to a window: full jitter, since the schedulers fail together.
func (a *Asker) jitter(window, least time.Duration) time.Duration {
	pause := least
	if window > least {
		pause = max(least, time.Duration(a.rng.Int64N(int64(window))))
	}
	if a.longest > 0 {
		pause = min(pause, a.longest)
	}
	return pause
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
