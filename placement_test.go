package foxlift

import (
	"math"
	"testing"
)

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

func TestPlacementPrefersIdleWorkers(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(3)...)
	workersUsed := map[string]bool{}
	h.step(h.request(1, atMostOnce), h.request(2, atMostOnce), h.request(3, atMostOnce))
	for _, a := range h.wantActions(ActionSend, 3) {
		workersUsed[a.Worker] = true
	}
	if len(workersUsed) != 3 {
		t.Errorf("three jobs on %d workers", len(workersUsed))
	}
}

func TestConcurrencyLimitLearnedFromSaturation(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	w := h.d.workerOrder[0]
	w.usedSlots = 3
	h.d.adjustCapacity(w, true)
	if w.limit.Slots() >= 3 {
		t.Errorf("limit %v after a rejection at 3", w.limit.Slots())
	}
	if m := h.d.limitSum.Mean(); m != w.limit.Slots() {
		t.Errorf("a new worker counts at %v, want %v", m, w.limit.Slots())
	}
}

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
		t.Errorf("sent to %s, the only worker of the kind is w3", a.Worker)
	}
}

// At two jobs a second nothing is known of a large fleet: the job waits for a health check.
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
		t.Errorf("sent to %s, not to the worker known to be free", a.Worker)
	}
	h.now += 5 * second
	h.step(h.request(2, idempotent))
	h.wantActions(ActionSend, 0)
	for range 4 { // no health check is answered: the wait is short all the same
		if h.advance(h.d.tickInterval, timerEvent(1)); len(h.actionsOf(ActionSend)) == 1 {
			return
		}
	}
	t.Error("the job waits for health checks that do not answer")
}

// An old load report must not keep a worker that was busy once unused for ever.
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
		t.Errorf("pressure %v when fresh and %v when old, want about 1 and 0.3", fresh, old)
	}
}

// A worker with an overdue start is at no level of the index.
func TestOverdueWorkerHasNoCapacity(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(1)...)
	w := h.d.workerOrder[0]
	w.overdue = 1
	if h.d.updateLevel(w); w.level >= 0 {
		t.Error("a worker with an overdue job may get more")
	}
	w.overdue = 0
	if h.d.updateLevel(w); w.level < 0 {
		t.Error("a worker heard of again gets nothing")
	}
}

// Shed jobs are no measure of capacity (incident if801ee), nor are jobs at workers in slow start.
func TestServedSlotsExcludeFailuresAndSlowStart(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	w := h.d.workerOrder[0]
	recordOutcome := func(c Code) {
		a := &attempt{job: &job{class: &h.d.classes[0], objective: 1}, worker: w, slots: 1}
		h.d.recordOutcome(a, &Event{Code: c, Took: second})
	}
	recordOutcome(Saturated)
	if servedSlots(h.d) != 0 {
		t.Error("a rejection counts as served")
	}
	recordOutcome(Served)
	if servedSlots(h.d) != 1 {
		t.Error("a served job does not count")
	}
	w.warmup.Restart(h.now)
	if recordOutcome(Served); servedSlots(h.d) != 1 {
		t.Error("a job of a worker in slow start counts")
	}
}

func TestNoHealthChecksInASaturatedFleet(t *testing.T) {
	cfg := testConfig()
	cfg.MayHealthCheck = true
	h := newHarness(t, cfg, testWorkers(20)...)
	setFleetPressure(h.d, 0.95)
	h.step(h.request(1, idempotent))
	h.wantActions(ActionHealthCheck, 0)
	h.wantActions(ActionSend, 1)
}

// maySend keeps the invariants of a send, whatever calls it.
func TestMaySend(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	w := h.d.workerOrder[0]
	j := &job{class: &h.d.classes[1], req: Request{Deadline: h.now + second}}
	if !h.d.maySend(j, w) {
		t.Fatal("a new job may not be sent")
	}
	j.mayHaveRun = &attempt{worker: w, sentAt: h.now, done: true, mayHaveRun: true}
	if h.d.maySend(j, w) {
		t.Error("an unsafe job that may have run may be sent")
	}
	j.mayHaveRun = nil
	for _, s := range []WorkerState{Draining, Removed} {
		if w.state = s; h.d.maySend(j, w) {
			t.Errorf("a job may be sent to a worker in state %d", s)
		}
	}
	w.state = Live
	if j.ended = true; h.d.maySend(j, w) {
		t.Error("a job that ended may be sent")
	}
	j.ended = false
	if h.now = j.req.Deadline; h.d.maySend(j, w) {
		h.step()
		if h.d.maySend(j, w) {
			t.Error("a job may be sent at its deadline")
		}
	}
}

// Jobs stay in their zone until a worker of another has four fewer of this dispatcher's jobs.
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
		t.Errorf("jobs by worker: %v", got)
	}
}
