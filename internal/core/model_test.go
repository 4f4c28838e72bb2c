package core

import (
	"context"
	"fmt"
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

// A model of the whole scheduler: core, module and cells, driven from outside through
// Nodes, EndpointWatch and Client by fakes, on virtual time (testing/synctest: a
// bubble whose clock moves when all goroutines wait, and which does not end while one
// is left). A script of random actions is played; what must always hold is checked as
// it happens and at the end, and the histories are held against a register that may
// be written once.

const modelSettings = `{"balancers":2,"slotNo":0,"discovery":"subscribe","dcs":["a","b"],"zone":"a","flavors":["k","l"],
 "grades":[{"name":"reading","aim":300000000,"deadline":5000000000,"effect":"idempotent"},
  {"name":"ratify","aim":800000000,"deadline":8000000000,"effect":"at_most_once"},
  {"name":"seal","aim":500000000,"deadline":5000000000,"effect":"deduplicated","dedupScope":"zone","keyTtl":2000000000}],
 "projects":[{"name":"t","quotaRps":20},{"name":"u","quotaRps":5},{"name":"v","quotaRps":0.5}],
 "bounds":{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfter":2000000000,"maxAttempts":3,"maxOpen":40},
 "obligations":{"startCapacity":0.14,"warmAfter":24000000000,"fallMultiple":3,"fall":1000000000,"mustAskIn":10000000000},
 "familyInfo":{"tellsStart":true,"progress":1000000000}}`

const (
	modelWorkers     = 6
	modelMaxAttempts = 3
	modelMaxDeadline = 8 * time.Second // of the classes' deadlines
	drainGrace       = 750 * time.Millisecond
)

var (
	modelClasses = []string{"reading", "ratify", "seal"}
	modelTenants = []string{"t", "u", "v"}
)

// An act is one action of a script; what a, b and c mean depends on its kind.
type act struct{ kind, a, b, c int }

const (
	actSubmit = iota
	actResubmit
	actDisconnect
	actComplete
	actProgress
	actCompleteAgain
	actEndpoints
	actWait
	actMigrate
	actEvacuate
	actRestore
	actReplan
	actShutdown
	actKinds
)

func modelPlans() []*cells.Spec {
	return []*cells.Spec{
		{Cells: []cells.Cell{{Name: "a", Tenants: []string{"t"}, Spill: "b", SpillPart: 0.2}, {Name: "b", Tenants: []string{"u"}}}, KeyWorkers: 1, KeyJobs: 3},
		{Cells: []cells.Cell{{Name: "b", Tenants: []string{"t", "u"}}, {Name: "c", CapacityFraction: 0.4, Tenants: []string{"v"}}}},
		{Cells: []cells.Cell{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Splits: []cells.Split{{Tenant: "t", Cells: []string{"a", "c"}}}},
	}
}

// playScript plays a script and returns what it broke, and some figures.
func playScript(t *testing.T, script []act, withCells bool) (broken []string, w *world) {
	synctest.Test(t, func(t *testing.T) {
		w = &world{startedAt: time.Now(), notLiveSince: map[string]time.Time{}}
		s, err := config.ParseSettings([]byte(modelSettings))
		if err != nil {
			t.Fatal(err)
		}
		var plan *cells.Plan
		if withCells {
			plan, _ = s.PlanCells(modelPlans()[0])
		}
		if w.core, err = New(s, plan, 5, NewClock(), &counters.Set{}); err != nil {
			t.Fatal(err)
		}
		w.core.Connect(w, w, 40)
		var list []foxlift.Worker
		for i := range modelWorkers {
			list = append(list, w.worker(i, 0))
		}
		w.core.Start(list)
		synctest.Wait()
		for _, a := range script {
			w.act(a)
			synctest.Wait()
		}
		w.drain()
		synctest.Wait()
		w.checkFinalState()
		w.core.Stop()
		synctest.Wait()
	})
	return w.violations, w
}

func (w *world) worker(i int, started int64) foxlift.Worker {
	return foxlift.Worker{ID: fmt.Sprint("n", i), Zone: i % 2, Kind: i % 2, Cell: i / 2, StartedAt: started}
}

func (w *world) act(a act) {
	c := w.core
	switch a.kind {
	case actSubmit, actResubmit:
		id := fmt.Sprint("j", len(w.jobs))
		if a.kind == actResubmit && len(w.jobs) > 0 {
			id = w.jobs[a.a%len(w.jobs)].ID
		}
		j := &modelJob{world: w, submittedAt: w.now()}
		j.Job = &Job{
			ID: id, Class: modelClasses[a.a%3], HasIdempotencyKey: a.a%3 != 2 || a.c%8 != 7, Tenant: modelTenants[a.b%3], ArrivedAt: c.clock.Now(), Key: uint64(a.c % 4),
			Remaining: []time.Duration{5 * time.Second, 20 * time.Millisecond, time.Second, 0}[a.c%4], Client: j,
			Slots: float64(a.b % 3), ClientRetry: a.c%5 == 0,
		}
		w.jobs = append(w.jobs, j)
		c.Accept(j.Job)
	case actDisconnect:
		if len(w.jobs) > 0 {
			c.ClientDisconnected(w.jobs[a.a%len(w.jobs)].Job)
		}
	case actComplete, actProgress, actCompleteAgain:
		w.report(a)
	case actEndpoints:
		w.updateEndpoints(a)
	case actWait:
		time.Sleep([]time.Duration{time.Millisecond, 30 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second}[a.a%5])
	case actMigrate:
		c.MigrateTenant(context.Background(), modelTenants[a.a%3], []string{"a", "b", "c", "nowhere"}[a.b%4])
	case actEvacuate:
		c.Evacuate(context.Background(), []string{"a", "b", "c"}[a.a%3])
	case actRestore:
		c.RestorePlacement(context.Background(), "", "")
	case actReplan:
		if p, faults := c.settings.PlanCells(modelPlans()[a.a%3]); faults == nil {
			c.Replan(context.Background(), p)
		}
	case actShutdown:
		if a.a%4 == 0 { // else nearly every script would end soon
			c.BeginShutdown(time.Duration(a.b%4) * time.Second)
		}
	}
}

var modelCodes = []foxlift.Code{
	foxlift.Served, foxlift.Served, foxlift.Served, foxlift.WorkerError, foxlift.Saturated, foxlift.DeadlineExceeded,
	foxlift.Unreachable, foxlift.Reset, foxlift.NotSent,
}

func (w *world) report(a act) {
	w.mu.Lock()
	var open, over []*modelAttempt
	for _, c := range w.attempts {
		if c.ended {
			over = append(over, c)
		} else {
			open = append(open, c)
		}
	}
	var c *modelAttempt
	r := Report{Ended: true, Code: modelCodes[a.b%len(modelCodes)], Result: []byte("r")}
	switch {
	case a.kind == actComplete && len(open) > 0:
		c = open[a.a%len(open)]
		c.stop(r.Code, a.c%2 == 0 || r.Code == foxlift.Served)
	case a.kind == actCompleteAgain && len(over) > 0: // late, doubled, or against the first word
		c = over[a.a%len(over)]
	case a.kind == actProgress && len(w.attempts) > 0:
		c = w.attempts[a.a%len(w.attempts)]
		r = Report{Progress: a.b%2 == 0}
	}
	w.mu.Unlock()
	if c != nil {
		c.report(r)
	}
}

func (w *world) cellOf(node string) (int, bool) {
	if s := w.core.placement.Load(); s != nil {
		return s.layout.WorkerCell(node)
	}
	return 0, false
}

func (w *world) updateEndpoints(a act) {
	var list []foxlift.Worker
	w.mu.Lock()
	for i := range modelWorkers {
		if a.b%3 == 0 && i%2 == 0 { // a part of it
			continue
		}
		x := w.worker(i, 0)
		x.State = foxlift.WorkerState(min(2, (a.c>>(2*i))&3))
		if x.State == 2 && a.c%2 == 0 {
			x.State = foxlift.Live
		}
		if cell, ok := w.cellOf(x.ID); a.a%7 == i || a.a%7 == 6 && ok && cell == 0 {
			x.StartedAt = w.core.clock.Now() // it has started anew; or all of a cell have
		}
		list = append(list, x)
	}
	kind := []foxlift.EndpointUpdate{foxlift.EndpointsDelta, foxlift.EndpointsComplete, foxlift.EndpointsPollFailed}[a.a%3]
	if kind == foxlift.EndpointsPollFailed {
		list = nil
	}
	live := map[string]bool{}
	for _, x := range list {
		live[x.ID] = x.State == foxlift.Live
	}
	for i := range modelWorkers {
		id := fmt.Sprint("n", i)
		told, named := live[id]
		if !named && kind != foxlift.EndpointsComplete {
			continue
		}
		if told {
			delete(w.notLiveSince, id)
		} else if _, ok := w.notLiveSince[id]; !ok {
			w.notLiveSince[id] = time.Now()
		}
	}
	w.mu.Unlock()
	w.core.UpdateEndpoints(kind, list)
}

// finish lets all that is open come to its end.
func (w *world) drain() {
	for range 200 {
		synctest.Wait()
		w.mu.Lock()
		var open []*modelAttempt
		for _, c := range w.attempts {
			if !c.ended {
				c.stop(foxlift.Served, true)
				open = append(open, c)
			}
		}
		w.mu.Unlock()
		for _, c := range open {
			c.report(Report{Ended: true, Code: foxlift.Served, Result: []byte("r")})
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// judge checks what must hold at the end.
func (w *world) checkFinalState() {
	for _, j := range w.jobs {
		if len(j.answers) != 1 {
			w.violate("%s has %d answers: %+v", j.ID, len(j.answers), j.answers)
		}
	}
	w.core.call(context.Background(), func(c *Core) {
		if len(c.jobs) != 0 || len(c.open) != 0 || len(c.jobsByKey) != 0 {
			w.violate("%d jobs, %d open, %d keys are left", len(c.jobs), len(c.open), len(c.jobsByKey))
		}
		if n := c.counters.Get("jobs.overdue"); n > 0 && c.shutdownDeadline == 0 {
			w.violate("the modules forgot %d jobs", n)
		}
		for _, cl := range c.cells {
			if !cl.module.Idle() || cl.spilled != 0 || len(cl.leaving) != 0 {
				w.violate("cell %q: idle %v, %d spilled, %d leaving", cl.name, cl.module.Idle(), cl.spilled, len(cl.leaving))
			}
		}
		for id, n := range c.byID {
			if len(n.inFlight) != 0 {
				w.violate("%s: %v is counted out", id, n.inFlight)
			}
		}
		if s := c.placement.Load(); s != nil {
			for i := range s.jobBounds {
				if open, _, _ := s.admission.Open(i); open != 0 {
					w.violate("cell %d: %d places are taken", i, open)
				}
			}
		}
	})
	for _, j := range w.jobs {
		if j.Class == "ratify" && !w.linearizable(j) {
			w.violate("%s: no order of what happened fits a register that may be written once: %s", j.ID, w.describe(j))
		}
	}
}

// modelProperty draws a script and plays it.
func modelProperty(t *testing.T, rt *rapid.T) {
	kind := rapid.Custom(func(rt *rapid.T) int {
		// Jobs and ends of claims come more often than the rest.
		return rapid.SampledFrom(slices.Concat(slices.Repeat([]int{actSubmit}, 10), slices.Repeat([]int{actComplete}, 8), slices.Repeat([]int{actWait}, 4),
			[]int{actResubmit, actDisconnect, actProgress, actProgress, actCompleteAgain, actEndpoints, actEndpoints, actMigrate, actMigrate, actEvacuate, actRestore, actReplan, actShutdown})).Draw(rt, "kind")
	})
	n := rapid.IntRange(1, 80).Draw(rt, "acts")
	var script []act
	for range n {
		script = append(script, act{kind.Draw(rt, "act"), rapid.IntRange(0, 1<<12).Draw(rt, "a"), rapid.IntRange(0, 1<<12).Draw(rt, "b"), rapid.IntRange(0, 1<<12).Draw(rt, "c")})
	}
	withCells := rapid.Bool().Draw(rt, "cells")
	if broken, _ := playScript(t, script, withCells); len(broken) > 0 {
		rt.Fatalf("cells %v, script %v breaks:\n%v", withCells, script, broken)
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
