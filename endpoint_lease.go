package foxlift

// Sending while the endpoint list is stale. A change of the list counts as notified some seconds after
// discovery has it, even if it did not arrive here or this process was down. A list that may be older than
// that is stale, and no job is sent by it. The exception is a list that the process was started with, before
// discovery's first answer: after a grace jobs go to workers that accepted one lately. This is a guess: some
// draining workers accept jobs too.

import (
	"math"
	"slices"

	"github.com/vatu-meals/foxlift/internal/decision/membership"
)

// A PollFailure says what a failed poll shows about discovery.
type PollFailure = membership.PollFailure

// The kinds of poll failures.
const (
	// FailureBusy is a refusal after a wait: discovery is down or overloaded.
	FailureBusy = membership.FailureBusy
	// FailureUnanswered is an immediate refusal, a timeout or a reset: discovery may still serve others.
	FailureUnanswered = membership.FailureUnanswered
	// FailureDown means that nothing listens at the address: discovery notifies nobody of changes.
	FailureDown = membership.FailureDown
	// FailureInvalid is an unusable answer: discovery runs, so its changes count as notified.
	FailureInvalid = membership.FailureInvalid
)

const maxExploreSamples = 8 // random workers examined to find one to explore

// EndpointsUsable reports whether jobs may be sent with the current endpoint list, if only to some workers.
func (d *Dispatcher) EndpointsUsable() bool { return d.endpoints.lease.Usable(d.now) }

// recordAccepted records that a worker accepted an attempt: it was not draining when the attempt was sent.
func (d *Dispatcher) recordAccepted(a *attempt) {
	w := a.worker
	w.acceptedAt = max(w.acceptedAt, a.sentAt)
	if w.accepting {
		return
	}
	if len(d.endpoints.accepting) > 2*len(d.liveWorkers) { // most entries are of removed workers
		d.pruneAccepting()
	}
	w.accepting = true
	d.endpoints.accepting = append(d.endpoints.accepting, w)
}

// pruneAccepting removes the workers that are not live or have not accepted a job within the lease.
func (d *Dispatcher) pruneAccepting() {
	d.endpoints.accepting = slices.DeleteFunc(d.endpoints.accepting, func(w *worker) bool {
		w.accepting = w.state == Live && d.endpoints.lease.Covers(w.acceptedAt, d.now)
		return !w.accepting
	})
}

// pickAccepting returns the worker for a job while the list is stale: the cheapest one that accepted a job
// within the lease, or else one to explore. It returns nil if there is none, or if the list is not usable.
func (d *Dispatcher) pickAccepting(j *job) *worker {
	if !d.EndpointsUsable() {
		return nil
	}
	d.pruneAccepting()
	var best *worker
	bestCost := math.Inf(1)
	for _, w := range d.endpoints.accepting {
		if !d.eligible(j, w) {
			continue
		}
		if cost := float64(w.level) + d.placementCost(j, w); cost < bestCost {
			best, bestCost = w, cost
		}
	}
	if best == nil {
		return d.explore(j)
	}
	return best
}

// explore returns a random eligible worker that need not have accepted a job, and records the time of this.
// It returns nil if the lease's explore interval has not passed or no sampled worker is eligible.
func (d *Dispatcher) explore(j *job) *worker {
	if len(d.liveWorkers) == 0 || !d.endpoints.lease.MayExplore(d.now) {
		return nil
	}
	for range maxExploreSamples {
		if w := d.liveWorkers[d.rng.IntN(len(d.liveWorkers))]; d.eligible(j, w) {
			d.endpoints.lease.RecordExplored(d.now)
			return w
		}
	}
	return nil
}
