package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/counters"
)

const cellSettings = `{"balancers":1,"dcs":["a"],"zone":"a","flavors":["k"],
 "grades":[{"name":"reading","aim":500000000,"deadline":20000000000,"effect":"idempotent"},
  {"name":"ratify","aim":2000000000,"deadline":20000000000,"effect":"at_most_once"}],
 "projects":[{"name":"t","quotaRps":1000},{"name":"u","quotaRps":1000},{"name":"v","quotaRps":1000}],
 "bounds":{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfter":2000000000,"maxAttempts":3,"maxOpen":60},
 "obligations":{"startCapacity":0.14,"warmAfter":24000000000,"fallMultiple":3,"fall":1000000000},
 "familyInfo":{"tellsStart":true}}`

// twoCells has t in a and u in b; a spills into b.
func twoCells() *cells.Spec {
	return &cells.Spec{Cells: []cells.Cell{
		{Name: "a", CapacityFraction: 0.5, Tenants: []string{"t"}, Spill: "b", SpillPart: 0.1},
		{Name: "b", CapacityFraction: 0.5, Tenants: []string{"u", "v"}},
	}}
}

// newCellRig is a rig with cells and twelve nodes. The test applies events itself.
func newCellRig(t *testing.T, spec *cells.Spec) *rig {
	t.Helper()
	s, err := config.ParseSettings([]byte(cellSettings))
	if err != nil {
		t.Fatal(err)
	}
	p, faults := s.PlanCells(spec)
	if faults != nil {
		t.Fatal(faults)
	}
	c, err := New(Config{Settings: s, Plan: p, Seed: 1, Clock: NewClock(), Counters: &counters.Set{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	r := &rig{Core: c}
	c.connect(Environment{Workers: r, EndpointWatch: r, MaxOpen: 60})
	r.applyEvent(endpointsUpdated{kind: foxlift.EndpointsCached, workers: r.workerList(12, 0)})
	return r
}

func (r *rig) workerList(n int, started int64) (list []foxlift.Worker) {
	for i := range n {
		list = append(list, foxlift.Worker{ID: fmt.Sprint("n", i), Kind: 0, Zone: 0, StartedAt: started})
	}
	return list
}

// ask takes a job in as a front does.
func (r *rig) submitToCell(id, class, tenant string, key uint64) *recordingClient {
	a := &recordingClient{}
	j := &Job{ID: id, Class: class, Tenant: tenant, Key: key, ArrivedAt: r.clock.Now(), Remaining: 10 * time.Second, Client: a}
	if !r.placement.Load().reserve(j, r.tenantIndex(j.Tenant)) {
		a.Answer(Answer{Verdict: Shed, RetryAfter: r.shedRetryAfter()})
		return a
	}
	r.applyEvent(jobSubmitted{j})
	return a
}

// change does what an operator asks, on the test's goroutine.
func (r *rig) changeLayout(do func(*cells.Layout) (*cells.Layout, error)) (Migration, error) {
	s := r.placement.Load()
	l, err := do(s.layout)
	if err != nil {
		return Migration{}, err
	}
	m := r.adoptPlacement(s.layout, s.withLayout(l))
	r.dispatch()
	return m, nil
}

func (r *rig) migrate(t *testing.T, tenant string, to int) Migration {
	t.Helper()
	m, err := r.changeLayout(func(l *cells.Layout) (*cells.Layout, error) {
		return l.WithTenant(l.Plan().TenantIndex(tenant), to), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// cellOf is where a node is.
func (r *rig) cellOf(node string) int {
	c, _ := r.placement.Load().layout.WorkerCell(node)
	return c
}

func ended(code foxlift.Code) Report { return Report{Ended: true, Code: code, Result: []byte("r")} }

// full sends readings until the tenant's next job is held, and returns how many it
// took.
func (r *rig) saturate(t *testing.T, tenant string) int {
	t.Helper()
	for i := range 100 {
		before := len(r.sent)
		r.submitToCell(fmt.Sprint(tenant, "-fill-", i), "reading", tenant, 0)
		if len(r.sent) == before {
			return i
		}
	}
	t.Fatal("the cell is never full")
	return 0
}

func (r *rig) evacuate(i int) { r.cells.all[i].evacuated = true }

func countByName(names []string) map[string]int {
	n := map[string]int{}
	for _, name := range names {
		n[name]++
	}
	return n
}
