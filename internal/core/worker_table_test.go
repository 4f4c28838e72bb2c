package core

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/vatu-meals/foxlift"
)

// A modelTable is a simple model of a workerTable, which visits all workers at each update.
type modelTable struct {
	states map[string]foxlift.WorkerState
	order  []string
}

// update applies an update of the endpoint list and deletes removed workers that are not busy.
func (m *modelTable) update(kind foxlift.EndpointUpdate, workers []foxlift.Worker, busy map[string]bool) {
	if kind != foxlift.EndpointsDelta {
		for id := range m.states {
			m.states[id] = foxlift.Removed
		}
	}
	for _, w := range workers {
		if _, known := m.states[w.ID]; !known {
			m.order = append(m.order, w.ID)
		}
		m.states[w.ID] = w.State
	}
	m.order = slices.DeleteFunc(m.order, func(id string) bool {
		forget := m.states[id] == foxlift.Removed && !busy[id]
		if forget {
			delete(m.states, id)
		}
		return forget
	})
}

// check checks that a table has the workers of the model, in the same order and states.
func (m *modelTable) check(t *rapid.T, table *workerTable) {
	var order []string
	live := 0
	for _, w := range table.order {
		order = append(order, w.ID)
		if table.byID[w.ID] != w || w.State != m.states[w.ID] {
			t.Fatalf("worker %s has state %v, indexed by id: %v, want state %v and true",
				w.ID, w.State, table.byID[w.ID] == w, m.states[w.ID])
		}
		if w.State == foxlift.Live {
			live++
		}
	}
	if !slices.Equal(order, m.order) || len(table.byID) != len(order) || table.liveCount != live {
		t.Fatalf("workers are %v, want %v; byID has %d entries, want %d; liveCount = %d, want %d",
			order, m.order, len(table.byID), len(order), table.liveCount, live)
	}
}

// The table must have the same workers in the same order as the model, for random complete lists and deltas and for
// workers that are removed with jobs in flight and listed again.
func TestWorkerTableMatchesModel(t *testing.T) {
	kinds := rapid.SampledFrom([]foxlift.EndpointUpdate{
		foxlift.EndpointsDelta, foxlift.EndpointsComplete, foxlift.EndpointsCached,
	})
	states := rapid.SampledFrom([]foxlift.WorkerState{foxlift.Live, foxlift.Draining, foxlift.Removed})
	rapid.Check(t, func(t *rapid.T) {
		table, model := newWorkerTable(), modelTable{states: map[string]foxlift.WorkerState{}}
		busy, sender := map[string]bool{}, &cell{}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			kind := kinds.Draw(t, "kind")
			var workers []foxlift.Worker
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, 150), 0, 100).Draw(t, "workers") {
				workers = append(workers, foxlift.Worker{ID: fmt.Sprint("n", i), State: states.Draw(t, "state")})
			}
			table.update(kind, workers)
			table.prune()
			model.update(kind, workers, busy)
			model.check(t, &table)
			for id, w := range table.byID {
				if busy[id] = rapid.Bool().Draw(t, "busy"); busy[id] {
					w.inFlight[sender] = 1
				} else {
					delete(w.inFlight, sender)
				}
			}
		}
	})
}
