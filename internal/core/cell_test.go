package core

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
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
		{Name: "a", Share: 0.5, Tenants: []string{"t"}, Spill: "b", SpillPart: 0.1},
		{Name: "b", Share: 0.5, Tenants: []string{"u", "v"}},
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
	c, err := New(s, p, 1, NewClock(), &counters.Set{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	r := &rig{Core: c}
	c.Connect(r, r, 60)
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
	if s := r.placement.Load(); !s.reserve(r.Core, j) {
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
		return l.WithTenant(l.Plan().Tenant(tenant), to), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// cellOf is where a node is.
func (r *rig) cellOf(node string) int {
	c, _ := r.placement.Load().layout.NodeCell(node)
	return c
}

func ended(code foxlift.Code) Report { return Report{Ended: true, Code: code, Result: []byte("r")} }

// Each tenant's jobs go to the nodes of its cell alone.
func TestCellsConfine(t *testing.T) {
	r := newCellRig(t, twoCells())
	for i := range 12 {
		tenant := []string{"t", "u"}[i%2]
		r.submitToCell(fmt.Sprint("j", i), "reading", tenant, 0)
		if got := r.cellOf(r.sentTo[i]); got != i%2 {
			t.Errorf("%s's job is in cell %d", tenant, got)
		}
	}
	if r.placement.Load().layout.Size(0) == 0 || r.placement.Load().layout.Size(1) == 0 {
		t.Fatal("a cell without nodes")
	}
}

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

// Hard case 9: a live move. Held jobs go over with their age, new ones go to the new
// cell, and claims that are out finish where they are.
func TestMigrationTakesQueuedJobs(t *testing.T) {
	spec := twoCells()
	spec.Cells[0].Jobs, spec.Cells[1].Jobs = 60, 60
	r := newCellRig(t, spec)
	n := r.saturate(t, "t")
	held := r.open[fmt.Sprint("t-fill-", n)]
	<-time.After(30 * time.Millisecond) // it has an age to take along
	m := r.migrate(t, "t", 1)
	if m.Tenants != 1 || m.Queued != 1 || m.InFlight != n {
		t.Errorf("%+v, want 1 held and %d out", m, n)
	}
	if held.cell != r.cells[1] || held.inFlight != 1 || r.cellOf(held.attempts[0].worker) != 1 {
		t.Errorf("the held job is in cell %d with %d claims out", held.cell.index, held.inFlight)
	}
	if r.counters.Get("jobs.moved") != 1 {
		t.Errorf("%d jobs moved", r.counters.Get("jobs.moved"))
	}
	at := len(r.sent)
	r.submitToCell("new", "reading", "t", 0)
	if r.cellOf(r.sentTo[at]) != 1 {
		t.Error("a new job goes to the old cell")
	}
	for i := range n { // the old cell's claims end
		r.sent[i](ended(foxlift.Served))
		r.settle()
	}
	if r.counters.Get("jobs.served") != int64(n) {
		t.Errorf("%d of %d served where they were", r.counters.Get("jobs.served"), n)
	}
}

// Hard case 9: an at-most-once job that may have run is never sent again, and has its
// one answer, although the tenant's new cell knows nothing of the claim.
func TestMigrationNeverRunsTwice(t *testing.T) {
	for name, c := range map[string]struct {
		code foxlift.Code
		sent int
		want Verdict
	}{
		"may have run": {foxlift.Reset, 1, Failed}, "timed out": {foxlift.DeadlineExceeded, 1, Failed},
		"erred": {foxlift.WorkerError, 1, Failed}, "served": {foxlift.Served, 1, Served},
		"never ran, goes to the new cell": {foxlift.Saturated, 2, Served},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCellRig(t, twoCells())
			a := r.submitToCell("j", "ratify", "t", 0)
			r.migrate(t, "t", 1)
			r.sent[0](ended(c.code))
			r.settle()
			if len(r.sent) != c.sent {
				t.Fatalf("%d claims, want %d", len(r.sent), c.sent)
			}
			if c.sent == 2 {
				if r.cellOf(r.sentTo[1]) != 1 {
					t.Error("the second claim is in the old cell")
				}
				r.sent[1](ended(foxlift.Served))
				r.sent[0](Report{Progress: true}) // late, of the first claim
				r.settle()
			}
			if len(a.answers) != 1 || a.answers[0].Verdict != c.want {
				t.Errorf("%+v, want one of verdict %d", a.answers, c.want)
			}
			if len(r.jobs) != 0 {
				t.Errorf("%d jobs stay", len(r.jobs))
			}
		})
	}
}

// The core itself keeps the rule, should a module ever ask for what it must not.
func TestUnsafeRepeatIsWithheld(t *testing.T) {
	r := newCellRig(t, twoCells())
	a := r.submitToCell("j", "ratify", "t", 0)
	j := r.open["j"]
	r.sent[0](ended(foxlift.Reset))
	(<-r.inbox).apply(r.Core) // booked, and not yet told to the module
	r.send(j, "n1", 0)
	r.dispatch()
	if len(r.sent) != 1 || r.counters.Get("claims.withheld") != 1 || len(a.answers) != 1 {
		t.Errorf("%d claims, %d withheld, %d answers", len(r.sent), r.counters.Get("claims.withheld"), len(a.answers))
	}
}

// Hard case 9: attempts count on across a move; the bound on them is the job's.
func TestAttemptsCountAcrossMigrations(t *testing.T) {
	r := newCellRig(t, twoCells())
	a := r.submitToCell("j", "ratify", "t", 0)
	for i := range 3 {
		if len(r.sent) != i+1 {
			t.Fatalf("%d claims after %d refusals", len(r.sent), i)
		}
		r.migrate(t, "t", (i+1)%2)
		r.sent[i](ended(foxlift.Unreachable))
		r.settle()
	}
	if len(r.sent) != 3 || len(a.answers) != 1 || a.answers[0].Verdict != Shed {
		t.Errorf("%d claims, answers %+v", len(r.sent), a.answers)
	}
}

// Hard case 9: 1,000 moves to and fro under load, with claims that end in every way,
// a node list that changes, and another plan in the middle. Every job has one answer,
// none that must not runs twice, and nothing is left behind.
func TestThousandMigrations(t *testing.T) {
	spec := twoCells()
	spec.KeyNodes, spec.KeyJobs = 2, 4
	r := newCellRig(t, spec)
	rng := rand.New(rand.NewPCG(8, 9))
	var jobs []*recordingClient
	ran := map[string]int{} // at-most-once jobs, by claims that may have run
	reported := 0
	end := func(code foxlift.Code) {
		r.sent[reported](ended(code))
		reported++
		r.settle()
	}
	ids := []string{}
	r.onSend = func(j *Job) { ids = append(ids, j.ID) }
	codes := slices.Repeat([]foxlift.Code{foxlift.Served}, 60) // else all nodes would soon be shut for failing
	codes = append(codes, foxlift.Saturated, foxlift.Reset, foxlift.Unreachable, foxlift.WorkerError, foxlift.NotSent)
	for i := range 1000 {
		for range rng.IntN(3) {
			id := fmt.Sprint("j", len(jobs))
			jobs = append(jobs, r.submitToCell(id, []string{"reading", "ratify"}[rng.IntN(2)], []string{"t", "u", "v"}[rng.IntN(3)], uint64(rng.IntN(4))))
		}
		r.migrate(t, []string{"t", "u", "v"}[rng.IntN(3)], rng.IntN(2))
		for reported < len(r.sent) && rng.IntN(3) > 0 {
			code := codes[rng.IntN(len(codes))]
			if id := ids[reported]; !code.NeverRan() && slices.Contains(r.atMostOnceIDs, id) {
				ran[id]++
			}
			end(code)
		}
		switch {
		case i%100 == 50:
			list := r.workerList(12, 0)
			list[rng.IntN(12)].State = foxlift.Draining
			r.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: list})
		case i == 333 || i == 666:
			next := twoCells()
			if i == 333 {
				next.Cells = append(next.Cells, cells.Cell{Name: "c", Share: 0}, cells.Cell{Name: "d", Tenants: []string{}})
				next.Cells[0].Share, next.Cells[1].Share = 0.4, 0.3
			}
			p, faults := r.settings.PlanCells(next)
			if faults != nil {
				t.Fatal(faults)
			}
			if _, err := r.applyPlan(p); err != nil {
				t.Fatal(err)
			}
			r.dispatch()
		}
	}
	for reported < len(r.sent) {
		end(foxlift.Served)
	}
	for tries := 0; len(r.open) > 0 && tries < 1000; tries++ { // held ones: their time runs out
		r.applyEvent(<-r.inbox)
		for reported < len(r.sent) {
			end(foxlift.Served)
		}
	}
	for i, a := range jobs {
		if len(a.answers) != 1 {
			t.Errorf("job %d has %d answers", i, len(a.answers))
		}
	}
	for id, k := range ran {
		if k > 1 {
			t.Errorf("%s may have run %d times", id, k)
		}
	}
	if len(r.jobs) != 0 || len(r.open) != 0 || len(r.jobsByKey) != 0 {
		t.Errorf("%d jobs, %d open, %d keys stay", len(r.jobs), len(r.open), len(r.jobsByKey))
	}
	for i, cl := range r.cells {
		if cl.spilled != 0 {
			t.Errorf("%s: %d spilled jobs stay", cl.name, cl.spilled)
		}
		if !cl.retired {
			if open, _, _ := r.placement.Load().admission.Open(i); open != 0 {
				t.Errorf("%s: %d places stay taken", cl.name, open)
			}
		}
	}
	for id, n := range r.byID {
		if len(n.inFlight) != 0 {
			t.Errorf("%s: claims stay counted: %v", id, n.inFlight)
		}
	}
	t.Logf("%d jobs, %d claims, %d jobs moved", len(jobs), len(r.sent), r.counters.Get("jobs.moved"))
	if len(r.sent) < len(jobs)/4 || r.counters.Get("jobs.moved") == 0 || r.counters.Get("claims.withheld") != 0 {
		t.Errorf("%d jobs moved, %d claims withheld", r.counters.Get("jobs.moved"), r.counters.Get("claims.withheld"))
	}
}

// Hard case 2: a node that changes cell with claims out goes on being counted: the
// module that gets it hears of them, until they end.
func TestWorkerChangesCellWithJobsInFlight(t *testing.T) {
	r := newCellRig(t, twoCells())
	for i := range 8 {
		r.submitToCell(fmt.Sprint("j", i), "reading", "t", 0)
	}
	node, before := r.sentTo[0], r.cellOf(r.sentTo[0])
	// The map changes under it: the same nodes, all in the other cell.
	p, _ := r.settings.PlanCells(&cells.Spec{Cells: []cells.Cell{{Name: "b", Share: 1, Tenants: []string{"t", "u", "v"}}}})
	if _, err := r.applyPlan(p); err != nil {
		t.Fatal(err)
	}
	r.dispatch()
	n := r.byID[node]
	if n.cell.name != "b" || before != 0 {
		t.Fatalf("%s is in %s", node, n.cell.name)
	}
	out := 0.0
	for i := range r.sent {
		if r.sentTo[i] == node {
			out++
		}
	}
	if got := n.forCell(n.cell).ExternalSlots; got != out || out == 0 {
		t.Errorf("its new cell counts %v slots of others, want %v", got, out)
	}
	for i := range 8 {
		r.sent[i](ended(foxlift.Served))
	}
	r.settle()
	if got := n.forCell(n.cell).ExternalSlots; got != 0 {
		t.Errorf("%v slots stay counted", got)
	}
	if !r.cells[1].retired || !r.hasNoJobs(r.cells[1]) {
		t.Error("the old cell is not retired and empty")
	}
	r.applyEvent(timerFired{r.cells[1], 1})
	if len(r.cells) != 1 {
		t.Errorf("%d cells are kept", len(r.cells))
	}
}

// Hard case 3: an empty cell spills, bounded, or refuses at once with advice.
func TestEmptyCell(t *testing.T) {
	r := newCellRig(t, twoCells())
	r.evacuate(0)
	bound := r.placement.Load().layout.SpillBound(0, r.placement.Load().jobBounds[1])
	var got []*recordingClient
	for i := range bound + 4 {
		got = append(got, r.submitToCell(fmt.Sprint("j", i), "reading", "t", 0))
	}
	refused := 0
	for _, a := range got {
		if len(a.answers) == 1 && a.answers[0].Verdict == Shed && a.answers[0].RetryAfter > 0 {
			refused++
		}
	}
	if refused != 4 || r.cells[0].spilled != bound {
		t.Errorf("%d refused, %d spilled; want 4 and %d", refused, r.cells[0].spilled, bound)
	}
	for i := range r.sentTo {
		if r.cellOf(r.sentTo[i]) != 1 {
			t.Error("a job is in the empty cell")
		}
	}
	r.evacuate(1) // both: nowhere to spill, and no round
	if a := r.submitToCell("k", "reading", "t", 0); len(a.answers) != 1 || a.answers[0].Verdict != Shed {
		t.Errorf("%+v", a.answers)
	}
	for _, report := range r.sent {
		report(ended(foxlift.Served))
	}
	r.settle()
	if r.cells[0].spilled != 0 {
		t.Errorf("%d spilled jobs stay counted", r.cells[0].spilled)
	}
}

func (r *rig) evacuate(i int) { r.cells[i].evacuated = true }

// Hard case 4: a cold node gets from all cells together no more than without them:
// one module alone sends there.
func TestWorkersInSlowStartHaveOneDispatcher(t *testing.T) {
	r := newCellRig(t, twoCells())
	r.applyEvent(endpointsUpdated{kind: foxlift.EndpointsComplete, workers: r.workerList(12, r.clock.Now())}) // all start anew
	by := map[string]map[*cell]bool{}
	r.onSend = func(j *Job) {
		id := r.lastWorker
		if by[id] == nil {
			by[id] = map[*cell]bool{}
		}
		by[id][r.open[j.ID].cell] = true
	}
	if c := r.cellCondition(0); c != cells.SlowStart {
		t.Errorf("condition %v of a cell of cold nodes", c)
	}
	for i := range 50 {
		r.submitToCell(fmt.Sprint("j", i), "reading", []string{"t", "u", "v"}[i%3], 0)
		if i%10 == 0 {
			<-time.After(20 * time.Millisecond)
			r.settle()
		}
	}
	for id, cs := range by {
		if len(cs) != 1 {
			t.Errorf("%s gets jobs from %d modules", id, len(cs))
		}
	}
	// Nothing is known of what a warm node can do: in a second each cold node gets
	// one job of all schedulers, as the budget says.
	for id, k := range countByName(r.sentTo) {
		if k > 3 {
			t.Errorf("cold %s got %d jobs", id, k)
		}
	}
}

func countByName(names []string) map[string]int {
	n := map[string]int{}
	for _, name := range names {
		n[name]++
	}
	return n
}

// Hard case 6: the flood of one cell stays before the core, and takes no place of
// another's.
func TestFloodIsShedBeforeTheCore(t *testing.T) {
	r := newCellRig(t, twoCells())
	refused := 0
	for i := range 300 {
		a := &recordingClient{}
		r.Accept(&Job{ID: fmt.Sprint("f", i), Class: "reading", Tenant: "t", ArrivedAt: r.clock.Now(), Remaining: time.Second, Client: a})
		if len(a.answers) == 1 && a.answers[0].Verdict == Shed && a.answers[0].RetryAfter > 0 {
			refused++
		}
	}
	if len(r.inbox) > 30 || refused != 300-len(r.inbox) {
		t.Errorf("%d of 300 are in the inbox, %d refused", len(r.inbox), refused)
	}
	r.settle()
	if a := r.submitToCell("u", "reading", "u", 0); len(a.answers) != 0 {
		t.Errorf("the other cell's job: %+v", a.answers)
	}
}

// An id that is in use is bad input also where its cell is full: a refusal would
// promise that another try is harmless. Found by TestModel.
func TestRepeatedIDAtASaturatedCell(t *testing.T) {
	r := newCellRig(t, twoCells())
	take := func(id string) *recordingClient {
		a := &recordingClient{}
		r.Accept(&Job{ID: id, Class: "ratify", Tenant: "t", ArrivedAt: r.clock.Now(), Remaining: time.Second, Client: a})
		r.settle()
		return a
	}
	first := take("j")
	for i := 0; r.counters.Get("jobs.cell_full") == 0; i++ {
		take(fmt.Sprint("fill", i))
	}
	if a := take("j"); len(a.answers) != 1 || a.answers[0].Verdict != Rejected {
		t.Errorf("in use: %+v", a.answers)
	}
	r.sent[0](ended(foxlift.Served))
	r.settle()
	if a := take("j"); len(first.answers) != 1 || len(a.answers) != 1 || a.answers[0].Verdict != Rejected {
		t.Errorf("answered: %+v", a.answers)
	}
	r.applyEvent(idExpired{"j"})
	if a := take("j"); len(a.answers) == 1 && a.answers[0].Verdict == Rejected {
		t.Errorf("forgotten: %+v", a.answers)
	}
}

// Hard case 8: a key that floods is held to a few nodes and a few jobs; others of the
// same tenant and class go past it.
func TestKeyFlood(t *testing.T) {
	spec := twoCells()
	spec.KeyNodes, spec.KeyJobs = 2, 12
	r := newCellRig(t, spec)
	used := map[string]bool{}
	for i := range 20 {
		before := len(r.sentTo)
		r.submitToCell(fmt.Sprint("k", i), "reading", "t", 77)
		for _, n := range r.sentTo[before:] {
			used[n] = true
		}
	}
	if len(used) > 2 || r.counters.Get("jobs.key_full") != 8 {
		t.Errorf("the key is on %v, %d refused", used, r.counters.Get("jobs.key_full"))
	}
	if len(r.sentTo) >= 12 {
		t.Fatal("the key's nodes are never full: nothing is held behind it")
	}
	before := len(r.sentTo)
	r.submitToCell("other", "reading", "t", 5)
	r.submitToCell("none", "reading", "t", 0)
	if len(r.sentTo) != before+2 {
		t.Errorf("%d of 2 other jobs are sent while the key waits", len(r.sentTo)-before)
	}
}

// Hard case 11: the nodes of one cell answer "failed" at once. The other cell's module
// sees nothing of it.
func TestFailingReleaseInOneCell(t *testing.T) {
	r := newCellRig(t, twoCells())
	for i := range 200 {
		before := len(r.sent)
		r.submitToCell(fmt.Sprint("j", i), "reading", []string{"t", "u"}[i%2], 0)
		for k := before; k < len(r.sent); k++ {
			code := foxlift.Served
			if r.cellOf(r.sentTo[k]) == 0 {
				code = foxlift.WorkerError
			}
			r.sent[k](Report{})
			r.sent[k](ended(code))
			r.settle()
		}
	}
	if b := r.cells[1].answers; b[Served] != 100 || b[Shed]+b[Failed] != 0 {
		t.Errorf("the other cell's answers: %v", b)
	}
	if a := r.cells[0].answers; a[Served] != 0 {
		t.Errorf("the bad cell serves %d", a[Served])
	}
}

// Operators' calls through the core's goroutine: errors, states, and the end.
func TestOperatorCalls(t *testing.T) {
	r := newCellRig(t, twoCells())
	go r.Core.run()
	ctx := t.Context()
	for what, c := range map[string]struct {
		tenant, cell string
		want         error
	}{
		"unknown tenant": {"x", "a", cells.ErrUnknownTenant}, "unknown cell": {"t", "x", cells.ErrUnknownCell}, "same cell": {"t", "a", cells.ErrSameCell},
	} {
		if _, err := r.Core.MigrateTenant(ctx, c.tenant, c.cell); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if m, err := r.Core.Evacuate(ctx, "b"); err != nil || m.Tenants != 2 {
		t.Errorf("evacuate: %+v, %v", m, err)
	}
	if _, err := r.Core.MigrateTenant(ctx, "u", "b"); !errors.Is(err, cells.ErrEvacuated) {
		t.Errorf("into an evacuated cell: %v", err)
	}
	if _, err := r.Core.Evacuate(ctx, "a"); !errors.Is(err, cells.ErrNoTargetCell) {
		t.Errorf("the last cell is evacuated: %v", err)
	}
	states, err := r.Core.Cells(ctx)
	if err != nil || len(states) != 2 || !states[1].Evacuated || len(states[0].Tenants) != 3 || len(states[0].Workers)+len(states[1].Workers) != 12 {
		t.Errorf("%+v, %v", states, err)
	}
	if m, err := r.Core.RestorePlacement(ctx, "", "b"); err != nil || m.Tenants != 2 {
		t.Errorf("restore: %+v, %v", m, err)
	}
	r.Core.BeginShutdown(time.Second)
	if _, err := r.Core.MigrateTenant(ctx, "t", "b"); !errors.Is(err, errShuttingDown) {
		t.Errorf("while it ends: %v", err)
	}
	r.Core.Stop()
	if _, err := r.Core.Cells(ctx); !errors.Is(err, errShuttingDown) {
		t.Errorf("after its end: %v", err)
	}
}

// Hard case 5: two schedulers with lists of different age. Each confines by its own
// map; the maps differ in few nodes, no node has two modules at either, and they are
// the same as soon as the lists are.
func TestEndpointListsOfDifferentAge(t *testing.T) {
	young, old := newCellRig(t, twoCells()), newCellRig(t, twoCells())
	news := append(young.workerList(12, 0)[10:], foxlift.Worker{ID: "late", Kind: 0, Zone: 0})
	news[0].State, news[1].State = foxlift.Draining, foxlift.Removed
	young.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: news})
	differ := 0
	for i := range 10 {
		if id := fmt.Sprint("n", i); young.cellOf(id) != old.cellOf(id) {
			differ++
		}
	}
	if differ > 3 {
		t.Errorf("%d of 10 nodes are in other cells for two gone and one new", differ)
	}
	for _, r := range []*rig{young, old} {
		for i := range 10 {
			before := len(r.sentTo)
			tenant := []string{"t", "u"}[i%2]
			r.submitToCell(fmt.Sprint("j", i), "reading", tenant, 0)
			for _, n := range r.sentTo[before:] {
				if r.cellOf(n) != i%2 {
					t.Errorf("%s's job is out of its cell", tenant)
				}
				if r == young && (n == "n10" || n == "n11") {
					t.Errorf("a job goes to %s", n)
				}
			}
		}
	}
	old.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: news})
	for id := range young.byID {
		a, aok := young.placement.Load().layout.NodeCell(id)
		b, bok := old.placement.Load().layout.NodeCell(id)
		if a != b || aok != bok {
			t.Errorf("%s is in cell %d at one and %d at the other", id, a, b)
		}
	}
	// One returns with a new id, another restarts: the same map at both again.
	back := []foxlift.Worker{{ID: "n11b", Kind: 0, Zone: 0}, {ID: "n3", Kind: 0, Zone: 0, StartedAt: young.clock.Now()}}
	young.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: back})
	old.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: back[:1]})
	old.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: back[1:]})
	if young.cellOf("n11b") != old.cellOf("n11b") || young.cellOf("n3") != old.cellOf("n3") {
		t.Error("the order of news decides")
	}
}

// Hard case 7: what a tenant is lent in its cell is taken back at once: when another
// returns, the next place that is free is that one's.
func TestLentCapacityIsReturned(t *testing.T) {
	spec := twoCells()
	spec.Cells[1].Jobs = 60
	r := newCellRig(t, spec)
	n := r.saturate(t, "u") // all of the cell, far over what the tenant has tokens for
	if n < 8 {
		t.Fatalf("only %d jobs are lent a place", n)
	}
	for i := range 5 {
		r.submitToCell(fmt.Sprint("more", i), "reading", "u", 0)
	}
	r.submitToCell("back", "reading", "v", 0)
	if len(r.sent) != n {
		t.Fatalf("%d claims with %d places", len(r.sent), n)
	}
	var next string
	r.onSend = func(j *Job) {
		if next == "" {
			next = j.ID
		}
	}
	for i := 0; next == "" && i < n; i++ {
		r.sent[i](Report{})
		r.sent[i](ended(foxlift.Served))
		r.settle()
	}
	if next != "back" {
		t.Errorf("the next place is %s's", next)
	}
}
