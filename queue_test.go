package foxlift

import (
	"fmt"
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
				t.Errorf("class %d: no answer at the deadline: %+v", class, h.actions)
			}
		})
	}
}

// A client's last retry may arrive a moment before its deadline (incident i580165).
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
	t.Error("queued past its deadline")
}

func TestNothingIsSentForADisconnectedClient(t *testing.T) {
	h := newHarness(t, testConfig())
	h.step(h.request(1, idempotent))
	h.advance(ms, disconnectEvent(1))
	h.advance(ms, endpointsEvent(EndpointsComplete, testWorkers(2)...))
	h.wantActions(ActionSend, 0)
	if len(h.d.jobs.byID) != 0 {
		t.Error("the job is kept")
	}
}

// The queue of a tenant past its quota is always long: in order of arrival every job would have used up
// its queue time, and a long queue time would only delay the rest.
func TestPastQuotaNewestFirstAndShortQueueTime(t *testing.T) {
	h := newHarness(t, testConfig())
	h.step(h.request(1, atMostOnce))
	h.advance(10*ms, h.request(2, atMostOnce))
	tenant := h.d.tenantOf(0)
	j := h.d.jobs.byID[1]
	withinQuota := h.d.maxQueueTime(j)
	setTenant(h.d, 0, func(s *admission.TenantState) { s.OfferedRate, s.Rate = 50, 5 })
	if pastQuota := h.d.maxQueueTime(j); pastQuota >= withinQuota || pastQuota != 50*ms {
		t.Errorf("queue time %d when past the quota, %d when not", pastQuota, withinQuota)
	}
	h.d.onEndpoints(&Event{EndpointUpdate: EndpointsComplete, Workers: testWorkers(1)})
	h.d.dispatchRound++
	if h.d.sendMostUrgent(tenant); h.d.jobs.byID[1].inFlight != 0 || h.d.jobs.byID[2].inFlight != 1 {
		t.Error("the older job went first")
	}
}

// A client's retry that can no longer be in time is shed where capacity is short, and the age of a
// queued job counts from the client's first attempt.
func TestLateClientRetriesAreShed(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	withDeadline := func(id uint64, left int64) Event {
		e := h.request(id, idempotent)
		e.Request.Deadline = h.now + left
		return e
	}
	h.step(h.request(1, idempotent), withDeadline(2, 1000*ms)) // with capacity the second is served, late or not
	h.wantActions(ActionSend, 2)
	for id := uint64(3); len(h.actionsOf(ActionSend)) > 0; id++ { // until there is none
		h.step(h.request(id, idempotent))
	}
	h.step(withDeadline(100, 1000*ms))
	if a := h.wantActions(ActionShed, 1)[0]; a.ID != 100 || a.RetryAfter != 0 {
		t.Errorf("%+v", a) // these settings allow no advice
	}
	h.step(withDeadline(101, 1980*ms))
	h.wantActions(ActionShed, 0) // it may still be in time
	maxQueueTime := h.d.maxQueueTime(h.d.jobs.byID[101])
	for h.advance(20 * ms); h.d.jobs.byID[101] != nil; h.advance(10 * ms) {
		if h.now-5*second > maxQueueTime+40*ms {
			t.Fatal("queued past its time")
		}
	}
}

// A job queued by one of several dispatchers without gossip would be late at workers that have the
// others' jobs: such a dispatcher reserves time for two runs, sheds jobs past a quota at the next tick,
// and serves a queue newest first. One that knows of all jobs does none of this.
func TestQueueTimeByNumberOfDispatchers(t *testing.T) {
	for _, c := range []struct {
		dispatchers int
		pastQuota   int64
		runs        int64
		first       uint64 // of three that are queued
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
				t.Errorf("%d dispatchers: queue time %d, want %d", c.dispatchers, got, want)
			}
			queue, round := tenant.queues[0].jobs, h.d.dispatchRound+1
			if j := nextInQueue(queue, h.d.newestFirst(tenant, queue), round); j.id != c.first {
				t.Errorf("%d dispatchers: job %d goes first, want %d", c.dispatchers, j.id, c.first)
			}
			if j := nextInQueue(queue[:2], h.d.newestFirst(tenant, queue[:2]), round); j.id != 1 {
				t.Errorf("%d dispatchers: of two queued jobs, %d goes first", c.dispatchers, j.id)
			}
			setTenant(h.d, 0, func(s *admission.TenantState) { s.OfferedRate, s.Rate = 500, 5 })
			if got := h.d.maxQueueTime(h.d.jobs.byID[1]); got != c.pastQuota {
				t.Errorf("%d dispatchers: queue time %d when past the quota, want %d", c.dispatchers, got, c.pastQuota)
			}
		})
	}
}

// A job that can no longer be in time is cancelled and shed where its effect allows it: it would make the
// jobs behind it late.
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

// With many dispatchers a light job must not be queued, here or at a worker, for the time that a heavy
// one of its class has.
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
				t.Errorf("%d dispatchers: timely is %d ms, want %d", dispatchers, got/ms, want)
			}
		})
	}
}
