package core

import (
	"context"
	"fmt"
	"time"

	"github.com/vatu-meals/foxlift"
)

// worker returns the live worker with index i.
func (env *modelEnvironment) worker(i int, startedAt int64) foxlift.Worker {
	return foxlift.Worker{ID: fmt.Sprint("n", i), Zone: i % 2, Kind: i % 2, Cell: i / 2, StartedAt: startedAt}
}

// perform executes one action of a script. Errors of operator calls are ignored, because some calls name a cell
// that does not exist or happen during a shutdown.
func (env *modelEnvironment) perform(a scriptAction) {
	ctx := context.Background()
	switch a.kind {
	case actionSubmit, actionResubmit:
		env.submit(a)
	case actionDisconnect:
		if len(env.jobs) > 0 {
			env.core.ClientDisconnected(env.jobs[a.a%len(env.jobs)].Job)
		}
	case actionComplete, actionProgress, actionRepeatedCompletion:
		env.report(a)
	case actionEndpoints:
		env.updateEndpoints(a)
	case actionWait:
		time.Sleep(modelWaits[a.a%len(modelWaits)])
	case actionMigrate:
		_, _ = env.core.MigrateTenant(ctx, modelTenants[a.a%3], []string{"a", "b", "c", "nowhere"}[a.b%4])
	case actionEvacuate:
		_, _ = env.core.Evacuate(ctx, []string{"a", "b", "c"}[a.a%3])
	case actionRestore:
		_, _ = env.core.RestorePlacement(ctx, "", "")
	case actionReplan:
		if plan, faults := env.core.settings.PlanCells(modelPlans()[a.a%3]); faults == nil {
			_, _ = env.core.Replan(ctx, plan)
		}
	case actionShutdown:
		if a.a%4 == 0 { // otherwise nearly every script would shut down early
			env.core.BeginShutdown(time.Duration(a.b%4) * time.Second)
		}
	}
}

var modelWaits = []time.Duration{
	time.Millisecond, 30 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second,
}

var modelRemaining = []time.Duration{5 * time.Second, 20 * time.Millisecond, time.Second, 0}

// submit submits a job, with the id of an earlier one for actionResubmit.
func (env *modelEnvironment) submit(a scriptAction) {
	id := fmt.Sprint("j", len(env.jobs))
	if a.kind == actionResubmit && len(env.jobs) > 0 {
		id = env.jobs[a.a%len(env.jobs)].ID
	}
	j := &modelJob{env: env, submittedAt: env.now()}
	j.Job = &Job{
		ID: id, Class: modelClasses[a.a%3], Tenant: modelTenants[a.b%3],
		HasIdempotencyKey: a.a%3 != 2 || a.c%8 != 7, Key: uint64(a.c % 4),
		ArrivedAt: env.core.clock.Now(), Remaining: modelRemaining[a.c%len(modelRemaining)],
		Slots: float64(a.b % 3), ClientRetry: a.c%5 == 0, Client: j,
	}
	env.jobs = append(env.jobs, j)
	env.core.Accept(j.Job)
}

var modelCodes = []foxlift.Code{
	foxlift.Served, foxlift.Served, foxlift.Served, foxlift.WorkerError, foxlift.Saturated, foxlift.DeadlineExceeded,
	foxlift.Unreachable, foxlift.Reset, foxlift.NotSent,
}

// report makes a worker report on an attempt.
func (env *modelEnvironment) report(a scriptAction) {
	if attempt, r := env.chooseReport(a); attempt != nil {
		attempt.report(r)
	}
}

// chooseReport returns the attempt and the report that an action selects; nil if there is no such attempt.
func (env *modelEnvironment) chooseReport(a scriptAction) (*modelAttempt, Report) {
	env.mu.Lock()
	defer env.mu.Unlock()
	var inFlight, ended []*modelAttempt
	for _, attempt := range env.attempts {
		if attempt.ended {
			ended = append(ended, attempt)
		} else {
			inFlight = append(inFlight, attempt)
		}
	}
	final := Report{Ended: true, Code: modelCodes[a.b%len(modelCodes)], Result: []byte("r")}
	switch {
	case a.kind == actionComplete && len(inFlight) > 0:
		attempt := inFlight[a.a%len(inFlight)]
		attempt.end(final.Code, a.c%2 == 0 || final.Code == foxlift.Served)
		return attempt, final
	case a.kind == actionRepeatedCompletion && len(ended) > 0: // late, and perhaps another outcome than the first
		return ended[a.a%len(ended)], final
	case a.kind == actionProgress && len(env.attempts) > 0:
		return env.attempts[a.a%len(env.attempts)], Report{Progress: a.b%2 == 0}
	}
	return nil, Report{}
}

// cellOf returns the index of a worker's cell; false if the worker is in no cell.
func (env *modelEnvironment) cellOf(worker string) (int, bool) {
	if p := env.core.placement.Load(); p != nil {
		return p.layout.WorkerCell(worker)
	}
	return 0, false
}

// updateEndpoints reports a delta, a complete list or a failed poll of discovery.
func (env *modelEnvironment) updateEndpoints(a scriptAction) {
	kind := []foxlift.EndpointUpdate{
		foxlift.EndpointsDelta, foxlift.EndpointsComplete, foxlift.EndpointsPollFailed,
	}[a.a%3]
	env.mu.Lock()
	var workers []foxlift.Worker
	if kind != foxlift.EndpointsPollFailed {
		workers = env.selectWorkers(a)
	}
	env.recordLiveness(kind, workers)
	env.mu.Unlock()
	env.core.UpdateEndpoints(kind, workers)
}

// selectWorkers returns the workers of an update, in the states that an action selects.
func (env *modelEnvironment) selectWorkers(a scriptAction) (workers []foxlift.Worker) {
	for i := range modelWorkers {
		if a.b%3 == 0 && i%2 == 0 { // the update has only the workers with odd indexes
			continue
		}
		worker := env.worker(i, 0)
		worker.State = foxlift.WorkerState(min(2, (a.c>>(2*i))&3))
		if worker.State == foxlift.Removed && a.c%2 == 0 {
			worker.State = foxlift.Live
		}
		if cell, ok := env.cellOf(worker.ID); a.a%7 == i || a.a%7 == 6 && ok && cell == 0 {
			worker.StartedAt = env.core.clock.Now() // the worker has restarted, or all workers of cell 0 have
		}
		workers = append(workers, worker)
	}
	return workers
}

// recordLiveness records since when each worker has not been live.
func (env *modelEnvironment) recordLiveness(kind foxlift.EndpointUpdate, workers []foxlift.Worker) {
	live := map[string]bool{}
	for i := range workers {
		live[workers[i].ID] = workers[i].State == foxlift.Live
	}
	for i := range modelWorkers {
		id := fmt.Sprint("n", i)
		isLive, isNamed := live[id]
		if !isNamed && kind != foxlift.EndpointsComplete {
			continue
		}
		if isLive {
			delete(env.notLiveSince, id)
		} else if _, ok := env.notLiveSince[id]; !ok {
			env.notLiveSince[id] = time.Now()
		}
	}
}
