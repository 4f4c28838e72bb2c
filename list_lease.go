package foxlift

// How far the machine list can be trusted. A change counts as known some seconds after discovery had it,
// whether or not it arrived here, and also while this process was down. By a list that may be older than
// that nothing is sent, unless discovery may well be down, which tells nobody of changes: then jobs go to
// workers that have accepted one lately. Some that drain accept jobs too, so that is a guess.

import (
	"math"
	"slices"
)

// A PollFailure is what a failed call tells of discovery.
type PollFailure uint8

const (
	FailureBusy       PollFailure = iota // refused after a wait: it is down, or has too many callers
	FailureUnanswered                    // refused at once, silent, or reset: it may be there for others
	FailureDown                          // nobody listens there: it tells nobody of changes
	FailureInvalid                       // it answers, with nothing of use: what it has counts as known
)

// A endpointLease is what the calls to discovery say of the list's age.
type endpointLease struct {
	confirmed   bool        // a call has been answered since the start
	confirmedAt int64       // when the last one was; the start, before the first
	failure     PollFailure // what the failed calls since tell
	exploredAt  int64       // when a worker of which nothing is known was last tried by an old list
}

const (
	// cachedListGrace is how long a process that has just started waits for discovery's first answer before
	// it goes by the list that it was started with: by then discovery is most likely out of order.
	cachedListGrace = 5 * second

	// discoveryChangeLease is how long the list may be relied on after another discovery was named: what
	// that one has counts as known then.
	discoveryChangeLease = 4 * second

	exploreInterval   = second // between sends to workers of which nothing is known, by an old list
	exploreCandidates = 8      // at workers, to find one that may be tried
)

// confirm notes that discovery has answered: the list is as new as can be.
func (l *endpointLease) confirm(now int64) {
	*l = endpointLease{confirmed: true, confirmedAt: now}
}

// fail notes a failed call. What has shown that discovery can be reached stays noted until it answers.
func (l *endpointLease) recordFailure(f PollFailure) {
	if l.failure != FailureInvalid || f == FailureDown {
		l.failure = f
	}
}

// move notes that another discovery has been named, and is yet to answer.
func (l *endpointLease) changeDiscovery(now, lease int64) {
	l.failure = FailureBusy
	l.confirmedAt = min(l.confirmedAt, now-lease+discoveryChangeLease)
}

// endpointsFresh reports whether the list holds every change that counts as known.
func (d *Dispatcher) endpointsFresh() bool {
	l := &d.lease
	return d.cfg.EndpointLease == 0 || l.failure == FailureDown ||
		l.confirmed && d.now-l.confirmedAt < d.cfg.EndpointLease
}

// EndpointsUsable reports whether jobs may be sent by the list as it is known, if only to some workers.
func (d *Dispatcher) EndpointsUsable() bool {
	l := &d.lease
	switch {
	case d.endpointsFresh():
		return true
	case l.confirmed:
		return l.failure == FailureBusy
	}
	return l.failure != FailureInvalid && d.now-l.confirmedAt >= cachedListGrace
}

// accepts notes that a worker has taken an attempt: when that was sent, it did not drain.
func (d *Dispatcher) recordAccepted(a *attempt) {
	w := a.worker
	w.acceptedAt = max(w.acceptedAt, a.sentAt)
	if w.accepting {
		return
	}
	if len(d.acceptingWorkers) > 2*len(d.liveWorkers) { // most of them have gone
		d.pruneAccepting()
	}
	w.accepting = true
	d.acceptingWorkers = append(d.acceptingWorkers, w)
}

// pruneAccepting takes out the workers that have not accepted a job lately.
func (d *Dispatcher) pruneAccepting() {
	d.acceptingWorkers = slices.DeleteFunc(d.acceptingWorkers, func(w *worker) bool {
		w.accepting = w.state == Live && d.now-w.acceptedAt < d.cfg.EndpointLease
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
	for _, w := range d.acceptingWorkers {
		if !d.eligible(j, w) {
			continue
		}
		if c := float64(w.level) + d.placementCost(j, w); c < bestCost {
			best, bestCost = w, c
		}
	}
	if best == nil {
		return d.explore(j)
	}
	return best
}

// explore finds a worker of which nothing is known for a job; nil where that may not be yet.
func (d *Dispatcher) explore(j *job) *worker {
	l := &d.lease
	if len(d.liveWorkers) == 0 || l.exploredAt != 0 && d.now-l.exploredAt < exploreInterval {
		return nil
	}
	for range exploreCandidates {
		if w := d.liveWorkers[d.rng.IntN(len(d.liveWorkers))]; d.eligible(j, w) {
			l.exploredAt = d.now
			return w
		}
	}
	return nil
}
