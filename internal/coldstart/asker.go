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
	Oversized                  // an answer over the bound: the next one will be so, too
)

// The list's clock. From any moment at which discovery has a change and can be reached, a
// scheduler has the change within ToldWithin, whatever became of its calls before. The longest
// way there is a call that is lost, the pause after it, and a call that is answered:
//
//	limit of the lost call + pause after it + answerTime + stepTime <= ToldWithin
//
//	a watch that falls silent  3.4 s + 0.7 s  + 0.25 s + 1.3 s + 0.25 s = 5.9 s
//	a list that never comes    3.4 s          + 0.25 s + 1.3 s + 0.25 s = 5.2 s
//	refused after w for its turn, at most 3 s: w + (4.45 s - w)  + ...  = 6.0 s
//	no connection, at once or after 1 s:  1 s + 3.45 s           + ...  = 6.0 s
//
// Calls that are refused again and again can break it: nobody can tell then whether discovery has
// too many callers or is down, which looks the same. Sending nothing on a list that old was tried:
// in an outage of 8 s it cost herd+mass a third of its service (0.85 to 0.55). A pushed list counts
// at once when discovery is back: an agent serves one scheduler alone, and is asked every agentPause.
const (
	ToldWithin   = 6 * time.Second
	AnswerWithin = answerTime + stepTime // of ToldWithin, from a call that is answered to its change in force

	answerTime = 1300 * time.Millisecond // for a call's turn and its answer
	stepTime   = 250 * time.Millisecond  // that a scheduler with a part of a core loses on the way
	failTime   = ToldWithin - answerTime - stepTime

	waitMost    = 3400 * time.Millisecond // how long discovery may hold a watch,
	waitSpread  = 4                       // less up to that part, so that all do not end together
	watchSlack  = 700 * time.Millisecond  // its answer may come this much after
	listLimit   = 3400 * time.Millisecond // for the whole list: discovery gives up after 3 s
	DialLimit   = time.Second             // for a connection to discovery
	agentWait   = 2 * time.Second         // how long an agent may hold a watch,
	agentLimit  = 400 * time.Millisecond  // for its answer, and for a connection to it
	agentPause  = 100 * time.Millisecond  // after a call that failed
	QueuedLeast = 250 * time.Millisecond  // who was refused sooner waited for no turn
)

// The figures by which all schedulers together are bounded. With n of them:
//
//   - calls that fail at once come back within n/mostFailing seconds, on average after half of
//     that: 2 x mostFailing calls a second in sum, up to the n at which the list's clock asks for more;
//   - calls that waited w for their turn come back within max(w, n/mostFailing) at first, or as
//     the list's clock asks: a refused call costs discovery its place in the queue, no work;
//   - calls that were refused at once met a discovery that has given up queueing: each costs it
//     work all the same, and the pauses double (on nesra's calm day 49 of 60 schedulers never had
//     an answer, at 137 refused calls a second where it answers 20 to 31);
//   - first calls come at most mostFirst a second;
//   - calls that fell silent come back within silentMost: they were ended after waits that the
//     schedulers draw at random, and a silent discovery has no queue;
//   - calls for a list over the bound come back after pauses that double up to oversizedMost: none
//     of them makes anything known, so the list's clock does not hold for them, and each costs
//     discovery the whole list. The first two pauses keep it, should a length have been spoilt.
const (
	mostFailing    = 100.0
	mostFirst      = 300.0
	startSpread    = time.Second            // by which few schedulers' first calls are spread at most
	silentMost     = 250 * time.Millisecond // pause after a call that fell silent
	leastPause     = 50 * time.Millisecond  // between two calls of one scheduler
	growthMost     = time.Second            // to which the pauses of a few schedulers grow
	movedMost      = 500 * time.Millisecond // the longest pause after another discovery was named
	schedulersMost = 1_000_000
	oversizedFirst = time.Second      // the longest pause after the first answer over the bound,
	oversizedMost  = 64 * time.Second // and after the last; the shortest is half of it
	movedTries     = 16               // after so many failures it is a discovery like any other
)

// An Asker says how long to wait before each call. It is not safe for concurrent use.
type PollPacer struct {
	schedulers int
	longest    time.Duration
	rng        *rand.Rand
	waited     int // calls in a row that were turned away after a wait
	failed     int // calls in a row that failed at once
	shed       int // of the calls since the last answer, those that were refused at once
	oversized  int // lists over the bound since the last answer
	moved      int // calls left to another discovery that has been named and not yet answered
	agent      bool
}

// NewPollPacer makes one of so many schedulers' askers. A pause is never longer than longest: what
// may go by without a call until the list counts as known; 0 for no bound.
func NewPollPacer(schedulers int, longest time.Duration, rng *rand.Rand) *PollPacer {
	return &PollPacer{schedulers: min(max(1, schedulers), schedulersMost), longest: longest, rng: rng}
}

// NewAgentPollPacer makes the asker of a scheduler to which lists are pushed: to an agent that
// serves no other.
func NewAgentPollPacer(rng *rand.Rand) *PollPacer {
	return &PollPacer{schedulers: 1, rng: rng, agent: true}
}

// Wait returns how long discovery may hold the next watch.
func (a *PollPacer) Wait() time.Duration {
	wait := waitMost
	if a.agent {
		wait = agentWait
	}
	return wait - time.Duration(a.rng.Int64N(int64(wait/waitSpread)))
}

// Limit returns how long a call may take that discovery may hold for wait; 0 for one that
// asks for the whole list. A call that is silent for longer is broken.
func (a *PollPacer) Limit(wait time.Duration) time.Duration {
	switch {
	case a.agent:
		return wait + agentLimit
	case wait <= listLimit-watchSlack: // its turn may take as long as the whole list's
		return listLimit
	}
	return wait + watchSlack
}

// DialLimit returns how long a connection to discovery may take.
func (a *PollPacer) DialLimit() time.Duration {
	if a.agent {
		return agentLimit
	}
	return DialLimit
}

// First returns the pause before the first call after a start. No call has failed yet: it is
// shorter than those that follow may be.
func (a *PollPacer) First() time.Duration {
	if a.agent {
		return 0
	}
	window := seconds(float64(a.schedulers) / mostFirst)
	pause := a.jitter(min(window, startSpread), 0) + a.jitter(window-startSpread, 0)
	if a.longest > 0 {
		pause = min(pause, a.longest/8)
	}
	return pause
}

// Moved notes that another discovery is to be asked, at once: what the last one did tells
// nothing of it.
func (a *PollPacer) Moved() {
	a.waited, a.failed, a.shed, a.oversized, a.moved = 0, 0, 0, 0, movedTries
}

// After notes what came of a call that took so long and returns the pause before the next.
func (a *PollPacer) After(o Outcome, took time.Duration) time.Duration {
	fleet := seconds(float64(a.schedulers) / mostFailing)
	window, least := fleet, leastPause
	switch {
	case o == Answered:
		a.waited, a.failed, a.shed, a.oversized, a.moved = 0, 0, 0, 0, 0
		return 0
	case o == Oversized:
		window = max(fleet, min(oversizedMost, oversizedFirst<<a.oversized))
		if a.oversized < 2 {
			window = max(2*leastPause, min(window, failTime-took))
		}
		a.oversized = min(a.oversized+1, 16)
		return window/2 + time.Duration(a.rng.Int64N(int64(window/2)))
	case a.agent:
		return a.jitter(agentPause, leastPause)
	case o == Silent:
		// Not the queue's doing: what waits too long there is refused, sooner than a call is given
		// up. What was missed counts as told soon.
		a.waited, a.failed = 0, 0
		window = min(fleet, silentMost)
	case o == Busy && (a.shed > 0 || took < QueuedLeast):
		if took < QueuedLeast {
			a.shed = min(a.shed+1, 16)
		}
		window = min(failTime-took, max(fleet, growthMost/2)<<a.shed)
	case o == Busy:
		// The first time, whoever waited w comes back within w: by then the queue that had no
		// room is worked off. Who has been turned away more often comes back sooner than those
		// that were for the first time, else some never get their turn.
		a.failed = 0
		a.waited++
		window = min(max(took, fleet), failTime-took) * 2 / time.Duration(a.waited+1)
	default:
		// A discovery that is down costs nothing to ask and says nothing of its queue. A few
		// schedulers would ask all the time, very many all at once.
		a.failed = min(a.failed+1, 16)
		window = max(fleet, min(growthMost, leastPause<<a.failed))
		most := failTime - DialLimit
		least = max(least, min(window-most, most/2))
		window = min(window, most)
	}
	if a.moved > 0 {
		// What it has to tell counts as told 4 s after the move: all ask at first, then as above.
		window, least = min(fleet, movedMost), leastPause
		a.moved--
	}
	return a.jitter(window, least)
}

// jitter draws a pause up to a window: full jitter, since the schedulers fail together.
func (a *PollPacer) jitter(window, least time.Duration) time.Duration {
	pause := least
	if window > least {
		pause += time.Duration(a.rng.Int64N(int64(window - least)))
	}
	if a.longest > 0 {
		pause = min(pause, a.longest)
	}
	return pause
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
