package core

import (
	"cmp"
	"slices"

	"github.com/vatu-meals/foxlift"
)

// An entry is a node of the machine list.
type workerEntry struct {
	foxlift.Worker
	number   int64             // in the order first told
	cell     *cell             // whose module decides on it; nil before it was live
	inFlight map[*cell]float64 // slots of claims on it that are out, by the cell that sent them

	otherProcessSlots float64 // slots of claims on it that another process has out
	isRemoved         bool    // it is in workerTable.gone
}

// A workerTable is the core's own copy of the machine list. A change of the list costs what it names,
// not what the list holds.
type workerTable struct {
	byID       map[string]*workerEntry
	order      []*workerEntry // of known, as first told
	removed    []*workerEntry // to be forgotten once nothing is out there
	lastNumber int64          // nodes
	liveCount  int
}

func newWorkerTable() workerTable { return workerTable{byID: map[string]*workerEntry{}} }

// note takes in news of the list.
func (t *workerTable) update(kind foxlift.EndpointUpdate, workers []foxlift.Worker) {
	if kind != foxlift.EndpointsDelta {
		for _, n := range t.order {
			t.setState(n, foxlift.Removed)
		}
	}
	for _, w := range workers {
		n := t.byID[w.ID]
		if n == nil {
			t.lastNumber++
			n = &workerEntry{Worker: foxlift.Worker{ID: w.ID, State: foxlift.Removed}, number: t.lastNumber, inFlight: map[*cell]float64{}}
			t.byID[w.ID] = n
			t.order = append(t.order, n)
		}
		state := w.State
		w.State = n.State
		n.Worker = w
		t.setState(n, state)
	}
}

// setState notes how a node is.
func (t *workerTable) setState(n *workerEntry, state foxlift.WorkerState) {
	if n.State == foxlift.Live {
		t.liveCount--
	}
	if state == foxlift.Live {
		t.liveCount++
	}
	n.State = state
	if state == foxlift.Removed && !n.isRemoved {
		n.isRemoved = true
		t.removed = append(t.removed, n)
	}
}

// maxSingleRemovals is the most nodes that are taken out of the order one by one.
const maxSingleRemovals = 64

// prune forgets nodes that are gone, once nothing is out there.
func (t *workerTable) prune() {
	var old []*workerEntry
	t.removed = slices.DeleteFunc(t.removed, func(n *workerEntry) bool {
		if n.isRemoved = n.State == foxlift.Removed; !n.isRemoved {
			return true // it is back
		}
		if len(n.inFlight) > 0 {
			return false
		}
		delete(t.byID, n.ID)
		old = append(old, n)
		return true
	})
	if len(old) > maxSingleRemovals {
		t.order = slices.DeleteFunc(t.order, func(n *workerEntry) bool { return t.byID[n.ID] != n })
		return
	}
	for _, n := range old {
		if i, there := slices.BinarySearchFunc(t.order, n, byNumber); there {
			t.order = slices.Delete(t.order, i, i+1)
		}
	}
}

// byNumber orders entries as they were first told.
func byNumber(a, b *workerEntry) int { return cmp.Compare(a.number, b.number) }
