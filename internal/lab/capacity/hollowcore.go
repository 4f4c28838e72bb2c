package capacity

import (
	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// A hollowCore is a core without sockets: jobs that it sends stay in flight until they are ended.
type hollowCore struct {
	*core.Core
	barrier chan struct{}
	reports []func(core.Report) // of the attempts that were sent
}

// core returns a started core that knows the complete endpoint list.
func (d deployment) core() (*hollowCore, error) {
	s, err := d.settings()
	if err != nil {
		return nil, err
	}
	c, err := core.New(core.Config{Settings: s, Seed: 1, Clock: core.NewClock(), Counters: &counters.Set{}})
	if err != nil {
		return nil, err
	}
	h := &hollowCore{Core: c, barrier: make(chan struct{})}
	c.Start(core.Environment{
		Workers: h, EndpointWatch: h, MaxOpen: TargetTasks, CachedEndpoints: d.endpoints(),
	})
	h.awaitStep()
	return h, nil
}

// awaitStep returns when the core has done all that was asked of it before. The first answer comes
// while the events of a step are taken in, the second in the next step.
func (h *hollowCore) awaitStep() {
	for range 2 {
		h.Accept(&core.Job{ID: "barrier", Class: "unknown", Client: barrierClient(h.barrier)})
		<-h.barrier
	}
}

// A barrierClient is the client of a job that is rejected at once.
type barrierClient chan struct{}

// Answer implements core.Client.
func (b barrierClient) Answer(core.Answer) { b <- struct{}{} }

// Disconnected implements core.Client.
func (b barrierClient) Disconnected() bool { return false }

// updateWorker brings a change of the endpoint list and waits until it is in force.
func (h *hollowCore) updateWorker(i int, state foxlift.WorkerState) {
	w := hollowWorker(i)
	w.State = state
	h.UpdateEndpoints(foxlift.EndpointsDelta, []foxlift.Worker{w})
	h.awaitStep()
}

// Send implements core.Workers: the job starts and goes on running.
func (h *hollowCore) Send(_ string, _ *core.Job, _ core.AttemptLimits, report func(core.Report)) func() {
	h.reports = append(h.reports, report)
	return func() {}
}

// CloseIdle implements core.Workers.
func (h *hollowCore) CloseIdle(string) {}

// HealthCheck implements core.Workers.
func (h *hollowCore) HealthCheck(string, func(core.Report)) {}

// Watch implements core.EndpointWatch.
func (h *hollowCore) Watch() {}
