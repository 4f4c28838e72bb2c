package cells

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

func threeCellPlan(t *testing.T) *Plan {
	return mustNewPlan(t, &Spec{
		Cells: []Cell{
			{Name: "a", Tenants: []string{"t0"}, SpillCell: "b", SpillFraction: 0.1},
			{Name: "b", Tenants: []string{"t1"}, SpillCell: "a", SpillFraction: 0.5},
			{Name: "c", MaxJobs: 7},
		},
		Splits: []Split{{"t2", []string{"a", "c"}}}, WorkersPerKey: 2, MaxJobsPerKey: 3,
	}, Tenant{"t0", 10}, Tenant{"t1", 30}, Tenant{"t2", 20}, Tenant{"t3", 1})
}

func TestSpecErrors(t *testing.T) {
	_, specErrors := NewPlan(&Spec{
		Cells: []Cell{
			{Name: "a", Tenants: []string{"t0", "x"}, SpillCell: "a"},
			{Name: "a"},
			{Name: "b", Tenants: []string{"t0"}, SpillCell: "z"},
		},
		Default: "d", Splits: []Split{{"t1", []string{"b", "q"}}}, Weights: map[string]float64{"w": 1},
	}, []Tenant{{"t0", 1}, {"t1", 1}}, 1, []string{"k"})
	var got []string
	for _, e := range specErrors {
		got = append(got, e.Subject)
	}
	slices.Sort(got)
	want := []string{"cell a", "default", "kind w", "spill a", "spill b", "split t1", "tenant t0", "tenant x"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%v\nwant %v", got, want)
	}
	if _, specErrors := NewPlan(&Spec{}, nil, 0, nil); len(specErrors) != 1 || specErrors[0].Subject != "cells" {
		t.Errorf("no cells: %v", specErrors)
	}
}

// A tenant's jobs go to its cell, a split one's to one of its cells by key, quotas
// follow them, and a migration changes that tenant alone.
func TestTenants(t *testing.T) {
	p := threeCellPlan(t)
	l := NewLayout(p)
	if l.Cell(0, 1) != 0 || l.Cell(1, 9) != 1 || l.Cell(3, 1) != l.Cell(3, 2) || l.Cell(-1, 0) != l.Cell(99, 5) {
		t.Error("tenants are not in their cells")
	}
	seen := map[int]int{}
	for key := range uint64(1000) {
		seen[l.Cell(2, key)]++
	}
	if len(seen) != 2 || seen[0] < 200 || seen[2] < 100 {
		t.Errorf("the split tenant's keys: %v", seen)
	}
	sum := 0.0
	for c := range p.CellCount() {
		for _, q := range l.Quotas(c) {
			sum += q
		}
	}
	if sum < 60.99 || sum > 61.01 {
		t.Errorf("the cells' quotas add up to %v, want 61", sum)
	}
	migrated := l.WithMigration(2, 1)
	if migrated.Cell(2, 5) != 1 || !migrated.Migrated(2) || migrated.Migrated(0) || l.Migrated(2) || migrated.Cell(0, 1) != 0 {
		t.Error("a migration changes more or less than its tenant")
	}
	if restored := migrated.WithoutMigration(2); restored.Migrated(2) || restored.Cell(2, 5) != l.Cell(2, 5) {
		t.Error("it is not restored")
	}
	for what, c := range map[string]struct {
		tenant, to int
		want       error
	}{
		"no tenant":         {-1, 0, ErrUnknownTenant},
		"jobs of no tenant": {4, 0, ErrUnknownTenant},
		"no cell":           {0, -1, ErrUnknownCell},
		"same":              {0, 0, ErrSameCell},
		"empty":             {0, 1, ErrNoWorkers},
	} {
		if err := l.CheckMigration(c.tenant, c.to); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// A job spills once, into a healthy cell that has capacity, and never in a cycle.
func TestRoute(t *testing.T) {
	l := NewLayout(threeCellPlan(t))
	for what, c := range map[string]struct {
		conditions  [3]Condition
		hasCapacity bool
		want        Route
	}{
		"healthy":                    {[3]Condition{Healthy, Healthy, Healthy}, true, Route{Cell: 0}},
		"unavailable, spills":        {[3]Condition{Unavailable, Healthy, Healthy}, true, Route{Cell: 1, Spilled: true}},
		"slow start, spills":         {[3]Condition{SlowStart, Healthy, Healthy}, true, Route{Cell: 1, Spilled: true}},
		"unavailable, no capacity":   {[3]Condition{Unavailable, Healthy, Healthy}, false, Route{Cell: 0, Shed: true}},
		"slow start, no capacity":    {[3]Condition{SlowStart, Healthy, Healthy}, false, Route{Cell: 0}},
		"both unavailable: no cycle": {[3]Condition{Unavailable, Unavailable, Healthy}, true, Route{Cell: 0, Shed: true}},
		"the other in slow start":    {[3]Condition{Unavailable, SlowStart, Healthy}, true, Route{Cell: 0, Shed: true}},
	} {
		got := l.Route(0, 7, func(cell int) Condition { return c.conditions[cell] }, func(int) bool { return c.hasCapacity })
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", what, got, c.want)
		}
	}
	if l.SpillBound(0, 100) != 10 || l.SpillBound(0, 3) != 1 {
		t.Error("bounds of spills")
	}
}

// A key's jobs go to few workers of the cell, other keys to others; one
// worker less changes at most one of them.
func TestKeyWorkers(t *testing.T) {
	p := threeCellPlan(t)
	a := NewAssigner(p)
	list := randomWorkers(rand.New(rand.NewPCG(5, 6)), 60)
	l := NewLayout(p).WithChanges(a.Update(list))
	removed := l.Workers(1)[3]
	withoutRemoved := l.WithChanges([]Change{{removed, 1, -1}})
	used := map[string]int{}
	for key := uint64(1); key <= 400; key++ {
		workers := l.KeyWorkers(1, key)
		if len(workers) != 2 || workers[0] == workers[1] {
			t.Fatalf("key %d: %v", key, workers)
		}
		for _, n := range workers {
			used[n]++
		}
		shared := 0
		for _, n := range withoutRemoved.KeyWorkers(1, key) {
			if slices.Contains(workers, n) {
				shared++
			}
		}
		if want := 2; shared != want && !slices.Contains(workers, removed) || shared < want-1 {
			t.Errorf("key %d: %v, then %v", key, workers, withoutRemoved.KeyWorkers(1, key))
		}
	}
	if len(used) != l.WorkerCount(1) {
		t.Errorf("%d of %d workers have keys", len(used), l.WorkerCount(1))
	}
	if l.KeyWorkers(1, 0) != nil {
		t.Error("jobs without a key are confined")
	}
}

// An evacuated cell's tenants go where they are accepted: into its spill cell, or what is left
// of their own cells, or spread over the rest.
func TestEvacuation(t *testing.T) {
	p := threeCellPlan(t)
	l := NewLayout(p)
	all := func(int) bool { return true }
	got, err := l.PlanEvacuation(0, all)
	if err != nil || !slices.Contains(got, Evacuee{0, 1}) || !slices.Contains(got, Evacuee{2, 2}) {
		t.Errorf("%v, %v", got, err)
	}
	got, _ = l.PlanEvacuation(0, func(c int) bool { return c == 2 })
	for _, r := range got {
		if r.To != 2 {
			t.Errorf("%v: into a cell that accepts none", r)
		}
	}
	if _, err := l.PlanEvacuation(0, func(int) bool { return false }); !errors.Is(err, ErrNoTargetCell) {
		t.Errorf("nowhere to go: %v", err)
	}
}

// Ten times a tenant's quota takes no reservation of another cell's, and within
// its own cell leaves capacity to the others.
func TestAdmission(t *testing.T) {
	admission := NewAdmission([]int{10, 10}, 2)
	admitted := 0
	for range 100 {
		if admission.Admit(0, 0) {
			admitted++
		}
	}
	if admitted != 5 { // alone it has the half that is anyone's
		t.Errorf("a flood has %d of 10 reservations", admitted)
	}
	for i := range 5 {
		if !admission.Admit(0, 1) {
			t.Errorf("reservation %d of the tenant beside it is refused", i)
		}
	}
	if admission.Admit(0, 1) || !admission.Admit(1, 0) {
		t.Error("a bound does not hold, or the other cell sheds")
	}
	admission.Transfer(0, 1, 1)
	if open, bound, shed := admission.Usage(0); open != 9 || bound != 10 || shed != 96 {
		t.Errorf("%d of %d open, %d shed", open, bound, shed)
	}
	admission.Reserve(0, -1) // past the bound: for what is open already
	for range 5 {
		admission.Release(0, 0)
	}
	if open, _, _ := admission.Usage(0); open != 5 {
		t.Errorf("%d open", open)
	}
	if p := threeCellPlan(t); p.JobBound(2, 100) != 7 || p.JobBound(2, 5) != 5 || p.JobBound(0, 10) < minCellBound {
		t.Error("bounds of cells")
	}
	if !strings.Contains(SpecError{"cell a", "x"}.Error(), "cell a: x") {
		t.Error("an error without its subject")
	}
}
