package foxlift

import (
	"fmt"
	"slices"
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/admission"
)

func TestTimeoutAtDeadlineIsAnswered(t *testing.T) {
	for class := range 3 {
		t.Run(testConfig().Classes[class].Name, func(t *testing.T) {
			h := newHarness(t, testConfig(), testWorkers(1)...)
			h.step(h.request(1, class))
			w := h.wantActions(ActionSend, 1)[0].Worker
			h.advance(2*second, outcome(1, 0, w, DeadlineExceeded))
			if len(h.actionsOf(ActionFail))+len(h.actionsOf(ActionShed)) != 1 {
				t.Errorf("class %d: Step() at the deadline returned %+v, want one ActionFail or ActionShed", class, h.actions)
			}
		})
	}
}

// A client's last retry may arrive just before its deadline. If the job waited for the next tick, the client
// would get no answer (incident i580165).
func TestJobNearDeadlineIsShedAtOnce(t *testing.T) {
	h := newHarness(t, testConfig())
	e := h.request(1, idempotent)
	e.Request.Deadline = h.now + h.d.tickInterval
	h.step(e)
	h.wantActions(ActionShed, 1)
}

func TestQueuedJobIsShedBeforeDeadline(t *testing.T) {
	h := newHarness(t, testConfig())
	h.step(h.request(1, atMostOnce))
	for h.now < 7*second {
		if h.advance(5*ms, timerEvent(1)); len(h.actionsOf(ActionShed)) == 1 {
			return
		}
	}
	t.Errorf("at %d ns: the queued job was not shed before its deadline", h.now)
}

func TestNothingIsSentForADisconnectedClient(t *testing.T) {
	h := newHarness(t, testConfig())
	h.step(h.request(1, idempotent))
	h.advance(ms, disconnectEvent(1))
	h.advance(ms, endpointsEvent(EndpointsComplete, testWorkers(2)...))
	h.wantActions(ActionSend, 0)
	if len(h.d.jobs.byID) != 0 {
		t.Errorf("%d jobs kept after the client disconnected, want 0", len(h.d.jobs.byID))
	}
}

// Guards against a job that is shed although a worker is free, because it comes in the step of a tick: its queue time
// was compared with the maximum, the least possible one here, before a worker was looked for.
func TestJobInStepOfTickIsSent(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers = 2
	for i := range cfg.Classes {
		cfg.Classes[i].ObjectiveStretch = 0 // leaves no time for two runs of the objective
	}
	for class := range cfg.Classes {
		for _, workers := range []int{1, 0} {
			h := newHarness(t, cfg, testWorkers(workers)...)
			objective := cfg.Classes[class].LatencyObjective
			h.d.classes[class].runtimes.Restore(objective, objective, slices.Repeat([]int64{objective}, 8))
			h.now = h.d.timing.nextTickAt
			e := h.request(1, class)
			e.Request.Waited = ms
			h.step(e)
			h.wantActions(ActionSend, workers)
			h.wantActions(ActionShed, 1-workers)
		}
	}
}

// Guards against jobs that are shed within a tick when all workers are busy, because no run of their class has ended
// yet and a run is expected to take the whole objective.
func TestFirstJobsMayWait(t *testing.T) {
	few := testConfig()
	few.Dispatchers = 2
	for name, cfg := range map[string]Config{"few": few, "many": manyConfig()} {
		for class := range cfg.Classes {
			t.Run(fmt.Sprintf("%s %s", name, cfg.Classes[class].Name), func(t *testing.T) {
				cfg.Classes[class].ObjectiveStretch = 0
				h := newHarness(t, cfg, testWorkers(1)...)
				queued := uint64(1)
				var outcomes []Event
				for h.step(h.request(queued, class)); len(h.actionsOf(ActionSend)) > 0; h.step(h.request(queued, class)) {
					outcomes = append(outcomes, outcome(queued, 0, "w0", Served))
					queued++
				}
				h.advance(h.d.tickInterval)
				h.wantActions(ActionShed, 0)
				h.step(outcomes...)
				if a := h.wantActions(ActionSend, 1)[0]; a.ID != queued {
					t.Errorf("job %d was sent, want %d", a.ID, queued)
				}

				h = newHarness(t, cfg) // without a worker it waits for half of its objective
				h.step(h.request(1, class))
				h.advance(h.d.tickInterval)
				h.wantActions(ActionShed, 0)
				h.advance(cfg.Classes[class].LatencyObjective/2 - h.d.tickInterval)
				h.wantActions(ActionShed, 1)
			})
		}
	}
}

// Guards against jobs that are shed as late although there is capacity and time, because they have waited in the
// backlog of the host: that time shortens their deadline, but is no sign of a late retry or of a long queue.
func TestUnreadTimeCountsTowardsDeadlineAlone(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	h.step(h.request(1, idempotent))
	h.d.capacity.startWindow.Set(2) // half full with one job
	unread := h.request(2, idempotent)
	unread.Request.Unread = 500 * ms
	unread.Request.Deadline -= 500 * ms
	h.step(unread)
	h.wantActions(ActionSend, 1)
	over := h.request(3, idempotent)
	over.Request.Unread = 2 * second
	over.Request.Deadline = h.now
	h.step(over)
	h.wantActions(ActionShed, 1)
}

// The queue of a tenant over its quota is always long. Sent in order of arrival, every job would have used up
// its queue time, and a long queue time would only delay the tenant's other jobs.
func TestPastQuotaNewestFirstAndShortQueueTime(t *testing.T) {
	h := newHarness(t, testConfig())
	h.step(h.request(1, atMostOnce))
	h.advance(10*ms, h.request(2, atMostOnce))
	tenant := h.d.tenantOf(0)
	j := h.d.jobs.byID[1]
	withinQuota := h.d.maxQueueTime(j)
	setTenant(h.d, 0, func(s *admission.TenantState) { s.OfferedRate, s.Rate = 50, 5 })
	if pastQuota := h.d.maxQueueTime(j); pastQuota >= withinQuota || pastQuota != 50*ms {
		t.Errorf("maxQueueTime() = %d over the quota, want %d and less than %d within it", pastQuota, 50*ms, withinQuota)
	}
	h.d.onEndpoints(&Event{EndpointUpdate: EndpointsComplete, Workers: testWorkers(1)})
	h.d.dispatchRound++
	if h.d.sendMostUrgent(tenant); h.d.jobs.byID[1].inFlight != 0 || h.d.jobs.byID[2].inFlight != 1 {
		t.Errorf("attempts in flight: %d of the older job, %d of the newer, want 0 and 1",
			h.d.jobs.byID[1].inFlight, h.d.jobs.byID[2].inFlight)
	}
}

// A client's retry that can no longer meet its objective is shed when capacity is short, and the age of a
// queued job counts from the client's first attempt.
func TestLateClientRetriesAreShed(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	withDeadline := func(id uint64, left int64) Event {
		e := h.request(id, idempotent)
		e.Request.Deadline = h.now + left
		return e
	}
	h.step(h.request(1, idempotent), withDeadline(2, 1000*ms)) // with free capacity a late job is served too
	h.wantActions(ActionSend, 2)
	for id := uint64(3); len(h.actionsOf(ActionSend)) > 0; id++ { // until no capacity is left
		h.step(h.request(id, idempotent))
	}
	h.step(withDeadline(100, 1000*ms))
	if a := h.wantActions(ActionShed, 1)[0]; a.ID != 100 || a.RetryAfter != 0 {
		t.Errorf("shed with %+v, want ID 100 and RetryAfter 0, as MayRetryAfter is not set", a)
	}
	h.step(withDeadline(101, 1980*ms))
	h.wantActions(ActionShed, 0) // it may still meet its objective
	maxQueueTime := h.d.maxQueueTime(h.d.jobs.byID[101])
	for h.advance(20 * ms); h.d.jobs.byID[101] != nil; h.advance(10 * ms) {
		if h.now-5*second > maxQueueTime+40*ms {
			t.Fatalf("job 101 is still queued after %d ns, want at most %d", h.now-5*second, maxQueueTime+40*ms)
		}
	}
}

// With a few dispatchers and no gossip, a job that was queued for long is late at a worker that also has jobs
// of other dispatchers. Such a dispatcher reserves time for two runs, queues jobs over a quota only briefly,
// and serves a long queue newest first. A dispatcher that is alone or one of many does not.
func TestQueueTimeByNumberOfDispatchers(t *testing.T) {
	for _, c := range []struct {
		dispatchers int
		pastQuota   int64
		runs        int64
		first       uint64 // ID of the job that is sent first of three queued ones
	}{{1, 50 * ms, 1, 1}, {2, 100 * ms / 8, 2, 3}, {300, 50 * ms, 1, 1}} {
		t.Run(fmt.Sprintf("dispatchers=%d", c.dispatchers), func(t *testing.T) {
			cfg := testConfig()
			cfg.Dispatchers = c.dispatchers
			h := newHarness(t, cfg)
			h.d.classes[0].ObjectiveStretch = 3
			h.d.classes[0].setRuntimes(80*ms, 80*ms)
			h.step(h.request(1, idempotent), h.request(2, idempotent), h.request(3, idempotent))
			tenant := h.d.tenantOf(0)
			if got, want := h.d.maxQueueTime(h.d.jobs.byID[1]), 100*ms+(3-c.runs)*80*ms; got != want {
				t.Errorf("%d dispatchers: maxQueueTime() = %d, want %d", c.dispatchers, got, want)
			}
			queue, round := tenant.queues[0].jobs, h.d.dispatchRound+1
			if j := nextInQueue(queue, h.d.newestFirst(tenant, queue), round); j.id != c.first {
				t.Errorf("%d dispatchers: nextInQueue() of 3 jobs = job %d, want %d", c.dispatchers, j.id, c.first)
			}
			if j := nextInQueue(queue[:2], h.d.newestFirst(tenant, queue[:2]), round); j.id != 1 {
				t.Errorf("%d dispatchers: nextInQueue() of 2 jobs = job %d, want 1", c.dispatchers, j.id)
			}
			setTenant(h.d, 0, func(s *admission.TenantState) { s.OfferedRate, s.Rate = 500, 5 })
			if got := h.d.maxQueueTime(h.d.jobs.byID[1]); got != c.pastQuota {
				t.Errorf("%d dispatchers: maxQueueTime() = %d over the quota, want %d", c.dispatchers, got, c.pastQuota)
			}
		})
	}
}

// A job that was sent but can no longer meet its objective is cancelled and shed if its effect allows that:
// it would make the jobs queued behind it late.
func TestJobsPastTheirObjectiveAreShed(t *testing.T) {
	for class, want := range []int{1, 0} {
		t.Run(testConfig().Classes[class].Name, func(t *testing.T) {
			cfg := manyConfig()
			cfg.MaxAttempts = 1
			h := newHarness(t, cfg, testWorkers(8)...)
			h.step(h.request(1, class))
			h.wantActions(ActionSend, 1)
			j := h.d.jobs.byID[1]
			for h.now < j.firstAttemptAt+j.objective-j.class.runtimes.Median() {
				if h.advance(ms); h.now < j.firstAttemptAt+j.objective-j.class.runtimes.Median() {
					h.wantActions(ActionShed, 0)
				}
			}
			h.advance(h.d.tickInterval)
			h.wantActions(ActionShed, want)
			h.wantActions(ActionCancel, want)
		})
	}
}

// With many dispatchers a light job must not be queued, at the dispatcher or at a worker, for as long as the
// objective of a heavy job of its class allows.
func TestTimelyLimitUsesLightJobs(t *testing.T) {
	for dispatchers, want := range map[int]int64{3: 100 + 2*80, 80: 100 + 2*50} {
		t.Run(fmt.Sprintf("dispatchers=%d", dispatchers), func(t *testing.T) {
			cfg := manyConfig()
			cfg.Dispatchers = dispatchers
			h := newHarness(t, cfg, testWorkers(2)...)
			for run := range int64(40) {
				h.d.classes[0].runtimes.Record((run/10*30 + 20) * ms) // 20, 50, 80 and 110 ms
			}
			h.advance(2 * second)
			h.step(h.request(1, idempotent))
			if got := h.d.timelyLimit(h.d.jobs.byID[1]); got != want*ms {
				t.Errorf("%d dispatchers: timelyLimit() = %d ms, want %d", dispatchers, got/ms, want)
			}
		})
	}
}
