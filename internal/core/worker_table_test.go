package core

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/vatu-meals/foxlift"
)

// A modelTable does what a workerTable does by going over all nodes at each change.
type modelTable struct {
	states map[string]foxlift.WorkerState
	order  []string
}

func (p *modelTable) update(kind foxlift.EndpointUpdate, workers []foxlift.Worker, busy map[string]bool) {
	if kind != foxlift.EndpointsDelta {
		for id := range p.states {
			p.states[id] = foxlift.Removed
		}
	}
	for _, w := range workers {
		if _, there := p.states[w.ID]; !there {
			p.order = append(p.order, w.ID)
		}
		p.states[w.ID] = w.State
	}
	p.order = slices.DeleteFunc(p.order, func(id string) bool {
		drop := p.states[id] == foxlift.Removed && !busy[id]
		if drop {
			delete(p.states, id)
		}
		return drop
	})
}

// The table holds the same nodes in the same order as one that looks at all of them, whatever comes:
// whole lists, changes, nodes that go with claims out and come back.
func TestWorkerTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, plain := newWorkerTable(), modelTable{states: map[string]foxlift.WorkerState{}}
		busy, holder := map[string]bool{}, &cell{}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			kind := rapid.SampledFrom([]foxlift.EndpointUpdate{foxlift.EndpointsDelta, foxlift.EndpointsComplete, foxlift.EndpointsCached}).Draw(t, "kind")
			var workers []foxlift.Worker
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, 150), 0, 100).Draw(t, "nodes") {
				state := rapid.SampledFrom([]foxlift.WorkerState{foxlift.Live, foxlift.Draining, foxlift.Removed}).Draw(t, "state")
				workers = append(workers, foxlift.Worker{ID: fmt.Sprint("n", i), State: state})
			}
			table.update(kind, workers)
			table.prune()
			plain.update(kind, workers, busy)
			var order []string
			live := 0
			for _, n := range table.order {
				order = append(order, n.ID)
				if table.byID[n.ID] != n || n.State != plain.states[n.ID] {
					t.Fatalf("%s is %v, want %v", n.ID, n.State, plain.states[n.ID])
				}
				if n.State == foxlift.Live {
					live++
				}
			}
			if !slices.Equal(order, plain.order) || len(table.byID) != len(order) || table.liveCount != live {
				t.Fatalf("%v, want %v; %d known, %d live, counted %d", order, plain.order, len(table.byID), live, table.liveCount)
			}
			for id, n := range table.byID {
				if busy[id] = rapid.Bool().Draw(t, "busy"); busy[id] {
					n.inFlight[holder] = 1
				} else {
					delete(n.inFlight, holder)
				}
			}
		}
	})
}
