package cells

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// threeCellPlan returns a plan with two cells that spill into each other, and a third one that shares the
// split tenant t2 with the first.
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

// NewPlan reports each error of a spec under its subject.
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
		t.Errorf("NewPlan() reports errors of %v\nwant %v", got, want)
	}
	if _, specErrors := NewPlan(&Spec{}, nil, 0, nil); len(specErrors) != 1 || specErrors[0].Subject != "cells" {
		t.Errorf("NewPlan() without cells reports %v, want one error of \"cells\"", specErrors)
	}
}

// A tenant's jobs go to its cell, those of a split tenant to one of its cells by key. Quotas are divided in
// the same way. A migration changes only the cells of its tenant, and can be undone.
func TestTenants(t *testing.T) {
	p := threeCellPlan(t)
	layout := NewLayout(p)
	if layout.Cell(0, 1) != 0 || layout.Cell(1, 9) != 1 || layout.Cell(3, 1) != layout.Cell(3, 2) ||
		layout.Cell(-1, 0) != layout.Cell(99, 5) {
		t.Error("Cell() does not return the configured cells of the tenants")
	}
	seen := map[int]int{}
	for key := range uint64(1000) {
		seen[layout.Cell(2, key)]++
	}
	if len(seen) != 2 || seen[0] < 200 || seen[2] < 100 {
		t.Errorf("keys of the split tenant by cell: %v, want at least 200 in cell 0, 100 in cell 2, none elsewhere", seen)
	}
	sum := 0.0
	for c := range p.CellCount() {
		for _, q := range layout.Quotas(c) {
			sum += q
		}
	}
	if sum < 60.99 || sum > 61.01 {
		t.Errorf("the quotas of all cells add up to %v, want 61", sum)
	}
	migrated := layout.WithMigration(2, 1)
	if migrated.Cell(2, 5) != 1 || !migrated.Migrated(2) || migrated.Migrated(0) ||
		layout.Migrated(2) || migrated.Cell(0, 1) != 0 {
		t.Error("WithMigration(2, 1) does not move exactly tenant 2 to cell 1")
	}
	if restored := migrated.WithoutMigration(2); restored.Migrated(2) || restored.Cell(2, 5) != layout.Cell(2, 5) {
		t.Error("WithoutMigration(2) does not restore the configured cells of tenant 2")
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
		if err := layout.CheckMigration(c.tenant, c.to); !errors.Is(err, c.want) {
			t.Errorf("%s: CheckMigration(%d, %d) = %v, want %v", what, c.tenant, c.to, err, c.want)
		}
	}
}

// A job spills at most once, into a healthy cell that has capacity; two cells that spill into each other
// must not pass a job back and forth.
func TestRoute(t *testing.T) {
	layout := NewLayout(threeCellPlan(t))
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
		got := layout.Route(0, 7, func(cell int) Condition { return c.conditions[cell] },
			func(int) bool { return c.hasCapacity })
		if got != c.want {
			t.Errorf("%s: Route() = %+v, want %+v", what, got, c.want)
		}
	}
	if layout.SpillBound(0, 100) != 10 || layout.SpillBound(0, 3) != 1 {
		t.Errorf("SpillBound(0, 100) = %d, want 10; SpillBound(0, 3) = %d, want 1",
			layout.SpillBound(0, 100), layout.SpillBound(0, 3))
	}
}

// The jobs with one key go to a limited number of a cell's workers, and the keys together use all of them.
// Removing a worker changes at most one worker of each key.
func TestKeyWorkers(t *testing.T) {
	p := threeCellPlan(t)
	assigner := NewAssigner(p)
	list := randomWorkers(rand.New(rand.NewPCG(5, 6)), 60)
	layout := NewLayout(p).WithChanges(assigner.Update(list))
	removed := layout.Workers(1)[3]
	withoutRemoved := layout.WithChanges([]Change{{removed, 1, -1}})
	used := map[string]int{}
	for key := uint64(1); key <= 400; key++ {
		workers := layout.KeyWorkers(1, key)
		if len(workers) != 2 || workers[0] == workers[1] {
			t.Fatalf("KeyWorkers(1, %d) = %v, want two different workers", key, workers)
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
			t.Errorf("KeyWorkers(1, %d) = %v, and %v without %s: more workers change than the removed one",
				key, workers, withoutRemoved.KeyWorkers(1, key), removed)
		}
	}
	if len(used) != layout.WorkerCount(1) {
		t.Errorf("400 keys use %d workers of the cell, want all %d", len(used), layout.WorkerCount(1))
	}
	if layout.KeyWorkers(1, 0) != nil {
		t.Error("KeyWorkers(1, 0) restricts jobs without a key, want nil")
	}
}

// The tenants of an evacuated cell go only to cells that accept tenants: to their other own cells, to the
// spill cell, or to the remaining cells.
func TestEvacuation(t *testing.T) {
	p := threeCellPlan(t)
	layout := NewLayout(p)
	all := func(int) bool { return true }
	got, err := layout.PlanEvacuation(0, all)
	if err != nil || !slices.Contains(got, Evacuee{0, 1}) || !slices.Contains(got, Evacuee{2, 2}) {
		t.Errorf("PlanEvacuation(0) = %v, %v; want tenant 0 in cell 1 and tenant 2 in cell 2", got, err)
	}
	got, _ = layout.PlanEvacuation(0, func(c int) bool { return c == 2 })
	for _, r := range got {
		if r.To != 2 {
			t.Errorf("PlanEvacuation(0) sends tenant %d to cell %d, but only cell 2 accepts tenants", r.Tenant, r.To)
		}
	}
	if _, err := layout.PlanEvacuation(0, func(int) bool { return false }); !errors.Is(err, ErrNoTargetCell) {
		t.Errorf("PlanEvacuation(0) without an accepting cell: error %v, want %v", err, ErrNoTargetCell)
	}
}

// A tenant that floods its cell with ten times the cell's bound uses no reservations of another cell, and
// leaves reservations for the other tenants of its own cell.
func TestAdmission(t *testing.T) {
	admission := NewAdmission([]int{10, 10}, 2)
	admitted := 0
	for range 100 {
		if admission.Admit(0, 0) {
			admitted++
		}
	}
	if admitted != 5 { // the first half of the bound is available to any tenant
		t.Errorf("Admit() accepts %d jobs of the only tenant at a bound of 10, want 5", admitted)
	}
	for i := range 5 {
		if !admission.Admit(0, 1) {
			t.Errorf("Admit(0, 1) refuses job %d of the second tenant", i)
		}
	}
	if admission.Admit(0, 1) || !admission.Admit(1, 0) {
		t.Error("Admit() exceeds the bound of cell 0, or refuses a job in the empty cell 1")
	}
	admission.Transfer(0, 1, 1)
	if open, bound, shed := admission.Usage(0); open != 9 || bound != 10 || shed != 96 {
		t.Errorf("Usage(0) = %d, %d, %d; want 9 open, bound 10, 96 shed", open, bound, shed)
	}
	admission.Reserve(0, -1) // a job that is already open may exceed the bound
	for range 5 {
		admission.Release(0, 0)
	}
	if open, _, _ := admission.Usage(0); open != 5 {
		t.Errorf("Usage(0): %d open jobs, want 5", open)
	}
	if p := threeCellPlan(t); p.JobBound(2, 100) != 7 || p.JobBound(2, 5) != 5 || p.JobBound(0, 10) < minCellBound {
		t.Errorf("JobBound(2, 100) = %d, want 7; JobBound(2, 5) = %d, want 5; JobBound(0, 10) = %d, want at least %d",
			p.JobBound(2, 100), p.JobBound(2, 5), p.JobBound(0, 10), minCellBound)
	}
	if !strings.Contains(SpecError{"cell a", "x"}.Error(), "cell a: x") {
		t.Error("SpecError.Error() does not contain its subject and text")
	}
}
