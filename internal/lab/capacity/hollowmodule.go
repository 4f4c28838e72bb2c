package capacity

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// idleTickInterval is longer than the module's own, so that each step with nothing to do is a tick.
const idleTickInterval = 100 * time.Millisecond

const (
	lightClass = 0 // in classes
	heavyClass = 1
)

// A hollowModule is a decision module on a virtual clock.
type hollowModule struct {
	*foxlift.Dispatcher
	now  int64
	jobs uint64 // so far; the last one's id
}

// module returns a module that knows the complete endpoint list.
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

// step is a step of the module a millisecond later.
func (h *hollowModule) step(events ...foxlift.Event) []foxlift.Action {
	h.now += int64(time.Millisecond)
	return h.Step(h.now, events)
}

// idleTick is a tick with nothing to do.
func (h *hollowModule) idleTick() {
	h.now += int64(idleTickInterval)
	h.Step(h.now, nil)
}

// request brings a job and reports its first attempt, if it is sent at once.
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

// runJob is a light job's whole life: it comes, is sent, starts and is served.
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

// startTask brings a heavy task that starts and runs on. It reports whether it was sent.
func (h *hollowModule) startTask(team int) bool {
	attempt, sent := h.submitJob(heavyClass, team, 0, time.Hour)
	if sent {
		h.step(attemptStarted(attempt))
	}
	return sent
}

// startedEvent tells that an attempt has started.
func attemptStarted(attempt foxlift.Action) foxlift.Event {
	return foxlift.Event{
		Kind:    foxlift.EventStarted,
		ID:      attempt.ID,
		Attempt: attempt.Attempt,
		Worker:  attempt.Worker,
	}
}

// updateWorker lets a worker drain, or come back.
func (h *hollowModule) updateWorker(i int, state foxlift.WorkerState) {
	w := hollowWorker(i)
	w.State = state
	h.step(foxlift.Event{
		Kind:           foxlift.EventEndpoints,
		EndpointUpdate: foxlift.EndpointsDelta,
		Workers:        []foxlift.Worker{w},
	})
}
