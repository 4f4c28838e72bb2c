package cells

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// Schedulers of different versions must compute the same assignment without exchanging messages: these tests
// compare the assignments of some fleets, as they change, with golden files.

// goldenPlan returns a plan that uses every setting that affects the cells of tenants and workers.
func goldenPlan(t *testing.T) *Plan {
	return mustNewPlan(t, &Spec{
		Cells: []Cell{
			{Name: "north", CapacityFraction: 0.4, Tenants: []string{"t0"}, SpillCell: "south", SpillFraction: 0.1, MaxJobs: 7},
			{Name: "south", Tenants: []string{"t1"}, SpillCell: "north", SpillFraction: 0.5, MaxConnections: 9},
			{Name: "isles"},
			{Name: "coast", CapacityFraction: 0.1},
		},
		Splits:        []Split{{"t2", []string{"north", "isles", "coast"}}},
		WorkersPerKey: 2, MaxJobsPerKey: 3, Weights: map[string]float64{"large": 2, "old": 0.5}, RequiredKinds: []int{0},
	}, Tenant{"t0", 10}, Tenant{"t1", 30}, Tenant{"t2", 20}, Tenant{"t3", 1}, Tenant{"t4", 2}, Tenant{"t5", 3})
}

// goldenWorkers returns workers of all zones and kinds, unknown ones included, with fixed ids.
func goldenWorkers(from, to int) (list []Worker) {
	for i := from; i < to; i++ {
		list = append(list, Worker{fmt.Sprintf("10.0.%d.%d:3000", i/16, i%16), i%3 - 1, i%4 - 1})
	}
	return list
}

// TestWorkerAssignmentGolden compares the cell of each worker with a golden file, as workers come and go.
func TestWorkerAssignmentGolden(t *testing.T) {
	var b strings.Builder
	p := goldenPlan(t)
	a, layout := NewAssigner(p), NewLayout(p)
	apply := func(title string, changes []Change) {
		layout = layout.WithChanges(changes)
		fmt.Fprintf(&b, "# %s\n", title)
		slices.SortFunc(changes, func(x, y Change) int { return strings.Compare(x.ID, y.ID) })
		for _, c := range changes {
			fmt.Fprintf(&b, "%s from %d to %d\n", c.ID, c.From, c.To)
		}
	}
	apply("a whole list", a.Update(goldenWorkers(0, 40)))
	apply("one less", a.Remove("10.0.0.5:3000"))
	apply("one more", a.Add(Worker{"10.0.0.99:3000", 1, 0}))
	apply("a few changes", a.Update(goldenWorkers(2, 42)))
	apply("another fleet", a.Update(goldenWorkers(30, 110)))
	for cell := range p.CellCount() {
		fmt.Fprintf(&b, "# cell %d\n%s\n", cell, strings.Join(layout.Workers(cell), "\n"))
		for key := range uint64(6) {
			fmt.Fprintf(&b, "key %d: %v\n", key, layout.KeyWorkers(cell, key))
		}
	}
	golden.Check(t, "workers.txt", []byte(b.String()))
}

// TestTenantAssignmentGolden compares capacity fractions, bounds, quotas and the cells of tenants and keys
// with a golden file, also after migrations.
func TestTenantAssignmentGolden(t *testing.T) {
	var b strings.Builder
	p := goldenPlan(t)
	for cell := range p.CellCount() {
		fmt.Fprintf(&b, "cell %s: %v of the capacity, bounds %d and %d\n", p.CellName(cell), p.CapacityFraction(cell),
			p.JobBound(cell, 1000), p.ConnectionBound(cell, 500))
	}
	configured := NewLayout(p).WithChanges(NewAssigner(p).Update(goldenWorkers(0, 40)))
	migrated := configured.WithMigration(0, 2).WithMigration(2, 1)
	for _, layout := range []*Layout{configured, migrated, migrated.WithoutMigration(0)} {
		fmt.Fprintln(&b, "# a layout")
		writeTenants(&b, layout)
	}
	golden.Check(t, "tenants.txt", []byte(b.String()))
}

// writeTenants writes the quotas of each cell and the routes of each tenant's jobs, including an unknown
// tenant.
func writeTenants(b *strings.Builder, layout *Layout) {
	for cell := range layout.Plan().CellCount() {
		fmt.Fprintf(b, "cell %d: quotas %v\n", cell, layout.Quotas(cell))
	}
	condition := func(cell int) Condition { return []Condition{Healthy, SlowStart, Unavailable}[cell%3] }
	hasCapacity := func(int) bool { return true }
	for tenant := -1; tenant < layout.Plan().TenantCount(); tenant++ {
		fmt.Fprintf(b, "tenant %d:", tenant)
		for key := range uint64(12) {
			fmt.Fprintf(b, " %d %v", layout.Cell(tenant, key), layout.Route(tenant, key, condition, hasCapacity))
		}
		fmt.Fprintln(b)
	}
	evacuees, err := layout.PlanEvacuation(0, func(int) bool { return true })
	fmt.Fprintln(b, "evacuation:", evacuees, err)
}
