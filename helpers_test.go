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
type rig struct {
	t   *testing.T
	d   *Dispatcher
	now int64
	out []Action
}

func newRig(t *testing.T, cfg Config, workers ...Worker) *rig {
	t.Helper()
	return newSeededRig(t, cfg, 1, workers...)
}

func newSeededRig(t *testing.T, cfg Config, seed uint64, workers ...Worker) *rig {
	t.Helper()
	d, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, d: d, now: 5 * second}
	r.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsCached, Workers: workers}, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta})
	return r
}

func (r *rig) step(events ...Event) []Action {
	r.out = append([]Action(nil), r.d.Step(r.now, events)...)
	return r.out
}

func (r *rig) after(dt int64, events ...Event) []Action {
	r.now += dt
	return r.step(events...)
}

// only returns the actions of one kind in the last step.
func (r *rig) only(k ActionKind) (as []Action) {
	for _, a := range r.out {
		if a.Kind == k {
			as = append(as, a)
		}
	}
	return as
}

func (r *rig) want(k ActionKind, n int) []Action {
	r.t.Helper()
	as := r.only(k)
	if len(as) != n {
		r.t.Fatalf("%d actions of kind %d, want %d: %+v", len(as), k, n, r.out)
	}
	return as
}

func (r *rig) request(id uint64, class int) Event {
	return Event{Kind: EventRequest, Request: Request{ID: id, Class: class, Deadline: r.now + 2*second}}
}

func outcome(id uint64, attempt int, w string, c Code) Event {
	return Event{Kind: EventOutcome, ID: id, Attempt: attempt, Worker: w, Code: c, Took: 50 * ms, Ended: c == Served}
}

func started(id uint64, attempt int, w string) Event {
	return Event{Kind: EventStarted, ID: id, Attempt: attempt, Worker: w}
}

func fleet(n int) (ws []Worker) {
	for i := range n {
		ws = append(ws, Worker{ID: fmt.Sprintf("w%d", i), Zone: i % 2, Kind: -1, Cell: i / 2})
	}
	return ws
}

// manyConfig is a fleet of 80 dispatchers.
func manyConfig() Config {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Gauges, cfg.MaxAttempts = 80, nil, 3
	return cfg
}

// keyed is a request for a job with a key.
func keyed(r *rig, id uint64, class int, key uint64) Event {
	e := r.request(id, class)
	e.Request.Key = key
	return e
}

// makeRare lets jobs with other keys have come, so that one more is a rare one's.
func makeRare(r *rig) {
	for key := uint64(1000); key < 1100; key++ {
		r.d.recentKeys.add(key)
	}
}
