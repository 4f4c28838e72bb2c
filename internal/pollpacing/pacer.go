// Package pollpacing decides when a scheduler polls discovery: how long a watch may be held, when
// a call that is silent is broken off, and the backoff before the next one. Schedulers neither see
// nor message each other here; each draws its delays from bounds that depend on how many schedulers
// the fleet has, so that all of them together do not overload discovery.
//
// The package has no I/O and no clock. A Pacer owns the counts of recent failures of one
// scheduler's calls; the caller reports each call's outcome and waits as it is told.
package pollpacing

import (
	"math/rand/v2"
	"time"
)

// An Outcome is the result of a call to discovery.
type Outcome uint8

// The outcomes of a call.
const (
	Answered    Outcome = iota // with an endpoint list or its changes
	Overloaded                 // refused by discovery itself, after a wait in its queue or at once
	Unanswered                 // no answer within the time allowed
	Unreachable                // no connection, or it ended without an answer
	Invalid                    // an answer that cannot be used
	Oversized                  // an answer over the size bound: the next one will be, too
)

// Bounds of single calls. Once discovery has a change and can be reached, the change is in force
// here within MaxPropagationDelay, whatever became of the calls before. The longest sequence is a
// call that is lost, the backoff after it, and a call that is answered:
//
//	timeout of the lost call + backoff + answerDelay + schedulingDelay <= MaxPropagationDelay
//
//	a watch that times out     3.4 s + 0.7 s  + 0.25 s + 1.3 s + 0.25 s = 5.9 s
//	a list that never comes    3.4 s          + 0.25 s + 1.3 s + 0.25 s = 5.2 s
//	refused after w in the queue, at most 3 s: w + (4.45 s - w)  + ...  = 6.0 s
//	no connection, at once or after 1 s:  1 s + 3.45 s           + ...  = 6.0 s
//
// Calls that are refused again and again can exceed it: nobody can tell then whether discovery has
// too many callers or is down. To send nothing by a list that old costs more jobs than it saves
// (docs/design/moments.md).
const (
	// MaxPropagationDelay is how long a change that discovery has may take to be in force here.
	MaxPropagationDelay = 6 * time.Second
	// AnswerBudget is the part of MaxPropagationDelay from the start of a call that is answered
	// until its change is in force.
	AnswerBudget = answerDelay + schedulingDelay
	// DialTimeout bounds a connection to a discovery that schedulers share.
	DialTimeout = time.Second
	// MinQueueWait is the shortest wait in discovery's queue: a call refused sooner was not queued.
	MinQueueWait = 250 * time.Millisecond

	answerDelay     = 1300 * time.Millisecond // for a call's wait in discovery's queue and its answer
	schedulingDelay = 250 * time.Millisecond  // lost by a scheduler that has a fraction of a core
	failureBudget   = MaxPropagationDelay - answerDelay - schedulingDelay

	maxWatchHold           = 3400 * time.Millisecond // how long discovery may hold a watch
	watchHoldJitterDivisor = 4                       // up to this part less, so that watches do not end together
	watchAnswerGrace       = 700 * time.Millisecond  // for the answer after a watch's hold
	pollTimeout            = 3400 * time.Millisecond // for the complete list: discovery gives up after 3 s
)

// Bounds of calls to an agent. It serves one scheduler alone, so that polling it often costs nobody.
const (
	agentWatchHold = 2 * time.Second
	agentTimeout   = 400 * time.Millisecond // for its answer, and for a connection to it
	agentBackoff   = 100 * time.Millisecond
)

// Bounds of all schedulers' calls together. With n schedulers:
//
//   - calls that fail at once are repeated within n/maxFailedCallRate seconds, on average after half
//     of that: 2 x maxFailedCallRate calls a second in sum, up to the n at which MaxPropagationDelay
//     asks for more;
//   - calls that were refused after a wait w are repeated within max(w, n/maxFailedCallRate) at
//     first, or as MaxPropagationDelay asks: a refused call costs discovery a place in its queue, no
//     work;
//   - calls that were refused at once met a discovery that no longer queues: each costs it work, and
//     the backoff doubles;
//   - first calls come at most maxFirstCallRate a second;
//   - calls that timed out are repeated within maxTimeoutBackoff: they ended after holds that the
//     schedulers draw at random, and a discovery that does not answer has no queue;
//   - calls whose answer was oversized are repeated after a backoff that doubles up to
//     maxOversizedBackoff: each costs discovery the complete list and makes nothing known. The first
//     two keep MaxPropagationDelay, should a length have been corrupted on the way.
const (
	maxFailedCallRate        = 100.0
	maxFirstCallRate         = 300.0
	firstCallJitter          = time.Second            // the window of the first calls of a small fleet
	maxTimeoutBackoff        = 250 * time.Millisecond // after a call that timed out
	minBackoff               = 50 * time.Millisecond  // between two calls of one scheduler
	maxSmallFleetBackoff     = time.Second            // to which the backoff of a small fleet grows
	maxNewEndpointBackoff    = 500 * time.Millisecond // after another discovery has been named,
	newEndpointAttempts      = 16                     // for so many failures
	maxSchedulers            = 1_000_000
	firstOversizedBackoff    = time.Second // the upper bound after the first oversized answer
	maxOversizedBackoff      = 64 * time.Second
	oversizedRetriesInBudget = 2 // oversized answers after which the backoff keeps MaxPropagationDelay

	maxDoublings = 16 // of a backoff: more would overflow and change nothing
)

// A Pacer says how long to wait before each call to discovery. It is not safe for concurrent use.
type Pacer struct {
	schedulers int
	maxBackoff time.Duration // 0: no bound
	rng        *rand.Rand
	agent      bool

	queuedRejections    int // calls in a row that were refused after a wait in the queue
	failures            int // calls in a row that failed at once
	immediateRejections int // since the last answer, calls that were refused at once
	oversizedAnswers    int // since the last answer within the size bound
	newEndpointCalls    int // calls left for which the discovery counts as just named
}

// NewPacer returns the pacer of one of n schedulers that share a discovery. No delay is longer than
// maxBackoff: the time that may pass without a call until the endpoint list counts as known; 0 for
// no bound.
func NewPacer(schedulers int, maxBackoff time.Duration, rng *rand.Rand) *Pacer {
	return &Pacer{schedulers: min(max(1, schedulers), maxSchedulers), maxBackoff: maxBackoff, rng: rng}
}

// NewAgentPacer returns the pacer of a scheduler to which lists are pushed: of calls to an agent
// that serves no other.
func NewAgentPacer(rng *rand.Rand) *Pacer {
	return &Pacer{schedulers: 1, rng: rng, agent: true}
}

// WatchHold returns how long discovery may hold the next watch.
func (p *Pacer) WatchHold() time.Duration {
	hold := maxWatchHold
	if p.agent {
		hold = agentWatchHold
	}
	return hold - time.Duration(p.rng.Int64N(int64(hold/watchHoldJitterDivisor)))
}

// Timeout returns how long a call may take that discovery may hold for hold; 0 for one that asks for
// the complete list.
func (p *Pacer) Timeout(hold time.Duration) time.Duration {
	switch {
	case p.agent:
		return hold + agentTimeout
	case hold <= pollTimeout-watchAnswerGrace: // it may be queued for as long as a complete list
		return pollTimeout
	}
	return hold + watchAnswerGrace
}

// DialTimeout returns how long a connection to discovery may take.
func (p *Pacer) DialTimeout() time.Duration {
	if p.agent {
		return agentTimeout
	}
	return DialTimeout
}

// InitialDelay returns the delay before the first call after a start. No call has failed yet: it is
// shorter than those that follow may be.
func (p *Pacer) InitialDelay() time.Duration {
	if p.agent {
		return 0
	}
	window := seconds(float64(p.schedulers) / maxFirstCallRate)
	delay := p.jitter(0, min(window, firstCallJitter)) + p.jitter(0, window-firstCallJitter)
	if p.maxBackoff > 0 {
		delay = min(delay, p.maxBackoff/8)
	}
	return delay
}

// EndpointChanged notes that another discovery is called from now on, at once: the failures of the
// last one say nothing of it.
func (p *Pacer) EndpointChanged() {
	p.resetFailures()
	p.newEndpointCalls = newEndpointAttempts
}

// NextDelay notes the outcome of a call that took elapsed and returns the delay before the next one.
func (p *Pacer) NextDelay(outcome Outcome, elapsed time.Duration) time.Duration {
	fleetWindow := seconds(float64(p.schedulers) / maxFailedCallRate)
	low, high := minBackoff, time.Duration(0)
	switch {
	case outcome == Answered:
		p.resetFailures()
		p.newEndpointCalls = 0
		return 0
	case outcome == Oversized:
		return p.oversizedDelay(fleetWindow, elapsed)
	case p.agent:
		return p.jitter(minBackoff, agentBackoff)
	case outcome == Unanswered:
		// The queue is not the cause: a call that waits too long there is refused before it is
		// broken off. A change that was missed has to be known soon.
		p.queuedRejections, p.failures = 0, 0
		high = min(fleetWindow, maxTimeoutBackoff)
	case outcome == Overloaded && (p.immediateRejections > 0 || elapsed < MinQueueWait):
		if elapsed < MinQueueWait {
			p.immediateRejections = min(p.immediateRejections+1, maxDoublings)
		}
		backoff := max(fleetWindow, maxSmallFleetBackoff/2) << p.immediateRejections
		high = min(failureBudget-elapsed, backoff)
	case outcome == Overloaded:
		// The first time, a call that waited w is repeated within w: by then the queue that had no
		// room has been served. A scheduler that was refused more often comes back sooner than the
		// others, else some are never served.
		p.failures = 0
		p.queuedRejections++
		backoff := min(max(elapsed, fleetWindow), failureBudget-elapsed)
		high = backoff * 2 / time.Duration(p.queuedRejections+1)
	default:
		low, high = p.failureBounds(fleetWindow)
	}
	if p.newEndpointCalls > 0 {
		// What the new discovery has binds 4 s after the change: all schedulers call it at first.
		low, high = minBackoff, min(fleetWindow, maxNewEndpointBackoff)
		p.newEndpointCalls--
	}
	return p.jitter(low, high)
}

// resetFailures forgets what is known of a discovery's failures.
func (p *Pacer) resetFailures() {
	p.queuedRejections, p.failures, p.immediateRejections, p.oversizedAnswers = 0, 0, 0, 0
}

// oversizedDelay returns the delay after an oversized answer: half of the window at least.
func (p *Pacer) oversizedDelay(fleetWindow, elapsed time.Duration) time.Duration {
	backoff := min(maxOversizedBackoff, firstOversizedBackoff<<p.oversizedAnswers)
	window := max(fleetWindow, backoff)
	if p.oversizedAnswers < oversizedRetriesInBudget {
		window = max(2*minBackoff, min(window, failureBudget-elapsed))
	}
	p.oversizedAnswers = min(p.oversizedAnswers+1, maxDoublings)
	return window/2 + time.Duration(p.rng.Int64N(int64(window/2)))
}

// failureBounds returns the bounds of the delay after a call that failed at once. A discovery that is
// down costs nothing to call and says nothing of its queue; without a backoff few schedulers would
// call all the time, and many all at once.
func (p *Pacer) failureBounds(fleetWindow time.Duration) (low, high time.Duration) {
	p.failures = min(p.failures+1, maxDoublings)
	window := max(fleetWindow, min(maxSmallFleetBackoff, minBackoff<<p.failures))
	budget := failureBudget - DialTimeout
	low = max(minBackoff, min(window-budget, budget/2))
	return low, min(window, budget)
}

// jitter draws a delay from low up to high. It is full jitter, since the schedulers fail together.
func (p *Pacer) jitter(low, high time.Duration) time.Duration {
	delay := low
	if high > low {
		delay += time.Duration(p.rng.Int64N(int64(high - low)))
	}
	if p.maxBackoff > 0 {
		delay = min(delay, p.maxBackoff)
	}
	return delay
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
