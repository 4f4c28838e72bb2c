package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
	"github.com/vatu-meals/foxlift/internal/config"
)

const cellSettings = `{"balancers":1,"dcs":["a"],"zone":"a","flavors":["k"],
 "grades":[{"name":"reading","aim":500000000,"deadline":20000000000,"effect":"idempotent"},
  {"name":"ratify","aim":2000000000,"deadline":20000000000,"effect":"at_most_once"}],
 "projects":[{"name":"t","quotaRps":1000},{"name":"u","quotaRps":1000},{"name":"v","quotaRps":1000}],
 "bounds":{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfter":2000000000,"maxAttempts":3,"maxOpen":60},
 "obligations":{"startCapacity":0.14,"warmAfter":24000000000,"fallMultiple":3,"fall":1000000000},
 "familyInfo":{"tellsStart":true}}`

const cellRigWorkers = 12

var cellTenants = []string{"t", "u", "v"} // of cellSettings

// twoCells returns a spec in which cell a serves tenant t and spills into cell b, which serves u and v.
func twoCells() *cells.Spec {
	return &cells.Spec{Cells: []cells.Cell{
		{Name: "a", CapacityFraction: 0.5, Tenants: []string{"t"}, SpillCell: "b", SpillFraction: 0.1},
		{Name: "b", CapacityFraction: 0.5, Tenants: []string{"u", "v"}},
	}}
}

// newCellRig returns a rig with cells and cellRigWorkers workers.
func newCellRig(t *testing.T, spec *cells.Spec) *rig {
	t.Helper()
	s, err := config.ParseSettings([]byte(cellSettings))
	if err != nil {
		t.Fatal(err)
	}
	r := newRigWithoutWorkers(t, Config{Settings: s, Plan: mustPlan(t, s, spec)}, 60)
	r.applyEvent(endpointsUpdated{kind: foxlift.EndpointsCached, workers: cellWorkers(0)})
	return r
}

// mustPlan returns the plan of a spec, and fails the test if the spec is invalid.
func mustPlan(t *testing.T, s *config.Settings, spec *cells.Spec) *cells.Plan {
	t.Helper()
	plan, faults := s.PlanCells(spec)
	if faults != nil {
		t.Fatalf("PlanCells() has faults %v, want none", faults)
	}
	return plan
}

// cellWorkers returns the live workers of a rig with cells, with a start time; 0: long ago.
func cellWorkers(startedAt int64) (workers []foxlift.Worker) {
	for i := range cellRigWorkers {
		workers = append(workers, foxlift.Worker{ID: fmt.Sprint("n", i), Kind: 0, Zone: 0, StartedAt: startedAt})
	}
	return workers
}

// submitToCell submits a job as Accept does, but applies the event at once: the job first reserves capacity in
// its cell's admission bound.
func (r *rig) submitToCell(id, class, tenant string, key uint64) *recordingClient {
	j, client := r.newJob(id, class, tenant, 10*time.Second)
	j.Key = key
	if !r.placement.Load().reserve(j, r.tenantIndex(j.Tenant)) {
		client.Answer(Answer{Verdict: Shed, RetryAfter: r.shedRetryAfter()})
		return client
	}
	r.applyEvent(jobSubmitted{j})
	return client
}

// migrate migrates a tenant to a cell, on the test's goroutine.
func (r *rig) migrate(t *testing.T, tenant string, to int) Migration {
	t.Helper()
	p := r.placement.Load()
	layout := p.layout.WithMigration(p.layout.Plan().TenantIndex(tenant), to)
	m := r.adoptPlacement(p.layout, p.withLayout(layout))
	r.dispatch()
	return m
}

// replan applies another plan, on the test's goroutine.
func (r *rig) replan(t *testing.T, spec *cells.Spec) {
	t.Helper()
	if _, err := r.applyPlan(mustPlan(t, r.settings, spec)); err != nil {
		t.Fatal(err)
	}
	r.dispatch()
}

// evacuate marks a cell as evacuated without migrating its tenants.
func (r *rig) evacuate(i int) { r.cells.all[i].evacuated = true }

// cellOf returns the index of a worker's cell.
func (r *rig) cellOf(worker string) int {
	i, _ := r.placement.Load().layout.WorkerCell(worker)
	return i
}

// saturate submits idempotent jobs of a tenant until one is queued, and returns the number of jobs sent before it.
func (r *rig) saturate(t *testing.T, tenant string) int {
	t.Helper()
	for i := range 100 {
		before := len(r.sent)
		r.submitToCell(fmt.Sprint(tenant, "-fill-", i), "reading", tenant, 0)
		if len(r.sent) == before {
			return i
		}
	}
	t.Fatalf("all 100 jobs of tenant %q are sent, want one queued", tenant)
	return 0
}
