package capacity

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// idleTickInterval is longer than the module's own tick interval, so that each step without events is a tick.
const idleTickInterval = 100 * time.Millisecond

const (
	lightClass = 0 // index in classes
	heavyClass = 1 // index in classes
)

// A hollowModule is a decision module on a virtual clock.
type hollowModule struct {
	*foxlift.Dispatcher
	now  int64  // virtual time in nanoseconds
	jobs uint64 // number of jobs so far, and the ID of the last one
}

// module returns a decision module that has the complete endpoint list.
func (d deployment) module() (*hollowModule, error) {
	settings, err := d.settings()
	if err != nil {
		return nil, err
	}
	dispatcher, err := foxlift.New(settings.Module, 1)
	if err != nil {
		return nil, err
	}
	h := &hollowModule{Dispatcher: dispatcher, now: int64(time.Second)}
	h.step(foxlift.Event{
		Kind:           foxlift.EventEndpoints,
		EndpointUpdate: foxlift.EndpointsComplete,
		Workers:        d.endpoints(),
	})
	return h, nil
}

// step advances the clock by a millisecond and runs a step of the module.
func (h *hollowModule) step(events ...foxlift.Event) []foxlift.Action {
	h.now += int64(time.Millisecond)
	return h.Step(h.now, events)
}

// idleTick advances the clock by idleTickInterval and runs a step without events.
func (h *hollowModule) idleTick() {
	h.now += int64(idleTickInterval)
	h.Step(h.now, nil)
}

// submitJob submits a job with a timeout and returns its first attempt. sent is false if the job was not sent at once.
func (h *hollowModule) submitJob(
	class, team int, key uint64, timeout time.Duration,
) (attempt foxlift.Action, sent bool) {
	h.jobs++
	actions := h.step(foxlift.Event{
		Kind: foxlift.EventRequest,
		Request: foxlift.Request{
			ID:       h.jobs,
			Class:    class,
			Tenant:   team,
			Key:      key,
			Deadline: h.now + int64(timeout),
		},
	})
	for _, action := range actions {
		if action.Kind == foxlift.ActionSend {
			return action, true
		}
	}
	return foxlift.Action{}, false
}

// runJob runs a light job from its arrival until it is served. It does nothing more with a job that is not sent at
// once.
func (h *hollowModule) runJob(team int, key uint64) {
	attempt, sent := h.submitJob(lightClass, team, key, 5*time.Second)
	if !sent {
		return
	}
	served := attemptStarted(attempt)
	served.Kind = foxlift.EventOutcome
	served.Code = foxlift.Served
	served.Ended = true
	served.Took = int64(time.Millisecond)
	h.step(attemptStarted(attempt), served)
}

// startTask submits a heavy task that starts and stays running. It reports whether the task was sent.
func (h *hollowModule) startTask(team int) bool {
	attempt, sent := h.submitJob(heavyClass, team, 0, time.Hour)
	if sent {
		h.step(attemptStarted(attempt))
	}
	return sent
}

// attemptStarted returns the event that reports the start of an attempt.
func attemptStarted(attempt foxlift.Action) foxlift.Event {
	return foxlift.Event{
		Kind:    foxlift.EventStarted,
		ID:      attempt.ID,
		Attempt: attempt.Attempt,
		Worker:  attempt.Worker,
	}
}

// updateWorker changes the state of worker i in the endpoint list.
func (h *hollowModule) updateWorker(i int, state foxlift.WorkerState) {
	w := hollowWorker(i)
	w.State = state
	h.step(foxlift.Event{
		Kind:           foxlift.EventEndpoints,
		EndpointUpdate: foxlift.EndpointsDelta,
		Workers:        []foxlift.Worker{w},
	})
}
