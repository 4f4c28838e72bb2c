package foxlift

import (
	"math"
	"testing"
)

// The figures are those of Table 1 of the Triage paper.
func TestSplitMatchesTriageTable1(t *testing.T) {
	bands := []Band{{100, []float64{50, 50}}, {300, []float64{100, 0}}, {500, []float64{0, 100}}}
	for _, c := range []struct{ u, w1, w2, past float64 }{
		{60, 30, 30, 0}, {100, 50, 50, 0}, {250, 200, 50, 0}, {400, 350, 50, 0},
		{500, 350, 150, 0}, {900, 350, 550, 0}, {1000, 350, 550, 100},
	} {
		got, past := split(c.u, bands, 2)
		if math.Abs(got[0]-c.w1)+math.Abs(got[1]-c.w2)+math.Abs(past-c.past) > 1e-9 {
			t.Errorf("u %v: %v and %v past the bands, want %v %v and %v", c.u, got, past, c.w1, c.w2, c.past)
		}
	}
}

func TestTenantPastItsQuotaIsShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{"a", 20}, {"b", 20}}
	h := newHarness(t, cfg, testWorkers(1)...)
	refused := [2]int{}
	tenantOf := map[uint64]int{}
	var running []Action
	id := uint64(0)
	for round := range 400 {
		var events []Event
		h.d.workerOrder[0].concurrencyLimit = 2
		for n := range 4 { // three of tenant 0 in each round, one of tenant 1 in every other
			if tenant := n / 3; tenant == 0 || round%2 == 0 {
				id++
				e := h.request(id, 1)
				e.Request.Tenant = tenant
				tenantOf[id] = tenant
				events = append(events, e)
			}
		}
		for _, a := range running {
			events = append(events, outcome(a.ID, a.Attempt, a.Worker, Served))
		}
		h.advance(49*ms, events...)
		running = h.actionsOf(ActionSend)
		events = nil
		for _, a := range h.actionsOf(ActionShed) {
			refused[tenantOf[a.ID]]++
		}
		for _, a := range running {
			events = append(events, started(a.ID, a.Attempt, a.Worker))
		}
		h.d.workerOrder[0].concurrencyLimit = 2
		h.advance(ms, events...)
		running = append(running, h.actionsOf(ActionSend)...)
		for _, a := range h.actionsOf(ActionShed) {
			refused[tenantOf[a.ID]]++
		}
	}
	if refused[0] < 100 || refused[1] > 10 {
		t.Errorf("refused %v of tenants over and under their share", refused)
	}
}

func TestTrafficFractionFollowsTheTraffic(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers = 10
	cfg.Tenants = []Tenant{{"big", 300}, {"a", 100}, {"b", 100}, {"c", 100}, {"d", 100}}
	h := newHarness(t, cfg)
	set := func(offered ...float64) {
		for i, o := range offered {
			h.d.tenants[i].offeredRate = o
		}
	}
	set(20, 5, 5, 5, 5)
	if p := h.d.measuredFraction(); p != 0.1 {
		t.Errorf("part %v of a quiet dispatcher, want an even 0.1", p)
	}
	set(180, 20, 20, 20, 20) // twice an even part of the traffic; big sends three times its share
	if p := h.d.measuredFraction(); p != 0.2 {
		t.Errorf("part %v of a busy dispatcher, want 0.2", p)
	}
	set(180, 20, 20, 20, 120) // one more tenant bursts: it must not count as traffic of all
	if p := h.d.measuredFraction(); p != 0.2 {
		t.Errorf("part %v while a tenant bursts, want 0.2", p)
	}
}

// Incident if801ee: with half the fleet lost, jobs within the shares alone
// overfilled the rest. A fleet drained on purpose does not count.
func TestRemainingCapacity(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(4)...)
	workers := testWorkers(4)
	workers[0].State = Draining
	h.advance(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: workers[:1]})
	workers[0].State = Removed
	h.advance(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: workers[:1]})
	if s := h.d.remainingCapacity(); s != 1 {
		t.Errorf("%v stand after a drain, want all", s)
	}
	workers[1].State = Removed
	h.advance(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: workers[1:2]})
	if s := h.d.remainingCapacity(); math.Abs(s-2.0/3) > 1e-9 {
		t.Errorf("%v stand after a loss, want 2/3", s)
	}
	workers[1].State, workers[1].StartedAt = Live, h.now
	h.advance(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: workers[1:2]})
	if s := h.d.remainingCapacity(); s < 0.7 || s > 0.75 {
		t.Errorf("%v stand with the third back at a fifth, want 2.2/3", s)
	}
	h.advance(21*second, Event{Kind: EventTimer, Token: 1})
	if s := h.d.remainingCapacity(); s != 1 {
		t.Errorf("%v stand when it is warm, want all", s)
	}
}

// What one class of a tenant over its share gets must not come out of another's.
func TestClassesOfATenantAreServedEvenly(t *testing.T) {
	h := newHarness(t, testConfig())
	tenant := &h.d.tenants[0]
	tenant.offeredRate, tenant.rate = 50, 5
	tenant.flows[0] = flow{arrivals: 100, sends: 60}
	tenant.flows[1] = flow{arrivals: 100, sends: 20}
	jobs := []*job{{class: &h.d.classes[0]}, {class: &h.d.classes[1], req: Request{Class: 1}}}
	if tenant.urgency(h.d, jobs[1]) <= tenant.urgency(h.d, jobs[0]) {
		t.Error("the class that got less is not the more urgent")
	}
}

func TestDrainedWorkerIsNotLost(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(2)...)
	workers := testWorkers(2)
	for _, s := range []WorkerState{Removed, Draining, Removed} { // lost, back only to drain, gone
		workers[0].State = s
		h.advance(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: workers[:1]})
		h.d.remainingCapacity()
	}
	if s := h.d.remainingCapacity(); s != 1 {
		t.Errorf("%v stand, want all", s)
	}
}

// A burst of all tenants looks like a larger part of the traffic; it must not
// let everything in as within the bands (western big-2).
func TestBurstDoesNotRaiseTrafficFraction(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers = 10
	h := newHarness(t, cfg)
	h.d.controlPeriods = 100
	h.d.trafficFraction = 0.1
	for i := range cfg.Tenants {
		h.d.tenants[i].offeredRate, h.d.tenants[i].arrivals = 30, 30
	}
	h.d.updateRates()
	if rate := h.d.tenants[0].rate; rate > 100*0.12 {
		t.Errorf("rate %v in the first second of a burst, want about 10", rate)
	}
}

func TestUnthrottledNeedsNoTokens(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(5)...)
	h.d.tenants[0].tokens, h.d.tenants[0].rate, h.d.burstTokens = 0, 0, 0
	h.d.unthrottled = true
	h.step(h.request(1, 0))
	h.wantActions(ActionSend, 1)
	h.d.tenants[0].tokens, h.d.burstTokens, h.d.burstRate, h.d.unthrottled = 0, 0, 0, false
	h.step(h.request(2, 0))
	h.wantActions(ActionSend, 0)
}

// The rates of tenants shrink with a fleet that lost workers.
func TestRatesFollowRemainingCapacity(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(4)...)
	h.d.updateRates()
	whole := h.d.tenants[0].rate
	workers := testWorkers(4)[:2]
	workers[0].State, workers[1].State = Removed, Removed
	h.advance(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: workers})
	h.d.updateRates()
	if half := h.d.tenants[0].rate; math.Abs(half-whole/2) > 1e-9 {
		t.Errorf("rate %v with half the fleet lost, %v before", half, whole)
	}
}

// One job of a tenant whose rate here is one in ten seconds is no excess; a run is.
func TestSingleJobDoesNotExceedQuota(t *testing.T) {
	cfg := manyConfig()
	cfg.Tenants = []Tenant{{"a", 8}, {"b", 8}}
	h := newHarness(t, cfg, testWorkers(8)...)
	tenant := &h.d.tenants[0]
	for n, want := range []bool{false, false, true, true} {
		tenant.arrivals = n
		if n > 1 {
			tenant.arrivals = 10
		}
		h.d.updateRates()
		if tenant.exceedsQuota() != want {
			t.Errorf("second %d: over its share %v", n, !want)
		}
	}
}
