package foxlift

import "testing"

func TestDrainStopsAtOnce(t *testing.T) {
	for _, state := range []WorkerState{Draining, Removed} {
		r := newRig(t, testConfig(), fleet(1)...)
		w := fleet(1)[0]
		w.State = state
		r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: []Worker{w}}, r.request(1, 0))
		r.want(ActionSend, 0)
	}
	r := newRig(t, testConfig(), fleet(2)...)
	r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: fleet(1)}, r.request(1, 0), r.request(2, 0))
	for _, a := range r.only(ActionSend) {
		if a.Worker != "w0" {
			t.Errorf("sent to %s, which the whole list lacks", a.Worker)
		}
	}
}

func TestListAsksBackOffButNotPastTheLimit(t *testing.T) {
	cfg := testConfig()
	cfg.PollEndpoints, cfg.MaxPollInterval = true, 8*second
	r := newRig(t, cfg, fleet(1)...)
	last, asks := r.now, 0
	for r.now < 120*second {
		r.after(50*ms, Event{Kind: EventTimer, Token: 1})
		if len(r.only(ActionWatchEndpoints)) == 0 {
			continue
		}
		asks++
		if gap := r.now - last; gap > cfg.MaxPollInterval {
			t.Fatalf("%d ns between asks, at most %d", gap, cfg.MaxPollInterval)
		}
		last = r.now
		r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsPollFailed})
	}
	if asks < 15 || asks > 100 {
		t.Errorf("%d asks in two minutes of failures", asks)
	}
	r.after(8*second, Event{Kind: EventTimer, Token: 1})
	r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta})
	for range 100 {
		r.after(100*ms, Event{Kind: EventTimer, Token: 1})
		r.want(ActionWatchEndpoints, 0)
	}
}

// Workers that are gone are dropped after a while, and not before nothing is out there.
func TestGoneWorkersAreForgotten(t *testing.T) {
	r := newRig(t, manyConfig(), fleet(3)...)
	r.step(r.request(1, 1))
	busy := r.want(ActionSend, 1)[0].Worker
	r.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: []Worker{{ID: "new"}}})
	for _, c := range []struct {
		after int64
		left  int
	}{{removedRetention - 2*second, 4}, {4 * second, 2}} {
		for end := r.now + c.after; r.now < end; {
			r.after(second)
		}
		if len(r.d.workerOrder) != c.left || len(r.d.workers) != c.left {
			t.Errorf("after %d s %d workers, want %d", (r.now-5*second)/second, len(r.d.workerOrder), c.left)
		}
	}
	r.step(outcome(1, 0, busy, Reset))
	r.after(2 * second)
	if r.d.workers[busy] != nil || len(r.d.workerOrder) != 1 {
		t.Errorf("%d workers, want the new one", len(r.d.workerOrder))
	}
}
