package foxlift

import "testing"

// A hung worker empties nothing and says nothing; it must get no more.
func TestHungWorkerGetsNothingNew(t *testing.T) {
	r := newRig(t, testConfig(), fleet(2)...)
	r.step(r.request(1, 1), r.request(2, 1))
	sent := r.want(ActionSend, 2)
	hung, good := sent[0], sent[1]
	r.after(2*ms, started(good.ID, 0, good.Worker))
	for id := uint64(10); id < 60; id++ {
		r.after(20*ms, r.request(id, 1))
		for _, a := range r.only(ActionSend) {
			if a.Worker == hung.Worker && id > 25 {
				t.Fatalf("request %d sent to the hung worker", id)
			}
			if a.Worker == good.Worker {
				r.after(ms, started(a.ID, 0, a.Worker))
				r.after(ms, outcome(a.ID, 0, a.Worker, Served))
			}
		}
	}
}

// A worker that errs at once always has fewest jobs; it must not draw the rest.
func TestFastErringWorkerIsShut(t *testing.T) {
	r := newRig(t, testConfig(), fleet(5)...)
	bad := 0
	for id := uint64(1); id <= 200; id++ {
		r.after(10*ms, r.request(id, 1))
		for _, a := range r.only(ActionSend) {
			r.after(ms, started(a.ID, 0, a.Worker))
			if a.Worker == "w0" {
				bad++
				r.after(ms, outcome(a.ID, 0, a.Worker, WorkerError))
			} else {
				r.after(ms, outcome(a.ID, 0, a.Worker, Served))
			}
		}
	}
	if bad == 0 || bad > 20 {
		t.Errorf("%d of 200 jobs went to the erring worker", bad)
	}
}

func TestErringWorkerIsShutAtOnceWhenOnTrial(t *testing.T) {
	r := newRig(t, testConfig(), fleet(1)...)
	w := r.d.workerOrder[0]
	w.trial = true
	r.step(r.request(1, 0))
	r.want(ActionSend, 1)
	r.after(ms, outcome(1, 0, "w0", WorkerError))
	if w.ejectedUntil <= r.now {
		t.Error("not shut")
	}
	w.ejectedUntil, w.trial = 0, false
	for i := range 8 {
		w.failureRate = 0.1 * float64(i)
		a := &attempt{job: &job{class: &r.d.classes[0]}, worker: w, slots: 1}
		r.d.recordOutcome(a, &Event{Code: WorkerError})
	}
	if w.ejectedUntil <= r.now {
		t.Error("a run of errors does not shut it")
	}
}

// A refusing worker looks free by our count; it must not draw the next job.
func TestRefusingWorkerIsLeftAlone(t *testing.T) {
	r := newRig(t, testConfig(), fleet(1)...)
	r.step(r.request(1, 1))
	r.after(ms, outcome(1, 0, "w0", Saturated))
	first := r.d.workerOrder[0].ejectedUntil - r.now
	r.step(r.request(2, 1))
	r.want(ActionSend, 0)
	for range 3 {
		a := &attempt{job: &job{class: &r.d.classes[1]}, worker: r.d.workerOrder[0], slots: 1}
		r.d.recordOutcome(a, &Event{Code: Saturated})
	}
	if again := r.d.workerOrder[0].ejectedUntil - r.now; first <= 0 || again <= first {
		t.Errorf("left alone for %d, after more refusals for %d", first, again)
	}
}

// One reset is a connection's, a run of them the worker's.
func TestResetsInARowShutAWorker(t *testing.T) {
	r := newRig(t, testConfig(), fleet(1)...)
	for id := uint64(1); id <= 4; id++ {
		r.step(r.request(id, 1))
		if id == 4 {
			r.want(ActionSend, 0)
			return
		}
		r.want(ActionSend, 1)
		r.after(5*ms, outcome(id, 0, "w0", Reset))
	}
}

// Each of many meets a worker too seldom to wait for a run of errors.
func TestManyLeaveAnErringWorkerAtOnce(t *testing.T) {
	for dispatchers, shut := range map[int]bool{80: true, 3: false} {
		cfg := manyConfig()
		cfg.Dispatchers = dispatchers
		r := newRig(t, cfg, fleet(2)...)
		r.step(r.request(1, 0))
		a := r.want(ActionSend, 1)[0]
		r.after(ms, started(1, 0, a.Worker))
		r.after(ms, outcome(1, 0, a.Worker, WorkerError))
		if w := r.d.workers[a.Worker]; (w.ejectedUntil > r.now) != shut {
			t.Errorf("%d dispatchers: left alone %v", dispatchers, !shut)
		}
	}
}

// A start is no sign of health where what started fails: the pause goes on growing.
func TestStartsDoNotClearAnErringWorker(t *testing.T) {
	r := newRig(t, manyConfig(), fleet(1)...)
	w := r.d.workerOrder[0]
	before := int64(0)
	for id := uint64(1); id <= 4; id++ {
		r.now = max(r.now, w.ejectedUntil) + r.d.tickInterval
		r.step(r.request(id, 0))
		r.want(ActionSend, 1)
		r.after(ms, started(id, 0, w.id))
		r.after(ms, outcome(id, 0, w.id, WorkerError))
		if pause := w.ejectedUntil - r.now; pause < second || w.backoff < 2*before {
			t.Errorf("error %d: left alone for %d, backoff %d after %d", id, pause, w.backoff, before)
		}
		before = w.backoff
	}
}
