package foxlift

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// A randomHost passes random events that keep the host's contract to a dispatcher, executes its actions, and
// checks the invariants against its own records.
type randomHost struct {
	t            *testing.T
	cfg          Config
	d            *Dispatcher
	rng          *rand.Rand
	now          int64
	nextID       uint64
	requests     map[uint64]*randomRequest
	open         []uint64 // IDs of the requests without a final answer
	inFlight     []randomAttempt
	timers       []Action
	healthChecks []string
	workers      []Worker
	log          []Action
}

type randomRequest struct {
	class    int
	deadline int64
	attempts []randomAttempt
	answered bool
}

type randomAttempt struct {
	id                 uint64
	number             int
	worker             string
	sentAt, finishesAt int64
	code               Code
	reported           bool // its outcome was delivered
}

func newRandomHost(t *testing.T, seed uint64, cfg Config) *randomHost {
	d, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	host := &randomHost{
		t:        t,
		cfg:      cfg,
		d:        d,
		rng:      rand.New(rand.NewPCG(seed, 7)),
		now:      3 * second,
		requests: map[uint64]*randomRequest{},
		workers:  testWorkers(10),
	}
	host.step([]Event{{Kind: EventEndpoints, EndpointUpdate: EndpointsCached, Workers: slices.Clone(host.workers)}})
	return host
}

// run makes steps with random events and then steps until every request must be answered. It fails if one is
// not, or if the dispatcher still has a job or a used slot.
func (host *randomHost) run(steps int) {
	for range steps {
		host.now += 1 + host.rng.Int64N(6*ms)
		host.step(host.randomEvents())
	}
	for range 3000 { // 6 s, after which every request must be answered
		host.now += 2 * ms
		host.step(host.dueEvents())
	}
	for id, r := range host.requests {
		if !r.answered {
			host.t.Fatalf("request %d has no final answer at the end", id)
		}
	}
	if len(host.d.jobs.byID) != 0 || host.d.capacity.inFlightSlots != 0 {
		host.t.Fatalf("%d jobs and %v slots left at the end, want none", len(host.d.jobs.byID), host.d.capacity.inFlightSlots)
	}
}

// randomEvents returns up to two new requests, at times an endpoint update or a disconnected client, and the
// due events.
func (host *randomHost) randomEvents() (events []Event) {
	for range host.rng.IntN(3) {
		host.nextID++
		r := &randomRequest{class: host.rng.IntN(len(host.cfg.Classes)), deadline: host.now + host.rng.Int64N(2*second)}
		host.requests[host.nextID] = r
		host.open = append(host.open, host.nextID)
		events = append(events, Event{Kind: EventRequest, Request: Request{
			ID: host.nextID, Class: r.class, Tenant: host.rng.IntN(4) - 1, Deadline: r.deadline,
			Key: host.rng.Uint64N(5), Slots: float64(host.rng.IntN(3)),
		}})
	}
	switch host.rng.IntN(40) {
	case 0:
		w := &host.workers[host.rng.IntN(len(host.workers))]
		w.State = WorkerState(host.rng.IntN(3))
		if w.State == Live && host.rng.IntN(2) == 0 {
			w.StartedAt = host.now
		}
		events = append(events, endpointsEvent(EndpointsDelta, *w))
	case 1:
		events = append(events, endpointsEvent(EndpointsComplete, slices.Clone(host.workers)...))
	case 2:
		events = append(events, endpointsEvent(EndpointsPollFailed))
	case 3:
		if len(host.open) > 0 {
			id := host.open[host.rng.IntN(len(host.open))]
			if r := host.requests[id]; !r.answered {
				r.answered = true
				events = append(events, disconnectEvent(id))
			}
		}
	}
	return append(events, host.dueEvents()...)
}

// dueEvents returns the events of the timers, health checks and attempts that are due.
func (host *randomHost) dueEvents() (events []Event) {
	host.timers = slices.DeleteFunc(host.timers, func(a Action) bool {
		if a.At > host.now {
			return false
		}
		events = append(events, timerEvent(a.Token))
		return true
	})
	for len(host.healthChecks) > 0 && host.rng.IntN(3) > 0 {
		code := []Code{Served, DeadlineExceeded}[host.rng.IntN(2)]
		e := Event{Kind: EventHealthChecked, Worker: host.healthChecks[0], Code: code}
		e.HasLoad = e.Code == Served
		events, host.healthChecks = append(events, e), host.healthChecks[1:]
	}
	kept := host.inFlight[:0]
	for _, attempt := range host.inFlight {
		r := host.requests[attempt.id]
		if attempt.finishesAt > host.now && r.deadline > host.now {
			if host.rng.IntN(20) == 0 {
				events = append(events, started(attempt.id, attempt.number, attempt.worker))
			}
			kept = append(kept, attempt)
			continue
		}
		code := attempt.code
		if r.deadline <= host.now && attempt.finishesAt > host.now {
			code = DeadlineExceeded
		}
		e := outcome(attempt.id, attempt.number, attempt.worker, code)
		if code == Served && !r.answered {
			r.answered = true
		}
		e.Ended = r.answered
		r.attempts[attempt.number].reported, r.attempts[attempt.number].code = true, code
		events = append(events, e)
	}
	host.inFlight = kept
	return events
}

// step passes events to the dispatcher, executes and checks its actions, and fails if a request has no final
// answer 8 ms after its deadline.
func (host *randomHost) step(events []Event) {
	host.t.Helper()
	for _, a := range host.d.Step(host.now, events) {
		host.log = append(host.log, a)
		switch a.Kind {
		case ActionTimer:
			host.timers = append(host.timers, a)
		case ActionSend:
			host.checkSend(a)
		case ActionShed, ActionFail:
			host.checkAnswer(a)
		case ActionHealthCheck:
			if !host.cfg.MayHealthCheck {
				host.t.Fatalf("health check of %s though MayHealthCheck is not set", a.Worker)
			}
			host.healthChecks = append(host.healthChecks, a.Worker)
		case ActionCancel:
			r := host.requests[a.ID]
			for i, attempt := range host.inFlight {
				if attempt.id == a.ID && attempt.number == a.Attempt {
					host.inFlight[i].code, host.inFlight[i].finishesAt = Cancelled, host.now+ms
				}
			}
			if a.Attempt >= len(r.attempts) {
				host.t.Fatalf("cancel of attempt %d of request %d, which has %d attempts", a.Attempt, a.ID, len(r.attempts))
			}
		}
	}
	host.open = slices.DeleteFunc(host.open, func(id uint64) bool {
		r := host.requests[id]
		if !r.answered && host.now > r.deadline+8*ms {
			host.t.Fatalf("request %d not answered by its deadline; attempts %+v", id, r.attempts)
		}
		return r.answered
	})
}

func (host *randomHost) findWorker(id string) Worker {
	return host.workers[slices.IndexFunc(host.workers, func(w Worker) bool { return w.ID == id })]
}

// randomCodes are the outcomes of attempts, drawn with equal probability. Most are failures, as invariants are
// most likely to break there.
var randomCodes = []Code{
	Served, Served, Served, WorkerError, Saturated, Unreachable, Reset, NotSent, DeadlineExceeded,
}

// checkSend checks that an attempt may be sent, and draws its outcome and the time of that.
func (host *randomHost) checkSend(a Action) {
	host.t.Helper()
	r := host.requests[a.ID]
	c := host.cfg.Classes[r.class]
	w := host.findWorker(a.Worker)
	if r.answered {
		host.t.Fatalf("request %d sent to %s after its final answer", a.ID, a.Worker)
	}
	if w.State != Live {
		host.t.Fatalf("request %d sent to %s in state %d, want %d", a.ID, a.Worker, w.State, Live)
	}
	if len(r.attempts) >= host.cfg.MaxAttempts {
		host.t.Fatalf("request %d sent again after %d attempts, want at most %d", a.ID, len(r.attempts), host.cfg.MaxAttempts)
	}
	for _, attempt := range r.attempts {
		if attempt.reported && attempt.code.NeverRan() {
			continue
		}
		if c.Effect == AtMostOnce {
			host.t.Fatalf("request %d sent again after attempt %d, which may have run", a.ID, attempt.number)
		}
		if c.Effect == Deduplicated {
			first := host.findWorker(attempt.worker)
			inScope := c.Scope == ScopeAll || c.Scope == ScopeZone && first.Zone == w.Zone ||
				c.Scope == ScopeCell && first.Cell == w.Cell
			if !inScope || host.now-attempt.sentAt > c.KeyTTL {
				host.t.Fatalf("request %d sent to %s %d ns after the attempt at %s, want scope %d and at most %d ns",
					a.ID, a.Worker, host.now-attempt.sentAt, attempt.worker, c.Scope, c.KeyTTL)
			}
			break
		}
	}
	code := randomCodes[host.rng.IntN(len(randomCodes))]
	attempt := randomAttempt{id: a.ID, number: len(r.attempts), worker: a.Worker, sentAt: host.now, code: code}
	attempt.finishesAt = host.now + host.rng.Int64N(400*ms)
	if host.rng.IntN(10) == 0 {
		attempt.finishesAt = host.now + 10*second // a hung worker
	}
	r.attempts = append(r.attempts, attempt)
	host.inFlight = append(host.inFlight, attempt)
}

// checkAnswer checks that a request may have a final answer, and may be shed if it is.
func (host *randomHost) checkAnswer(a Action) {
	host.t.Helper()
	r := host.requests[a.ID]
	if r.answered {
		host.t.Fatalf("request %d answered a second time, by action kind %d", a.ID, a.Kind)
	}
	r.answered = true
	if a.Kind == ActionFail {
		return
	}
	c := host.cfg.Classes[r.class]
	for _, attempt := range r.attempts {
		ran := !attempt.reported || !attempt.code.NeverRan()
		if ran && (c.Effect == AtMostOnce || c.Effect == Deduplicated && c.Scope != ScopeAll) {
			host.t.Fatalf("request %d shed though attempt %d may have run", a.ID, attempt.number)
		}
	}
}

// randomConfigs returns 12 configurations that differ in scope, permissions, number of dispatchers and tenants.
func randomConfigs() (cfgs []Config) {
	for i := range 12 {
		cfg := testConfig()
		cfg.Classes[2].Scope = Scope(i % 3)
		cfg.Classes[2].KeyTTL = []int64{100 * ms, 5 * second}[i%2]
		cfg.MayHedge, cfg.MayCancel, cfg.StartNotes = i%2 == 0, i%3 != 0, i%5 != 0
		cfg.Dispatchers = 1 + i%4
		cfg.PollEndpoints, cfg.MaxPollInterval = i%2 == 1, 5*second
		cfg.MayGossip = i%4 == 3
		cfg.MayHealthCheck = i%2 == 1
		cfg.MayRetryAfter = i%3 == 0
		cfg.Prices.Fetch = float64(i % 2)
		if i%6 == 0 {
			cfg.Tenants = nil
		}
		cfgs = append(cfgs, cfg)
	}
	return cfgs
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	for i, cfg := range randomConfigs() {
		for seed := range uint64(6) {
			newRandomHost(t, seed*100+uint64(i), cfg).run(1500)
		}
	}
}

func FuzzInvariants(f *testing.F) {
	f.Add(uint64(1), uint8(0))
	cfgs := randomConfigs()
	f.Fuzz(func(t *testing.T, seed uint64, cfg uint8) {
		newRandomHost(t, seed, cfgs[int(cfg)%len(cfgs)]).run(300)
	})
}
