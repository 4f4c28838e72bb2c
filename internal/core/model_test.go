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

// The model test runs the whole scheduler (core, dispatchers and cells) against fakes of Workers, EndpointWatch
// and Client, on virtual time (testing/synctest: a bubble whose clock advances when all its goroutines are
// blocked, and which does not end before all of them have). It executes a script of random actions. Invariants
// are checked while the script runs (model_environment_test.go) and at its end, and the histories of at-most-once jobs
// are checked for linearizability against a write-once register (model_register_test.go).

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
	modelMaxDeadline = 8 * time.Second // longest deadline of the classes
	modelMaxOpen     = 40
	modelSeed        = 5
	drainGrace       = 750 * time.Millisecond // time after which a worker that is not live must get no attempts
)

var (
	modelClasses = []string{"reading", "ratify", "seal"}
	modelTenants = []string{"t", "u", "v"}
)

// A scriptAction is one action of a script. The meaning of the parameters a, b and c depends on the kind.
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

// modelPlans returns the plans between which a script switches.
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

// runScript executes a script and returns the violations that it caused.
func runScript(t *testing.T, script []scriptAction, withCells bool) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		env := newModelEnvironment(t, withCells)
		var workers []foxlift.Worker
		for i := range modelWorkers {
			workers = append(workers, env.worker(i, 0))
		}
		env.core.Start(Environment{Workers: env, EndpointWatch: env, MaxOpen: modelMaxOpen, CachedEndpoints: workers})
		synctest.Wait()
		for _, a := range script {
			env.perform(a)
			synctest.Wait()
		}
		env.drain()
		synctest.Wait()
		env.checkFinalState()
		env.core.Stop()
		synctest.Wait()
		violations = env.violations
	})
	return violations
}

// newModelEnvironment returns an environment with a core that is not started.
func newModelEnvironment(t *testing.T, withCells bool) *modelEnvironment {
	t.Helper()
	settings, err := config.ParseSettings([]byte(modelSettings))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Settings: settings, Seed: modelSeed, Clock: NewClock(), Counters: &counters.Set{}}
	if withCells {
		cfg.Plan, _ = settings.PlanCells(modelPlans()[0])
	}
	env := &modelEnvironment{startedAt: time.Now(), notLiveSince: map[string]time.Time{}}
	if env.core, err = New(cfg); err != nil {
		t.Fatal(err)
	}
	return env
}

// drain ends all attempts in flight as served, for 20 s of virtual time, so that every job is answered.
func (env *modelEnvironment) drain() {
	for range 200 {
		synctest.Wait()
		env.mu.Lock()
		var inFlight []*modelAttempt
		for _, a := range env.attempts {
			if !a.ended {
				a.end(foxlift.Served, true)
				inFlight = append(inFlight, a)
			}
		}
		env.mu.Unlock()
		for _, a := range inFlight {
			a.report(Report{Ended: true, Code: foxlift.Served, Result: []byte("r")})
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkFinalState checks that each job has exactly one answer, that the core has released everything, and that
// the history of each at-most-once job is linearizable.
func (env *modelEnvironment) checkFinalState() {
	for _, j := range env.jobs {
		if len(j.answers) != 1 {
			env.recordViolation("job %s has %d answers, want 1: %+v", j.ID, len(j.answers), j.answers)
		}
	}
	_, err := callOnEventLoop(context.Background(), env.core, func(c *Core) (struct{}, error) {
		env.checkCore(c)
		return struct{}{}, nil
	})
	if err != nil {
		env.recordViolation("callOnEventLoop() = %v at the end, want no error", err)
	}
	for _, j := range env.jobs {
		if j.Class == "ratify" && !env.linearizable(j) {
			env.recordViolation("job %s: no order of its runs and its answer fits a write-once register: %s",
				j.ID, env.describe(j))
		}
	}
}

// checkCore checks that the core has released all jobs, counts and reservations.
func (env *modelEnvironment) checkCore(c *Core) {
	if len(c.jobs.byNumber) != 0 || len(c.jobs.open) != 0 || len(c.cells.jobsByKey) != 0 {
		env.recordViolation("the core still has %d jobs, %d open jobs and %d affinity keys, want 0 of each",
			len(c.jobs.byNumber), len(c.jobs.open), len(c.cells.jobsByKey))
	}
	if n := c.counters.Get("jobs.overdue"); n > 0 && !c.shutdown.begun() {
		env.recordViolation("jobs.overdue = %d, want 0: the dispatchers did not answer these jobs", n)
	}
	for _, cl := range c.cells.all {
		if idle := cl.dispatcher.Idle(); !idle || cl.spilled != 0 || len(cl.leaving) != 0 {
			env.recordViolation("cell %q: Idle() = %v with %d spilled and %d leaving jobs, want true with 0 and 0",
				cl.name, idle, cl.spilled, len(cl.leaving))
		}
	}
	for id, worker := range c.workers.byID {
		if len(worker.inFlight) != 0 {
			env.recordViolation("worker %s: slots in flight are %v, want none", id, worker.inFlight)
		}
	}
	if p := c.placement.Load(); p != nil {
		for i := range p.jobBounds {
			if open, _, _ := p.admission.Usage(i); open != 0 {
				env.recordViolation("cell %d: Usage() has %d open jobs, want 0", i, open)
			}
		}
	}
}

// weightedActionKinds contains each kind of action as often as its weight: submissions and completions are drawn
// more often than other actions.
var weightedActionKinds = slices.Concat(
	slices.Repeat([]int{actionSubmit}, 10), slices.Repeat([]int{actionComplete}, 8), slices.Repeat([]int{actionWait}, 4),
	[]int{
		actionResubmit, actionDisconnect, actionProgress, actionProgress, actionRepeatedCompletion,
		actionEndpoints, actionEndpoints, actionMigrate, actionMigrate, actionEvacuate, actionRestore, actionReplan,
		actionShutdown,
	},
)

// modelProperty draws a script, executes it and fails if it causes a violation.
func modelProperty(t *testing.T, rt *rapid.T) {
	kind := rapid.Custom(func(rt *rapid.T) int {
		return rapid.SampledFrom(weightedActionKinds).Draw(rt, "kind")
	})
	parameter := rapid.IntRange(0, 1<<12)
	n := rapid.IntRange(1, 80).Draw(rt, "actions")
	var script []scriptAction
	for range n {
		script = append(script, scriptAction{
			kind.Draw(rt, "action"), parameter.Draw(rt, "a"), parameter.Draw(rt, "b"), parameter.Draw(rt, "c"),
		})
	}
	withCells := rapid.Bool().Draw(rt, "cells")
	if violations := runScript(t, script, withCells); len(violations) > 0 {
		rt.Fatalf("runScript(%v, cells %v) has violations, want none:\n%v", script, withCells, violations)
	}
}

// Random sequences of jobs, reports, endpoint updates, operator calls and shutdowns must not cause a lost or
// second answer, a forbidden repeat of a job or a leaked count.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { modelProperty(t, rt) })
}

// FuzzModel runs the property of TestModel with coverage-guided input.
func FuzzModel(f *testing.F) {
	f.Add([]byte("\x00\x01\x02\x03\x04\x05\x06\x07"))
	f.Fuzz(func(t *testing.T, data []byte) {
		rapid.MakeFuzz(func(rt *rapid.T) { modelProperty(t, rt) })(t, data)
	})
}
