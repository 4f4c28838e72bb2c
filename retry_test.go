package foxlift

import (
	"fmt"
	"testing"
)

// An AtMostOnce job that may have run is neither sent again nor shed: the client must not retry it either.
func TestAtMostOnceFailsAfterItMayHaveRun(t *testing.T) {
	for _, c := range []Code{WorkerError, DeadlineExceeded, Reset, Cancelled} {
		t.Run(fmt.Sprint("code ", c), func(t *testing.T) {
			h := newHarness(t, testConfig(), testWorkers(3)...)
			h.step(h.request(1, atMostOnce))
			w := h.wantActions(ActionSend, 1)[0].Worker
			h.advance(10*ms, outcome(1, 0, w, c))
			h.wantActions(ActionFail, 1)
			h.wantActions(ActionSend, 0)
			h.wantActions(ActionShed, 0)
		})
	}
}

// An AtMostOnce job that has certainly not run is retried up to MaxAttempts and then shed.
func TestAtMostOnceRetriesWhenItNeverRan(t *testing.T) {
	for _, c := range []Code{Saturated, Unreachable, NotSent} {
		t.Run(fmt.Sprint("code ", c), func(t *testing.T) {
			h := newHarness(t, testConfig(), testWorkers(6)...)
			h.step(h.request(1, atMostOnce))
			for attempt := range 4 {
				w := h.wantActions(ActionSend, 1)[0].Worker
				h.advance(10*ms, outcome(1, attempt, w, c))
			}
			h.wantActions(ActionShed, 1) // no attempt is left
		})
	}
}

// A Deduplicated job that may have run is sent again only within its scope, and only until its KeyTTL is over.
func TestDeduplicatedRetryStaysInGroupAndTTL(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(8)...)
	h.step(h.request(1, deduplicated))
	first := h.wantActions(ActionSend, 1)[0].Worker
	h.advance(10*ms, outcome(1, 0, first, WorkerError))
	again := h.wantActions(ActionSend, 1)[0].Worker
	if again == first || h.d.workers[again].cell != h.d.workers[first].cell {
		t.Errorf("sent to %s of cell %d, then to %s of cell %d, want another worker of the same cell",
			first, h.d.workers[first].cell, again, h.d.workers[again].cell)
	}
	h.advance(1100*ms, outcome(1, 1, again, WorkerError))
	h.advance(200*ms, timerEvent(1))
	h.wantActions(ActionSend, 0) // the workers of the cell may have dropped its key
	for range 10 {
		if h.advance(100*ms, timerEvent(1)); len(h.actionsOf(ActionFail)) == 1 {
			return
		}
		h.wantActions(ActionShed, 0)
	}
	t.Error("no ActionFail within 1 s after the KeyTTL, want one")
}

// A Deduplicated job of ScopeAll may be shed even if it may have run: every worker drops the client's retry.
func TestDeduplicatedScopeAllMayBeShed(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].Scope = ScopeAll
	h := newHarness(t, cfg, testWorkers(1)...)
	h.step(h.request(1, deduplicated))
	w := h.wantActions(ActionSend, 1)[0].Worker
	h.advance(1900*ms, outcome(1, 0, w, WorkerError))
	h.advance(40 * ms)
	if len(h.actionsOf(ActionShed)) == 0 {
		h.advance(40 * ms)
	}
	h.wantActions(ActionShed, 1)
}

// An idempotent job at a hung worker is sent to another worker and cancelled at the first.
func TestIdempotentRetryAvoidsHungWorker(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	h.step(h.request(1, idempotent))
	first := h.wantActions(ActionSend, 1)[0].Worker
	for range 100 {
		if h.advance(10*ms, timerEvent(1)); len(h.actionsOf(ActionSend)) == 1 {
			break
		}
	}
	if a := h.wantActions(ActionSend, 1)[0]; a.Worker == first {
		t.Errorf("retry sent to %s, want another worker than the first", a.Worker)
	}
	h.wantActions(ActionCancel, 1)
}

// Cancelled jobs may keep running at their workers. Hedges have a budget, as without one the hedges of late
// jobs would make more jobs late.
func TestHedgeBudget(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(40)...)
	first, hedges := 0, 0
	for id := uint64(1); id <= 400; id++ {
		h.advance(5*ms, h.request(id, idempotent)) // no worker ever reports a start
		for _, a := range h.actionsOf(ActionSend) {
			if len(h.d.jobs.byID[a.ID].attempts) == 1 {
				first++
			} else {
				hedges++
			}
		}
		for _, w := range h.d.workerOrder {
			w.overdue = 0
			h.d.markPending(w)
		}
	}
	if first < 100 || float64(hedges) > maxHedgeBudget+hedgesPerSend*float64(first+hedges)+1 {
		t.Errorf("%d first sends, want at least 100; %d hedges, want at most %v", first, hedges,
			maxHedgeBudget+hedgesPerSend*float64(first+hedges)+1)
	}
}
