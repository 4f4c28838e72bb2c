package core

import (
	"cmp"
	"slices"

	"github.com/vatu-meals/foxlift"
)

// A workerEntry is a worker of the endpoint list, or a removed worker with attempts in flight.
type workerEntry struct {
	foxlift.Worker
	number   int64             // position in the order in which workers were first listed
	cell     *cell             // cell of the worker; nil before it was first live, and without cells
	inFlight map[*cell]float64 // slots in flight at the worker, by the cell that sent them; empty without cells

	otherProcessSlots float64 // slots in flight at the worker that another process of the scheduler sent
	inRemovedList     bool    // the entry is in workerTable.removed
}

// forCell returns the worker for the dispatcher of a cell: ExternalSlots are the slots in flight of the other
// cells and of another process.
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

// A workerTable is the core's copy of the endpoint list. The cost of a delta depends on the number of workers in
// it, not on the size of the list.
type workerTable struct {
	byID       map[string]*workerEntry
	order      []*workerEntry // the entries of byID, in the order in which they were first listed
	removed    []*workerEntry // removed workers, whose entries prune deletes once nothing is in flight there
	lastNumber int64          // number of the entry added last
	liveCount  int            // number of live workers
}

func newWorkerTable() workerTable { return workerTable{byID: map[string]*workerEntry{}} }

// update applies an update of the endpoint list. All kinds but EndpointsDelta hold the complete list, so that
// workers which are not in it become Removed.
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

// entry returns the entry of a worker. If there is none, it adds one in the state Removed.
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

// setState changes the state of a worker, with liveCount and the list of removed workers.
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

// maxSingleRemovals is the maximum number of entries that prune deletes one by one; for more entries, one pass
// over all entries is cheaper.
const maxSingleRemovals = 64

// prune deletes the entries of removed workers that have nothing in flight; without cells, of all removed
// workers.
func (t *workerTable) prune() {
	var pruned []*workerEntry
	t.removed = slices.DeleteFunc(t.removed, func(w *workerEntry) bool {
		w.inRemovedList = w.State == foxlift.Removed
		if !w.inRemovedList {
			return true // the worker has been listed again
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

// compareByNumber orders entries as they were first listed.
func compareByNumber(a, b *workerEntry) int { return cmp.Compare(a.number, b.number) }

// withExternalSlots returns the workers of an update with the slots that another process has in flight there.
// The argument is copied if a worker changes.
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
