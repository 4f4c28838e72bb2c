// Package pollpacing decides when a scheduler polls discovery: how long discovery may hold a watch, when a
// call without an answer is canceled, and the backoff before the next call. The schedulers exchange no
// messages for this; each draws its delays at random from bounds that depend on the number of schedulers in
// the fleet, so that all of them together do not overload discovery.
//
// The package has no I/O and no clock. A Pacer owns the counts of recent failures of one scheduler's calls;
// the caller reports the outcome of each call and waits for the returned delay.
package pollpacing

import (
	"math/rand/v2"
	"time"
)

// An Outcome is the result of a call to discovery.
type Outcome uint8

// The outcomes of a call.
const (
	Answered    Outcome = iota // answered with an endpoint list or its changes
	Overloaded                 // refused by discovery, after a wait in its queue or at once
	Unanswered                 // no answer within the timeout
	Unreachable                // no connection, or the connection ended without an answer
	Invalid                    // an answer that cannot be used
	Oversized                  // an answer above the size limit; the next answer is expected to be as large
)

// Bounds of single calls. Once discovery has a change and is reachable, the scheduler applies the change
// within MaxPropagationDelay, whatever the outcomes of the earlier calls. The longest sequence is a call that
// fails, the backoff after it, and a call that is answered:
//
//	timeout of the failed call + backoff + answerDelay + schedulingDelay <= MaxPropagationDelay
//
//	watch that times out          3.4 s + 0.7 s + 0.25 s + 1.3 s + 0.25 s = 5.9 s
//	complete list that times out  3.4 s         + 0.25 s + 1.3 s + 0.25 s = 5.2 s
//	refused after w in the queue, at most 3 s:  w + (4.45 s - w) + ...    = 6.0 s
//	no connection, at once or after 1 s:      1 s + 3.45 s       + ...    = 6.0 s
//
// Calls that fail one after another can exceed the bound. The list is then past its lease, and no job is sent by it
// (package membership).
const (
	// MaxPropagationDelay is the maximum time from a change at discovery until this scheduler applies it.
	MaxPropagationDelay = 6 * time.Second
	// AnswerBudget is the part of MaxPropagationDelay from the start of a call that is answered until the
	// scheduler applies the change.
	AnswerBudget = answerDelay + schedulingDelay
	// DialTimeout bounds the time to connect to a discovery service that schedulers share.
	DialTimeout = time.Second
	// MinQueueWait is the shortest wait in discovery's queue: a call that is refused sooner was not queued.
	MinQueueWait = 250 * time.Millisecond

	answerDelay     = 1300 * time.Millisecond // for the wait of a call in discovery's queue and its answer
	schedulingDelay = 250 * time.Millisecond  // delay of a scheduler process that has only a fraction of a core
	failureBudget   = MaxPropagationDelay - answerDelay - schedulingDelay

	maxWatchHold           = 3400 * time.Millisecond // how long discovery may hold a watch
	watchHoldJitterDivisor = 4                       // holds vary by up to 1/4, so that watches do not end together
	watchAnswerGrace       = 700 * time.Millisecond  // for the answer after the hold of a watch
	pollTimeout            = 3400 * time.Millisecond // for the complete list; discovery refuses a call after 3 s
)

// Bounds of calls to an agent. An agent serves only one scheduler, so that frequent polls affect no other.
const (
	agentWatchHold = 2 * time.Second
	agentTimeout   = 400 * time.Millisecond // for its answer, and for connecting to it
	agentBackoff   = 100 * time.Millisecond
)

// Bounds of the calls of all schedulers together. With n schedulers:
//
//   - Calls that fail at once are repeated within n/maxFailedCallRate seconds, on average after half of that:
//     2 x maxFailedCallRate calls per second in total, up to the n at which MaxPropagationDelay requires
//     more.
//   - Calls that were refused after a wait w are repeated within max(w, n/maxFailedCallRate) at first, or
//     sooner if MaxPropagationDelay requires it: a refused call uses a place in discovery's queue but no
//     work.
//   - A call that is refused at once shows that discovery no longer queues calls: each such call costs it
//     work, and the backoff doubles.
//   - First calls arrive at a rate of at most maxFirstCallRate per second.
//   - Calls that timed out are repeated within maxTimeoutBackoff: they ended after holds that the schedulers
//     draw at random, and a discovery service that does not answer has no queue.
//   - Calls with an oversized answer are repeated after a backoff that doubles up to maxOversizedBackoff, or
//     within n/maxFailedCallRate if that is longer: each makes discovery send the complete list without any
//     use. The first two repetitions keep MaxPropagationDelay, in case a length was corrupted in transit.
const (
	maxFailedCallRate        = 100.0                  // calls per second, see above
	maxFirstCallRate         = 300.0                  // calls per second
	firstCallJitter          = time.Second            // upper bound of the first of the two parts of InitialDelay
	maxTimeoutBackoff        = 250 * time.Millisecond // after a call that timed out
	minBackoff               = 50 * time.Millisecond  // between two calls of one scheduler, after a failure
	maxSmallFleetBackoff     = time.Second            // limit of the growing backoff of a small fleet
	maxNewEndpointBackoff    = 500 * time.Millisecond // upper bound after the address of discovery has changed
	newEndpointAttempts      = 16                     // number of failed calls for which that bound applies
	maxSchedulers            = 1_000_000              // a larger fleet is paced like one of this size
	firstOversizedBackoff    = time.Second            // upper bound of a small fleet after the first oversized answer
	maxOversizedBackoff      = 64 * time.Second       // upper bound of a small fleet after any oversized answer
	oversizedRetriesInBudget = 2                      // oversized answers whose backoff keeps MaxPropagationDelay

	maxDoublings = 16 // limit of the exponent of a backoff: more would overflow, and have no effect
)

// A Pacer computes the delay before each call to discovery, and the timeouts of the call. It is not safe for
// concurrent use.
type Pacer struct {
	schedulers int           // number of schedulers that share discovery
	maxBackoff time.Duration // limit of every delay but those after oversized answers; 0: no limit
	rng        *rand.Rand
	agent      bool // whether an agent is called

	queuedRejections    int // calls refused after a wait in the queue since the last answer or timeout
	failures            int // calls that failed at once since the last answer, timeout or wait in the queue
	immediateRejections int // calls refused at once since the last answer; at most maxDoublings
	oversizedAnswers    int // oversized answers since the last usable one
	newEndpointCalls    int // remaining failed calls for which the address of discovery counts as new
}

// NewPacer returns the pacer of one of a number of schedulers that share a discovery service; fewer than 1 count
// as 1, more than maxSchedulers as maxSchedulers. maxBackoff is the time that may pass without a call before the
// scheduler counts as having the list of discovery, even if it has not arrived. It limits every delay but those
// after oversized answers; 0 means no limit.
func NewPacer(schedulers int, maxBackoff time.Duration, rng *rand.Rand) *Pacer {
	return &Pacer{schedulers: min(max(1, schedulers), maxSchedulers), maxBackoff: maxBackoff, rng: rng}
}

// NewAgentPacer returns the pacer of a scheduler that receives its lists from an agent, which serves no other
// scheduler.
func NewAgentPacer(rng *rand.Rand) *Pacer {
	return &Pacer{schedulers: 1, rng: rng, agent: true}
}

// WatchHold returns how long discovery may hold the next watch, drawn at random from 3/4 of maxWatchHold, or of
// agentWatchHold for an agent, up to the whole.
func (p *Pacer) WatchHold() time.Duration {
	hold := maxWatchHold
	if p.agent {
		hold = agentWatchHold
	}
	return hold - time.Duration(p.rng.Int64N(int64(hold/watchHoldJitterDivisor)))
}

// Timeout returns the timeout of a call that discovery may hold for the given time. The hold of a call for
// the complete list is 0.
func (p *Pacer) Timeout(hold time.Duration) time.Duration {
	switch {
	case p.agent:
		return hold + agentTimeout
	case hold <= pollTimeout-watchAnswerGrace: // such a call may be queued for as long as one for the complete list
		return pollTimeout
	}
	return hold + watchAnswerGrace
}

// DialTimeout returns the timeout of connecting to discovery or to the agent.
func (p *Pacer) DialTimeout() time.Duration {
	if p.agent {
		return agentTimeout
	}
	return DialTimeout
}

// InitialDelay returns the random delay before the first call after a start, 0 for an agent. Its upper bound
// grows with the number of schedulers, to keep maxFirstCallRate. As no call has failed yet, it is at most an
// eighth of maxBackoff, if there is such a limit.
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

// EndpointChanged records that the address of discovery has changed; the caller calls the new address without
// delay. The failures of the previous address are discarded. Until a call is answered, the delay after each of
// the next newEndpointAttempts failed calls is at most maxNewEndpointBackoff, except after oversized answers.
func (p *Pacer) EndpointChanged() {
	p.resetFailures()
	p.newEndpointCalls = newEndpointAttempts
}

// NextDelay records the outcome of a call that took the elapsed time, and returns the delay before the next
// call: 0 after an answer, otherwise a random one as described at the constants above.
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
		// The queue is not the cause: a call that waits too long there is refused before its timeout. A
		// change that was missed has to arrive soon.
		p.queuedRejections, p.failures = 0, 0
		high = min(fleetWindow, maxTimeoutBackoff)
	case outcome == Overloaded && (p.immediateRejections > 0 || elapsed < MinQueueWait):
		if elapsed < MinQueueWait {
			p.immediateRejections = min(p.immediateRejections+1, maxDoublings)
		}
		backoff := max(fleetWindow, maxSmallFleetBackoff/2) << p.immediateRejections
		high = min(failureBudget-elapsed, backoff)
	case outcome == Overloaded:
		// The first time, a call that waited w is repeated within w: by then discovery has served the queue
		// that was full. A scheduler that was refused more often calls again sooner than the other
		// schedulers; otherwise some would never be served.
		p.failures = 0
		p.queuedRejections++
		backoff := min(max(elapsed, fleetWindow), failureBudget-elapsed)
		high = backoff * 2 / time.Duration(p.queuedRejections+1)
	default:
		low, high = p.failureBounds(fleetWindow)
	}
	if p.newEndpointCalls > 0 {
		// The list of the new address is binding 4 s after the change, and all schedulers call it at first.
		low, high = minBackoff, min(fleetWindow, maxNewEndpointBackoff)
		p.newEndpointCalls--
	}
	return p.jitter(low, high)
}

// resetFailures sets the counts of failures to 0.
func (p *Pacer) resetFailures() {
	p.queuedRejections, p.failures, p.immediateRejections, p.oversizedAnswers = 0, 0, 0, 0
}

// oversizedDelay counts an oversized answer and returns the delay after it: at random from half of the backoff
// window up to the whole window. maxBackoff does not limit it.
func (p *Pacer) oversizedDelay(fleetWindow, elapsed time.Duration) time.Duration {
	backoff := min(maxOversizedBackoff, firstOversizedBackoff<<p.oversizedAnswers)
	window := max(fleetWindow, backoff)
	if p.oversizedAnswers < oversizedRetriesInBudget {
		window = max(2*minBackoff, min(window, failureBudget-elapsed))
	}
	p.oversizedAnswers = min(p.oversizedAnswers+1, maxDoublings)
	return window/2 + time.Duration(p.rng.Int64N(int64(window/2)))
}

// failureBounds counts a call that failed at once and returns the bounds of the delay after it. A call to a
// discovery service that is down costs it nothing and gives no information on its queue. Without a backoff a
// small fleet would call continuously, and a large fleet all at the same time.
func (p *Pacer) failureBounds(fleetWindow time.Duration) (low, high time.Duration) {
	p.failures = min(p.failures+1, maxDoublings)
	window := max(fleetWindow, min(maxSmallFleetBackoff, minBackoff<<p.failures))
	budget := failureBudget - DialTimeout
	low = max(minBackoff, min(window-budget, budget/2))
	return low, min(window, budget)
}

// jitter returns a random delay from low up to high, or low if high is not greater, limited by maxBackoff. The
// whole range is random (full jitter), since the calls of all schedulers fail together.
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

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
