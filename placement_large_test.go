package foxlift

import (
	"fmt"
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/health"
)

// An unstarted job must stay at its worker for as long as a start may take, whatever the number of dispatchers and
// in slow start too. A worker may run a cancelled job nevertheless, so each move may waste work.
func TestUnstartedJobsStayAtTheirWorker(t *testing.T) {
	for _, dispatchers := range []int{3, 80} {
		for _, startedAt := range []int64{0, 4 * second} {
			cfg := manyConfig()
			cfg.Dispatchers = dispatchers
			workers := testWorkers(8)
			for i := range workers {
				workers[i].StartedAt = startedAt
			}
			h := newHarness(t, cfg, workers...)
			setPeakRate(h.d, 1)
			for _, w := range h.d.workerOrder {
				w.clearSlowStartWork() // the first send is not delayed
			}
			h.advance(h.d.tickInterval)
			h.step(h.request(1, idempotent))
			h.wantActions(ActionSend, 1)
			for end := h.now + h.d.jobs.byID[1].objective/4; h.now < end-ms; {
				h.advance(ms)
				h.wantActions(ActionSend, 0)
				h.wantActions(ActionCancel, 0)
			}
		}
	}
}

// A start must count as late only by its time over the minimum delay of its path. The handshake with another zone
// may take longer than a job may wait, and does not show a queue.
func TestLateStartAllowsForThePath(t *testing.T) {
	cfg := manyConfig()
	workers := testWorkers(8)
	for i := range workers {
		workers[i].Zone = 1 - cfg.Zone
	}
	h := newHarness(t, cfg, workers...)
	for id := uint64(1); id <= 2; id++ {
		h.step(h.request(id, idempotent))
		sent := h.wantActions(ActionSend, 1)[0]
		h.advance(40*ms, started(id, 0, sent.Worker)) // 3 ticks
		if got := h.d.capacity.startDelays.Min()[h.d.jobs.byID[id].attempts[0].path]; got != 40*ms {
			t.Errorf("minimum delay %d of the path, want %d", got, 40*ms)
		}
		outlier := h.d.workers[sent.Worker].outlier.State()
		if outlier.PromptStartAt == 0 || outlier.LastFaultAt != 0 || h.d.capacity.startWindow.Slots() < 1 {
			t.Errorf("after a start within the path's delay: %+v, start window %v, want no fault and at least 1", outlier,
				h.d.capacity.startWindow.Slots())
		}
		h.advance(ms, outcome(id, 0, sent.Worker, Served))
	}
	h.d.capacity.startDelays.Restore(h.d.capacity.startDelays.Mean(), [4]int64{40 * ms, 40 * ms, 40 * ms, 40 * ms})
	h.step(h.request(3, idempotent))
	sent := h.wantActions(ActionSend, 1)[0]
	h.advance(70*ms, started(3, 0, sent.Worker))
	if w := h.d.workers[sent.Worker]; w.outlier.State().LastFaultAt != h.now {
		t.Errorf("LastFaultAt = %d after a start 30 ms past the path's delay, want %d", w.outlier.State().LastFaultAt, h.now)
	}
}

// Jobs that cannot be moved must stay queued while two of them are unstarted at workers. Jobs that can be moved are
// sent.
func TestManyDispatchersBoundUnstartedJobs(t *testing.T) {
	h := newHarness(t, manyConfig(), testWorkers(60)...)
	h.step(h.request(1, atMostOnce), h.request(2, atMostOnce), h.request(3, atMostOnce), h.request(4, idempotent))
	sent := h.wantActions(ActionSend, 3)
	for _, a := range sent {
		if a.ID == 3 {
			t.Error("job 3 is sent while jobs 1 and 2 are unstarted")
		}
	}
	h.advance(ms, started(1, 0, h.d.jobs.byID[1].attempts[0].worker.id))
	if a := h.wantActions(ActionSend, 1)[0]; a.ID != 3 {
		t.Errorf("job %d sent after job 1 has started, want 3", a.ID)
	}
}

// A job that cannot be moved must go to the worker that has just started one promptly, although that worker still
// runs it: other workers may hang.
func TestAtMostOncePrefersAWorkerThatStartedAJob(t *testing.T) {
	workers := testWorkers(10)
	for i := range workers {
		workers[i].Zone = 0
	}
	h := newHarness(t, manyConfig(), workers...)
	h.step(h.request(1, idempotent))
	proven := h.wantActions(ActionSend, 1)[0].Worker
	h.advance(ms, started(1, 0, proven))
	h.advance(10*ms, h.request(2, atMostOnce))
	if a := h.wantActions(ActionSend, 1)[0]; a.Worker != proven {
		t.Errorf("job 2 sent to %s, want %s, which started job 1 promptly", a.Worker, proven)
	}
}

// Each of many dispatchers samples a small part of the workers. A worker that has just served one of its jobs has a
// free slot and an open connection, so it must be examined even if it is not in the sample.
func TestManyDispatchersReuseAFreedSlot(t *testing.T) {
	for dispatchers, minReuses := range map[int]int{80: 15, 3: 0} {
		t.Run(fmt.Sprintf("dispatchers=%d", dispatchers), func(t *testing.T) {
			cfg := manyConfig()
			cfg.Dispatchers, cfg.StartNotes = dispatchers, false
			cfg.Prices.Handshake = 0.02
			h := newHarness(t, cfg, testWorkers(200)...)
			last, reuses := "", 0
			for id := uint64(1); id <= 20; id++ {
				h.advance(ms, h.request(id, idempotent))
				a := h.wantActions(ActionSend, 1)[0]
				if a.Worker == last {
					reuses++
				}
				last = a.Worker
				h.advance(ms, outcome(id, a.Attempt, a.Worker, Served))
			}
			if reuses < minReuses || dispatchers <= 4 && reuses > 10 {
				t.Errorf("%d of 20 jobs sent to the worker of the last job, want at least %d, and at most 10 with few dispatchers",
					reuses, minReuses)
			}
		})
	}
}

// Workers must be preferred by their reaction to the last job: first by the newest prompt start, then unproven
// workers, then a saturated one.
func TestManyDispatchersPreferPromptWorkers(t *testing.T) {
	h := newHarness(t, manyConfig(), testWorkers(4)...)
	prompt, unproven, faulty, stalePrompt := h.d.workerOrder[0], h.d.workerOrder[1], h.d.workerOrder[2], h.d.workerOrder[3]
	prompt.setOutlier(func(s *health.OutlierState) { s.PromptStartAt = h.now })
	faulty.setOutlier(func(s *health.OutlierState) { s.LastFaultAt = h.now })
	stalePrompt.setOutlier(func(s *health.OutlierState) { s.PromptStartAt = h.now })
	h.now += 20 * second
	h.step()
	prompt.setOutlier(func(s *health.OutlierState) { s.PromptStartAt = h.now })
	faulty.setOutlier(func(s *health.OutlierState) { s.PromptStartAt = h.now - 30*second })
	order := []*worker{prompt, stalePrompt, unproven, faulty}
	for i, w := range order[1:] {
		if d := order[i].outlier.Cost(h.d.now); d >= w.outlier.Cost(h.d.now) {
			t.Errorf("Cost() = %.2f of %s, want less than %.2f of %s", d, order[i].id, w.outlier.Cost(h.d.now), w.id)
		}
	}
	for id, w := range order {
		h.step(h.request(uint64(id+1), atMostOnce))
		if a := h.actionsOf(ActionSend); len(a) == 1 && a[0].Worker != w.id {
			t.Errorf("job %d sent to %s, want %s", id+1, a[0].Worker, w.id)
		}
		h.step(outcome(uint64(id+1), 0, w.id, Saturated))
	}
}

// Each of many dispatchers has few jobs at a worker. The cross-zone price must not outweigh any number of them, or
// a zone with more than its part of the traffic sheds jobs while other zones have capacity.
func TestManyDispatchersCrossZonesUnderLoad(t *testing.T) {
	for dispatchers, wantCrossing := range map[int]bool{3: false, 80: true} {
		t.Run(fmt.Sprintf("dispatchers=%d", dispatchers), func(t *testing.T) {
			cfg := manyConfig()
			cfg.Dispatchers, cfg.Prices.CrossZone = dispatchers, 0.1
			workers := testWorkers(2)
			workers[0].Zone, workers[1].Zone = cfg.Zone, 1-cfg.Zone
			h := newHarness(t, cfg, workers...)
			h.step(h.request(1, idempotent))
			if a := h.wantActions(ActionSend, 1)[0]; a.Worker != workers[0].ID {
				t.Errorf("%d dispatchers: job 1 sent to %s, want %s in the own zone", dispatchers, a.Worker, workers[0].ID)
			}
			h.step(started(1, 0, workers[0].ID), h.request(2, idempotent))
			if a := h.wantActions(ActionSend, 1)[0]; (a.Worker != workers[0].ID) != wantCrossing {
				t.Errorf("%d dispatchers: job 2 crosses zones: %v, want %v", dispatchers, !wantCrossing, wantCrossing)
			}
		})
	}
}
