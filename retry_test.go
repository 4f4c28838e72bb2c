package foxlift

import "testing"

func TestUnsafeIsFailedAfterItMayHaveRun(t *testing.T) {
	for _, c := range []Code{WorkerError, DeadlineExceeded, Reset, Cancelled} {
		r := newRig(t, testConfig(), fleet(3)...)
		r.step(r.request(1, 1))
		w := r.want(ActionSend, 1)[0].Worker
		r.after(10*ms, outcome(1, 0, w, c))
		r.want(ActionFail, 1)
		r.want(ActionSend, 0)
		r.want(ActionShed, 0)
	}
}

func TestUnsafeGoesAgainWhenItNeverRan(t *testing.T) {
	for _, c := range []Code{Saturated, Unreachable, NotSent} {
		r := newRig(t, testConfig(), fleet(6)...)
		r.step(r.request(1, 1))
		for attempt := range 4 {
			w := r.want(ActionSend, 1)[0].Worker
			r.after(10*ms, outcome(1, attempt, w, c))
		}
		r.want(ActionShed, 1) // attempts are spent
	}
}

func TestKeyedStaysInItsCellAndTime(t *testing.T) {
	r := newRig(t, testConfig(), fleet(8)...)
	r.step(r.request(1, 2))
	first := r.want(ActionSend, 1)[0].Worker
	r.after(10*ms, outcome(1, 0, first, WorkerError))
	again := r.want(ActionSend, 1)[0].Worker
	if again == first || r.d.workers[again].cell != r.d.workers[first].cell {
		t.Errorf("first to %s, then to %s", first, again)
	}
	r.after(1100*ms, outcome(1, 1, again, WorkerError))
	r.after(200*ms, Event{Kind: EventTimer, Token: 1})
	r.want(ActionSend, 0) // the group may have forgotten it
	for range 10 {
		if r.after(100*ms, Event{Kind: EventTimer, Token: 1}); len(r.only(ActionFail)) == 1 {
			return
		}
		r.want(ActionShed, 0)
	}
	t.Error("no final answer")
}

func TestKeyedScopeAllMayBeRefused(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].Scope = ScopeAll
	r := newRig(t, cfg, fleet(1)...)
	r.step(r.request(1, 2))
	w := r.want(ActionSend, 1)[0].Worker
	r.after(1900*ms, outcome(1, 0, w, WorkerError))
	r.after(40 * ms)
	if len(r.only(ActionShed)) == 0 {
		r.after(40 * ms)
	}
	r.want(ActionShed, 1)
}

// A repeatable job on a hung worker goes elsewhere and is called off there.
func TestRepeatableJobLeavesHungWorker(t *testing.T) {
	r := newRig(t, testConfig(), fleet(2)...)
	r.step(r.request(1, 0))
	first := r.want(ActionSend, 1)[0].Worker
	for range 100 {
		if r.after(10*ms, Event{Kind: EventTimer, Token: 1}); len(r.only(ActionSend)) == 1 {
			break
		}
	}
	if a := r.want(ActionSend, 1)[0]; a.Worker == first {
		t.Error("sent to the same worker")
	}
	r.want(ActionCancel, 1)
}

// At nausori cancelled work ran on, and copies of late jobs made more jobs late.
func TestCopiesAreFew(t *testing.T) {
	r := newRig(t, testConfig(), fleet(40)...)
	first, copies := 0, 0
	for id := uint64(1); id <= 400; id++ {
		r.after(5*ms, r.request(id, 0)) // no worker ever says that a job started
		for _, a := range r.only(ActionSend) {
			if len(r.d.jobs[a.ID].attempts) == 1 {
				first++
			} else {
				copies++
			}
		}
		for _, w := range r.d.workerOrder {
			w.overdue = 0
			r.d.markPending(w)
		}
	}
	if first < 100 || float64(copies) > maxHedgeBudget+hedgeFraction*float64(first+copies)+1 {
		t.Errorf("%d copies of %d jobs", copies, first)
	}
}
