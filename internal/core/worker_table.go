package core

import (
	"cmp"
	"slices"

	"github.com/vatu-meals/foxlift"
)

// A workerEntry is a worker of the endpoint list.
type workerEntry struct {
	foxlift.Worker
	number   int64             // in the order first listed
	cell     *cell             // whose dispatcher has it; nil before it was live
	inFlight map[*cell]float64 // slots in flight there, by the cell that sent them

	otherProcessSlots float64 // slots in flight there that another process of the scheduler sent
	inRemovedList     bool    // it is in workerTable.removed
}

// forCell returns the worker as the dispatcher of a cell is to know it: with the slots of all others as
// external slots.
func (w *workerEntry) forCell(cl *cell) foxlift.Worker {
	worker := w.Worker
	worker.ExternalSlots = w.otherProcessSlots
	for other, slots := range w.inFlight {
		if other != cl {
			worker.ExternalSlots += slots
		}
	}
	return worker
}

// A workerTable is the core's own copy of the endpoint list. An update costs what it names, not what the
// list holds.
type workerTable struct {
	byID       map[string]*workerEntry
	order      []*workerEntry // of byID, as first listed
	removed    []*workerEntry // to be forgotten once nothing is in flight there
	lastNumber int64
	liveCount  int
}

func newWorkerTable() workerTable { return workerTable{byID: map[string]*workerEntry{}} }

// update takes over an update of the endpoint list.
func (t *workerTable) update(kind foxlift.EndpointUpdate, workers []foxlift.Worker) {
	if kind != foxlift.EndpointsDelta {
		for _, w := range t.order {
			t.setState(w, foxlift.Removed)
		}
	}
	for i := range workers {
		w := t.entry(workers[i].ID)
		previous := w.State
		w.Worker = workers[i]
		w.State = previous
		t.setState(w, workers[i].State)
	}
}

// entry returns the entry of a worker, which it makes if there is none.
func (t *workerTable) entry(id string) *workerEntry {
	if w := t.byID[id]; w != nil {
		return w
	}
	t.lastNumber++
	w := &workerEntry{
		Worker: foxlift.Worker{ID: id, State: foxlift.Removed},
		number: t.lastNumber, inFlight: map[*cell]float64{},
	}
	t.byID[id] = w
	t.order = append(t.order, w)
	return w
}

// setState changes the state of a worker.
func (t *workerTable) setState(w *workerEntry, state foxlift.WorkerState) {
	if w.State == foxlift.Live {
		t.liveCount--
	}
	if state == foxlift.Live {
		t.liveCount++
	}
	w.State = state
	if state == foxlift.Removed && !w.inRemovedList {
		w.inRemovedList = true
		t.removed = append(t.removed, w)
	}
}

// maxSingleRemovals is how many workers are taken out of the order one by one; for more, one pass over
// all is cheaper.
const maxSingleRemovals = 64

// prune forgets workers that are removed, once nothing is in flight there.
func (t *workerTable) prune() {
	var pruned []*workerEntry
	t.removed = slices.DeleteFunc(t.removed, func(w *workerEntry) bool {
		w.inRemovedList = w.State == foxlift.Removed
		if !w.inRemovedList {
			return true // it is back
		}
		if len(w.inFlight) > 0 {
			return false
		}
		delete(t.byID, w.ID)
		pruned = append(pruned, w)
		return true
	})
	if len(pruned) > maxSingleRemovals {
		t.order = slices.DeleteFunc(t.order, func(w *workerEntry) bool { return t.byID[w.ID] != w })
		return
	}
	for _, w := range pruned {
		if i, found := slices.BinarySearchFunc(t.order, w, compareByNumber); found {
			t.order = slices.Delete(t.order, i, i+1)
		}
	}
}

// compareNumbers orders entries as they were first listed.
func compareByNumber(a, b *workerEntry) int { return cmp.Compare(a.number, b.number) }

// withExternalSlots returns workers of an update with the slots that another process has in flight there.
func (t *workerTable) withExternalSlots(workers []foxlift.Worker) []foxlift.Worker {
	result := workers
	isCloned := false
	for i := range workers {
		w := t.byID[workers[i].ID]
		if w == nil || w.otherProcessSlots == 0 {
			continue
		}
		if !isCloned {
			result, isCloned = slices.Clone(workers), true
		}
		result[i].ExternalSlots = w.otherProcessSlots
	}
	return result
}
