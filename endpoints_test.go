package foxlift

import "testing"

// No job may be sent to a worker that drains, was removed or is missing in a complete list.
func TestDrainingWorkerGetsNothingNew(t *testing.T) {
	for _, state := range []WorkerState{Draining, Removed} {
		h := newHarness(t, testConfig(), testWorkers(1)...)
		w := testWorkers(1)[0]
		w.State = state
		h.advance(ms, endpointsEvent(EndpointsDelta, w), h.request(1, idempotent))
		h.wantActions(ActionSend, 0)
	}
	h := newHarness(t, testConfig(), testWorkers(2)...)
	h.advance(ms, endpointsEvent(EndpointsComplete, testWorkers(1)...), h.request(1, idempotent), h.request(2, idempotent))
	for _, a := range h.actionsOf(ActionSend) {
		if a.Worker != "w0" {
			t.Errorf("job %d sent to %s, want w0, the only worker of the complete list", a.ID, a.Worker)
		}
	}
}

// Failed polls must be repeated at least every MaxPollInterval, but not in a tight loop. After an answer there are
// no polls.
func TestEndpointPollBackoffIsBounded(t *testing.T) {
	cfg := testConfig()
	cfg.PollEndpoints, cfg.MaxPollInterval = true, 8*second
	h := newHarness(t, cfg, testWorkers(1)...)
	last, polls := h.now, 0
	for h.now < 120*second {
		h.advance(50*ms, timerEvent(1))
		if len(h.actionsOf(ActionWatchEndpoints)) == 0 {
			continue
		}
		polls++
		if gap := h.now - last; gap > cfg.MaxPollInterval {
			t.Fatalf("%d ns between polls, want at most %d", gap, cfg.MaxPollInterval)
		}
		last = h.now
		h.advance(ms, endpointsEvent(EndpointsPollFailed))
	}
	if polls < 15 || polls > 100 {
		t.Errorf("%d polls in two minutes of failures, want 15 to 100", polls)
	}
	h.advance(8*second, timerEvent(1))
	h.advance(ms, endpointsEvent(EndpointsDelta))
	for range 100 {
		h.advance(100*ms, timerEvent(1))
		h.wantActions(ActionWatchEndpoints, 0)
	}
}

// Removed workers must be deleted after removedRetention, but not while they have jobs in flight.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	h := newHarness(t, manyConfig(), testWorkers(3)...)
	h.step(h.request(1, atMostOnce))
	busy := h.wantActions(ActionSend, 1)[0].Worker
	h.step(endpointsEvent(EndpointsComplete, Worker{ID: "new"}))
	for _, c := range []struct {
		after       int64
		wantWorkers int
	}{{removedRetention - 2*second, 4}, {4 * second, 2}} {
		for end := h.now + c.after; h.now < end; {
			h.advance(second)
		}
		if len(h.d.workerOrder) != c.wantWorkers || len(h.d.workers) != c.wantWorkers {
			t.Errorf("%d s after the start there are %d workers, want %d", (h.now-5*second)/second, len(h.d.workerOrder),
				c.wantWorkers)
		}
	}
	h.step(outcome(1, 0, busy, Reset))
	h.advance(2 * second)
	if h.d.workers[busy] != nil || len(h.d.workerOrder) != 1 {
		t.Errorf("%d workers after the outcome of the last job, want only the new one", len(h.d.workerOrder))
	}
}
