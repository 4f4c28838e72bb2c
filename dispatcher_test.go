package foxlift

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const ms = int64(1e6)

func testConfig() Config {
	return Config{
		Classes: []Class{
			{Name: "read", LatencyObjective: 100 * ms, ObjectiveStretch: 2, Deadline: 2000 * ms, Effect: Idempotent, Kind: -1, PriorityWeight: 1},
			{Name: "order", LatencyObjective: 100 * ms, ObjectiveStretch: 2, Deadline: 2000 * ms, Effect: AtMostOnce, Kind: -1, PriorityWeight: 1},
			{Name: "keyed", LatencyObjective: 100 * ms, ObjectiveStretch: 2, Deadline: 2000 * ms, Effect: Deduplicated, KeyTTL: 1000 * ms,
				Scope: ScopeCell, Kind: -1, PriorityWeight: 1},
		},
		Tenants:     []Tenant{{"a", 100}, {"b", 100}},
		Dispatchers: 1, MayCancel: true, MayHedge: true, MaxAttempts: 4, StartNotes: true,
		SlowStartCapacity: 0.2, SlowStartDuration: 20 * second, OverloadMultiple: 3, OverloadWindow: 2 * second,
		Gauges: []Gauge{GaugeFreeSlots}, MaxRetryAfter: 1000 * ms,
	}
}

// A rig is a dispatcher with a clock and the answers of one step at a time.
type rig struct {
	t   *testing.T
	d   *Dispatcher
	now int64
	out []Action
}

func newRig(t *testing.T, cfg Config, workers ...Worker) *rig {
	t.Helper()
	return newSeededRig(t, cfg, 1, workers...)
}

func newSeededRig(t *testing.T, cfg Config, seed uint64, workers ...Worker) *rig {
	t.Helper()
	d, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, d: d, now: 5 * second}
	r.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsCached, Workers: workers}, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta})
	return r
}

func (r *rig) step(events ...Event) []Action {
	r.out = append([]Action(nil), r.d.Step(r.now, events)...)
	return r.out
}

func (r *rig) after(dt int64, events ...Event) []Action {
	r.now += dt
	return r.step(events...)
}

// only returns the actions of one kind in the last step.
func (r *rig) only(k ActionKind) (as []Action) {
	for _, a := range r.out {
		if a.Kind == k {
			as = append(as, a)
		}
	}
	return as
}

func (r *rig) want(k ActionKind, n int) []Action {
	r.t.Helper()
	as := r.only(k)
	if len(as) != n {
		r.t.Fatalf("%d actions of kind %d, want %d: %+v", len(as), k, n, r.out)
	}
	return as
}

func (r *rig) request(id uint64, class int) Event {
	return Event{Kind: EventRequest, Request: Request{ID: id, Class: class, Deadline: r.now + 2*second}}
}

func outcome(id uint64, attempt int, w string, c Code) Event {
	return Event{Kind: EventOutcome, ID: id, Attempt: attempt, Worker: w, Code: c, Took: 50 * ms, Ended: c == Served}
}

func started(id uint64, attempt int, w string) Event {
	return Event{Kind: EventStarted, ID: id, Attempt: attempt, Worker: w}
}

func fleet(n int) (ws []Worker) {
	for i := range n {
		ws = append(ws, Worker{ID: fmt.Sprintf("w%d", i), Zone: i % 2, Kind: -1, Cell: i / 2})
	}
	return ws
}

// policyFiles returns the files that deploy/balancer.toml lists as the ones that decide.
func policyFiles(t *testing.T) []string {
	t.Helper()
	settings, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(settings)
	if list == nil {
		t.Fatal("deploy/balancer.toml has no list of policy files in one line")
	}
	var files []string
	for name := range strings.SplitSeq(string(list[1]), ",") {
		files = append(files, strings.Trim(name, ` "`))
	}
	return files
}

func TestLineLimits(t *testing.T) {
	for _, name := range policyFiles(t) {
		lines := 0
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		for sc := bufio.NewScanner(f); sc.Scan(); {
			if strings.TrimSpace(sc.Text()) != "" {
				lines++
			}
			if len(sc.Text()) > 110 {
				t.Errorf("%s: line of %d characters: %s", name, len(sc.Text()), sc.Text())
			}
		}
		if lines == 0 || lines >= 400 {
			t.Errorf("%s has %d lines that are not blank, want 1 to 399", name, lines)
		}
	}
}

// Every file of the module is listed as one that decides, or says that it does not.
func TestEveryFileIsPolicyOrDecidesNothing(t *testing.T) {
	policy := policyFiles(t)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") || name == "api.go" || slices.Contains(policy, name) {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(text), " Nothing is decided here.\n") {
			t.Errorf("%s is not listed under policy and does not say that nothing is decided there", name)
		}
	}
}

func TestConfigErrorsNameTheField(t *testing.T) {
	for want, spoil := range map[string]func(*Config){
		"Classes is empty":      func(c *Config) { c.Classes = nil },
		"negative time":         func(c *Config) { c.Classes[1].LatencyObjective = -1 },
		"Effect is unknown":     func(c *Config) { c.Classes[0].Effect = 9 },
		"Scope is unknown":      func(c *Config) { c.Classes[2].Scope = 9 },
		"Kind is under -1":      func(c *Config) { c.Classes[0].Kind = -2 },
		"Dispatchers":           func(c *Config) { c.Dispatchers = 0 },
		"Index":                 func(c *Config) { c.Index = 7 },
		"Quota is negative":     func(c *Config) { c.Tenants[0].Quota = -1 },
		"Bands[0]":              func(c *Config) { c.Bands = []Band{{Width: 1, Ratio: []float64{1}}} },
		"Gauges":                func(c *Config) { c.Gauges = make([]Gauge, MaxGauges+1) },
		"WarmAfter is negative": func(c *Config) { c.SlowStartDuration = -1 },
	} {
		cfg := testConfig()
		spoil(&cfg)
		if _, err := New(cfg, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one with %q", err, want)
		}
	}
}

// The figures are those of Table 1 of the Triage paper.
func TestSplitTable1(t *testing.T) {
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

// One update by hand: x = (0, 1, 1), covariance 10 I, lambda 0.9, so that
// P x = (0, 10, 10), the denominator 20.9, and with w = 1.5 the error 0.5: r1
// and r2 move by 10/20.9*0.5, s1 stays.
func TestModelUpdate(t *testing.T) {
	m := newModel().update([3]float64{0, 1, 1}, 1.5, forgettingFactor, covMax)
	r := 0.5 + 10/20.9*0.5
	if m.parameters[0] != 0 || math.Abs(m.parameters[1]-r) > 1e-12 || math.Abs(m.parameters[2]-r) > 1e-12 {
		t.Errorf("parameters %v, want 0 %v %v", m.parameters, r, r)
	}
	if want := (10 - 100/20.9) / 0.9; math.Abs(m.covariance[1][1]-want) > 1e-12 {
		t.Errorf("covariance %v, want %v", m.covariance[1][1], want)
	}
}

func TestRegulatorControlLaw(t *testing.T) {
	// With s1 0.2, r1 0.5, r2 0.3 and w 1.2 after u 0.8 the next u is
	// (1 - 0.2*1.2 - 0.3*0.8) / 0.5 = 1.04: clamped to 1. With w 2 it is 0.72.
	c := latencyLoop{Class: &Class{}, fit: model{parameters: [3]float64{0.2, 0.5, 0.3}}, input: 0.8}
	if v := c.step(1.2); v != 1 {
		t.Errorf("u %v, want 1", v)
	}
	c = latencyLoop{Class: &Class{}, fit: model{parameters: [3]float64{0.2, 0.5, 0.3}}, input: 0.8}
	if v := c.step(2); math.Abs(v-0.72) > 1e-12 {
		t.Errorf("u %v, want 0.72", v)
	}
}

func TestRegulatorReset(t *testing.T) {
	c := latencyLoop{Class: &Class{}, fit: newModel(), input: 0.5, previousInput: 0.5}
	c.fit.parameters = [3]float64{0, 0.2, 0.2}
	if v := c.step(2); v != 1 || c.fit.parameters != newModel().parameters {
		t.Errorf("u %v and model %v after a jump, want a reset", v, c.fit.parameters)
	}
}

func TestRegulatorDropsNegativeR1(t *testing.T) {
	c := latencyLoop{Class: &Class{}, fit: newModel(), input: 1, previousInput: 0}
	c.fit.parameters = [3]float64{0, 0.05, 0.5}
	before := c.fit
	c.step(0) // drives r1 under 0, by less than the reset share
	if next := before.update([3]float64{0, 1, 0}, 0, forgettingFactor, covMax); next.parameters[1] <= 0 && c.fit != before {
		t.Errorf("model %v kept", c.fit.parameters)
	}
	c.fit.covariance[1][1] = 100
	c.fit.parameters[1] = 0.01
	kept := c.fit
	c.previousOutput, c.input, c.previousInput = 0.1, 0.1, 1
	if next := kept.update([3]float64{0.1, 0.1, 1}, 0.3, forgettingFactor, covMax); next.parameters[1] > 0 || next.differsFrom(kept) {
		t.Fatalf("the case does not drive r1 under 0: %v", next.parameters)
	}
	if c.step(0.3); c.fit != kept {
		t.Errorf("a model with r1 <= 0 was taken: %v", c.fit.parameters)
	}
}

func TestQuietSecondChangesNothing(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Index = 4, 1
	r := newRig(t, cfg, fleet(4)...)
	c := &r.d.classes[0]
	c.fit.parameters = [3]float64{0.1, 0.4, 0.4}
	c.input = 0.5
	for range 5 {
		c.ratios = append(c.ratios, 1.5)
	}
	kept := c.fit
	r.d.controlPeriods = 1 // the next is not this dispatcher's turn
	r.d.runControlLoops()
	if c.fit != kept || c.input != 0.5 {
		t.Error("fewer than 6 jobs changed the loop")
	}
	r.d.controlPeriods = 4
	r.d.runControlLoops()
	if c.fit == kept {
		t.Error("the rotating dispatcher did not run its loop")
	}
}

func TestLightLoadIsNotDelayed(t *testing.T) {
	r := newRig(t, testConfig(), fleet(4)...)
	for id := uint64(1); id < 200; id++ {
		as := r.after(20*ms, r.request(id, 1))
		if n := len(r.only(ActionSend)); n != 1 {
			t.Fatalf("request %d: %d sends, want 1: %+v", id, n, as)
		}
		w := r.only(ActionSend)[0].Worker
		r.after(2*ms, started(id, 0, w))
		r.after(30*ms, outcome(id, 0, w, Served))
	}
}

func TestLateBindingHoldsWithoutRoom(t *testing.T) {
	r := newRig(t, testConfig(), fleet(1)...)
	r.d.workerOrder[0].concurrencyLimit = 2
	r.step(r.request(1, 1), r.request(2, 1), r.request(3, 1))
	r.want(ActionSend, 2)
	r.after(3 * ms)
	r.want(ActionSend, 0)
	r.after(20*ms, outcome(1, 0, "w0", Served))
	if a := r.want(ActionSend, 1)[0]; a.ID != 3 {
		t.Errorf("request %d sent, want 3", a.ID)
	}
}

func TestFewestGoFirst(t *testing.T) {
	r := newRig(t, testConfig(), fleet(3)...)
	seen := map[string]bool{}
	r.step(r.request(1, 1), r.request(2, 1), r.request(3, 1))
	for _, a := range r.want(ActionSend, 3) {
		seen[a.Worker] = true
	}
	if len(seen) != 3 {
		t.Errorf("three jobs on %d workers", len(seen))
	}
}

func TestCapLearnedFromFull(t *testing.T) {
	r := newRig(t, testConfig(), fleet(2)...)
	w := r.d.workerOrder[0]
	w.usedSlots = 3
	r.d.adjustCapacity(w, true)
	if w.concurrencyLimit >= 3 {
		t.Errorf("cap %v after a refusal at 3", w.concurrencyLimit)
	}
	if m := r.d.meanLimit(); m != w.concurrencyLimit {
		t.Errorf("a new worker counts at %v, want %v", m, w.concurrencyLimit)
	}
}

func TestKindIsKept(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].Kind = 1
	ws := fleet(4)
	for i := range ws {
		ws[i].Kind = i / 3
	}
	r := newRig(t, cfg, ws...)
	r.step(r.request(1, 1))
	if a := r.want(ActionSend, 1)[0]; a.Worker != "w3" {
		t.Errorf("sent to %s, the only worker of the kind is w3", a.Worker)
	}
}

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

func TestDrainStopsAtOnce(t *testing.T) {
	for _, state := range []WorkerState{Draining, Removed} {
		r := newRig(t, testConfig(), fleet(1)...)
		w := fleet(1)[0]
		w.State = state
		r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: []Worker{w}}, r.request(1, 0))
		r.want(ActionSend, 0)
	}
	r := newRig(t, testConfig(), fleet(2)...)
	r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: fleet(1)}, r.request(1, 0), r.request(2, 0))
	for _, a := range r.only(ActionSend) {
		if a.Worker != "w0" {
			t.Errorf("sent to %s, which the whole list lacks", a.Worker)
		}
	}
}

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

// Incident if801ee: a cold worker was sent by how much others were sent, though
// most of that was refused.
func TestColdPace(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers = 10
	ws := fleet(2)
	ws[1].StartedAt = 5 * second
	r := newRig(t, cfg, ws[0])
	for i := range cfg.Tenants {
		r.d.tenants[i].tokens, r.d.tenants[i].rate = 1000, 100
	}
	r.d.peakWorkerRate = 0.2 // slots at work, here, of each warm worker: 2 jobs of 100 ms a second
	r.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: ws[1:]})
	cold := 0
	for id := uint64(1); r.now < 15*second; id++ {
		r.after(5*ms, r.request(id, 1))
		for sent := r.only(ActionSend); len(sent) > 0; sent = r.only(ActionSend) {
			var full []Event
			for _, a := range sent {
				if a.Worker == "w1" {
					cold++
				}
				full = append(full, outcome(a.ID, len(r.d.jobs[a.ID].attempts)-1, a.Worker, Saturated))
			}
			r.after(0, full...)
		}
		r.d.peakWorkerRate = 0.2
	}
	// Ten seconds at a ramp from 0.2 to 0.6 of 2 a second are 8 jobs.
	if cold < 3 || cold > 14 {
		t.Errorf("%d sends to the cold worker in 10 s, want about 8", cold)
	}
}

func TestTenantOverItsShareIsShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{"a", 20}, {"b", 20}}
	r := newRig(t, cfg, fleet(1)...)
	refused := [2]int{}
	tenantOf := map[uint64]int{}
	var running []Action
	id := uint64(0)
	for round := range 400 {
		var events []Event
		r.d.workerOrder[0].concurrencyLimit = 2
		for n := range 4 { // three of tenant 0 in each round, one of tenant 1 in every other
			if tenant := n / 3; tenant == 0 || round%2 == 0 {
				id++
				e := r.request(id, 1)
				e.Request.Tenant = tenant
				tenantOf[id] = tenant
				events = append(events, e)
			}
		}
		for _, a := range running {
			events = append(events, outcome(a.ID, a.Attempt, a.Worker, Served))
		}
		r.after(49*ms, events...)
		running = r.only(ActionSend)
		events = nil
		for _, a := range r.only(ActionShed) {
			refused[tenantOf[a.ID]]++
		}
		for _, a := range running {
			events = append(events, started(a.ID, a.Attempt, a.Worker))
		}
		r.d.workerOrder[0].concurrencyLimit = 2
		r.after(ms, events...)
		running = append(running, r.only(ActionSend)...)
		for _, a := range r.only(ActionShed) {
			refused[tenantOf[a.ID]]++
		}
	}
	if refused[0] < 100 || refused[1] > 10 {
		t.Errorf("refused %v of tenants over and under their share", refused)
	}
}

func TestListAsksBackOffButNotPastTheLimit(t *testing.T) {
	cfg := testConfig()
	cfg.PollEndpoints, cfg.MaxPollInterval = true, 8*second
	r := newRig(t, cfg, fleet(1)...)
	last, asks := r.now, 0
	for r.now < 120*second {
		r.after(50*ms, Event{Kind: EventTimer, Token: 1})
		if len(r.only(ActionWatchEndpoints)) == 0 {
			continue
		}
		asks++
		if gap := r.now - last; gap > cfg.MaxPollInterval {
			t.Fatalf("%d ns between asks, at most %d", gap, cfg.MaxPollInterval)
		}
		last = r.now
		r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsPollFailed})
	}
	if asks < 15 || asks > 100 {
		t.Errorf("%d asks in two minutes of failures", asks)
	}
	r.after(8*second, Event{Kind: EventTimer, Token: 1})
	r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta})
	for range 100 {
		r.after(100*ms, Event{Kind: EventTimer, Token: 1})
		r.want(ActionWatchEndpoints, 0)
	}
}

// The host's side of the contract: what a host that breaks it gets.
func TestBrokenContractIsHarmless(t *testing.T) {
	r := newRig(t, testConfig(), fleet(2)...)
	r.step(
		outcome(99, 0, "w0", Served), started(99, 3, "nowhere"), Event{Kind: EventClientDisconnected, ID: 99},
		Event{Kind: EventTimer, Token: 12345}, Event{Kind: EventHealthChecked, Worker: "nowhere"},
		Event{Kind: EventMessage, From: -4, Data: []byte("x")}, Event{Kind: EventProgress, Worker: "nowhere"},
		Event{Kind: EventRequest, Request: Request{ID: 5, Class: 77, Deadline: r.now + second}},
	)
	r.step(r.request(1, 0))
	w := r.want(ActionSend, 1)[0].Worker
	r.step(r.request(1, 0)) // the same id again
	r.want(ActionSend, 0)
	r.now -= second // time must not go back: it counts as standing still
	r.step(outcome(1, 7, w, Served), outcome(1, -1, w, Served))
	r.now += second
	r.step(outcome(1, 0, w, Served), outcome(1, 0, w, Served))
	if len(r.d.jobs) != 0 || r.d.inFlightSlots != 0 {
		t.Errorf("%d jobs and %v slots left", len(r.d.jobs), r.d.inFlightSlots)
	}
}

func TestNoTenantsOneDispatcherEmptyList(t *testing.T) {
	cfg := Config{Classes: []Class{{LatencyObjective: 100 * ms, Deadline: second, Kind: -1}}, Dispatchers: 1}
	r := newRig(t, cfg)
	r.step(Event{Kind: EventRequest, Request: Request{ID: 1, Tenant: -1, Deadline: r.now + second}})
	r.want(ActionSend, 0)
	r.after(10*ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: fleet(1)})
	r.want(ActionSend, 1)
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []Action) {
		f := newFuzz(t, 42, testConfig())
		f.run(2000)
		return f.log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs differ")
	}
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

func TestPartFollowsTheTraffic(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers = 10
	cfg.Tenants = []Tenant{{"big", 300}, {"a", 100}, {"b", 100}, {"c", 100}, {"d", 100}}
	r := newRig(t, cfg)
	set := func(offered ...float64) {
		for i, o := range offered {
			r.d.tenants[i].offeredRate = o
		}
	}
	set(20, 5, 5, 5, 5)
	if p := r.d.measuredFraction(); p != 0.1 {
		t.Errorf("part %v of a quiet dispatcher, want an even 0.1", p)
	}
	set(180, 20, 20, 20, 20) // twice an even part of the traffic; big sends three times its share
	if p := r.d.measuredFraction(); p != 0.2 {
		t.Errorf("part %v of a busy dispatcher, want 0.2", p)
	}
	set(180, 20, 20, 20, 120) // one more tenant bursts: it must not count as traffic of all
	if p := r.d.measuredFraction(); p != 0.2 {
		t.Errorf("part %v while a tenant bursts, want 0.2", p)
	}
}

// Incident if801ee: with half the fleet lost, jobs within the shares alone
// overfilled the rest. A fleet drained on purpose does not count.
func TestStandingFleet(t *testing.T) {
	r := newRig(t, testConfig(), fleet(4)...)
	ws := fleet(4)
	ws[0].State = Draining
	r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: ws[:1]})
	ws[0].State = Removed
	r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: ws[:1]})
	if s := r.d.remainingCapacity(); s != 1 {
		t.Errorf("%v stand after a drain, want all", s)
	}
	ws[1].State = Removed
	r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: ws[1:2]})
	if s := r.d.remainingCapacity(); math.Abs(s-2.0/3) > 1e-9 {
		t.Errorf("%v stand after a loss, want 2/3", s)
	}
	ws[1].State, ws[1].StartedAt = Live, r.now
	r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: ws[1:2]})
	if s := r.d.remainingCapacity(); s < 0.7 || s > 0.75 {
		t.Errorf("%v stand with the third back at a fifth, want 2.2/3", s)
	}
	r.after(21*second, Event{Kind: EventTimer, Token: 1})
	if s := r.d.remainingCapacity(); s != 1 {
		t.Errorf("%v stand when it is warm, want all", s)
	}
}

// Incident if1a1e4: the warm rate fell with the service, and starved the young.
func TestWarmRateHoldsItsPeak(t *testing.T) {
	r := newRig(t, testConfig(), fleet(2)...)
	r.d.servedSlots = 200
	r.d.runControlLoops()
	peak := r.d.peakWorkerRate
	for range 5 {
		r.d.runControlLoops()
	}
	if peak == 0 || r.d.peakWorkerRate < peak*0.9 {
		t.Errorf("warm rate %v five idle seconds after %v", r.d.peakWorkerRate, peak)
	}
}

// At two jobs a second nothing is known of a large fleet: the job waits for a probe.
func TestQuietDispatcherScouts(t *testing.T) {
	cfg := testConfig()
	cfg.MayHealthCheck, cfg.Dispatchers = true, 2
	r := newRig(t, cfg, fleet(20)...)
	r.d.fleetPressure.avg = 0.5
	r.step(r.request(1, 0))
	r.want(ActionSend, 0)
	probes := r.want(ActionHealthCheck, 2)
	e := Event{Kind: EventHealthChecked, Worker: probes[1].Worker, Code: Served, HasLoad: true}
	e.Load[0] = 6
	r.after(2*ms, e)
	if a := r.want(ActionSend, 1)[0]; a.Worker != probes[1].Worker {
		t.Errorf("sent to %s, not to the worker known to be free", a.Worker)
	}
	r.now += 5 * second
	r.step(r.request(2, 0))
	r.want(ActionSend, 0)
	for range 4 { // no probe answers: the wait is short all the same
		if r.after(r.d.tickInterval, Event{Kind: EventTimer, Token: 1}); len(r.only(ActionSend)) == 1 {
			return
		}
	}
	t.Error("the job waits for probes that do not answer")
}

// What one class of a tenant over its share gets must not come out of another's.
func TestClassesOfATenantAreServedEvenly(t *testing.T) {
	r := newRig(t, testConfig())
	tn := &r.d.tenants[0]
	tn.offeredRate, tn.rate = 50, 5
	tn.flows[0] = flow{arrivals: 100, sends: 60}
	tn.flows[1] = flow{arrivals: 100, sends: 20}
	jobs := []*job{{class: &r.d.classes[0]}, {class: &r.d.classes[1], req: Request{Class: 1}}}
	if tn.urgency(r.d, jobs[1]) <= tn.urgency(r.d, jobs[0]) {
		t.Error("the class that got less is not the more urgent")
	}
}

// Old reports were believed for ever, and workers once seen busy stayed unused.
func TestReportsFade(t *testing.T) {
	r := newRig(t, testConfig(), fleet(1)...)
	w := r.d.workerOrder[0]
	e := Event{Kind: EventHealthChecked, Worker: "w0", Code: Served, HasLoad: true}
	r.step(e) // no free slots
	r.d.fleetPressure.avg = 0.3
	fresh := r.d.pressure(w, 1)
	r.now += 20 * second
	r.step()
	if old := r.d.pressure(w, 1); fresh < 0.9 || math.Abs(old-0.3) > 0.01 {
		t.Errorf("pressure %v when fresh and %v when old, want about 1 and 0.3", fresh, old)
	}
}

func TestKeysAreSentToTheirHomes(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.Fetch = 0.1
	seen := map[string]int{}
	for seed := range uint64(40) { // dispatchers that know nothing of one another
		d, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		d.Step(second, []Event{{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: fleet(60)}})
		as := d.Step(second, []Event{{Kind: EventRequest, Request: Request{ID: 1, Deadline: 3 * second, Key: 99}}})
		for _, a := range as {
			if a.Kind == ActionSend {
				seen[a.Worker]++
			}
		}
	}
	if len(seen) != 1 {
		t.Errorf("one key went to %d workers: %v", len(seen), seen)
	}
}

// A worker with a start overdue is in none of the room lists.
func TestOverdueWorkerHasNoRoom(t *testing.T) {
	r := newRig(t, testConfig(), fleet(1)...)
	w := r.d.workerOrder[0]
	w.overdue = 1
	if r.d.updateLevel(w); w.level >= 0 {
		t.Error("a worker with an overdue job may get more")
	}
	w.overdue = 0
	if r.d.updateLevel(w); w.level < 0 {
		t.Error("a worker heard of again gets nothing")
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

// Shed jobs are no measure of capacity (incident if801ee), nor are those of the young.
func TestServedCountsOnlyWarmSuccess(t *testing.T) {
	r := newRig(t, testConfig(), fleet(2)...)
	w := r.d.workerOrder[0]
	end := func(c Code) {
		r.d.recordOutcome(&attempt{job: &job{class: &r.d.classes[0], objective: 1}, worker: w, slots: 1}, &Event{Code: c, Took: second})
	}
	end(Saturated)
	if r.d.servedSlots != 0 {
		t.Error("a refusal counts as served")
	}
	end(Served)
	if r.d.servedSlots != 1 {
		t.Error("a served job does not count")
	}
	w.startedAt = r.now
	if end(Served); r.d.servedSlots != 1 {
		t.Error("a cold worker's job counts")
	}
}

func TestDrainedWorkerIsNotLost(t *testing.T) {
	r := newRig(t, testConfig(), fleet(2)...)
	ws := fleet(2)
	for _, s := range []WorkerState{Removed, Draining, Removed} { // lost, back only to drain, gone
		ws[0].State = s
		r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: ws[:1]})
		r.d.remainingCapacity()
	}
	if s := r.d.remainingCapacity(); s != 1 {
		t.Errorf("%v stand, want all", s)
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

// At two jobs a second a loop never saw 6 in one second, and kept a stale model.
func TestJobsCountUntilALoopUsesThem(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Index = 50, 49
	r := newRig(t, cfg, fleet(1)...)
	c := &r.d.classes[0]
	for i := range 4 {
		c.sample(1.5)
		c.sample(1.5)
		r.d.runControlLoops()
		if ran := c.previousOutput != 0; ran != (i >= 2) {
			t.Fatalf("after %d jobs the loop ran: %v", 2*i+2, ran)
		}
		if i == 2 {
			return
		}
	}
}

// A burst of all tenants looks like a larger part of the traffic; it must not
// let everything in as within the bands (western big-2).
func TestBurstIsNoPart(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatchers = 10
	r := newRig(t, cfg)
	r.d.controlPeriods = 100
	r.d.trafficFraction = 0.1
	for i := range cfg.Tenants {
		r.d.tenants[i].offeredRate, r.d.tenants[i].arrivals = 30, 30
	}
	r.d.updateRates()
	if rate := r.d.tenants[0].rate; rate > 100*0.12 {
		t.Errorf("rate %v in the first second of a burst, want about 10", rate)
	}
}

func TestScoutsRestInAFullFleet(t *testing.T) {
	cfg := testConfig()
	cfg.MayHealthCheck = true
	r := newRig(t, cfg, fleet(20)...)
	r.d.fleetPressure.avg = 0.95
	r.step(r.request(1, 0))
	r.want(ActionHealthCheck, 0)
	r.want(ActionSend, 1)
}

func TestOpenLoopNeedsNoTokens(t *testing.T) {
	r := newRig(t, testConfig(), fleet(5)...)
	r.d.tenants[0].tokens, r.d.tenants[0].rate, r.d.burstTokens = 0, 0, 0
	r.d.unthrottled = true
	r.step(r.request(1, 0))
	r.want(ActionSend, 1)
	r.d.tenants[0].tokens, r.d.burstTokens, r.d.burstRate, r.d.unthrottled = 0, 0, 0, false
	r.step(r.request(2, 0))
	r.want(ActionSend, 0)
}

// Without excitation forgetting would let the covariance grow for ever.
func TestCovarianceStaysBounded(t *testing.T) {
	m := newModel()
	for range 500 {
		m = m.update([3]float64{0.4, 1, 1}, 0.4, forgettingFactor, covMax)
	}
	trace := m.covariance[0][0] + m.covariance[1][1] + m.covariance[2][2]
	if trace > covMax*1.2 || math.IsNaN(trace) {
		t.Errorf("trace %v after 500 seconds alike", trace)
	}
}

// maySend alone keeps the rules, whatever asks it.
func TestMaySendAlone(t *testing.T) {
	r := newRig(t, testConfig(), fleet(2)...)
	w := r.d.workerOrder[0]
	j := &job{class: &r.d.classes[1], req: Request{Deadline: r.now + second}}
	if !r.d.maySend(j, w) {
		t.Fatal("a new job may not be sent")
	}
	j.mayHaveRun = &attempt{worker: w, sentAt: r.now, done: true, mayHaveRun: true}
	if r.d.maySend(j, w) {
		t.Error("an unsafe job that may have run may be sent")
	}
	j.mayHaveRun = nil
	for _, s := range []WorkerState{Draining, Removed} {
		if w.state = s; r.d.maySend(j, w) {
			t.Errorf("a job may be sent to a worker in state %d", s)
		}
	}
	w.state = Live
	if j.ended = true; r.d.maySend(j, w) {
		t.Error("a job that ended may be sent")
	}
	j.ended = false
	if r.now = j.req.Deadline; r.d.maySend(j, w) {
		r.step()
		if r.d.maySend(j, w) {
			t.Error("a job may be sent at its deadline")
		}
	}
}

// The rates of tenants shrink with a fleet that lost workers.
func TestRatesFollowTheStandingFleet(t *testing.T) {
	r := newRig(t, testConfig(), fleet(4)...)
	r.d.updateRates()
	whole := r.d.tenants[0].rate
	ws := fleet(4)[:2]
	ws[0].State, ws[1].State = Removed, Removed
	r.after(ms, Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: ws})
	r.d.updateRates()
	if half := r.d.tenants[0].rate; math.Abs(half-whole/2) > 1e-9 {
		t.Errorf("rate %v with half the fleet lost, %v before", half, whole)
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

// Jobs stay in their zone until a worker of another has four fewer of ours.
func TestCrossingCountsAsJobs(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.CrossZone = 0.1
	r := newRig(t, cfg, fleet(2)...) // w0 in this zone
	for _, w := range r.d.workerOrder {
		w.concurrencyLimit = 9
	}
	got := map[string]int{}
	for id := uint64(1); id <= 6; id++ {
		got[r.step(r.request(id, 0))[0].Worker]++
	}
	if got["w0"] != 5 || got["w1"] != 1 {
		t.Errorf("jobs by worker: %v", got)
	}
}

// A job goes where its key was lately, unless others have far fewer of our jobs.
func TestJobsFollowTheirKeys(t *testing.T) {
	r := newRig(t, testConfig(), fleet(3)...)
	ask := func(id, key uint64) string {
		e := r.request(id, 0)
		e.Request.Key = key
		return r.step(e)[0].Worker
	}
	home := ask(1, 7)
	if other, next := ask(2, 8), ask(3, 7); other == home || next != home {
		t.Errorf("key 7 goes to %s, 8 to %s, 7 to %s", home, other, next)
	}
	again := 0
	for id := uint64(4); id <= 7; id++ {
		if ask(id, 7) == home {
			again++
		}
	}
	if again > 2 {
		t.Errorf("%d of 4 more pile up at home", again)
	}
	w := r.d.workers[home]
	for key := uint64(20); key < 20+keptKeys; key++ {
		w.recordKey(key)
	}
	if w.likelyCaches(7) || !w.likelyCaches(20) || len(w.cachedKeys) != keptKeys {
		t.Errorf("keys kept: %v", w.cachedKeys)
	}
	r.d.resetWorker(w, 1)
	if w.likelyCaches(20) {
		t.Error("a new process holds what the former one had")
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
