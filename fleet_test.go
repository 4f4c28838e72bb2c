package foxlift

import (
	"cmp"
	"slices"
	"testing"
)

// manyConfig is a fleet of 80 dispatchers.
func manyConfig() Config {
	cfg := testConfig()
	cfg.Dispatchers, cfg.Gauges, cfg.MaxAttempts = 80, nil, 3
	return cfg
}

// A job that has not started stays where it is for as long as any start may take, whatever the number
// of dispatchers and however cold the workers are: whether a worker drops what is called off nobody
// says, and where it does not each move is work done for nothing.
func TestJobsStayWhereTheyAreSent(t *testing.T) {
	for _, dispatchers := range []int{3, 80} {
		for _, cold := range []int64{0, 4 * second} {
			cfg := manyConfig()
			cfg.Dispatchers = dispatchers
			ws := fleet(8)
			for i := range ws {
				ws[i].StartedAt = cold
			}
			r := newRig(t, cfg, ws...)
			r.d.peakWorkerRate = 1
			for _, w := range r.d.workerOrder {
				w.slowStartWork = 0 // its first job may come
			}
			r.after(r.d.tickInterval)
			r.step(r.request(1, 0))
			r.want(ActionSend, 1)
			for limit := r.now + r.d.jobs[1].objective/4; r.now < limit-ms; {
				r.after(ms)
				r.want(ActionSend, 0)
				r.want(ActionCancel, 0)
			}
		}
	}
}

// A start is late by what its way there takes at least: the handshake with another zone may take
// longer than a job may wait, and is no sign of a queue.
func TestLateStartsAreLateForTheirWay(t *testing.T) {
	cfg := manyConfig()
	ws := fleet(8)
	for i := range ws {
		ws[i].Zone = 1 - cfg.Zone
	}
	r := newRig(t, cfg, ws...)
	for id := uint64(1); id <= 2; id++ {
		r.step(r.request(id, 0))
		sent := r.want(ActionSend, 1)[0]
		r.after(40*ms, started(id, 0, sent.Worker)) // 3 ticks
		if got := r.d.minDelay[r.d.jobs[id].attempts[0].path]; got != 40*ms {
			t.Errorf("the way takes %d", got)
		}
		if w := r.d.workers[sent.Worker]; w.promptStartAt == 0 || w.lastFaultAt != 0 || r.d.startWindow < 1 {
			t.Error("the worker counts as full for its distance")
		}
		r.after(ms, outcome(id, 0, sent.Worker, Served))
	}
	r.d.minDelay = [4]int64{40 * ms, 40 * ms, 40 * ms, 40 * ms}
	r.step(r.request(3, 0))
	sent := r.want(ActionSend, 1)[0]
	r.after(70*ms, started(3, 0, sent.Worker))
	if w := r.d.workers[sent.Worker]; w.lastFaultAt != r.now {
		t.Error("a start 30 ms past its way counts as prompt")
	}
}

// What can no more be in time is called off and refused, where that is harmless: it
// would make the jobs behind it late.
func TestHopelessJobsLeaveTheQueues(t *testing.T) {
	for class, want := range []int{1, 0} {
		cfg := manyConfig()
		cfg.MaxAttempts = 1
		r := newRig(t, cfg, fleet(8)...)
		r.step(r.request(1, class))
		r.want(ActionSend, 1)
		j := r.d.jobs[1]
		for r.now < j.firstAttemptAt+j.objective-j.class.median {
			if r.after(ms); r.now < j.firstAttemptAt+j.objective-j.class.median {
				r.want(ActionShed, 0)
			}
		}
		r.after(r.d.tickInterval)
		r.want(ActionShed, want)
		r.want(ActionCancel, want)
	}
}

// Jobs that cannot be moved wait here while two wait at workers; those that can go on.
func TestManyKeepQueuesShort(t *testing.T) {
	r := newRig(t, manyConfig(), fleet(60)...)
	r.step(r.request(1, 1), r.request(2, 1), r.request(3, 1), r.request(4, 0))
	sent := r.want(ActionSend, 3)
	for _, a := range sent {
		if a.ID == 3 {
			t.Error("a third job is sent to wait")
		}
	}
	r.after(ms, started(1, 0, r.d.jobs[1].attempts[0].worker.id))
	if a := r.want(ActionSend, 1)[0]; a.ID != 3 {
		t.Errorf("job %d is sent once another has started", a.ID)
	}
}

// Each of many meets a worker too seldom to wait for a run of errors.
func TestManyLeaveAnErringWorkerAtOnce(t *testing.T) {
	for dispatchers, shut := range map[int]bool{80: true, 3: false} {
		cfg := manyConfig()
		cfg.Dispatchers = dispatchers
		r := newRig(t, cfg, fleet(2)...)
		r.step(r.request(1, 0))
		a := r.want(ActionSend, 1)[0]
		r.after(ms, started(1, 0, a.Worker))
		r.after(ms, outcome(1, 0, a.Worker, WorkerError))
		if w := r.d.workers[a.Worker]; (w.ejectedUntil > r.now) != shut {
			t.Errorf("%d dispatchers: left alone %v", dispatchers, !shut)
		}
	}
}

// A start is no sign of health where what started fails: the pause goes on growing.
func TestStartsDoNotClearAnErringWorker(t *testing.T) {
	r := newRig(t, manyConfig(), fleet(1)...)
	w := r.d.workerOrder[0]
	before := int64(0)
	for id := uint64(1); id <= 4; id++ {
		r.now = max(r.now, w.ejectedUntil) + r.d.tickInterval
		r.step(r.request(id, 0))
		r.want(ActionSend, 1)
		r.after(ms, started(id, 0, w.id))
		r.after(ms, outcome(id, 0, w.id, WorkerError))
		if pause := w.ejectedUntil - r.now; pause < second || w.backoff < 2*before {
			t.Errorf("error %d: left alone for %d, backoff %d after %d", id, pause, w.backoff, before)
		}
		before = w.backoff
	}
}

// A job that stays where it is sent goes where one has just started at once, though that
// worker has a job of ours: the others may hang.
func TestWhatStaysGoesWhereOneHasStarted(t *testing.T) {
	ws := fleet(10)
	for i := range ws {
		ws[i].Zone = 0
	}
	r := newRig(t, manyConfig(), ws...)
	r.step(r.request(1, 0))
	proven := r.want(ActionSend, 1)[0].Worker
	r.after(ms, started(1, 0, proven))
	r.after(10*ms, r.request(2, 1))
	if a := r.want(ActionSend, 1)[0]; a.Worker != proven {
		t.Errorf("it goes to %s, one started at %s", a.Worker, proven)
	}
}

// In many dispatchers a light job must not be held, or left in a queue, for the time
// that a heavy one of its class has.
func TestTimelyGoesByLightJobs(t *testing.T) {
	for dispatchers, want := range map[int]int64{3: 100 + 2*80, 80: 100 + 2*50} {
		cfg := manyConfig()
		cfg.Dispatchers = dispatchers
		r := newRig(t, cfg, fleet(2)...)
		for run := range int64(40) {
			r.d.classes[0].recordRuntime((run/10*30 + 20) * ms) // 20, 50, 80 and 110 ms
		}
		r.after(2 * second)
		r.step(r.request(1, 0))
		if got := r.d.timelyLimit(r.d.jobs[1]); got != want*ms {
			t.Errorf("%d dispatchers: timely is %d ms, want %d", dispatchers, got/ms, want)
		}
	}
}

// One job of a tenant whose rate here is one in ten seconds is no excess; a run is.
func TestChanceIsNoExcess(t *testing.T) {
	cfg := manyConfig()
	cfg.Tenants = []Tenant{{"a", 8}, {"b", 8}}
	r := newRig(t, cfg, fleet(8)...)
	tn := &r.d.tenants[0]
	for n, want := range []bool{false, false, true, true} {
		tn.arrivals = n
		if n > 1 {
			tn.arrivals = 10
		}
		r.d.updateRates()
		if tn.exceedsQuota() != want {
			t.Errorf("second %d: over its share %v", n, !want)
		}
	}
}

// What 80 dispatchers together send to a cold worker is what it can do: it is neither
// pushed over nor left idle until it is warm.
func TestColdWorkOfManyAddsUp(t *testing.T) {
	cfg := manyConfig()
	const warm = 10 // slots of a warm worker at work for all dispatchers: 800 jobs of 100 ms a second on 8
	ws := fleet(8)
	for i := range ws {
		ws[i].Zone = 0
	}
	ws[0].StartedAt = 6 * second
	var rigs []*rig
	for i := range cfg.Dispatchers {
		cfg.Index = i
		rigs = append(rigs, newSeededRig(t, cfg, uint64(i), ws[1:]...))
	}
	var work [20]float64 // sent to the cold worker, by the second
	running := make([][]Event, len(rigs))
	id := uint64(0)
	for now := int64(0); now < 20*second; now += 20 * ms {
		for i, r := range rigs {
			r.now = 6*second + now
			if now == 0 {
				r.d.peakWorkerRate = warm / float64(cfg.Dispatchers)
				r.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: ws[:1]})
			}
			if (now/(20*ms)+int64(i))%5 != 0 {
				continue
			}
			id++
			r.step(append(running[i], r.request(id, 0))...)
			running[i] = nil
			for _, a := range r.only(ActionSend) {
				if a.Worker == "w0" {
					work[now/second] += 0.1 // it runs until this dispatcher's next turn
				}
				r.step(started(a.ID, 0, a.Worker))
				running[i] = append(running[i], outcome(a.ID, 0, a.Worker, Served))
			}
		}
	}
	for s, w := range work {
		able := warm * (cfg.SlowStartCapacity + (1-cfg.SlowStartCapacity)*(float64(s)+0.5)/20)
		if w > cfg.OverloadMultiple*able || s > 2 && w < able/2 {
			t.Errorf("second %d: %.1f slots of work sent, it can do %.1f", s, w, able)
		}
	}
}

// Workers that are gone are dropped after a while, and not before nothing is out there.
func TestGoneWorkersAreForgotten(t *testing.T) {
	r := newRig(t, manyConfig(), fleet(3)...)
	r.step(r.request(1, 1))
	busy := r.want(ActionSend, 1)[0].Worker
	r.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: []Worker{{ID: "new"}}})
	for _, c := range []struct {
		after int64
		left  int
	}{{removedRetention - 2*second, 4}, {4 * second, 2}} {
		for end := r.now + c.after; r.now < end; {
			r.after(second)
		}
		if len(r.d.workerOrder) != c.left || len(r.d.workers) != c.left {
			t.Errorf("after %d s %d workers, want %d", (r.now-5*second)/second, len(r.d.workerOrder), c.left)
		}
	}
	r.step(outcome(1, 0, busy, Reset))
	r.after(2 * second)
	if r.d.workers[busy] != nil || len(r.d.workerOrder) != 1 {
		t.Errorf("%d workers, want the new one", len(r.d.workerOrder))
	}
}

// Dispatchers that have just started know nothing of what workers do. Whatever comes, light or
// heavy, all of them together send a cold one no more than it bears, and not nothing.
func TestColdPaceAfterARestart(t *testing.T) {
	for _, dispatchers := range []int{3, 8, 80} {
		cfg := manyConfig()
		cfg.Dispatchers = dispatchers
		ws := fleet(20)
		for i := range ws {
			ws[i].StartedAt = 5 * second
		}
		type sent struct {
			at   int64
			work float64
		}
		at := map[string][]sent{}
		for i := range dispatchers {
			cfg.Index = i
			r := newSeededRig(t, cfg, uint64(i), ws...)
			for id := uint64(1); r.now < 5*second+8*cfg.OverloadWindow; id++ {
				r.after(50*ms, r.request(id, int(id%2)))
				for _, a := range r.only(ActionSend) {
					class := &cfg.Classes[a.ID%2]
					at[a.Worker] = append(at[a.Worker], sent{r.now, float64(class.LatencyObjective)})
					r.step(started(a.ID, a.Attempt, a.Worker))
				}
			}
		}
		total := 0.0
		for worker, list := range at {
			slices.SortFunc(list, func(a, b sent) int { return cmp.Compare(a.at, b.at) })
			for i := range list {
				sum, most := 0.0, 0.0
				for _, s := range list[i:] {
					if s.at-list[i].at < cfg.OverloadWindow {
						sum, most = sum+s.work, max(most, s.work)
					}
				}
				if sum -= most; sum > cfg.OverloadMultiple*cfg.SlowStartCapacity*1.4*4*float64(cfg.OverloadWindow) {
					t.Errorf("%d dispatchers sent %s %.1f s of work in a window", dispatchers, worker, sum/1e9)
				}
				total += list[i].work
			}
		}
		if able := 20 * 8 * cfg.SlowStartCapacity * 4 * float64(cfg.OverloadWindow); total < able/10 {
			t.Errorf("%d dispatchers sent %.1f s of work, cold workers can do %.1f", dispatchers, total/1e9, able/1e9)
		}
	}
}

// Of many workers each of many dispatchers samples a few. One that has just served
// a job of ours has a slot free and our connection open: it is looked at whatever
// the sample holds.
func TestManyLookWhereASlotCameFree(t *testing.T) {
	for dispatchers, least := range map[int]int{80: 15, 3: 0} {
		cfg := manyConfig()
		cfg.Dispatchers, cfg.StartNotes = dispatchers, false
		cfg.Prices.Handshake = 0.02
		r := newRig(t, cfg, fleet(200)...)
		last, again := "", 0
		for id := uint64(1); id <= 20; id++ {
			r.after(ms, r.request(id, 0))
			a := r.want(ActionSend, 1)[0]
			if a.Worker == last {
				again++
			}
			last = a.Worker
			r.after(ms, outcome(id, a.Attempt, a.Worker, Served))
		}
		if again < least || dispatchers <= 4 && again > 10 {
			t.Errorf("%d dispatchers: %d of 20 jobs went where the last was served", dispatchers, again)
		}
	}
}

// keyed is a request for a job with a key.
func keyed(r *rig, id uint64, class int, key uint64) Event {
	e := r.request(id, class)
	e.Request.Key = key
	return e
}

// makeRare lets jobs with other keys have come, so that one more is a rare one's.
func makeRare(r *rig) {
	for key := uint64(1000); key < 1100; key++ {
		r.d.recentKeys.add(key)
	}
}

// Many dispatchers that never speak send a key's jobs to the same worker, and on to the
// same next one, so that what the jobs need is fetched there once: not where it is for each.
func TestManySendAKeyToTheSameFew(t *testing.T) {
	var seen [2]map[string]bool
	for i := range seen {
		seen[i] = map[string]bool{}
	}
	for index := range 40 {
		cfg := manyConfig()
		cfg.Index = index
		r := newRig(t, cfg, fleet(60)...)
		for range index {
			r.d.rng.Uint64() // each draws numbers of its own
		}
		makeRare(r)
		r.step(keyed(r, 1, 0, 7))
		seen[0][r.want(ActionSend, 1)[0].Worker] = true
		for r.after(r.d.tickInterval); len(r.only(ActionSend)) == 0; { // no word of a start
			r.after(r.d.tickInterval)
		}
		seen[1][r.want(ActionSend, 1)[0].Worker] = true
	}
	if len(seen[0]) != 1 || len(seen[1]) != 1 {
		t.Errorf("one key's jobs went to %d workers first and to %d then", len(seen[0]), len(seen[1]))
	}
}

// A key with a large part of the jobs has as many homes as it fills, not one; a dispatcher
// keeps to those where it found room.
func TestManySpreadABusyKey(t *testing.T) {
	seen := map[string]bool{}
	for index := range 40 {
		r := newRig(t, manyConfig(), fleet(60)...)
		for range index {
			r.d.rng.Uint64()
		}
		for id := uint64(1); id <= 200; id++ {
			r.d.recentKeys.add(7 + id%4*1000) // one in four
		}
		r.step(keyed(r, 1, 0, 7))
		w := r.want(ActionSend, 1)[0].Worker
		seen[w] = true
		r.after(ms, started(1, 0, w))
		r.after(ms, outcome(1, 0, w, Served))
		r.step(keyed(r, 2, 0, 7))
		if a := r.want(ActionSend, 1)[0]; a.Worker != w {
			t.Errorf("it had room at %s and goes to %s", w, a.Worker)
		}
	}
	if len(seen) < 10 || len(seen) > maxAffinity {
		t.Errorf("a key of a quarter of the jobs on 60 workers has %d homes", len(seen))
	}
}

// What a worker did with the last of our jobs holds: one that had room is preferred to one
// not met yet, that to one that had none, and more so the newer the word of room.
func TestManyRememberWhereThereWasRoom(t *testing.T) {
	r := newRig(t, manyConfig(), fleet(4)...)
	good, unmet, bad, old := r.d.workerOrder[0], r.d.workerOrder[1], r.d.workerOrder[2], r.d.workerOrder[3]
	good.promptStartAt, bad.lastFaultAt, old.promptStartAt = r.now, r.now, r.now
	r.now += 20 * second
	r.step()
	good.promptStartAt = r.now
	bad.promptStartAt = r.now - 30*second
	order := []*worker{good, old, unmet, bad}
	for i, w := range order[1:] {
		if d := r.d.failureLikelihood(order[i]); d >= r.d.failureLikelihood(w) {
			t.Errorf("%s is doubted by %.2f, %s by %.2f", order[i].id, d, w.id, r.d.failureLikelihood(w))
		}
	}
	for id, w := range order {
		r.step(r.request(uint64(id+1), 1))
		if a := r.only(ActionSend); len(a) == 1 && a[0].Worker != w.id {
			t.Errorf("job %d goes to %s, want %s", id+1, a[0].Worker, w.id)
		}
		r.step(outcome(uint64(id+1), 0, w.id, Saturated))
	}
}

// A job that stays where it is sent goes where one has just started, though that is no home.
func TestManySendWhatStaysWhereThereIsRoom(t *testing.T) {
	r := newRig(t, manyConfig(), fleet(60)...)
	makeRare(r)
	r.now += 60 * second
	r.step()
	homes, _ := r.d.rankAffinity(&job{class: &r.d.classes[1], req: Request{Key: 7}})
	proven := r.d.workerOrder[slices.IndexFunc(r.d.workerOrder, func(w *worker) bool { return !slices.Contains(homes, w) })]
	proven.promptStartAt = r.now
	r.d.markReported(proven)
	for class, want := range []string{homes[0].id, proven.id} {
		r.step(keyed(r, uint64(1+class), class, 7))
		if a := r.want(ActionSend, 1)[0]; a.Worker != want {
			t.Errorf("class %d goes to %s, want %s", class, a.Worker, want)
		}
	}
}

// A worker that goes moves the keys whose home it was, and no others.
func TestRendezvousMovesOnlyTheKeysOfTheLost(t *testing.T) {
	r := newRig(t, manyConfig(), fleet(60)...)
	d := r.d
	home := func(key uint64) *worker {
		ws, of := d.rankAffinity(&job{class: &d.classes[0], req: Request{Key: key}})
		if of != len(d.liveWorkers) {
			t.Fatalf("of %d workers", of)
		}
		return ws[0]
	}
	before := map[uint64]*worker{}
	most := map[*worker]int{}
	for key := uint64(1); key <= 6000; key++ {
		before[key] = home(key)
		most[before[key]]++
	}
	for w, n := range most {
		if n < 50 || n > 150 { // five deviations of chance from 100
			t.Errorf("%s is the home of %d keys in 6000", w.id, n)
		}
	}
	lost := d.liveWorkers[7]
	r.step(Event{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: []Worker{{ID: lost.id, State: Removed}}})
	for key, w := range before {
		if now := home(key); (now != w) != (w == lost) {
			t.Errorf("key %d moved from %s to %s when %s went", key, w.id, now.id, lost.id)
		}
	}
}

// A fetch weighs less for a long job: it goes where one started some seconds ago rather than
// to a home not met yet, a light one of its own kind goes home.
func TestManyWeighAFetchByTheJob(t *testing.T) {
	for median, wantHome := range map[int64]bool{1: true, 10: false} {
		r := newRig(t, manyConfig(), fleet(60)...)
		makeRare(r)
		r.now += 60 * second
		r.step()
		c := &r.d.classes[1]
		c.median = median * r.d.classes[0].median
		homes, _ := r.d.rankAffinity(&job{class: c, req: Request{Key: 7}})
		met := r.d.workerOrder[slices.IndexFunc(r.d.workerOrder, func(w *worker) bool { return !slices.Contains(homes, w) })]
		met.promptStartAt = r.now - 3*second
		r.d.markReported(met)
		r.step(keyed(r, 1, 1, 7))
		if a := r.want(ActionSend, 1)[0]; (a.Worker == homes[0].id) != wantHome {
			t.Errorf("a job %d times as long goes to %s; home is %s, met is %s", median, a.Worker, homes[0].id, met.id)
		}
	}
}

// Each of many has few jobs at a worker: a crossing must not outweigh any number of them, or a zone
// that gets more than its part refuses jobs while the others have room.
func TestManyCrossWhereTheirZoneIsFull(t *testing.T) {
	for dispatchers, crosses := range map[int]bool{3: false, 80: true} {
		cfg := manyConfig()
		cfg.Dispatchers, cfg.Prices.CrossZone = dispatchers, 0.1
		ws := fleet(2)
		ws[0].Zone, ws[1].Zone = cfg.Zone, 1-cfg.Zone
		r := newRig(t, cfg, ws...)
		r.step(r.request(1, 0))
		if a := r.want(ActionSend, 1)[0]; a.Worker != ws[0].ID {
			t.Errorf("%d dispatchers: the first crosses", dispatchers)
		}
		r.step(started(1, 0, ws[0].ID), r.request(2, 0))
		if a := r.want(ActionSend, 1)[0]; (a.Worker != ws[0].ID) != crosses {
			t.Errorf("%d dispatchers: the second crosses %v", dispatchers, !crosses)
		}
	}
}
