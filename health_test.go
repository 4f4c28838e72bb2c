package foxlift

import (
	"fmt"
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/health"
)

// A hung worker neither starts its jobs nor reports anything, so it would look free. It must get no new job once a
// start is overdue.
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
				t.Fatalf("job %d was sent to hung worker %s", id, a.Worker)
			}
			if a.Worker == healthy.Worker {
				h.advance(ms, started(a.ID, 0, a.Worker))
				h.advance(ms, outcome(a.ID, 0, a.Worker, Served))
			}
		}
	}
}

// A worker that fails every job at once always has the fewest jobs in flight: without ejection it would
// attract most of the traffic.
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
		t.Errorf("%d of 200 jobs were sent to failing worker w0, want 1 to 20", sentToFailing)
	}
}

// A worker is ejected by one failure of its trial job, and by errors whose moving rate passes the limit for an
// outlier.
func TestFailedTrialOrErrorRunEjects(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(1)...)
	w := h.d.workerOrder[0]
	w.setOutlier(func(s *health.OutlierState) { s.Trial = true })
	h.step(h.request(1, idempotent))
	h.wantActions(ActionSend, 1)
	h.advance(ms, outcome(1, 0, "w0", WorkerError))
	if w.outlier.State().PausedUntil <= h.now {
		t.Errorf("after a failed trial: paused until %d, want after %d", w.outlier.State().PausedUntil, h.now)
	}
	w.setOutlier(func(s *health.OutlierState) { s.PausedUntil, s.Trial = 0, false })
	for i := range 8 {
		w.setOutlier(func(s *health.OutlierState) { s.FailureRate = 0.1 * float64(i) })
		a := &attempt{job: &job{class: &h.d.classes[0]}, worker: w, slots: 1}
		h.d.recordOutcome(a, &Event{Code: WorkerError})
	}
	if w.outlier.State().PausedUntil <= h.now {
		t.Errorf("after 8 errors: paused until %d, want after %d", w.outlier.State().PausedUntil, h.now)
	}
}

// A worker that rejects jobs looks free by the dispatcher's own count, and would attract the next job. It must
// be paused, for longer after each rejection in a row.
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
		t.Errorf("backoff %d ns after one rejection and %d ns after four, want 0 < first < second", first, again)
	}
}

// One reset may be a fault of the connection. Three resets in a row are a fault of the worker and eject it.
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

// Each of many dispatchers sends to a worker too seldom to observe a run of errors, so the first error must eject
// the worker. With few dispatchers one error may be chance.
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
				t.Errorf("%d dispatchers, one error: ejected %v, want %v", dispatchers, !ejected, ejected)
			}
		})
	}
}

// A worker that starts each job in time and then fails it must stay on trial: if a start reset the backoff, the
// pauses between its trial jobs would not grow.
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
			t.Errorf("error %d: pause %d ns, want %d at least; backoff %d ns, want twice %d at least",
				id, pause, second, w.outlier.State().Backoff, previousBackoff)
		}
		previousBackoff = w.outlier.State().Backoff
	}
}
