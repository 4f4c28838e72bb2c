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

// twoCells has t in a and u and v in b; a spills into b.
func twoCells() *cells.Spec {
	return &cells.Spec{Cells: []cells.Cell{
		{Name: "a", CapacityFraction: 0.5, Tenants: []string{"t"}, SpillCell: "b", SpillFraction: 0.1},
		{Name: "b", CapacityFraction: 0.5, Tenants: []string{"u", "v"}},
	}}
}

// newCellRig returns a rig with cells and twelve workers.
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

func mustPlan(t *testing.T, s *config.Settings, spec *cells.Spec) *cells.Plan {
	t.Helper()
	plan, faults := s.PlanCells(spec)
	if faults != nil {
		t.Fatal(faults)
	}
	return plan
}

// cellWorkers returns the workers of a rig with cells.
func cellWorkers(startedAt int64) (workers []foxlift.Worker) {
	for i := range cellRigWorkers {
		workers = append(workers, foxlift.Worker{ID: fmt.Sprint("n", i), Kind: 0, Zone: 0, StartedAt: startedAt})
	}
	return workers
}

// submitToCell sends a job as the platform does: it takes a place in its cell's admission bound first.
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

// migrate makes a cell the one of a tenant, on the test's goroutine.
func (r *rig) migrate(t *testing.T, tenant string, to int) Migration {
	t.Helper()
	p := r.placement.Load()
	layout := p.layout.WithMigration(p.layout.Plan().TenantIndex(tenant), to)
	m := r.adoptPlacement(p.layout, p.withLayout(layout))
	r.dispatch()
	return m
}

// replan puts another plan in force, on the test's goroutine.
func (r *rig) replan(t *testing.T, spec *cells.Spec) {
	t.Helper()
	if _, err := r.applyPlan(mustPlan(t, r.settings, spec)); err != nil {
		t.Fatal(err)
	}
	r.dispatch()
}

func (r *rig) evacuate(i int) { r.cells.all[i].evacuated = true }

// cellOf returns the index of a worker's cell.
func (r *rig) cellOf(worker string) int {
	i, _ := r.placement.Load().layout.WorkerCell(worker)
	return i
}

// saturate sends readings until the tenant's next job is queued, and returns how many were sent.
func (r *rig) saturate(t *testing.T, tenant string) int {
	t.Helper()
	for i := range 100 {
		before := len(r.sent)
		r.submitToCell(fmt.Sprint(tenant, "-fill-", i), "reading", tenant, 0)
		if len(r.sent) == before {
			return i
		}
	}
	t.Fatal("the cell is never saturated")
	return 0
}
