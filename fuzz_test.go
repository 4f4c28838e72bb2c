package foxlift

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// A fuzzed host plays random but lawful events against a dispatcher and checks
// the rules with bookkeeping of its own.
type fuzzed struct {
	t       *testing.T
	cfg     Config
	d       *Dispatcher
	rng     *rand.Rand
	now     int64
	nextID  uint64
	reqs    map[uint64]*fuzzReq
	open    []uint64 // ids not yet answered
	out     []fuzzTry
	timers  []Action
	probes  []string
	workers []Worker
	log     []Action
}

type fuzzReq struct {
	class    int
	deadline int64
	tries    []fuzzTry
	answered bool
	told     int64 // when the dispatcher learned that it ended; 0 if not
}

type fuzzTry struct {
	id      uint64
	n       int
	worker  string
	at, due int64
	code    Code
	told    bool // its outcome was delivered
}

func newFuzz(t *testing.T, seed uint64, cfg Config) *fuzzed {
	d, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	f := &fuzzed{t: t, cfg: cfg, d: d, rng: rand.New(rand.NewPCG(seed, 7)), now: 3 * second, reqs: map[uint64]*fuzzReq{}}
	f.workers = fleet(10)
	f.step([]Event{{Kind: EventEndpoints, EndpointUpdate: EndpointsCached, Workers: slices.Clone(f.workers)}})
	return f
}

func (f *fuzzed) run(steps int) {
	for range steps {
		f.now += 1 + f.rng.Int64N(6*ms)
		f.step(f.events())
	}
	for range 3000 { // until all is answered
		f.now += 2 * ms
		f.step(f.due())
	}
	for id, r := range f.reqs {
		if !r.answered {
			f.t.Fatalf("request %d got no answer", id)
		}
	}
	if len(f.d.jobs) != 0 || f.d.inFlightSlots != 0 {
		f.t.Fatalf("%d jobs and %v slots left at the end", len(f.d.jobs), f.d.inFlightSlots)
	}
}

func (f *fuzzed) events() (events []Event) {
	for range f.rng.IntN(3) {
		f.nextID++
		r := &fuzzReq{class: f.rng.IntN(len(f.cfg.Classes)), deadline: f.now + f.rng.Int64N(2*second)}
		f.reqs[f.nextID] = r
		f.open = append(f.open, f.nextID)
		events = append(events, Event{Kind: EventRequest, Request: Request{
			ID: f.nextID, Class: r.class, Tenant: f.rng.IntN(4) - 1, Deadline: r.deadline,
			Key: f.rng.Uint64N(5), Slots: float64(f.rng.IntN(3)),
		}})
	}
	switch f.rng.IntN(40) {
	case 0:
		w := &f.workers[f.rng.IntN(len(f.workers))]
		w.State = WorkerState(f.rng.IntN(3))
		if w.State == Live && f.rng.IntN(2) == 0 {
			w.StartedAt = f.now
		}
		events = append(events, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: []Worker{*w}})
	case 1:
		events = append(events, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: slices.Clone(f.workers)})
	case 2:
		events = append(events, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsPollFailed})
	case 3:
		if len(f.open) > 0 {
			id := f.open[f.rng.IntN(len(f.open))]
			if r := f.reqs[id]; !r.answered {
				r.answered, r.told = true, f.now
				events = append(events, Event{Kind: EventClientDisconnected, ID: id})
			}
		}
	}
	return append(events, f.due()...)
}

// due delivers timers and the outcomes of attempts that end by now.
func (f *fuzzed) due() (events []Event) {
	f.timers = slices.DeleteFunc(f.timers, func(a Action) bool {
		if a.At > f.now {
			return false
		}
		events = append(events, Event{Kind: EventTimer, Token: a.Token})
		return true
	})
	for len(f.probes) > 0 && f.rng.IntN(3) > 0 {
		e := Event{Kind: EventHealthChecked, Worker: f.probes[0], Code: []Code{Served, DeadlineExceeded}[f.rng.IntN(2)]}
		e.HasLoad = e.Code == Served
		events, f.probes = append(events, e), f.probes[1:]
	}
	kept := f.out[:0]
	for _, try := range f.out {
		r := f.reqs[try.id]
		if try.due > f.now && r.deadline > f.now {
			if f.rng.IntN(20) == 0 {
				events = append(events, started(try.id, try.n, try.worker))
			}
			kept = append(kept, try)
			continue
		}
		code := try.code
		if r.deadline <= f.now && try.due > f.now {
			code = DeadlineExceeded
		}
		e := outcome(try.id, try.n, try.worker, code)
		if code == Served && !r.answered {
			r.answered, r.told = true, f.now
		}
		e.Ended = r.answered
		r.tries[try.n].told, r.tries[try.n].code = true, code
		events = append(events, e)
	}
	f.out = kept
	return events
}

func (f *fuzzed) step(events []Event) {
	f.t.Helper()
	for _, a := range f.d.Step(f.now, events) {
		f.log = append(f.log, a)
		switch a.Kind {
		case ActionTimer:
			f.timers = append(f.timers, a)
		case ActionSend:
			f.checkSend(a)
		case ActionShed, ActionFail:
			f.checkAnswer(a)
		case ActionHealthCheck:
			if !f.cfg.MayHealthCheck {
				f.t.Fatal("a probe where none is allowed")
			}
			f.probes = append(f.probes, a.Worker)
		case ActionCancel:
			r := f.reqs[a.ID]
			for i, try := range f.out {
				if try.id == a.ID && try.n == a.Attempt {
					f.out[i].code, f.out[i].due = Cancelled, f.now+ms
				}
			}
			if a.Attempt >= len(r.tries) {
				f.t.Fatalf("cancel of attempt %d of %d", a.Attempt, a.ID)
			}
		}
	}
	f.open = slices.DeleteFunc(f.open, func(id uint64) bool {
		r := f.reqs[id]
		if !r.answered && f.now > r.deadline+8*ms {
			f.t.Fatalf("request %d not answered by its deadline; tries %+v", id, r.tries)
		}
		return r.answered
	})
}

func (f *fuzzed) find(id string) Worker {
	return f.workers[slices.IndexFunc(f.workers, func(w Worker) bool { return w.ID == id })]
}

func (f *fuzzed) checkSend(a Action) {
	f.t.Helper()
	r := f.reqs[a.ID]
	c := f.cfg.Classes[r.class]
	w := f.find(a.Worker)
	if r.answered {
		f.t.Fatalf("request %d sent after its end", a.ID)
	}
	if w.State != Live {
		f.t.Fatalf("request %d sent to %s in state %d", a.ID, a.Worker, w.State)
	}
	if len(r.tries) >= f.cfg.MaxAttempts {
		f.t.Fatalf("request %d sent too often", a.ID)
	}
	for _, try := range r.tries {
		if try.told && try.code.NeverRan() {
			continue
		}
		if c.Effect == AtMostOnce {
			f.t.Fatalf("request %d sent again after attempt %d, which may have run", a.ID, try.n)
		}
		if c.Effect == Deduplicated {
			first := f.find(try.worker)
			in := c.Scope == ScopeAll || c.Scope == ScopeZone && first.Zone == w.Zone ||
				c.Scope == ScopeCell && first.Cell == w.Cell
			if !in || f.now-try.at > c.KeyTTL {
				f.t.Fatalf("request %d left its group or its time", a.ID)
			}
			break
		}
	}
	// Heavy on failures: the rules are broken there, if anywhere.
	code := []Code{Served, Served, Served, WorkerError, Saturated, Unreachable, Reset, NotSent, DeadlineExceeded}[f.rng.IntN(9)]
	try := fuzzTry{id: a.ID, n: len(r.tries), worker: a.Worker, at: f.now, code: code}
	try.due = f.now + f.rng.Int64N(400*ms)
	if f.rng.IntN(10) == 0 {
		try.due = f.now + 10*second // a hung worker
	}
	r.tries = append(r.tries, try)
	f.out = append(f.out, try)
}

func (f *fuzzed) checkAnswer(a Action) {
	f.t.Helper()
	r := f.reqs[a.ID]
	if r.answered {
		f.t.Fatalf("request %d answered twice", a.ID)
	}
	r.answered, r.told = true, f.now
	if a.Kind == ActionFail {
		return
	}
	c := f.cfg.Classes[r.class]
	for _, try := range r.tries {
		ran := !try.told || !try.code.NeverRan()
		if ran && (c.Effect == AtMostOnce || c.Effect == Deduplicated && c.Scope != ScopeAll) {
			f.t.Fatalf("request %d refused though attempt %d may have run", a.ID, try.n)
		}
	}
}

func fuzzConfigs() (cfgs []Config) {
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

func TestRulesUnderRandomEvents(t *testing.T) {
	for i, cfg := range fuzzConfigs() {
		for seed := range uint64(6) {
			newFuzz(t, seed*100+uint64(i), cfg).run(1500)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1), uint8(0))
	cfgs := fuzzConfigs()
	f.Fuzz(func(t *testing.T, seed uint64, cfg uint8) {
		newFuzz(t, seed, cfgs[int(cfg)%len(cfgs)]).run(300)
	})
}
