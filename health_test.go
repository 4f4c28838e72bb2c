package foxlift

import (
	"fmt"
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/health"
)

// A hung worker starts nothing and reports nothing; it must get no further job.
func TestHungWorkerGetsNoNewJobs(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	h.step(h.request(1, atMostOnce), h.request(2, atMostOnce))
	sent := h.wantActions(ActionSend, 2)
	hung, healthy := sent[0], sent[1]
	h.advance(2*ms, started(healthy.ID, 0, healthy.Worker))
	for id := uint64(10); id < 60; id++ {
		h.advance(20*ms, h.request(id, atMostOnce))
		for _, a := range h.actionsOf(ActionSend) {
			if a.Worker == hung.Worker && id > 25 {
				t.Fatalf("request %d sent to the hung worker", id)
			}
			if a.Worker == healthy.Worker {
				h.advance(ms, started(a.ID, 0, a.Worker))
				h.advance(ms, outcome(a.ID, 0, a.Worker, Served))
			}
		}
	}
}

// A worker that fails every job at once always has the fewest in flight; it must not attract the others.
func TestFastFailingWorkerIsEjected(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(5)...)
	sentToFailing := 0
	for id := uint64(1); id <= 200; id++ {
		h.advance(10*ms, h.request(id, atMostOnce))
		for _, a := range h.actionsOf(ActionSend) {
			h.advance(ms, started(a.ID, 0, a.Worker))
			if a.Worker == "w0" {
				sentToFailing++
				h.advance(ms, outcome(a.ID, 0, a.Worker, WorkerError))
			} else {
				h.advance(ms, outcome(a.ID, 0, a.Worker, Served))
			}
		}
	}
	if sentToFailing == 0 || sentToFailing > 20 {
		t.Errorf("%d of 200 jobs went to the erring worker", sentToFailing)
	}
}

func TestFailedTrialOrErrorRunEjects(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(1)...)
	w := h.d.workerOrder[0]
	w.setOutlier(func(s *health.OutlierState) { s.Trial = true })
	h.step(h.request(1, idempotent))
	h.wantActions(ActionSend, 1)
	h.advance(ms, outcome(1, 0, "w0", WorkerError))
	if w.outlier.State().PausedUntil <= h.now {
		t.Error("not ejected")
	}
	w.setOutlier(func(s *health.OutlierState) { s.PausedUntil, s.Trial = 0, false })
	for i := range 8 {
		w.setOutlier(func(s *health.OutlierState) { s.FailureRate = 0.1 * float64(i) })
		a := &attempt{job: &job{class: &h.d.classes[0]}, worker: w, slots: 1}
		h.d.recordOutcome(a, &Event{Code: WorkerError})
	}
	if w.outlier.State().PausedUntil <= h.now {
		t.Error("a run of errors does not eject it")
	}
}

// A worker that rejects jobs looks free by the dispatcher's count; it must not attract the next job.
func TestSaturationBackoffGrows(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(1)...)
	h.step(h.request(1, atMostOnce))
	h.advance(ms, outcome(1, 0, "w0", Saturated))
	first := h.d.workerOrder[0].outlier.State().PausedUntil - h.now
	h.step(h.request(2, atMostOnce))
	h.wantActions(ActionSend, 0)
	for range 3 {
		a := &attempt{job: &job{class: &h.d.classes[1]}, worker: h.d.workerOrder[0], slots: 1}
		h.d.recordOutcome(a, &Event{Code: Saturated})
	}
	if again := h.d.workerOrder[0].outlier.State().PausedUntil - h.now; first <= 0 || again <= first {
		t.Errorf("backed off for %d, after more rejections for %d", first, again)
	}
}

// One reset may be the connection's fault, a run of them is the worker's.
func TestResetsInARowEjectAWorker(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(1)...)
	for id := uint64(1); id <= 4; id++ {
		h.step(h.request(id, atMostOnce))
		if id == 4 {
			h.wantActions(ActionSend, 0)
			return
		}
		h.wantActions(ActionSend, 1)
		h.advance(5*ms, outcome(id, 0, "w0", Reset))
	}
}

// Each of many dispatchers sends to a worker too seldom to wait for a run of errors.
func TestManyDispatchersEjectAtTheFirstError(t *testing.T) {
	for dispatchers, ejected := range map[int]bool{80: true, 3: false} {
		t.Run(fmt.Sprintf("dispatchers=%d", dispatchers), func(t *testing.T) {
			cfg := manyConfig()
			cfg.Dispatchers = dispatchers
			h := newHarness(t, cfg, testWorkers(2)...)
			h.step(h.request(1, idempotent))
			a := h.wantActions(ActionSend, 1)[0]
			h.advance(ms, started(1, 0, a.Worker))
			h.advance(ms, outcome(1, 0, a.Worker, WorkerError))
			if w := h.d.workers[a.Worker]; (w.outlier.State().PausedUntil > h.now) != ejected {
				t.Errorf("%d dispatchers: ejected %v", dispatchers, !ejected)
			}
		})
	}
}

// A start is no sign of health where what started fails: the backoff goes on growing.
func TestStartsDoNotResetAFailingWorkersBackoff(t *testing.T) {
	h := newHarness(t, manyConfig(), testWorkers(1)...)
	w := h.d.workerOrder[0]
	previousBackoff := int64(0)
	for id := uint64(1); id <= 4; id++ {
		h.now = max(h.now, w.outlier.State().PausedUntil) + h.d.tickInterval
		h.step(h.request(id, idempotent))
		h.wantActions(ActionSend, 1)
		h.advance(ms, started(id, 0, w.id))
		h.advance(ms, outcome(id, 0, w.id, WorkerError))
		if pause := w.outlier.State().PausedUntil - h.now; pause < second || w.outlier.State().Backoff < 2*previousBackoff {
			t.Errorf("error %d: backed off for %d, backoff %d after %d", id, pause, w.outlier.State().Backoff, previousBackoff)
		}
		previousBackoff = w.outlier.State().Backoff
	}
}
