package foxlift

// The workers as a dispatcher looks for them: whose place time alone may change, which are live, removed
// or lost, and the sum of the learned limits. All of it is kept as workers change, so that no step looks at
// every worker but that which takes a complete list. Nothing is decided here.

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/vatu-meals/foxlift/internal/decision/capacity"
	"github.com/vatu-meals/foxlift/internal/decision/health"
)

// A fleetIndex holds the workers by what is asked of them. Each slice holds a worker once.
type fleetIndex struct {
	workers            map[string]*worker // by ID
	workerOrder        []*worker          // in the order first heard of
	liveWorkers        []*worker          // the live ones, in that order
	workersSeen        int64              // workers ever heard of
	pending            []*worker          // to be placed anew at the next tick or list event
	unsorted           bool               // pending is not in the order of the list
	livenessChanged    []*worker          // those that became live, or are so no more, by the list event in hand
	removed            []*worker          // with some that have come back since the last look
	lost               []*worker          // the same
	learnedLimits      capacity.Limits    // of the live workers
	candidatesExamined int                // by any step but one of a complete list, for tests of its cost
}

// maxIncremental is the most workers that are put into the live ones one by one.
const maxIncremental = 64

// addWorker takes a worker that is heard of for the first time into the list.
func (d *Dispatcher) addWorker(id string) *worker {
	h := fnv.New64a()
	h.Write([]byte(id))
	d.workersSeen++
	hash := h.Sum64() * 0xff51afd7ed558ccd
	w := &worker{
		id: id, number: d.workersSeen, hash: hash, endpoint: endpoint{state: Removed}, level: -1,
		warmup: health.NewWarmup(hash),
	}
	d.workers[id] = w
	d.workerOrder = append(d.workerOrder, w)
	return w
}

// byNumber orders workers as they were first heard of, which is the order of Dispatcher.list.
func byNumber(a, b *worker) int { return cmp.Compare(a.number, b.number) }

// markPending has a worker placed anew at the next tick or list event.
func (d *Dispatcher) markPending(w *worker) {
	if w.pending {
		return
	}
	w.pending = true
	if n := len(d.pending); n > 0 && d.pending[n-1].number > w.number {
		d.unsorted = true
	}
	d.pending = append(d.pending, w)
}

// timeDependent reports whether time alone may change a worker's place.
func (d *Dispatcher) timeDependent(w *worker) bool {
	return w.state == Live && (w.outlier.Paused(d.now) || d.inSlowStart(w))
}

// sortPending puts the pending workers into the order of the list.
func (d *Dispatcher) sortPending() {
	if d.unsorted {
		slices.SortFunc(d.pending, byNumber)
		d.unsorted = false
	}
}

// updatePending places the workers that are pending, in the order of the list. Those that time alone
// may move stay pending.
func (d *Dispatcher) updatePending() {
	d.sortPending()
	d.candidatesExamined += len(d.pending)
	kept := d.pending[:0]
	for _, w := range d.pending {
		d.updateLevel(w)
		if w.pending = d.timeDependent(w); w.pending {
			kept = append(kept, w)
		}
	}
	clear(d.pending[len(kept):])
	d.pending = kept
}

// recountLimit brings the sum of limits up to date with a worker.
func (d *Dispatcher) recountLimit(w *worker) { d.learnedLimits.Recount(&w.limit, w.state == Live) }

// indexWorker brings the index up to date with what a list event says of a worker.
func (d *Dispatcher) indexWorker(w *worker) {
	d.markPending(w)
	d.recountLimit(w)
	d.indexAffinity(w)
	if (w.state == Live) != w.live {
		w.live = !w.live
		d.livenessChanged = append(d.livenessChanged, w)
	}
	if w.state == Removed && !w.inRemoved {
		w.inRemoved = true
		d.removed = append(d.removed, w)
	}
	if w.lost && !w.inLost {
		w.inLost = true
		d.lost = append(d.lost, w)
	}
}

// removeUnlisted removes the workers that a complete list does not name.
func (d *Dispatcher) removeUnlisted() {
	for _, w := range d.workerOrder {
		if w.lastSeenEvent != d.endpoints.events && w.state != Removed {
			w.setState(Removed, d.now)
			d.indexWorker(w)
		}
	}
}

// updateLive brings the live workers up to date at the end of a list event.
func (d *Dispatcher) updateLive() {
	if len(d.livenessChanged) > maxIncremental {
		d.liveWorkers = d.liveWorkers[:0]
		for _, w := range d.workerOrder {
			if w.live {
				d.liveWorkers = append(d.liveWorkers, w)
			}
		}
	} else {
		for _, w := range d.livenessChanged {
			switch i, there := slices.BinarySearchFunc(d.liveWorkers, w, byNumber); {
			case w.live && !there:
				d.liveWorkers = slices.Insert(d.liveWorkers, i, w)
			case !w.live && there:
				d.liveWorkers = slices.Delete(d.liveWorkers, i, i+1)
			}
		}
	}
	d.candidatesExamined += len(d.livenessChanged)
	clear(d.livenessChanged)
	d.livenessChanged = d.livenessChanged[:0]
}

// slowStartTotals returns how many live workers are in slow start, and the sum of their weights.
func (d *Dispatcher) slowStartTotals() (workers int, weight float64) {
	d.sortPending()
	for _, w := range d.pending { // a live worker in slow start is among them
		if w.state == Live && d.inSlowStart(w) {
			workers++
			weight += d.slowStartWeight(w)
		}
	}
	d.candidatesExamined += len(d.pending)
	return workers, weight
}

// countLost returns how many workers are lost, and forgets those that are back and warm.
func (d *Dispatcher) countLost() int {
	d.candidatesExamined += len(d.lost)
	d.lost = slices.DeleteFunc(d.lost, func(w *worker) bool {
		w.lost = w.lost && (w.state == Removed || d.inSlowStart(w))
		w.inLost = w.lost
		return !w.lost
	})
	return len(d.lost)
}

// forgetRemoved drops the workers that have been removed since before a time, once nothing is
// counted there: a fleet that replaces its workers for months must not cost more by the day.
func (d *Dispatcher) forgetRemoved(before int64) {
	d.candidatesExamined += len(d.removed)
	var old []*worker
	d.removed = slices.DeleteFunc(d.removed, func(w *worker) bool {
		if w.inRemoved = w.state == Removed; !w.inRemoved {
			return true
		}
		if w.removedAt >= before || w.inFlightJobs > 0 || w.externalSlots != 0 {
			return false
		}
		old = append(old, w)
		return true
	})
	for _, w := range old {
		d.forgetWorker(w)
	}
	if len(old) > maxIncremental {
		d.workerOrder = slices.DeleteFunc(d.workerOrder, func(w *worker) bool { return w.forgotten })
		return
	}
	for _, w := range old {
		if i, there := slices.BinarySearchFunc(d.workerOrder, w, byNumber); there {
			d.workerOrder = slices.Delete(d.workerOrder, i, i+1)
		}
	}
}

// forgetWorker drops a worker from all but the list.
func (d *Dispatcher) forgetWorker(w *worker) {
	w.forgotten, w.lost = true, false
	delete(d.workers, w.id)
	d.capacity.reported.remove(w)
}
