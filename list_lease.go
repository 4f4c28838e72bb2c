package foxlift

// How far the machine list can be trusted. A change counts as known some seconds after discovery had it,
// whether or not it arrived here, and also while this process was down. By a list that may be older than
// that nothing is sent, unless discovery may well be down, which tells nobody of changes: then jobs go to
// workers that have accepted one lately. Some that drain accept jobs too, so that is a guess.

import (
	"math"
	"slices"
)

// A ListFailure is what a failed call tells of discovery.
type ListFailure uint8

const (
	FailureBusy       ListFailure = iota // refused after a wait: it is down, or has too many callers
	FailureUnanswered                    // refused at once, silent, or reset: it may be there for others
	FailureDown                          // nobody listens there: it tells nobody of changes
	FailureSpoilt                        // it answers, with nothing of use: what it has counts as known
)

// A listLease is what the calls to discovery say of the list's age.
type listLease struct {
	confirmed   bool        // a call has been answered since the start
	confirmedAt int64       // when the last one was; the start, before the first
	failure     ListFailure // what the failed calls since tell
	exploredAt  int64       // when a worker of which nothing is known was last tried by an old list
}

const (
	// savedListHold is how long a process that has just started waits for discovery's first answer before
	// it goes by the list that it was started with: by then discovery is most likely out of order.
	savedListHold = 5 * second

	// movedLease is how long the list may be relied on after another discovery was named: what that one has
	// counts as known then.
	movedLease = 4 * second

	exploreEvery = second // between sends to workers of which nothing is known, by an old list
	exploreLooks = 8      // at workers, to find one that may be tried
)

// confirm notes that discovery has answered: the list is as new as can be.
func (l *listLease) confirm(now int64) {
	*l = listLease{confirmed: true, confirmedAt: now}
}

// fail notes a failed call. What has shown that discovery can be reached stays noted until it answers.
func (l *listLease) fail(f ListFailure) {
	if l.failure != FailureSpoilt || f == FailureDown {
		l.failure = f
	}
}

// move notes that another discovery has been named, and is yet to answer.
func (l *listLease) move(now, lease int64) {
	l.failure = FailureBusy
	l.confirmedAt = min(l.confirmedAt, now-lease+movedLease)
}

// listFresh reports whether the list holds every change that counts as known.
func (d *Dispatcher) listFresh() bool {
	l := &d.lease
	return d.cfg.ListLease == 0 || l.failure == FailureDown ||
		l.confirmed && d.now-l.confirmedAt < d.cfg.ListLease
}

// ListTrusted reports whether jobs may be sent by the list as it is known, if only to some workers.
func (d *Dispatcher) ListTrusted() bool {
	l := &d.lease
	switch {
	case d.listFresh():
		return true
	case l.confirmed:
		return l.failure == FailureBusy
	}
	return l.failure != FailureSpoilt && d.now-l.confirmedAt >= savedListHold
}

// accepts notes that a worker has taken an attempt: when that was sent, it did not drain.
func (d *Dispatcher) accepts(a *attempt) {
	w := a.worker
	w.acceptedAt = max(w.acceptedAt, a.sent)
	if w.accepting {
		return
	}
	if len(d.accepting) > 2*len(d.live) { // most of them have gone
		d.dropNotAccepting()
	}
	w.accepting = true
	d.accepting = append(d.accepting, w)
}

// dropNotAccepting takes out the workers that have not accepted a job lately.
func (d *Dispatcher) dropNotAccepting() {
	d.accepting = slices.DeleteFunc(d.accepting, func(w *worker) bool {
		w.accepting = w.state == Live && d.now-w.acceptedAt < d.cfg.ListLease
		return !w.accepting
	})
}

// pickAccepting finds the worker for a job while the list is old: one that has accepted a job lately, or,
// now and then, one of which nothing is known.
func (d *Dispatcher) pickAccepting(j *job) *worker {
	if !d.ListTrusted() {
		return nil
	}
	d.dropNotAccepting()
	var best *worker
	bestCost := math.Inf(1)
	for _, w := range d.accepting {
		if !d.fits(j, w) {
			continue
		}
		if c := float64(w.level) + d.cost(j, w); c < bestCost {
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
	if len(d.live) == 0 || l.exploredAt != 0 && d.now-l.exploredAt < exploreEvery {
		return nil
	}
	for range exploreLooks {
		if w := d.live[d.rng.IntN(len(d.live))]; d.fits(j, w) {
			l.exploredAt = d.now
			return w
		}
	}
	return nil
}
