package foxlift

// Sending by a stale endpoint list. A change counts as notified some seconds after discovery had it,
// whether or not it arrived here, and also while this process was down. By a list that may be older than
// that nothing is sent, unless discovery may well be down, which tells nobody of changes: then jobs go to
// workers that have accepted one lately. Some that drain accept jobs too, so that is a guess.

import (
	"math"
	"slices"

	"github.com/vatu-meals/foxlift/internal/decision/membership"
)

// A PollFailure is what a failed call tells of discovery.
type PollFailure = membership.PollFailure

// What a failed call may tell of discovery.
const (
	// FailureBusy is a refusal after a wait: discovery is down, or has too many callers.
	FailureBusy = membership.FailureBusy
	// FailureUnanswered is a refusal at once, silence, or a reset: it may be there for others.
	FailureUnanswered = membership.FailureUnanswered
	// FailureDown says that nobody listens there: it tells nobody of changes.
	FailureDown = membership.FailureDown
	// FailureInvalid is an answer with nothing of use: what discovery has counts as known.
	FailureInvalid = membership.FailureInvalid
)

const maxExploreSamples = 8 // workers looked at to find one that may be tried by a stale list

// EndpointsUsable reports whether jobs may be sent by the list as it is known, if only to some workers.
func (d *Dispatcher) EndpointsUsable() bool { return d.endpoints.lease.Usable(d.now) }

// recordAccepted notes that a worker has accepted an attempt: when that was sent, it did not drain.
func (d *Dispatcher) recordAccepted(a *attempt) {
	w := a.worker
	w.acceptedAt = max(w.acceptedAt, a.sentAt)
	if w.accepting {
		return
	}
	if len(d.endpoints.accepting) > 2*len(d.liveWorkers) { // most of them are removed
		d.pruneAccepting()
	}
	w.accepting = true
	d.endpoints.accepting = append(d.endpoints.accepting, w)
}

// pruneAccepting takes out the workers that have not accepted a job lately.
func (d *Dispatcher) pruneAccepting() {
	d.endpoints.accepting = slices.DeleteFunc(d.endpoints.accepting, func(w *worker) bool {
		w.accepting = w.state == Live && d.endpoints.lease.Covers(w.acceptedAt, d.now)
		return !w.accepting
	})
}

// pickAccepting finds the worker for a job while the list is old: one that has accepted a job lately, or,
// now and then, one of which nothing is known.
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

// explore finds a worker of which nothing is known for a job; nil where that may not be yet.
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
