package foxlift

import (
	"fmt"
	"testing"
)

const ms = int64(1e6)

// Classes of testConfig, by effect.
const (
	idempotent = iota
	atMostOnce
	deduplicated
)

// affinityKey is the key of the jobs that tests of affinity check.
const affinityKey = 7

// testClass returns a class with an objective of 100 ms. If the effect is Deduplicated, the workers of a cell
// drop repeats for a second.
func testClass(name string, effect Effect) Class {
	c := Class{
		Name: name, LatencyObjective: 100 * ms, ObjectiveStretch: 2, Deadline: 2000 * ms,
		Effect: effect, Kind: -1, PriorityWeight: 1,
	}
	if effect == Deduplicated {
		c.KeyTTL, c.Scope = 1000*ms, ScopeCell
	}
	return c
}

// testConfig returns the configuration of a single dispatcher with three classes and two tenants with equal
// quotas.
func testConfig() Config {
	return Config{
		Classes: []Class{
			idempotent:   testClass("read", Idempotent),
			atMostOnce:   testClass("order", AtMostOnce),
			deduplicated: testClass("keyed", Deduplicated),
		},
		Tenants:     []Tenant{{"a", 100}, {"b", 100}},
		Dispatchers: 1, MayCancel: true, MayHedge: true, MaxAttempts: 4, StartNotes: true,
		SlowStartCapacity: 0.2, SlowStartDuration: 20 * second, OverloadMultiple: 3, OverloadWindow: 2 * second,
		Gauges: []Gauge{GaugeFreeSlots}, MaxRetryAfter: 1000 * ms,
	}
}

// A harness has a dispatcher, its clock, and the actions of its last step.
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

// newSeededHarness returns a harness at time 5 s whose dispatcher has a cached list of workers and has received
// the first answer of discovery.
func newSeededHarness(t *testing.T, cfg Config, seed uint64, workers ...Worker) *harness {
	t.Helper()
	d, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, d: d, now: 5 * second}
	h.step(endpointsEvent(EndpointsCached, workers...), endpointsEvent(EndpointsDelta))
	return h
}

// step passes the events to the dispatcher at the current time and returns its actions.
func (h *harness) step(events ...Event) []Action {
	h.actions = append([]Action(nil), h.d.Step(h.now, events)...)
	return h.actions
}

// advance advances the clock by dt and calls step.
func (h *harness) advance(dt int64, events ...Event) []Action {
	h.now += dt
	return h.step(events...)
}

// actionsOf returns the actions of one kind in the last step.
func (h *harness) actionsOf(k ActionKind) (actions []Action) {
	for _, a := range h.actions {
		if a.Kind == k {
			actions = append(actions, a)
		}
	}
	return actions
}

// wantActions returns the actions of one kind in the last step, and fails unless there are n.
func (h *harness) wantActions(k ActionKind, n int) []Action {
	h.t.Helper()
	actions := h.actionsOf(k)
	if len(actions) != n {
		h.t.Fatalf("Step() returned %d actions of kind %d, want %d; all actions: %+v", len(actions), k, n, h.actions)
	}
	return actions
}

// request returns the arrival of a job of the first tenant with a deadline in two seconds.
func (h *harness) request(id uint64, class int) Event {
	return Event{Kind: EventRequest, Request: Request{ID: id, Class: class, Deadline: h.now + 2*second}}
}

// outcome returns the outcome of an attempt that took 50 ms. It is the final answer if it is Served.
func outcome(id uint64, attempt int, w string, c Code) Event {
	return Event{Kind: EventOutcome, ID: id, Attempt: attempt, Worker: w, Code: c, Took: 50 * ms, Ended: c == Served}
}

// endpointsEvent returns an update of the endpoint list.
func endpointsEvent(update EndpointUpdate, workers ...Worker) Event {
	return Event{Kind: EventEndpoints, EndpointUpdate: update, Workers: workers}
}

func timerEvent(token uint64) Event { return Event{Kind: EventTimer, Token: token} }

func disconnectEvent(id uint64) Event { return Event{Kind: EventClientDisconnected, ID: id} }

// started returns a worker's report that it has started an attempt.
func started(id uint64, attempt int, w string) Event {
	return Event{Kind: EventStarted, ID: id, Attempt: attempt, Worker: w}
}

// testWorkers returns n live workers, w0 to w(n-1), that alternate between two zones, in cells of two.
func testWorkers(n int) (workers []Worker) {
	for i := range n {
		workers = append(workers, Worker{ID: fmt.Sprintf("w%d", i), Zone: i % 2, Kind: -1, Cell: i / 2})
	}
	return workers
}

// manyConfig returns the configuration of a dispatcher in a fleet of 80, without load reports.
func manyConfig() Config {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Gauges, cfg.MaxAttempts = 80, nil, 3
	return cfg
}

// keyedRequest returns the arrival of a job with the affinity key.
func keyedRequest(h *harness, id uint64, class int) Event {
	e := h.request(id, class)
	e.Request.Key = affinityKey
	return e
}

// makeRare records a hundred other keys as recent, so that the affinity key is rare among them.
func makeRare(h *harness) {
	for key := uint64(1000); key < 1100; key++ {
		h.d.keys.keyLog.Add(key)
	}
}
