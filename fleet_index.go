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
	workers         map[string]*worker // by ID
	workerOrder     []*worker          // in the order first heard of
	liveWorkers     []*worker          // the live ones, in that order
	workersSeen     int64              // workers ever heard of
	pendingWorkers  []*worker          // to be placed anew at the next tick or list event
	pendingUnsorted bool               // pending is not in the order of the list
	livenessChanges []*worker          // those that became live, or are so no more, by the list event in hand
	removedWorkers  []*worker          // with some that have come back since the last look
	lostWorkers     []*worker          // the same
	limitSum        capacity.LimitSum  // of the live workers
	workersExamined int                // by any step but one of a complete list, for tests of its cost
}

// maxIncremental is the most workers that are put into the live ones one by one.
const maxIncrementalUpdates = 64

// addWorker takes a worker that is heard of for the first time into the list.
func (d *Dispatcher) addWorker(id string) *worker {
	hasher := fnv.New64a()
	hasher.Write([]byte(id))
	d.workersSeen++
	hash := hasher.Sum64() * 0xff51afd7ed558ccd
	w := &worker{
		id: id, number: d.workersSeen, hash: hash, endpoint: endpoint{state: Removed}, level: -1,
		warmup: health.NewWarmup(hash),
	}
	d.workers[id] = w
	d.workerOrder = append(d.workerOrder, w)
	return w
}

// byNumber orders workers as they were first heard of, which is the order of Dispatcher.list.
func compareByNumber(a, b *worker) int { return cmp.Compare(a.number, b.number) }

// markPending has a worker placed anew at the next tick or list event.
func (d *Dispatcher) markPending(w *worker) {
	if w.pending {
		return
	}
	w.pending = true
	if n := len(d.pendingWorkers); n > 0 && d.pendingWorkers[n-1].number > w.number {
		d.pendingUnsorted = true
	}
	d.pendingWorkers = append(d.pendingWorkers, w)
}

// timeDependent reports whether time alone may change a worker's place.
func (d *Dispatcher) timeDependent(w *worker) bool {
	return w.state == Live && (w.outlier.Paused(d.now) || d.inSlowStart(w))
}

// sortPending puts the pending workers into the order of the list.
func (d *Dispatcher) sortPending() {
	if d.pendingUnsorted {
		slices.SortFunc(d.pendingWorkers, compareByNumber)
		d.pendingUnsorted = false
	}
}

// updatePending places the workers that are pending, in the order of the list. Those that time alone
// may move stay pending.
func (d *Dispatcher) updatePending() {
	d.sortPending()
	d.workersExamined += len(d.pendingWorkers)
	stillPending := d.pendingWorkers[:0]
	for _, w := range d.pendingWorkers {
		d.updateLevel(w)
		if w.pending = d.timeDependent(w); w.pending {
			stillPending = append(stillPending, w)
		}
	}
	clear(d.pendingWorkers[len(stillPending):])
	d.pendingWorkers = stillPending
}

// recountLimit brings the sum of limits up to date with a worker.
func (d *Dispatcher) updateLimitSum(w *worker) { d.limitSum.Update(&w.limit, w.state == Live) }

// indexWorker brings the index up to date with what a list event says of a worker.
func (d *Dispatcher) indexWorker(w *worker) {
	d.markPending(w)
	d.updateLimitSum(w)
	d.indexAffinity(w)
	if (w.state == Live) != w.live {
		w.live = !w.live
		d.livenessChanges = append(d.livenessChanges, w)
	}
	if w.state == Removed && !w.inRemoved {
		w.inRemoved = true
		d.removedWorkers = append(d.removedWorkers, w)
	}
	if w.lost && !w.inLost {
		w.inLost = true
		d.lostWorkers = append(d.lostWorkers, w)
	}
}

// removeUnlisted removes the workers that a complete list does not name.
func (d *Dispatcher) removeUnlisted() {
	for _, w := range d.workerOrder {
		if w.lastListEvent != d.endpoints.events && w.state != Removed {
			w.setState(Removed, d.now)
			d.indexWorker(w)
		}
	}
}

// updateLive brings the live workers up to date at the end of a list event.
func (d *Dispatcher) updateLive() {
	if len(d.livenessChanges) > maxIncrementalUpdates {
		d.liveWorkers = d.liveWorkers[:0]
		for _, w := range d.workerOrder {
			if w.live {
				d.liveWorkers = append(d.liveWorkers, w)
			}
		}
	} else {
		for _, w := range d.livenessChanges {
			switch i, found := slices.BinarySearchFunc(d.liveWorkers, w, compareByNumber); {
			case w.live && !found:
				d.liveWorkers = slices.Insert(d.liveWorkers, i, w)
			case !w.live && found:
				d.liveWorkers = slices.Delete(d.liveWorkers, i, i+1)
			}
		}
	}
	d.workersExamined += len(d.livenessChanges)
	clear(d.livenessChanges)
	d.livenessChanges = d.livenessChanges[:0]
}

// slowStartTotals returns how many live workers are in slow start, and the sum of their weights.
func (d *Dispatcher) slowStartTotals() (workers int, weight float64) {
	d.sortPending()
	for _, w := range d.pendingWorkers { // a live worker in slow start is among them
		if w.state == Live && d.inSlowStart(w) {
			workers++
			weight += d.slowStartWeight(w)
		}
	}
	d.workersExamined += len(d.pendingWorkers)
	return workers, weight
}

// countLost returns how many workers are lost, and forgets those that are back and warm.
func (d *Dispatcher) countLost() int {
	d.workersExamined += len(d.lostWorkers)
	d.lostWorkers = slices.DeleteFunc(d.lostWorkers, func(w *worker) bool {
		w.lost = w.lost && (w.state == Removed || d.inSlowStart(w))
		w.inLost = w.lost
		return !w.lost
	})
	return len(d.lostWorkers)
}

// forgetRemoved drops the workers that have been removed since before a time, once nothing is
// counted there: a fleet that replaces its workers for months must not cost more by the day.
func (d *Dispatcher) deleteRemoved(before int64) {
	d.workersExamined += len(d.removedWorkers)
	var expired []*worker
	d.removedWorkers = slices.DeleteFunc(d.removedWorkers, func(w *worker) bool {
		if w.inRemoved = w.state == Removed; !w.inRemoved {
			return true
		}
		if w.removedAt >= before || w.inFlightJobs > 0 || w.externalSlots != 0 {
			return false
		}
		expired = append(expired, w)
		return true
	})
	for _, w := range expired {
		d.deleteWorker(w)
	}
	if len(expired) > maxIncrementalUpdates {
		d.workerOrder = slices.DeleteFunc(d.workerOrder, func(w *worker) bool { return w.deleted })
		return
	}
	for _, w := range expired {
		if i, found := slices.BinarySearchFunc(d.workerOrder, w, compareByNumber); found {
			d.workerOrder = slices.Delete(d.workerOrder, i, i+1)
		}
	}
}

// forgetWorker drops a worker from all but the list.
func (d *Dispatcher) deleteWorker(w *worker) {
	w.deleted, w.lost = true, false
	delete(d.workers, w.id)
	d.capacity.reported.remove(w)
}
