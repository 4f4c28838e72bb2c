package foxlift

import "testing"

// What a host with several dispatchers passes between them: jobs with their age and
// attempts, workers with others' jobs on them, shares.

// A lone tenant far over its share gets what stands idle, also where the scheduler
// began without a list: its window used to stay at 0 then.
func TestLoneTenantIsLentAnIdleFleet(t *testing.T) {
	for name, first := range map[string][]Worker{"list known": fleet(8), "no list known": nil} {
		cfg := testConfig()
		cfg.Tenants = []Tenant{{"lone", 2}, {"away", 100}}
		r := newRig(t, cfg, first...)
		r.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: fleet(8)})
		type claim struct {
			id uint64
			w  string
		}
		var out []claim
		asked, sent := 0, 0
		for i := range uint64(15 * 61) {
			var news []Event
			for _, c := range out {
				news = append(news, started(c.id, 0, c.w), outcome(c.id, 0, c.w, Served))
			}
			out = out[:0]
			id := i + 1
			news = append(news, r.request(id, 0))
			r.after(second/61, news...)
			for _, a := range r.only(ActionSend) {
				out = append(out, claim{a.ID, a.Worker})
				if i >= 10*61 {
					sent++
				}
			}
			if i >= 10*61 {
				asked++
			}
		}
		if sent < asked*95/100 {
			t.Errorf("%s: %d of %d jobs are sent after 10 s", name, sent, asked)
		}
	}
}

// A job that waited elsewhere is as old here: it is given up when it would have been.
func TestHandoverKeepsTheAge(t *testing.T) {
	cfg := testConfig()
	r := newRig(t, cfg) // no worker: every job is held
	fresh, aged := r.request(1, 0), r.request(2, 0)
	aged.Request.Waited = 150 * ms
	aged.Request.Deadline = fresh.Request.Deadline - 150*ms
	r.step(fresh, aged)
	gone := map[uint64]int64{}
	for range 100 {
		r.after(10 * ms)
		for _, a := range r.only(ActionShed) {
			gone[a.ID] = r.now
		}
	}
	if d := gone[1] - gone[2]; d < 100*ms || d > 200*ms {
		t.Errorf("given up at %v: want the aged one some 150 ms earlier", gone)
	}
}

// Attempts made elsewhere count.
func TestHandoverCountsAttempts(t *testing.T) {
	r := newRig(t, testConfig(), fleet(4)...)
	e := r.request(1, 0)
	e.Request.PriorAttempts = 3 // of 4
	r.step(e)
	a := r.want(ActionSend, 1)[0]
	r.after(ms, outcome(1, 0, a.Worker, Unreachable))
	r.want(ActionSend, 0)
	r.want(ActionShed, 1)
	e = r.request(2, 0)
	e.Request.PriorAttempts = 4
	r.step(e)
	r.want(ActionSend, 0)
}

// A job goes to no worker but those it is confined to, and while they are full others
// of its class go past it.
func TestConfinedJobsDoNotBlock(t *testing.T) {
	r := newRig(t, testConfig(), fleet(4)...)
	id, full := uint64(0), false
	for !full && id < 40 {
		id++
		e := r.request(id, 0)
		e.Request.AllowedWorkers = []string{"w2"}
		r.step(e)
		for _, a := range r.only(ActionSend) {
			if a.Worker != "w2" {
				t.Fatalf("job %d goes to %s", id, a.Worker)
			}
		}
		full = len(r.only(ActionSend)) == 0
	}
	if !full {
		t.Fatal("the worker is never full")
	}
	r.step(r.request(100, 0))
	if a := r.want(ActionSend, 1)[0]; a.ID != 100 || a.Worker == "w2" {
		t.Errorf("%+v", a)
	}
	r.step(outcome(1, 0, "w2", Served))
	if a := r.want(ActionSend, 1)[0]; a.ID != id {
		t.Errorf("job %d follows, want %d", a.ID, id)
	}
}

// Slots that others hold on a worker count until they are told to be free.
func TestOthersSlotsCount(t *testing.T) {
	ws := fleet(2)
	ws[0].ExternalSlots = 3
	r := newRig(t, testConfig(), ws...)
	for id := range uint64(3) {
		r.step(r.request(id+1, 1))
		if a := r.want(ActionSend, 1)[0]; a.Worker != "w1" {
			t.Errorf("job %d goes to %s, which has 3 of others", id+1, a.Worker)
		}
	}
	ws[0].ExternalSlots = 0
	r.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: ws[:1]})
	r.step(r.request(9, 1))
	if a := r.want(ActionSend, 1)[0]; a.Worker != "w0" {
		t.Errorf("then to %s", a.Worker)
	}
	if w := r.d.workers["w0"]; w.usedSlots != 1 || w.externalSlots != 0 {
		t.Errorf("%v slots, %v of others", w.usedSlots, w.externalSlots)
	}
}

// Shares that change hold at once; a message of another length changes nothing.
func TestQuotasChange(t *testing.T) {
	r := newRig(t, testConfig(), fleet(2)...)
	r.step(Event{Kind: EventQuotas, Quotas: []float64{30, 0}})
	if a, b := r.d.tenants[0].rate, r.d.tenants[1].rate; a != 30 || b != 0 {
		t.Errorf("rates %v and %v", a, b)
	}
	r.step(Event{Kind: EventQuotas, Quotas: []float64{1}})
	if a := r.d.tenants[0].rate; a != 30 {
		t.Errorf("rate %v", a)
	}
}

// A process that has just taken over has few jobs of its own at workers that are full of the other's:
// a late start there does not shrink the window to twice its own, which would take minutes to grow back.
func TestWindowCountsOthersJobs(t *testing.T) {
	ws := fleet(12)
	for i := range ws {
		ws[i].ExternalSlots = 2
	}
	r := newRig(t, testConfig(), ws...)
	window := r.d.startWindow
	r.step(r.request(1, 0))
	w := r.want(ActionSend, 1)[0].Worker
	r.after(50*ms, started(1, 0, w)) // late
	if got := r.d.startWindow; got < window*0.98 {
		t.Errorf("a window of %v becomes %v with 25 jobs in flight", window, got)
	}
	for i := range ws {
		ws[i].ExternalSlots = 0
	}
	r.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: ws})
	if got := r.d.occupiedSlots(); got != 1 {
		t.Errorf("%v slots in flight once the other has none, want 1", got)
	}
}
