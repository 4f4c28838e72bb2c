package foxlift

import (
	"math"
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/admission"
)

// Two tenants with equal quotas share one worker with two slots. Only jobs of the tenant that sends six times
// as much may be shed in number.
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
		for n := range 4 { // three jobs of tenant 0 in each round, one of tenant 1 in every second round
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
		t.Errorf("shed %d jobs of the tenant over its quota, want at least 100; %d of the other, want at most 10",
			shed[0], shed[1])
	}
}

// With half of the fleet lost, the jobs within the quotas alone overloaded the remaining workers (incident
// if801ee). Workers that were drained do not count as lost.
func TestRemainingCapacity(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(4)...)
	workers := testWorkers(4)
	workers[0].State = Draining
	h.advance(ms, endpointsEvent(EndpointsDelta, workers[:1]...))
	workers[0].State = Removed
	h.advance(ms, endpointsEvent(EndpointsDelta, workers[:1]...))
	if s := h.d.remainingCapacity(); s != 1 {
		t.Errorf("remainingCapacity() = %v after a drain, want 1", s)
	}
	workers[1].State = Removed
	h.advance(ms, endpointsEvent(EndpointsDelta, workers[1:2]...))
	if s := h.d.remainingCapacity(); math.Abs(s-2.0/3) > 1e-9 {
		t.Errorf("remainingCapacity() = %v with one of three workers lost, want 2/3", s)
	}
	workers[1].State, workers[1].StartedAt = Live, h.now
	h.advance(ms, endpointsEvent(EndpointsDelta, workers[1:2]...))
	if s := h.d.remainingCapacity(); s < 0.7 || s > 0.75 {
		t.Errorf("remainingCapacity() = %v with the third worker back at a fifth of its capacity, want 2.2/3", s)
	}
	h.advance(21*second, timerEvent(1))
	if s := h.d.remainingCapacity(); s != 1 {
		t.Errorf("remainingCapacity() = %v after the slow start, want 1", s)
	}
}

// A tenant over its quota must not have one class served at the expense of another: the class of which a
// smaller fraction was sent is more urgent.
func TestClassesOfATenantAreServedEvenly(t *testing.T) {
	h := newHarness(t, testConfig())
	tenant := &h.d.tenants[0]
	setTenant(h.d, 0, func(s *admission.TenantState) {
		s.OfferedRate, s.Rate = 50, 5
		s.Arrivals, s.Sends = []float64{100, 100, 0}, []float64{60, 20, 0}
	})
	jobs := []*job{{class: &h.d.classes[0]}, {class: &h.d.classes[1], req: Request{Class: 1}}}
	if tenant.urgency(h.d, jobs[1]) <= tenant.urgency(h.d, jobs[0]) {
		t.Errorf("urgency() = %v with 20 of 100 jobs sent, want more than %v, that with 60 of 100",
			tenant.urgency(h.d, jobs[1]), tenant.urgency(h.d, jobs[0]))
	}
}

func TestDrainedWorkerIsNotLost(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	workers := testWorkers(2)
	for _, s := range []WorkerState{Removed, Draining, Removed} { // lost, back but draining, removed
		workers[0].State = s
		h.advance(ms, endpointsEvent(EndpointsDelta, workers[:1]...))
		h.d.remainingCapacity()
	}
	if s := h.d.remainingCapacity(); s != 1 {
		t.Errorf("remainingCapacity() = %v, want 1", s)
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

// The rates of the tenants fall in proportion to the remaining capacity.
func TestRatesFollowRemainingCapacity(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(4)...)
	h.d.updateQuotas()
	whole := tenantRate(h.d, 0)
	workers := testWorkers(4)[:2]
	workers[0].State, workers[1].State = Removed, Removed
	h.advance(ms, endpointsEvent(EndpointsDelta, workers...))
	h.d.updateQuotas()
	if half := tenantRate(h.d, 0); math.Abs(half-whole/2) > 1e-9 {
		t.Errorf("rate %v with half of the fleet lost, want half of %v", half, whole)
	}
}

// A single job of a tenant whose rate at this dispatcher is one job in ten seconds does not exceed the quota;
// ten jobs a second do.
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
			t.Errorf("ExceedsQuota() = %v in second %d with %d arrivals, want %v", !want, n, arrivals, want)
		}
	}
}
