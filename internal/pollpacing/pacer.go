// Package pollpacing decides when a scheduler that knows little asks discovery, so that all
// schedulers of a fleet together spare it though they neither see nor tell each other
// anything. It has no I/O and no clock: the caller says what came of each call and waits as
// it is told.
package pollpacing

import (
	"math/rand/v2"
	"time"
)

// An Outcome is what came of a call to discovery.
type Outcome uint8

const (
	Answered    Outcome = iota // with a list or its changes
	Overloaded                 // refused by discovery itself, after a wait for its turn or at once
	TimedOut                   // nothing within the time allowed
	Unreachable                // no connection, or it ended without an answer
	Invalid                    // an answer that is of no use
	Oversized                  // an answer over the bound: the next one will be so, too
)

// The list's clock. From any moment at which discovery has a change and can be reached, a
// scheduler has the change within MaxPropagationDelay, whatever became of its calls before. The longest
// way there is a call that is lost, the pause after it, and a call that is answered:
//
//	limit of the lost call + pause after it + answerDelay + schedulingDelay <= MaxPropagationDelay
//
//	a watch that falls silent  3.4 s + 0.7 s  + 0.25 s + 1.3 s + 0.25 s = 5.9 s
//	a list that never comes    3.4 s          + 0.25 s + 1.3 s + 0.25 s = 5.2 s
//	refused after w for its turn, at most 3 s: w + (4.45 s - w)  + ...  = 6.0 s
//	no connection, at once or after 1 s:  1 s + 3.45 s           + ...  = 6.0 s
//
// Calls that are refused again and again can break it: nobody can tell then whether discovery has
// too many callers or is down, which looks the same. Sending nothing on a list that old was tried:
// in an outage of 8 s it cost herd+mass a third of its service (0.85 to 0.55). A pushed list counts
// at once when discovery is back: an agent serves one scheduler alone, and is asked every agentBackoff.
const (
	MaxPropagationDelay = 6 * time.Second
	AnswerBudget        = answerDelay + schedulingDelay // of MaxPropagationDelay, from a call that is answered to its change in force

	answerDelay     = 1300 * time.Millisecond // for a call's turn and its answer
	schedulingDelay = 250 * time.Millisecond  // that a scheduler with a part of a core loses on the way
	failureBudget   = MaxPropagationDelay - answerDelay - schedulingDelay

	maxWatchHold           = 3400 * time.Millisecond // how long discovery may hold a watch,
	watchHoldJitterDivisor = 4                       // less up to that part, so that all do not end together
	watchAnswerGrace       = 700 * time.Millisecond  // its answer may come this much after
	fullListTimeout        = 3400 * time.Millisecond // for the whole list: discovery gives up after 3 s
	DialTimeout            = time.Second             // for a connection to discovery
	agentWatchHold         = 2 * time.Second         // how long an agent may hold a watch,
	agentTimeout           = 400 * time.Millisecond  // for its answer, and for a connection to it
	agentBackoff           = 100 * time.Millisecond  // after a call that failed
	MinQueueWait           = 250 * time.Millisecond  // who was refused sooner waited for no turn
)

// The figures by which all schedulers together are bounded. With n of them:
//
//   - calls that fail at once come back within n/maxFailedCallRate seconds, on average after half of
//     that: 2 x maxFailedCallRate calls a second in sum, up to the n at which the list's clock asks for more;
//   - calls that waited w for their turn come back within max(w, n/maxFailedCallRate) at first, or as
//     the list's clock asks: a refused call costs discovery its place in the queue, no work;
//   - calls that were refused at once met a discovery that has given up queueing: each costs it
//     work all the same, and the pauses double (on nesra's calm day 49 of 60 schedulers never had
//     an answer, at 137 refused calls a second where it answers 20 to 31);
//   - first calls come at most maxFirstCallRate a second;
//   - calls that fell silent come back within maxTimeoutBackoff: they were ended after waits that the
//     schedulers draw at random, and a silent discovery has no queue;
//   - calls for a list over the bound come back after pauses that double up to maxOversizedBackoff: none
//     of them makes anything known, so the list's clock does not hold for them, and each costs
//     discovery the whole list. The first two pauses keep it, should a length have been spoilt.
const (
	maxFailedCallRate     = 100.0
	maxFirstCallRate      = 300.0
	firstCallJitter       = time.Second            // by which few schedulers' first calls are spread at most
	maxTimeoutBackoff     = 250 * time.Millisecond // pause after a call that fell silent
	minBackoff            = 50 * time.Millisecond  // between two calls of one scheduler
	maxSmallFleetBackoff  = time.Second            // to which the pauses of a few schedulers grow
	maxNewEndpointBackoff = 500 * time.Millisecond // the longest pause after another discovery was named
	maxSchedulers         = 1_000_000
	firstOversizedBackoff = time.Second      // the longest pause after the first answer over the bound,
	maxOversizedBackoff   = 64 * time.Second // and after the last; the shortest is half of it
	newEndpointAttempts   = 16               // after so many failures it is a discovery like any other
)

// An Asker says how long to wait before each call. It is not safe for concurrent use.
type Pacer struct {
	schedulers          int
	maxBackoff          time.Duration
	rng                 *rand.Rand
	queuedRejections    int // calls in a row that were turned away after a wait
	failures            int // calls in a row that failed at once
	immediateRejections int // of the calls since the last answer, those that were refused at once
	oversizedAnswers    int // lists over the bound since the last answer
	newEndpointCalls    int // calls left to another discovery that has been named and not yet answered
	agent               bool
}

// NewPacer makes one of so many schedulers' askers. A pause is never longer than longest: what
// may go by without a call until the list counts as known; 0 for no bound.
func NewPacer(schedulers int, longest time.Duration, rng *rand.Rand) *Pacer {
	return &Pacer{schedulers: min(max(1, schedulers), maxSchedulers), maxBackoff: longest, rng: rng}
}

// NewAgentPacer makes the asker of a scheduler to which lists are pushed: to an agent that
// serves no other.
func NewAgentPacer(rng *rand.Rand) *Pacer {
	return &Pacer{schedulers: 1, rng: rng, agent: true}
}

// Wait returns how long discovery may hold the next watch.
func (a *Pacer) WatchHold() time.Duration {
	wait := maxWatchHold
	if a.agent {
		wait = agentWatchHold
	}
	return wait - time.Duration(a.rng.Int64N(int64(wait/watchHoldJitterDivisor)))
}

// Limit returns how long a call may take that discovery may hold for wait; 0 for one that
// asks for the whole list. A call that is silent for longer is broken.
func (a *Pacer) Timeout(wait time.Duration) time.Duration {
	switch {
	case a.agent:
		return wait + agentTimeout
	case wait <= fullListTimeout-watchAnswerGrace: // its turn may take as long as the whole list's
		return fullListTimeout
	}
	return wait + watchAnswerGrace
}

// DialTimeout returns how long a connection to discovery may take.
func (a *Pacer) DialTimeout() time.Duration {
	if a.agent {
		return agentTimeout
	}
	return DialTimeout
}

// First returns the pause before the first call after a start. No call has failed yet: it is
// shorter than those that follow may be.
func (a *Pacer) InitialDelay() time.Duration {
	if a.agent {
		return 0
	}
	window := seconds(float64(a.schedulers) / maxFirstCallRate)
	pause := a.jitter(min(window, firstCallJitter), 0) + a.jitter(window-firstCallJitter, 0)
	if a.maxBackoff > 0 {
		pause = min(pause, a.maxBackoff/8)
	}
	return pause
}

// Moved notes that another discovery is to be asked, at once: what the last one did tells
// nothing of it.
func (a *Pacer) EndpointChanged() {
	a.queuedRejections, a.failures, a.immediateRejections, a.oversizedAnswers, a.newEndpointCalls = 0, 0, 0, 0, newEndpointAttempts
}

// After notes what came of a call that took so long and returns the pause before the next.
func (a *Pacer) NextDelay(o Outcome, took time.Duration) time.Duration {
	fleet := seconds(float64(a.schedulers) / maxFailedCallRate)
	window, least := fleet, minBackoff
	switch {
	case o == Answered:
		a.queuedRejections, a.failures, a.immediateRejections, a.oversizedAnswers, a.newEndpointCalls = 0, 0, 0, 0, 0
		return 0
	case o == Oversized:
		window = max(fleet, min(maxOversizedBackoff, firstOversizedBackoff<<a.oversizedAnswers))
		if a.oversizedAnswers < 2 {
			window = max(2*minBackoff, min(window, failureBudget-took))
		}
		a.oversizedAnswers = min(a.oversizedAnswers+1, 16)
		return window/2 + time.Duration(a.rng.Int64N(int64(window/2)))
	case a.agent:
		return a.jitter(agentBackoff, minBackoff)
	case o == TimedOut:
		// Not the queue's doing: what waits too long there is refused, sooner than a call is given
		// up. What was missed counts as told soon.
		a.queuedRejections, a.failures = 0, 0
		window = min(fleet, maxTimeoutBackoff)
	case o == Overloaded && (a.immediateRejections > 0 || took < MinQueueWait):
		if took < MinQueueWait {
			a.immediateRejections = min(a.immediateRejections+1, 16)
		}
		window = min(failureBudget-took, max(fleet, maxSmallFleetBackoff/2)<<a.immediateRejections)
	case o == Overloaded:
		// The first time, whoever waited w comes back within w: by then the queue that had no
		// room is worked off. Who has been turned away more often comes back sooner than those
		// that were for the first time, else some never get their turn.
		a.failures = 0
		a.queuedRejections++
		window = min(max(took, fleet), failureBudget-took) * 2 / time.Duration(a.queuedRejections+1)
	default:
		// A discovery that is down costs nothing to ask and says nothing of its queue. A few
		// schedulers would ask all the time, very many all at once.
		a.failures = min(a.failures+1, 16)
		window = max(fleet, min(maxSmallFleetBackoff, minBackoff<<a.failures))
		most := failureBudget - DialTimeout
		least = max(least, min(window-most, most/2))
		window = min(window, most)
	}
	if a.newEndpointCalls > 0 {
		// What it has to tell counts as told 4 s after the move: all ask at first, then as above.
		window, least = min(fleet, maxNewEndpointBackoff), minBackoff
		a.newEndpointCalls--
	}
	return a.jitter(window, least)
}

// jitter draws a pause up to a window: full jitter, since the schedulers fail together.
func (a *Pacer) jitter(window, least time.Duration) time.Duration {
	pause := least
	if window > least {
		pause += time.Duration(a.rng.Int64N(int64(window - least)))
	}
	if a.maxBackoff > 0 {
		pause = min(pause, a.maxBackoff)
	}
	return pause
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
