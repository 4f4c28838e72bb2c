package core

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// The model test drives the whole scheduler (core, dispatchers and cells) from outside, through fakes of
// Workers, EndpointWatch and Client, on virtual time (testing/synctest: a bubble whose clock moves when
// all goroutines wait, and which does not end while one is left). A script of random actions is played;
// what must always hold is checked as it happens (model_world_test.go) and at the end, and the histories
// are checked against a register that may be written once (model_register_test.go).

const modelSettings = `{"balancers":2,"slotNo":0,"discovery":"subscribe","dcs":["a","b"],"zone":"a","flavors":["k","l"],
 "grades":[{"name":"reading","aim":300000000,"deadline":5000000000,"effect":"idempotent"},
  {"name":"ratify","aim":800000000,"deadline":8000000000,"effect":"at_most_once"},
  {"name":"seal","aim":500000000,"deadline":5000000000,"effect":"deduplicated",
   "dedupScope":"zone","keyTtl":2000000000}],
 "projects":[{"name":"t","quotaRps":20},{"name":"u","quotaRps":5},{"name":"v","quotaRps":0.5}],
 "bounds":{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfter":2000000000,"maxAttempts":3,
  "maxOpen":40},
 "obligations":{"startCapacity":0.14,"warmAfter":24000000000,"fallMultiple":3,"fall":1000000000,
  "mustAskIn":10000000000},
 "familyInfo":{"tellsStart":true,"progress":1000000000}}`

const (
	modelWorkers     = 6
	modelMaxAttempts = 3
	modelMaxDeadline = 8 * time.Second // the longest of the classes
	modelMaxOpen     = 40
	modelSeed        = 5
	drainGrace       = 750 * time.Millisecond // after which nothing goes to a worker that is not live
)

var (
	modelClasses = []string{"reading", "ratify", "seal"}
	modelTenants = []string{"t", "u", "v"}
)

// An act is one action of a script; what a, b and c mean depends on its kind.
type scriptAction struct{ kind, a, b, c int }

const (
	actionSubmit = iota
	actionResubmit
	actionDisconnect
	actionComplete
	actionProgress
	actionRepeatedCompletion
	actionEndpoints
	actionWait
	actionMigrate
	actionEvacuate
	actionRestore
	actionReplan
	actionShutdown
)

// modelPlans returns the plans of cells that a script goes through.
func modelPlans() []*cells.Spec {
	return []*cells.Spec{
		{
			Cells: []cells.Cell{
				{Name: "a", Tenants: []string{"t"}, SpillCell: "b", SpillFraction: 0.2},
				{Name: "b", Tenants: []string{"u"}},
			},
			WorkersPerKey: 1, MaxJobsPerKey: 3,
		},
		{Cells: []cells.Cell{
			{Name: "b", Tenants: []string{"t", "u"}},
			{Name: "c", CapacityFraction: 0.4, Tenants: []string{"v"}},
		}},
		{
			Cells:  []cells.Cell{{Name: "a"}, {Name: "b"}, {Name: "c"}},
			Splits: []cells.Split{{Tenant: "t", Cells: []string{"a", "c"}}},
		},
	}
}

// playScript plays a script and returns what it violated.
func runScript(t *testing.T, script []scriptAction, withCells bool) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, withCells)
		var workers []foxlift.Worker
		for i := range modelWorkers {
			workers = append(workers, w.worker(i, 0))
		}
		w.core.Start(Environment{Workers: w, EndpointWatch: w, MaxOpen: modelMaxOpen, CachedEndpoints: workers})
		synctest.Wait()
		for _, a := range script {
			w.perform(a)
			synctest.Wait()
		}
		w.drain()
		synctest.Wait()
		w.checkFinalState()
		w.core.Stop()
		synctest.Wait()
		violations = w.violations
	})
	return violations
}

// newWorld returns fakes around a core that is not started.
func newWorld(t *testing.T, withCells bool) *world {
	t.Helper()
	settings, err := config.ParseSettings([]byte(modelSettings))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Settings: settings, Seed: modelSeed, Clock: NewClock(), Counters: &counters.Set{}}
	if withCells {
		cfg.Plan, _ = settings.PlanCells(modelPlans()[0])
	}
	w := &world{startedAt: time.Now(), notLiveSince: map[string]time.Time{}}
	if w.core, err = New(cfg); err != nil {
		t.Fatal(err)
	}
	return w
}

// drain lets all that is in flight come to its end.
func (w *world) drain() {
	for range 200 {
		synctest.Wait()
		w.mu.Lock()
		var inFlight []*modelAttempt
		for _, a := range w.attempts {
			if !a.ended {
				a.end(foxlift.Served, true)
				inFlight = append(inFlight, a)
			}
		}
		w.mu.Unlock()
		for _, a := range inFlight {
			a.report(Report{Ended: true, Code: foxlift.Served, Result: []byte("r")})
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkFinalState checks what must hold at the end.
func (w *world) checkFinalState() {
	for _, j := range w.jobs {
		if len(j.answers) != 1 {
			w.recordViolation("%s has %d answers: %+v", j.ID, len(j.answers), j.answers)
		}
	}
	_, err := callOnEventLoop(context.Background(), w.core, func(c *Core) (struct{}, error) {
		w.checkCore(c)
		return struct{}{}, nil
	})
	if err != nil {
		w.recordViolation("the core is not there at the end: %v", err)
	}
	for _, j := range w.jobs {
		if j.Class == "ratify" && !w.linearizable(j) {
			w.recordViolation("%s: no order of what happened fits a register that may be written once: %s", j.ID, w.describe(j))
		}
	}
}

// checkCore checks that nothing is left behind in a core.
func (w *world) checkCore(c *Core) {
	if len(c.jobs.byNumber) != 0 || len(c.jobs.open) != 0 || len(c.cells.jobsByKey) != 0 {
		w.recordViolation("the core still has %d jobs, %d open jobs and %d affinity keys, want 0 of each",
			len(c.jobs.byNumber), len(c.jobs.open), len(c.cells.jobsByKey))
	}
	if n := c.counters.Get("jobs.overdue"); n > 0 && !c.shutdown.begun() {
		w.recordViolation("the dispatchers forgot %d jobs", n)
	}
	for _, cl := range c.cells.all {
		if idle := cl.dispatcher.Idle(); !idle || cl.spilled != 0 || len(cl.leaving) != 0 {
			w.recordViolation("cell %q: idle %v, %d spilled, %d leaving", cl.name, idle, cl.spilled, len(cl.leaving))
		}
	}
	for id, worker := range c.workers.byID {
		if len(worker.inFlight) != 0 {
			w.recordViolation("%s: %v stays counted in flight", id, worker.inFlight)
		}
	}
	if p := c.placement.Load(); p != nil {
		for i := range p.jobBounds {
			if open, _, _ := p.admission.Usage(i); open != 0 {
				w.recordViolation("cell %d: %d reservations are left", i, open)
			}
		}
	}
}

// actWeights has each kind of action as often as it is to be drawn: jobs and ends of attempts come more
// often than the rest.
var weightedActionKinds = slices.Concat(
	slices.Repeat([]int{actionSubmit}, 10), slices.Repeat([]int{actionComplete}, 8), slices.Repeat([]int{actionWait}, 4),
	[]int{
		actionResubmit, actionDisconnect, actionProgress, actionProgress, actionRepeatedCompletion,
		actionEndpoints, actionEndpoints, actionMigrate, actionMigrate, actionEvacuate, actionRestore, actionReplan, actionShutdown,
	},
)

// modelProperty draws a script and plays it.
func modelProperty(t *testing.T, rt *rapid.T) {
	kind := rapid.Custom(func(rt *rapid.T) int {
		return rapid.SampledFrom(weightedActionKinds).Draw(rt, "kind")
	})
	parameter := rapid.IntRange(0, 1<<12)
	n := rapid.IntRange(1, 80).Draw(rt, "acts")
	var script []scriptAction
	for range n {
		script = append(script, scriptAction{
			kind.Draw(rt, "act"), parameter.Draw(rt, "a"), parameter.Draw(rt, "b"), parameter.Draw(rt, "c"),
		})
	}
	withCells := rapid.Bool().Draw(rt, "cells")
	if violations := runScript(t, script, withCells); len(violations) > 0 {
		rt.Fatalf("cells %v, script %v violates:\n%v", withCells, script, violations)
	}
}

func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { modelProperty(t, rt) })
}

func FuzzModel(f *testing.F) {
	f.Add([]byte("\x00\x01\x02\x03\x04\x05\x06\x07"))
	f.Fuzz(func(t *testing.T, data []byte) {
		rapid.MakeFuzz(func(rt *rapid.T) { modelProperty(t, rt) })(t, data)
	})
}
