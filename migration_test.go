package foxlift

import "testing"

// Tests of what a host with several dispatchers passes to them: jobs with the time that they have waited and
// their prior attempts at another dispatcher, workers with external slots, and quotas.

// A single active tenant far over its quota gets the idle capacity of the fleet, also if the dispatcher
// started without an endpoint list: the start window must not stay at 0.
func TestLoneTenantUsesAnIdleFleet(t *testing.T) {
	const arrivals, warmUp = 61, 10 // jobs per second, and seconds before the jobs are counted
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
				t.Errorf("%d of %d jobs sent after the first 10 s, want at least 95%%", sent, arrived)
			}
		})
	}
}

// The time that a job was queued at another dispatcher counts as queue time: the job is shed at the time at
// which the other dispatcher would have shed it.
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
		t.Errorf("shed at %v, by request ID: want request 2 100 to 200 ms before request 1", shedAt)
	}
}

// Attempts made by another dispatcher count towards MaxAttempts.
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

// A job is sent only to its allowed workers. While these are saturated, other jobs of its class overtake it.
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
				t.Fatalf("job %d sent to %s, want w2", id, a.Worker)
			}
		}
		full = len(h.actionsOf(ActionSend)) == 0
	}
	if !full {
		t.Fatalf("w2 accepted %d jobs, want it full before", id)
	}
	h.step(h.request(100, idempotent))
	if a := h.wantActions(ActionSend, 1)[0]; a.ID != 100 || a.Worker == "w2" {
		t.Errorf("Step() returned %+v, want job 100 sent to another worker than w2", a)
	}
	h.step(outcome(1, 0, "w2", Served))
	if a := h.wantActions(ActionSend, 1)[0]; a.ID != id {
		t.Errorf("job %d sent to the free slot, want %d", a.ID, id)
	}
}

// The external slots of a worker count as used until an update of the endpoint list changes them.
func TestExternalSlotsCount(t *testing.T) {
	workers := testWorkers(2)
	workers[0].ExternalSlots = 3
	h := newHarness(t, testConfig(), workers...)
	for id := range uint64(3) {
		h.step(h.request(id+1, atMostOnce))
		if a := h.wantActions(ActionSend, 1)[0]; a.Worker != "w1" {
			t.Errorf("job %d sent to %s, want w1: w0 has 3 external slots", id+1, a.Worker)
		}
	}
	workers[0].ExternalSlots = 0
	h.step(endpointsEvent(EndpointsDelta, workers[:1]...))
	h.step(h.request(9, atMostOnce))
	if a := h.wantActions(ActionSend, 1)[0]; a.Worker != "w0" {
		t.Errorf("job 9 sent to %s, want w0, which has no external slots any more", a.Worker)
	}
	if w := h.d.workers["w0"]; w.usedSlots != 1 || w.externalSlots != 0 {
		t.Errorf("w0 has %v used and %v external slots, want 1 and 0", w.usedSlots, w.externalSlots)
	}
}

// New quotas apply at once. A list of the wrong length is ignored.
func TestQuotasChange(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	h.step(Event{Kind: EventQuotas, Quotas: []float64{30, 0}})
	if a, b := tenantRate(h.d, 0), tenantRate(h.d, 1); a != 30 || b != 0 {
		t.Errorf("rates %v and %v, want 30 and 0", a, b)
	}
	h.step(Event{Kind: EventQuotas, Quotas: []float64{1}})
	if a := tenantRate(h.d, 0); a != 30 {
		t.Errorf("rate %v after a list of the wrong length, want 30", a)
	}
}

// After a takeover a dispatcher has few jobs of its own, at workers that are busy with those of the process
// before it. A late start there must not reduce the start window to twice the dispatcher's own slots, from
// which it would take minutes to recover.
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
		t.Errorf("start window %v after a late start with 25 slots in flight, want at least 98%% of %v", got, window)
	}
	for i := range workers {
		workers[i].ExternalSlots = 0
	}
	h.step(endpointsEvent(EndpointsDelta, workers...))
	if got := h.d.occupiedSlots(); got != 1 {
		t.Errorf("occupiedSlots() = %v without external slots, want 1", got)
	}
}
