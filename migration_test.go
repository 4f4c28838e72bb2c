package foxlift

import "testing"

// What a host with several dispatchers passes between them: jobs with their queue time and prior
// attempts, workers with external slots, quotas.

// A lone tenant far past its quota gets the idle capacity, also where the dispatcher began without an
// endpoint list: the start window must not stay at 0.
func TestLoneTenantUsesAnIdleFleet(t *testing.T) {
	const arrivals, warmUp = 61, 10 // jobs a second, and seconds before they count
	for name, initial := range map[string][]Worker{"list known": testWorkers(8), "no list known": nil} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Tenants = []Tenant{{"lone", 2}, {"away", 100}}
			h := newHarness(t, cfg, initial...)
			h.step(endpointsEvent(EndpointsComplete, testWorkers(8)...))
			var running []Action
			arrived, sent := 0, 0
			for i := range uint64(15 * arrivals) {
				var events []Event
				for _, a := range running {
					events = append(events, started(a.ID, 0, a.Worker), outcome(a.ID, 0, a.Worker, Served))
				}
				events = append(events, h.request(i+1, idempotent))
				h.advance(second/arrivals, events...)
				running = h.actionsOf(ActionSend)
				if i >= warmUp*arrivals {
					arrived++
					sent += len(running)
				}
			}
			if sent < arrived*95/100 {
				t.Errorf("%d of %d jobs are sent after 10 s", sent, arrived)
			}
		})
	}
}

// The time that a job was queued at another dispatcher counts: it is shed when it would have been there.
func TestMigrationPreservesQueueTime(t *testing.T) {
	cfg := testConfig()
	h := newHarness(t, cfg) // no worker: every job is queued
	fresh, aged := h.request(1, idempotent), h.request(2, idempotent)
	aged.Request.Waited = 150 * ms
	aged.Request.Deadline = fresh.Request.Deadline - 150*ms
	h.step(fresh, aged)
	shedAt := map[uint64]int64{}
	for range 100 {
		h.advance(10 * ms)
		for _, a := range h.actionsOf(ActionShed) {
			shedAt[a.ID] = h.now
		}
	}
	if d := shedAt[1] - shedAt[2]; d < 100*ms || d > 200*ms {
		t.Errorf("shed at %v: want the aged one some 150 ms earlier", shedAt)
	}
}

// Attempts of another dispatcher count towards MaxAttempts.
func TestMigrationCountsPriorAttempts(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(4)...)
	e := h.request(1, idempotent)
	e.Request.PriorAttempts = 3 // of 4
	h.step(e)
	a := h.wantActions(ActionSend, 1)[0]
	h.advance(ms, outcome(1, 0, a.Worker, Unreachable))
	h.wantActions(ActionSend, 0)
	h.wantActions(ActionShed, 1)
	e = h.request(2, idempotent)
	e.Request.PriorAttempts = 4
	h.step(e)
	h.wantActions(ActionSend, 0)
}

// A job goes only to its allowed workers, and while these are saturated others of its class overtake it.
func TestConfinedJobsDoNotBlockTheirClass(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(4)...)
	id, full := uint64(0), false
	for !full && id < 40 {
		id++
		e := h.request(id, idempotent)
		e.Request.AllowedWorkers = []string{"w2"}
		h.step(e)
		for _, a := range h.actionsOf(ActionSend) {
			if a.Worker != "w2" {
				t.Fatalf("job %d goes to %s", id, a.Worker)
			}
		}
		full = len(h.actionsOf(ActionSend)) == 0
	}
	if !full {
		t.Fatal("the worker is never full")
	}
	h.step(h.request(100, idempotent))
	if a := h.wantActions(ActionSend, 1)[0]; a.ID != 100 || a.Worker == "w2" {
		t.Errorf("%+v", a)
	}
	h.step(outcome(1, 0, "w2", Served))
	if a := h.wantActions(ActionSend, 1)[0]; a.ID != id {
		t.Errorf("job %d follows, want %d", a.ID, id)
	}
}

// External slots of a worker count until an update of the endpoint list says that they are free.
func TestExternalSlotsCount(t *testing.T) {
	workers := testWorkers(2)
	workers[0].ExternalSlots = 3
	h := newHarness(t, testConfig(), workers...)
	for id := range uint64(3) {
		h.step(h.request(id+1, atMostOnce))
		if a := h.wantActions(ActionSend, 1)[0]; a.Worker != "w1" {
			t.Errorf("job %d goes to %s, which has 3 of others", id+1, a.Worker)
		}
	}
	workers[0].ExternalSlots = 0
	h.step(endpointsEvent(EndpointsDelta, workers[:1]...))
	h.step(h.request(9, atMostOnce))
	if a := h.wantActions(ActionSend, 1)[0]; a.Worker != "w0" {
		t.Errorf("then to %s", a.Worker)
	}
	if w := h.d.workers["w0"]; w.usedSlots != 1 || w.externalSlots != 0 {
		t.Errorf("%v slots, %v of others", w.usedSlots, w.externalSlots)
	}
}

// New quotas apply at once; a list of the wrong length changes nothing.
func TestQuotasChange(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	h.step(Event{Kind: EventQuotas, Quotas: []float64{30, 0}})
	if a, b := tenantRate(h.d, 0), tenantRate(h.d, 1); a != 30 || b != 0 {
		t.Errorf("rates %v and %v", a, b)
	}
	h.step(Event{Kind: EventQuotas, Quotas: []float64{1}})
	if a := tenantRate(h.d, 0); a != 30 {
		t.Errorf("rate %v", a)
	}
}

// After a takeover a dispatcher has few jobs of its own at workers that are busy with its predecessor's:
// a late start there must not shrink the start window to twice its own jobs, which takes minutes to undo.
func TestStartWindowCountsExternalSlots(t *testing.T) {
	workers := testWorkers(12)
	for i := range workers {
		workers[i].ExternalSlots = 2
	}
	h := newHarness(t, testConfig(), workers...)
	window := h.d.capacity.startWindow.Slots()
	h.step(h.request(1, idempotent))
	w := h.wantActions(ActionSend, 1)[0].Worker
	h.advance(50*ms, started(1, 0, w)) // late
	if got := h.d.capacity.startWindow.Slots(); got < window*0.98 {
		t.Errorf("a window of %v becomes %v with 25 jobs in flight", window, got)
	}
	for i := range workers {
		workers[i].ExternalSlots = 0
	}
	h.step(endpointsEvent(EndpointsDelta, workers...))
	if got := h.d.occupiedSlots(); got != 1 {
		t.Errorf("%v slots in flight once the other has none, want 1", got)
	}
}
