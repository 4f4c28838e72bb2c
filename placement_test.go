package foxlift

import (
	"math"
	"testing"
)

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

func TestScoutsRestInAFullFleet(t *testing.T) {
	cfg := testConfig()
	cfg.MayHealthCheck = true
	r := newRig(t, cfg, fleet(20)...)
	r.d.fleetPressure.avg = 0.95
	r.step(r.request(1, 0))
	r.want(ActionHealthCheck, 0)
	r.want(ActionSend, 1)
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
