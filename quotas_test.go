package foxlift

import (
	"math"
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/admission"
)

// Two tenants of equal quota on one worker of two slots: the one that sends six times as much is shed.
func TestTenantPastItsQuotaIsShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{"a", 20}, {"b", 20}}
	h := newHarness(t, cfg, testWorkers(1)...)
	shed := [2]int{}
	tenantOf := map[uint64]int{}
	step := func(dt int64, events []Event) (sent []Action) {
		limit := &h.d.workerOrder[0].limit
		limit.Restore(2, limit.Learned())
		h.advance(dt, events...)
		for _, a := range h.actionsOf(ActionShed) {
			shed[tenantOf[a.ID]]++
		}
		return h.actionsOf(ActionSend)
	}
	var running []Action
	id := uint64(0)
	for round := range 400 {
		var events []Event
		for n := range 4 { // three of tenant 0 in each round, one of tenant 1 in every other
			if tenant := n / 3; tenant == 0 || round%2 == 0 {
				id++
				e := h.request(id, atMostOnce)
				e.Request.Tenant = tenant
				tenantOf[id] = tenant
				events = append(events, e)
			}
		}
		for _, a := range running {
			events = append(events, outcome(a.ID, a.Attempt, a.Worker, Served))
		}
		running = step(49*ms, events)
		events = nil
		for _, a := range running {
			events = append(events, started(a.ID, a.Attempt, a.Worker))
		}
		running = append(running, step(ms, events)...)
	}
	if shed[0] < 100 || shed[1] > 10 {
		t.Errorf("shed %v of tenants past and within their quotas", shed)
	}
}

// Incident if801ee: with half the fleet lost, jobs within the quotas alone overloaded the rest. Workers
// that were drained do not count as lost.
func TestRemainingCapacity(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(4)...)
	workers := testWorkers(4)
	workers[0].State = Draining
	h.advance(ms, endpointsEvent(EndpointsDelta, workers[:1]...))
	workers[0].State = Removed
	h.advance(ms, endpointsEvent(EndpointsDelta, workers[:1]...))
	if s := h.d.remainingCapacity(); s != 1 {
		t.Errorf("remaining capacity %v after a drain, want all", s)
	}
	workers[1].State = Removed
	h.advance(ms, endpointsEvent(EndpointsDelta, workers[1:2]...))
	if s := h.d.remainingCapacity(); math.Abs(s-2.0/3) > 1e-9 {
		t.Errorf("remaining capacity %v after a loss, want 2/3", s)
	}
	workers[1].State, workers[1].StartedAt = Live, h.now
	h.advance(ms, endpointsEvent(EndpointsDelta, workers[1:2]...))
	if s := h.d.remainingCapacity(); s < 0.7 || s > 0.75 {
		t.Errorf("remaining capacity %v with the third back at a fifth, want 2.2/3", s)
	}
	h.advance(21*second, timerEvent(1))
	if s := h.d.remainingCapacity(); s != 1 {
		t.Errorf("remaining capacity %v after the slow start, want all", s)
	}
}

// A class of a tenant past its quota must not be served at another's expense.
func TestClassesOfATenantAreServedEvenly(t *testing.T) {
	h := newHarness(t, testConfig())
	tenant := &h.d.tenants[0]
	setTenant(h.d, 0, func(s *admission.TenantState) {
		s.OfferedRate, s.Rate = 50, 5
		s.Arrivals, s.Sends = []float64{100, 100, 0}, []float64{60, 20, 0}
	})
	jobs := []*job{{class: &h.d.classes[0]}, {class: &h.d.classes[1], req: Request{Class: 1}}}
	if tenant.urgency(h.d, jobs[1]) <= tenant.urgency(h.d, jobs[0]) {
		t.Error("the class that got less is not the more urgent")
	}
}

func TestDrainedWorkerIsNotLost(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	workers := testWorkers(2)
	for _, s := range []WorkerState{Removed, Draining, Removed} { // lost, back only to drain, removed
		workers[0].State = s
		h.advance(ms, endpointsEvent(EndpointsDelta, workers[:1]...))
		h.d.remainingCapacity()
	}
	if s := h.d.remainingCapacity(); s != 1 {
		t.Errorf("remaining capacity %v, want all", s)
	}
}

func TestUnthrottledNeedsNoTokens(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(5)...)
	empty := func() {
		setTenant(h.d, 0, func(s *admission.TenantState) { s.Tokens, s.Rate = 0, 0 })
		h.d.quotas.Restore(h.d.quotas.TrafficFraction(), 0)
	}
	empty()
	setRate(h.d, func(s *admission.RateState) { s.Unthrottled = true })
	h.step(h.request(1, idempotent))
	h.wantActions(ActionSend, 1)
	empty()
	setRate(h.d, func(s *admission.RateState) { s.Unthrottled = false })
	h.step(h.request(2, idempotent))
	h.wantActions(ActionSend, 0)
}

// The tenants' rates shrink with the remaining capacity.
func TestRatesFollowRemainingCapacity(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(4)...)
	h.d.updateQuotas()
	whole := tenantRate(h.d, 0)
	workers := testWorkers(4)[:2]
	workers[0].State, workers[1].State = Removed, Removed
	h.advance(ms, endpointsEvent(EndpointsDelta, workers...))
	h.d.updateQuotas()
	if half := tenantRate(h.d, 0); math.Abs(half-whole/2) > 1e-9 {
		t.Errorf("rate %v with half the fleet lost, %v before", half, whole)
	}
}

// One job of a tenant whose rate is one in ten seconds does not exceed its quota; a run of jobs does.
func TestSingleJobDoesNotExceedQuota(t *testing.T) {
	cfg := manyConfig()
	cfg.Tenants = []Tenant{{"a", 8}, {"b", 8}}
	h := newHarness(t, cfg, testWorkers(8)...)
	tenant := h.d.quotas.Tenant(0)
	for n, want := range []bool{false, false, true, true} {
		arrivals := n
		if n > 1 {
			arrivals = 10
		}
		for range arrivals {
			tenant.RecordArrival(0)
		}
		h.d.updateQuotas()
		if tenant.ExceedsQuota() != want {
			t.Errorf("second %d: past its quota %v", n, !want)
		}
	}
}
