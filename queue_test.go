package foxlift

import "testing"

func TestTimeoutAtDeadlineIsAnswered(t *testing.T) {
	for class := range 3 {
		r := newRig(t, testConfig(), fleet(1)...)
		r.step(r.request(1, class))
		w := r.want(ActionSend, 1)[0].Worker
		r.after(2*second, outcome(1, 0, w, DeadlineExceeded))
		if len(r.only(ActionFail))+len(r.only(ActionShed)) != 1 {
			t.Errorf("class %d: no answer at the deadline: %+v", class, r.out)
		}
	}
}

// A client's last try may come a moment before its deadline (incident i580165).
func TestUrgentJobIsAnsweredAtOnce(t *testing.T) {
	r := newRig(t, testConfig())
	e := r.request(1, 0)
	e.Request.Deadline = r.now + r.d.tickInterval
	r.step(e)
	r.want(ActionShed, 1)
}

func TestHeldJobIsRefusedInTime(t *testing.T) {
	r := newRig(t, testConfig())
	r.step(r.request(1, 1))
	for r.now < 7*second {
		if r.after(5*ms, Event{Kind: EventTimer, Token: 1}); len(r.only(ActionShed)) == 1 {
			return
		}
	}
	t.Error("held past its deadline")
}

func TestNothingIsSentForAClientThatLeft(t *testing.T) {
	r := newRig(t, testConfig())
	r.step(r.request(1, 0))
	r.after(ms, Event{Kind: EventClientDisconnected, ID: 1})
	r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: fleet(2)})
	r.want(ActionSend, 0)
	if len(r.d.jobs) != 0 {
		t.Error("the job is kept")
	}
}

// The queue of a tenant over its share is always long: in order of coming every
// job would have spent its wait, and holding it for long would only delay the rest.
func TestOverShareNewestFirstAndShortHold(t *testing.T) {
	r := newRig(t, testConfig())
	r.step(r.request(1, 1))
	r.after(10*ms, r.request(2, 1))
	tn := r.d.tenantOf(0)
	j := r.d.jobs[1]
	long := r.d.maxQueueTime(j)
	tn.offeredRate, tn.rate = 50, 5
	if short := r.d.maxQueueTime(j); short >= long || short != 50*ms {
		t.Errorf("held for %d when over the share, %d when not", short, long)
	}
	r.d.onEndpoints(&Event{EndpointUpdate: EndpointsComplete, Workers: fleet(1)})
	r.d.dispatchRound++
	if r.d.sendFrom(tn); r.d.jobs[1].inFlight != 0 || r.d.jobs[2].inFlight != 1 {
		t.Error("the older job went first")
	}
}

// A client's next try that can no longer be in time takes no place where work is
// short, and a held job's age counts from the first try.
func TestLateTriesAreRefusedWhereWorkIsShort(t *testing.T) {
	r := newRig(t, testConfig(), fleet(2)...)
	next := func(id uint64, left int64) Event {
		e := r.request(id, 0)
		e.Request.Deadline = r.now + left
		return e
	}
	r.step(r.request(1, 0), next(2, 1000*ms)) // with room the second is served, late or not
	r.want(ActionSend, 2)
	for id := uint64(3); len(r.only(ActionSend)) > 0; id++ { // until there is none
		r.step(r.request(id, 0))
	}
	r.step(next(100, 1000*ms))
	if a := r.want(ActionShed, 1)[0]; a.ID != 100 || a.RetryAfter != 0 {
		t.Errorf("%+v", a) // these settings allow no advice
	}
	r.step(next(101, 1980*ms))
	r.want(ActionShed, 0) // it may still be in time
	hold := r.d.maxQueueTime(r.d.jobs[101])
	for r.after(20 * ms); r.d.jobs[101] != nil; r.after(10 * ms) {
		if r.now-5*second > hold+40*ms {
			t.Fatal("held past its time")
		}
	}
}

// What one of a few dispatchers holds, unknown to the others, would be late at workers that have their
// jobs: it keeps time for two runs, tells jobs over a share at the next tick, and serves a queue from
// its newest job on. One that knows of all jobs does none of this.
func TestUnawareDispatchersHoldForLess(t *testing.T) {
	for _, c := range []struct {
		dispatchers int
		over        int64
		runs        int64
		first       uint64 // of three that are held
	}{{1, 50 * ms, 1, 1}, {2, 100 * ms / 8, 2, 3}, {300, 50 * ms, 1, 1}} {
		cfg := testConfig()
		cfg.Dispatchers = c.dispatchers
		r := newRig(t, cfg)
		r.d.classes[0].ObjectiveStretch, r.d.classes[0].median, r.d.classes[0].lowerQuartile = 3, 80*ms, 80*ms
		r.step(r.request(1, 0), r.request(2, 0), r.request(3, 0))
		tn := r.d.tenantOf(0)
		if got, want := r.d.maxQueueTime(r.d.jobs[1]), 100*ms+(3-c.runs)*80*ms; got != want {
			t.Errorf("%d dispatchers: held for %d, want %d", c.dispatchers, got, want)
		}
		if j := nextInQueue(tn.queues[0], r.d.newestFirst(tn, tn.queues[0]), r.d.dispatchRound+1); j.id != c.first {
			t.Errorf("%d dispatchers: job %d goes first, want %d", c.dispatchers, j.id, c.first)
		}
		if j := nextInQueue(tn.queues[0][:2], r.d.newestFirst(tn, tn.queues[0][:2]), r.d.dispatchRound+1); j.id != 1 {
			t.Errorf("%d dispatchers: of two held job %d goes first", c.dispatchers, j.id)
		}
		tn.offeredRate, tn.rate = 500, 5
		if got := r.d.maxQueueTime(r.d.jobs[1]); got != c.over {
			t.Errorf("%d dispatchers: held for %d when over the share, want %d", c.dispatchers, got, c.over)
		}
	}
}

// What can no more be in time is called off and refused, where that is harmless: it
// would make the jobs behind it late.
func TestHopelessJobsLeaveTheQueues(t *testing.T) {
	for class, want := range []int{1, 0} {
		cfg := manyConfig()
		cfg.MaxAttempts = 1
		r := newRig(t, cfg, fleet(8)...)
		r.step(r.request(1, class))
		r.want(ActionSend, 1)
		j := r.d.jobs[1]
		for r.now < j.firstAttemptAt+j.objective-j.class.median {
			if r.after(ms); r.now < j.firstAttemptAt+j.objective-j.class.median {
				r.want(ActionShed, 0)
			}
		}
		r.after(r.d.tickInterval)
		r.want(ActionShed, want)
		r.want(ActionCancel, want)
	}
}

// In many dispatchers a light job must not be held, or left in a queue, for the time
// that a heavy one of its class has.
func TestTimelyGoesByLightJobs(t *testing.T) {
	for dispatchers, want := range map[int]int64{3: 100 + 2*80, 80: 100 + 2*50} {
		cfg := manyConfig()
		cfg.Dispatchers = dispatchers
		r := newRig(t, cfg, fleet(2)...)
		for run := range int64(40) {
			r.d.classes[0].recordRuntime((run/10*30 + 20) * ms) // 20, 50, 80 and 110 ms
		}
		r.after(2 * second)
		r.step(r.request(1, 0))
		if got := r.d.timelyLimit(r.d.jobs[1]); got != want*ms {
			t.Errorf("%d dispatchers: timely is %d ms, want %d", dispatchers, got/ms, want)
		}
	}
}
