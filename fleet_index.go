package foxlift

// The index of the fleet: which workers are live, removed or lost, which may change their level by time
// alone, and the sum of the learned limits. It is updated as workers change, so that only a complete
// endpoint list makes a step examine every worker.
// Nothing is decided here.

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/vatu-meals/foxlift/internal/decision/capacity"
	"github.com/vatu-meals/foxlift/internal/decision/health"
)

// A fleetIndex indexes the workers by ID and by state. No slice holds a worker twice.
type fleetIndex struct {
	workers         map[string]*worker // by ID
	workerOrder     []*worker          // in order of first appearance, by worker.number
	liveWorkers     []*worker          // in the same order
	workersSeen     int64              // number of workers ever added
	pendingWorkers  []*worker          // to get a new level at the next tick or endpoint event
	pendingUnsorted bool               // pendingWorkers is not in the order of workerOrder
	livenessChanges []*worker          // workers that became live or ceased to be in the current endpoint event
	removedWorkers  []*worker          // removed workers, and some that came back since the last deleteRemoved
	lostWorkers     []*worker          // lost workers, and some that came back since the last countLost
	limitSum        capacity.LimitSum  // sum of the learned limits of live workers
	workersExamined int                // total of all steps without the scans of complete lists; read by tests
}

// maxIncrementalUpdates bounds the workers that are inserted into or deleted from an ordered slice one by one;
// for more, the slice is rebuilt.
const maxIncrementalUpdates = 64

// addWorker adds a worker that is not in the index yet, as removed and in no free list.
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

// compareByNumber orders workers by their first appearance, as Dispatcher.workerOrder does.
func compareByNumber(a, b *worker) int { return cmp.Compare(a.number, b.number) }

// markPending marks a worker for an update of its level at the next tick or endpoint event.
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

// timeDependent reports whether time alone may change a worker's level.
func (d *Dispatcher) timeDependent(w *worker) bool {
	return w.state == Live && (w.outlier.Paused(d.now) || d.inSlowStart(w))
}

// sortPending sorts the pending workers in the order of workerOrder.
func (d *Dispatcher) sortPending() {
	if d.pendingUnsorted {
		slices.SortFunc(d.pendingWorkers, compareByNumber)
		d.pendingUnsorted = false
	}
}

// updatePending updates the levels of the pending workers, in the order of workerOrder. Workers whose level
// time alone may change stay pending.
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

// updateLimitSum updates the sum of learned limits for a worker.
func (d *Dispatcher) updateLimitSum(w *worker) { d.limitSum.Update(&w.limit, w.state == Live) }

// indexWorker updates the index for a worker whose entry an endpoint event has changed.
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

// removeUnlisted sets the workers that a complete endpoint list does not name to Removed.
func (d *Dispatcher) removeUnlisted() {
	for _, w := range d.workerOrder {
		if w.lastListEvent != d.endpoints.events && w.state != Removed {
			w.setState(Removed, d.now)
			d.indexWorker(w)
		}
	}
}

// updateLive updates liveWorkers from livenessChanges at the end of an endpoint event.
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

// slowStartTotals returns how many live workers are in slow start, and the sum of their weights, in warm
// workers.
func (d *Dispatcher) slowStartTotals() (workers int, weight float64) {
	d.sortPending()
	for _, w := range d.pendingWorkers { // every live worker in slow start is pending
		if w.state == Live && d.inSlowStart(w) {
			workers++
			weight += d.slowStartWeight(w)
		}
	}
	d.workersExamined += len(d.pendingWorkers)
	return workers, weight
}

// countLost returns how many workers are lost, and drops from lostWorkers those that are back and past
// slow start.
func (d *Dispatcher) countLost() int {
	d.workersExamined += len(d.lostWorkers)
	d.lostWorkers = slices.DeleteFunc(d.lostWorkers, func(w *worker) bool {
		w.lost = w.lost && (w.state == Removed || d.inSlowStart(w))
		w.inLost = w.lost
		return !w.lost
	})
	return len(d.lostWorkers)
}

// deleteRemoved deletes the workers that were removed before a time and have neither attempts in flight nor
// external slots, and drops from removedWorkers those that are back. Otherwise a fleet that replaces its
// workers for months would cost more every day.
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

// deleteWorker deletes a worker from the map of workers and from recentReports. The caller removes it from
// workerOrder and removedWorkers; the next countLost drops it from lostWorkers.
func (d *Dispatcher) deleteWorker(w *worker) {
	w.deleted, w.lost = true, false
	delete(d.workers, w.id)
	d.capacity.recentReports.remove(w)
}
