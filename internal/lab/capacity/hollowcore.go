package capacity

import (
	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// A hollowCore is a core without sockets: the attempts that it sends stay in flight until their end is reported.
type hollowCore struct {
	*core.Core
	barrier chan struct{}       // receives a value per answered job of awaitStep
	reports []func(core.Report) // report functions of the attempts that were sent
}

// core returns a started core that has the complete endpoint list.
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

// awaitStep returns when the core has processed all earlier calls. It submits two jobs in turn that are rejected: the
// first is answered while the core is reading the events of a step, the second in the next step.
func (h *hollowCore) awaitStep() {
	for range 2 {
		h.Accept(&core.Job{ID: "barrier", Class: "unknown", Client: barrierClient(h.barrier)})
		<-h.barrier
	}
}

// A barrierClient is the client of a job that is rejected at once. It signals the answer on its channel.
type barrierClient chan struct{}

// Answer implements core.Client.
func (b barrierClient) Answer(core.Answer) { b <- struct{}{} }

// Disconnected implements core.Client.
func (b barrierClient) Disconnected() bool { return false }

// updateWorker changes the state of worker i in the endpoint list and waits until the change is in force.
func (h *hollowCore) updateWorker(i int, state foxlift.WorkerState) {
	w := hollowWorker(i)
	w.State = state
	h.UpdateEndpoints(foxlift.EndpointsDelta, []foxlift.Worker{w})
	h.awaitStep()
}

// Send implements core.Workers. It records report and calls nothing: the attempt stays in flight.
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
