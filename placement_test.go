package foxlift

import (
	"math"
	"testing"
)

// Under light load each job must be sent in the step in which it arrives.
func TestLightLoadIsNotDelayed(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(4)...)
	for id := uint64(1); id < 200; id++ {
		actions := h.advance(20*ms, h.request(id, atMostOnce))
		if n := len(h.actionsOf(ActionSend)); n != 1 {
			t.Fatalf("request %d: %d sends, want 1: %+v", id, n, actions)
		}
		w := h.actionsOf(ActionSend)[0].Worker
		h.advance(2*ms, started(id, 0, w))
		h.advance(30*ms, outcome(id, 0, w, Served))
	}
}

// Jobs over a worker's limit must stay queued here until a job there has ended.
func TestLateBindingQueuesWithoutCapacity(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(1)...)
	h.d.workerOrder[0].limit.Restore(2, h.d.workerOrder[0].limit.Learned())
	h.step(h.request(1, atMostOnce), h.request(2, atMostOnce), h.request(3, atMostOnce))
	h.wantActions(ActionSend, 2)
	h.advance(3 * ms)
	h.wantActions(ActionSend, 0)
	h.advance(20*ms, outcome(1, 0, "w0", Served))
	if a := h.wantActions(ActionSend, 1)[0]; a.ID != 3 {
		t.Errorf("request %d sent, want 3", a.ID)
	}
}

// Jobs that arrive together must be spread over idle workers.
func TestPlacementPrefersIdleWorkers(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(3)...)
	workersUsed := map[string]bool{}
	h.step(h.request(1, atMostOnce), h.request(2, atMostOnce), h.request(3, atMostOnce))
	for _, a := range h.wantActions(ActionSend, 3) {
		workersUsed[a.Worker] = true
	}
	if len(workersUsed) != 3 {
		t.Errorf("three jobs sent to %d workers, want 3", len(workersUsed))
	}
}

// A rejection must lower the worker's concurrency limit and the limit that new workers start with.
func TestConcurrencyLimitLearnedFromSaturation(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	w := h.d.workerOrder[0]
	w.usedSlots = 3
	h.d.adjustCapacity(w, true)
	if w.limit.Slots() >= 3 {
		t.Errorf("limit %v after a rejection at 3 slots, want less than 3", w.limit.Slots())
	}
	if m := h.d.limitSum.Mean(); m != w.limit.Slots() {
		t.Errorf("mean limit %v, want the one learned limit %v", m, w.limit.Slots())
	}
}

// A class with a kind must be sent only to workers of that kind.
func TestPlacementMatchesKind(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].Kind = 1
	workers := testWorkers(4)
	for i := range workers {
		workers[i].Kind = i / 3
	}
	h := newHarness(t, cfg, workers...)
	h.step(h.request(1, atMostOnce))
	if a := h.wantActions(ActionSend, 1)[0]; a.Worker != "w3" {
		t.Errorf("job sent to %s, want w3, the only worker of the kind", a.Worker)
	}
}

// A dispatcher with few jobs has no recent reports of a large fleet. Its job must wait for health checks, go to the
// worker that reports free slots, and not wait long if the checks are not answered.
func TestQuietDispatcherChecksHealthFirst(t *testing.T) {
	cfg := testConfig()
	cfg.MayHealthCheck, cfg.Dispatchers = true, 2
	h := newHarness(t, cfg, testWorkers(20)...)
	setFleetPressure(h.d, 0.5)
	h.step(h.request(1, idempotent))
	h.wantActions(ActionSend, 0)
	probes := h.wantActions(ActionHealthCheck, 2)
	e := Event{Kind: EventHealthChecked, Worker: probes[1].Worker, Code: Served, HasLoad: true}
	e.Load[0] = 6
	h.advance(2*ms, e)
	if a := h.wantActions(ActionSend, 1)[0]; a.Worker != probes[1].Worker {
		t.Errorf("job sent to %s, want %s, which reports free slots", a.Worker, probes[1].Worker)
	}
	h.now += 5 * second
	h.step(h.request(2, idempotent))
	h.wantActions(ActionSend, 0)
	for range 4 { // no health check is answered, but the wait is short
		if h.advance(h.d.tickInterval, timerEvent(1)); len(h.actionsOf(ActionSend)) == 1 {
			return
		}
	}
	t.Error("the job is not sent within 4 ticks without answers to the health checks")
}

// A load report must lose weight with age, or a worker that was busy once is never used again.
func TestLoadReportsDecay(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(1)...)
	w := h.d.workerOrder[0]
	e := Event{Kind: EventHealthChecked, Worker: "w0", Code: Served, HasLoad: true}
	h.step(e) // no free slots
	setFleetPressure(h.d, 0.3)
	fresh := h.d.capacity.reports.Pressure(&w.report, 1, h.d.now)
	h.now += 20 * second
	h.step()
	if old := h.d.capacity.reports.Pressure(&w.report, 1, h.d.now); fresh < 0.9 || math.Abs(old-0.3) > 0.01 {
		t.Errorf("Pressure() = %v of a fresh and %v of an old report, want about 1 and 0.3", fresh, old)
	}
}

// A worker with an overdue start must be at no level of the free lists, until the job has started.
func TestOverdueWorkerHasNoCapacity(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(1)...)
	w := h.d.workerOrder[0]
	w.overdue = 1
	if h.d.updateLevel(w); w.level >= 0 {
		t.Errorf("level %d with an overdue job, want -1", w.level)
	}
	w.overdue = 0
	if h.d.updateLevel(w); w.level < 0 {
		t.Errorf("level %d without an overdue job, want at least 0", w.level)
	}
}

// Rejected jobs must not count as served capacity (incident if801ee), nor must jobs at workers in slow start.
func TestServedSlotsExcludeFailuresAndSlowStart(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	w := h.d.workerOrder[0]
	recordOutcome := func(c Code) {
		a := &attempt{job: &job{class: &h.d.classes[0], objective: 1}, worker: w, slots: 1}
		h.d.recordOutcome(a, &Event{Code: c, Took: second})
	}
	recordOutcome(Saturated)
	if servedSlots(h.d) != 0 {
		t.Errorf("servedSlots() = %v after a rejection, want 0", servedSlots(h.d))
	}
	recordOutcome(Served)
	if servedSlots(h.d) != 1 {
		t.Errorf("servedSlots() = %v after a served job, want 1", servedSlots(h.d))
	}
	w.warmup.Restart(h.now)
	if recordOutcome(Served); servedSlots(h.d) != 1 {
		t.Errorf("servedSlots() = %v after a job at a worker in slow start, want 1", servedSlots(h.d))
	}
}

// In a saturated fleet health checks find no free slots and only add work: the job must be sent without them.
func TestNoHealthChecksInASaturatedFleet(t *testing.T) {
	cfg := testConfig()
	cfg.MayHealthCheck = true
	h := newHarness(t, cfg, testWorkers(20)...)
	setFleetPressure(h.d, 0.95)
	h.step(h.request(1, idempotent))
	h.wantActions(ActionHealthCheck, 0)
	h.wantActions(ActionSend, 1)
}

// maySend must reject a send that breaks an invariant: one of a job that may have run, has ended or is past its
// deadline, or one to a worker that is not live.
func TestMaySend(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	w := h.d.workerOrder[0]
	j := &job{class: &h.d.classes[1], req: Request{Deadline: h.now + second}}
	if !h.d.maySend(j, w) {
		t.Fatal("maySend() = false for a new job, want true")
	}
	j.mayHaveRun = &attempt{worker: w, sentAt: h.now, done: true, mayHaveRun: true}
	if h.d.maySend(j, w) {
		t.Error("maySend() = true for an at-most-once job that may have run, want false")
	}
	j.mayHaveRun = nil
	for _, s := range []WorkerState{Draining, Removed} {
		if w.state = s; h.d.maySend(j, w) {
			t.Errorf("maySend() = true for a worker in state %d, want false", s)
		}
	}
	w.state = Live
	if j.ended = true; h.d.maySend(j, w) {
		t.Error("maySend() = true for a job that has ended, want false")
	}
	j.ended = false
	if h.now = j.req.Deadline; h.d.maySend(j, w) {
		h.step()
		if h.d.maySend(j, w) {
			t.Error("maySend() = true at the deadline, want false")
		}
	}
}

// Jobs must stay in their zone until a worker of another zone has four fewer of this dispatcher's jobs.
func TestCrossZonePriceCountsAsJobs(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.CrossZone = 0.1
	h := newHarness(t, cfg, testWorkers(2)...) // w0 in this zone
	for _, w := range h.d.workerOrder {
		w.limit.Restore(9, w.limit.Learned())
	}
	got := map[string]int{}
	for id := uint64(1); id <= 6; id++ {
		got[h.step(h.request(id, idempotent))[0].Worker]++
	}
	if got["w0"] != 5 || got["w1"] != 1 {
		t.Errorf("jobs by worker: %v, want 5 at w0 and 1 at w1", got)
	}
}
