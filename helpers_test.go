package foxlift

import (
	"fmt"
	"testing"
)

const ms = int64(1e6)

func testConfig() Config {
	return Config{
		Classes: []Class{
			{Name: "read", LatencyObjective: 100 * ms, ObjectiveStretch: 2, Deadline: 2000 * ms, Effect: Idempotent, Kind: -1, PriorityWeight: 1},
			{Name: "order", LatencyObjective: 100 * ms, ObjectiveStretch: 2, Deadline: 2000 * ms, Effect: AtMostOnce, Kind: -1, PriorityWeight: 1},
			{Name: "keyed", LatencyObjective: 100 * ms, ObjectiveStretch: 2, Deadline: 2000 * ms, Effect: Deduplicated, KeyTTL: 1000 * ms,
				Scope: ScopeCell, Kind: -1, PriorityWeight: 1},
		},
		Tenants:     []Tenant{{"a", 100}, {"b", 100}},
		Dispatchers: 1, MayCancel: true, MayHedge: true, MaxAttempts: 4, StartNotes: true,
		SlowStartCapacity: 0.2, SlowStartDuration: 20 * second, OverloadMultiple: 3, OverloadWindow: 2 * second,
		Gauges: []Gauge{GaugeFreeSlots}, MaxRetryAfter: 1000 * ms,
	}
}

// A rig is a dispatcher with a clock and the answers of one step at a time.
type harness struct {
	t       *testing.T
	d       *Dispatcher
	now     int64
	actions []Action
}

func newHarness(t *testing.T, cfg Config, workers ...Worker) *harness {
	t.Helper()
	return newSeededHarness(t, cfg, 1, workers...)
}

func newSeededHarness(t *testing.T, cfg Config, seed uint64, workers ...Worker) *harness {
	t.Helper()
	d, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, d: d, now: 5 * second}
	h.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsCached, Workers: workers}, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta})
	return h
}

func (h *harness) step(events ...Event) []Action {
	h.actions = append([]Action(nil), h.d.Step(h.now, events)...)
	return h.actions
}

func (h *harness) advance(dt int64, events ...Event) []Action {
	h.now += dt
	return h.step(events...)
}

// only returns the actions of one kind in the last step.
func (h *harness) actionsOf(k ActionKind) (actions []Action) {
	for _, a := range h.actions {
		if a.Kind == k {
			actions = append(actions, a)
		}
	}
	return actions
}

func (h *harness) wantActions(k ActionKind, n int) []Action {
	h.t.Helper()
	actions := h.actionsOf(k)
	if len(actions) != n {
		h.t.Fatalf("%d actions of kind %d, want %d: %+v", len(actions), k, n, h.actions)
	}
	return actions
}

func (h *harness) request(id uint64, class int) Event {
	return Event{Kind: EventRequest, Request: Request{ID: id, Class: class, Deadline: h.now + 2*second}}
}

func outcome(id uint64, attempt int, w string, c Code) Event {
	return Event{Kind: EventOutcome, ID: id, Attempt: attempt, Worker: w, Code: c, Took: 50 * ms, Ended: c == Served}
}

func started(id uint64, attempt int, w string) Event {
	return Event{Kind: EventStarted, ID: id, Attempt: attempt, Worker: w}
}

func testWorkers(n int) (workers []Worker) {
	for i := range n {
		workers = append(workers, Worker{ID: fmt.Sprintf("w%d", i), Zone: i % 2, Kind: -1, Cell: i / 2})
	}
	return workers
}

// manyConfig is a fleet of 80 dispatchers.
func manyConfig() Config {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Gauges, cfg.MaxAttempts = 80, nil, 3
	return cfg
}

// keyed is a request for a job with a key.
func keyedRequest(h *harness, id uint64, class int, key uint64) Event {
	e := h.request(id, class)
	e.Request.Key = key
	return e
}

// makeRare lets jobs with other keys have come, so that one more is a rare one's.
func makeRare(h *harness) {
	for key := uint64(1000); key < 1100; key++ {
		h.d.recentKeys.add(key)
	}
}
