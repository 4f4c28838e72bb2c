package cells

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// equalCellsSpec returns a Spec with n cells of equal capacity.
func equalCellsSpec(n int) *Spec {
	s := &Spec{}
	for i := range n {
		s.Cells = append(s.Cells, Cell{Name: fmt.Sprint("c", i), CapacityFraction: 1 / float64(n)})
	}
	return s
}

// mustNewPlan returns the plan of a spec for two zones and three worker kinds.
func mustNewPlan(t testing.TB, s *Spec, tenants ...Tenant) *Plan {
	t.Helper()
	p, specErrors := NewPlan(s, tenants, 2, []string{"large", "medium", "old"})
	if specErrors != nil {
		t.Fatal(specErrors)
	}
	return p
}

// randomWorkers returns n workers of two zones and three kinds, with random ids.
func randomWorkers(rng *rand.Rand, n int) (list []Worker) {
	for i := range n {
		list = append(list, Worker{fmt.Sprintf("s-%08x", rng.Uint32()), i % 2, i % 3})
	}
	return list
}

// countMigrated returns the number of changes from one cell to another.
func countMigrated(changes []Change) (n int) {
	for _, c := range changes {
		if c.From >= 0 && c.To >= 0 {
			n++
		}
	}
	return n
}

// When one worker leaves, or returns with a new id, at most 1.5 other workers change cell on average, for
// fleets of 6 to 1,000 workers.
func TestChurnKeepsAssignments(t *testing.T) {
	for _, c := range []struct{ n, cells int }{
		{6, 2}, {12, 2}, {12, 3}, {12, 4}, {20, 4}, {40, 8}, {200, 10}, {1000, 20},
	} {
		p, rng := mustNewPlan(t, equalCellsSpec(c.cells)), rand.New(rand.NewPCG(1, 2))
		migrations, events := 0, 0
		for range 40 {
			assigner, list := NewAssigner(p), randomWorkers(rng, c.n)
			assigner.Update(list)
			for range 10 {
				i := rng.IntN(len(list))
				replaced := list[i]
				list = append(list[:i:i], list[i+1:]...)
				migrations += countMigrated(assigner.Update(list))
				replaced.ID = fmt.Sprintf("s-%08x", rng.Uint32())
				list = append(list, replaced)
				migrations += countMigrated(assigner.Update(list))
				events += 2
			}
		}
		mean := float64(migrations) / float64(events)
		t.Logf("%d workers, %d cells: %.2f other workers change cell per event", c.n, c.cells, mean)
		if mean > 1.5 {
			t.Errorf("%d workers, %d cells: %.2f other workers change cell per event, want at most 1.5", c.n, c.cells, mean)
		}
	}
}

// All schedulers must compute the same layout from the same list of workers. The layout after a random
// sequence of updates is compared with that of a new Assigner: it must not depend on earlier lists, on the
// order of the list, or on how many workers change at once.
func TestLayoutHasNoHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := equalCellsSpec(rapid.IntRange(1, 7).Draw(t, "cells"))
		s.Weights = map[string]float64{"large": 5.6, "old": 3}
		s.RequiredKinds = rapid.SampledFrom([][]int{nil, {0}, {0, 2}}).Draw(t, "needs")
		p, specErrors := NewPlan(s, nil, 2, []string{"large", "medium", "old"})
		if specErrors != nil {
			t.Fatal(specErrors)
		}
		assigner, live := NewAssigner(p), map[string]Worker{}
		layout := NewLayout(p)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			var changes []Change
			for range rapid.IntRange(1, 12).Draw(t, "at once") {
				id := fmt.Sprint("s-", rapid.IntRange(0, 40).Draw(t, "node"))
				if _, ok := live[id]; ok {
					delete(live, id)
				} else {
					live[id] = Worker{id, rapid.IntRange(-1, 1).Draw(t, "zone"), rapid.IntRange(-1, 2).Draw(t, "kind")}
				}
			}
			var list []Worker
			for _, worker := range live {
				list = append(list, worker)
			}
			changes = assigner.Update(list)
			layout = layout.WithChanges(changes)
			fresh := NewAssigner(p)
			want := NewLayout(p).WithChanges(fresh.Update(list))
			if size := requireSameLayout(t, layout, want); size != len(live) {
				t.Fatalf("%d workers are in a cell, want %d", size, len(live))
			}
		}
	})
}

// requireSameLayout checks that each cell has the same workers in both layouts, and that WorkerCell returns
// that cell for them. It returns the number of workers.
func requireSameLayout(t *rapid.T, got, want *Layout) (size int) {
	for c := range got.plan.CellCount() {
		size += got.WorkerCount(c)
		if fmt.Sprint(got.Workers(c)) != fmt.Sprint(want.Workers(c)) {
			t.Fatalf("cell %d has workers %v, a new Assigner assigns %v", c, got.Workers(c), want.Workers(c))
		}
		for _, id := range got.Workers(c) {
			if at, ok := got.WorkerCell(id); !ok || at != c {
				t.Fatalf("worker %s is in cell %d, but WorkerCell() = %d", id, c, at)
			}
		}
	}
	return size
}

// In a fleet of workers that differ in kind, zone and capacity, each cell gets about its fraction of the
// capacity, at least one worker in each zone, and at least one worker of the required kind.
func TestCapacityFractionsInMixedFleet(t *testing.T) {
	s := &Spec{Weights: map[string]float64{"large": 6.4, "medium": 3, "old": 3}, RequiredKinds: []int{0}}
	for i, share := range []float64{.32, .23, .26, .19} {
		s.Cells = append(s.Cells, Cell{Name: fmt.Sprint("c", i), CapacityFraction: share})
	}
	p := mustNewPlan(t, s)
	for _, c := range []struct {
		n           int
		rms, lowest float64 // bounds on a cell's capacity relative to its fraction, minus 1
	}{{16, 0.3, -0.6}, {48, 0.22, -0.5}, {300, 0.12, -0.3}} {
		rng := rand.New(rand.NewPCG(3, 4))
		meanSquare, lowest, runs := 0.0, 0.0, 100
		for range runs {
			a := NewAssigner(p)
			a.Update(randomWorkers(rng, c.n))
			capacity, totalCapacity := make([]float64, 4), 0.0
			zones, large := make([][2]int, 4), make([]int, 4)
			for _, x := range a.ordered {
				capacity[x.cell] += p.kindWeight(x.Kind)
				totalCapacity += p.kindWeight(x.Kind)
				zones[x.cell][x.Zone]++
				if x.Kind == 0 {
					large[x.cell]++
				}
			}
			for i := range capacity {
				deviation := capacity[i]/totalCapacity/p.fractions[i] - 1
				meanSquare += deviation * deviation / float64(4*runs)
				lowest = min(lowest, deviation)
				if zones[i][0] == 0 || zones[i][1] == 0 || large[i] == 0 {
					t.Errorf("%d workers: cell %d has %v workers by zone and %d large ones, want at least 1 of each",
						c.n, i, zones[i], large[i])
				}
			}
		}
		rms := math.Sqrt(meanSquare)
		t.Logf("%d workers: capacity deviates from its fraction by %.2f (RMS), lowest %.2f", c.n, rms, lowest)
		if rms > c.rms || lowest < c.lowest {
			t.Errorf("%d workers: capacity deviates from its fraction by %.2f (RMS, want at most %.2f), lowest %.2f (want %.2f)",
				c.n, rms, c.rms, lowest, c.lowest)
		}
	}
}
