package core

import (
	"cmp"
	"slices"

	"github.com/vatu-meals/foxlift"
)

// An entry is a node of the machine list.
type entry struct {
	foxlift.Worker
	number int64             // in the order first told
	cell   *cell             // whose module decides on it; nil before it was live
	out    map[*cell]float64 // slots of claims on it that are out, by the cell that sent them

	foreign float64 // slots of claims on it that another process has out
	isGone  bool    // it is in nodeTable.gone
}

// A nodeTable is the core's own copy of the machine list. A change of the list costs what it names,
// not what the list holds.
type nodeTable struct {
	known    map[string]*entry
	order    []*entry // of known, as first told
	gone     []*entry // to be forgotten once nothing is out there
	everTold int64    // nodes
	live     int
}

func newNodeTable() nodeTable { return nodeTable{known: map[string]*entry{}} }

// note takes in news of the list.
func (t *nodeTable) note(kind foxlift.EndpointUpdate, workers []foxlift.Worker) {
	if kind != foxlift.EndpointsDelta {
		for _, n := range t.order {
			t.setState(n, foxlift.Removed)
		}
	}
	for _, w := range workers {
		n := t.known[w.ID]
		if n == nil {
			t.everTold++
			n = &entry{Worker: foxlift.Worker{ID: w.ID, State: foxlift.Removed}, number: t.everTold, out: map[*cell]float64{}}
			t.known[w.ID] = n
			t.order = append(t.order, n)
		}
		state := w.State
		w.State = n.State
		n.Worker = w
		t.setState(n, state)
	}
}

// setState notes how a node is.
func (t *nodeTable) setState(n *entry, state foxlift.WorkerState) {
	if n.State == foxlift.Live {
		t.live--
	}
	if state == foxlift.Live {
		t.live++
	}
	n.State = state
	if state == foxlift.Removed && !n.isGone {
		n.isGone = true
		t.gone = append(t.gone, n)
	}
}

// fewForgotten is the most nodes that are taken out of the order one by one.
const fewForgotten = 64

// prune forgets nodes that are gone, once nothing is out there.
func (t *nodeTable) prune() {
	var old []*entry
	t.gone = slices.DeleteFunc(t.gone, func(n *entry) bool {
		if n.isGone = n.State == foxlift.Removed; !n.isGone {
			return true // it is back
		}
		if len(n.out) > 0 {
			return false
		}
		delete(t.known, n.ID)
		old = append(old, n)
		return true
	})
	if len(old) > fewForgotten {
		t.order = slices.DeleteFunc(t.order, func(n *entry) bool { return t.known[n.ID] != n })
		return
	}
	for _, n := range old {
		if i, there := slices.BinarySearchFunc(t.order, n, byNumber); there {
			t.order = slices.Delete(t.order, i, i+1)
		}
	}
}

// byNumber orders entries as they were first told.
func byNumber(a, b *entry) int { return cmp.Compare(a.number, b.number) }
