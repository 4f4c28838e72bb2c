package foxlift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/affinity"
	"github.com/vatu-meals/foxlift/internal/decision/capacity"
)

// churnEvent changes some workers at random: their states, starts and kinds.
func (host *randomHost) churnEvent() Event {
	var changed []Worker
	for range host.rng.IntN(1 + len(host.workers)/4) {
		w := &host.workers[host.rng.IntN(len(host.workers))]
		w.State = []WorkerState{Live, Live, Draining, Removed}[host.rng.IntN(4)]
		if host.rng.IntN(3) == 0 {
			w.StartedAt = host.now - host.rng.Int64N(second)
		}
		if host.rng.IntN(6) == 0 {
			w.Kind = host.rng.IntN(4) - 1
		}
		changed = append(changed, *w)
	}
	return endpointsEvent(EndpointsDelta, changed...)
}

// The index is updated incrementally, so a missed update would leave it wrong. After every step of random event
// sequences it must equal the result of a full scan, and workers that are not pending must be at the level that an
// update would give them.
func TestIndexAgreesWithAFullScan(t *testing.T) {
	for i, cfg := range randomConfigs() {
		cfg.Dispatchers, cfg.MayGossip = []int{1, 5, 80}[i%3], false
		cfg.Prices.CrossZone = float64(i%2) / 20
		cfg.SlowStartDuration = []int64{20 * second, second, second / 3}[i%3]
		cfg.Gauges = []Gauge{GaugeInFlight, GaugeQueued, GaugeFreeSlots}
		singleKind := cfg.Classes[0]
		singleKind.Kind = 1
		cfg.Classes = append(cfg.Classes, singleKind)
		host := newRandomHost(t, uint64(i), cfg)
		host.workers = testWorkers(40)
		host.step([]Event{{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: slices.Clone(host.workers)}})
		for range 1500 {
			host.now += 1 + host.rng.Int64N(6*ms)
			events := host.randomEvents()
			if host.rng.IntN(10) == 0 {
				events = append(events, host.churnEvent())
			}
			host.step(events)
			checkIndex(t, host.d)
		}
		for range 40 { // until removed workers are deleted
			host.now += 2 * second
			host.step(host.dueEvents())
			checkIndex(t, host.d)
		}
	}
}

// A workerScan is the result of a scan of all workers.
type workerScan struct {
	live, removed    []*worker
	limitSum         capacity.LimitSum
	available, total float64 // capacity in workers: of the live ones now, and of the fleet without losses and slow start
}

// scanWorkers scans all workers, and checks their order, their entry by ID and their level.
func scanWorkers(t *testing.T, d *Dispatcher) (scan workerScan) {
	t.Helper()
	for i, w := range d.workerOrder {
		if i > 0 && d.workerOrder[i-1].number >= w.number || d.workers[w.id] != w {
			t.Fatalf("worker %s with number %d is out of order in workerOrder, or missing in workers", w.id, w.number)
		}
		checkLevel(t, d, w)
		live := w.state == Live
		if w.state == Removed {
			scan.removed = append(scan.removed, w)
		}
		if live {
			scan.live = append(scan.live, w)
			scan.available += d.slowStartWeight(w)
		}
		var limit capacity.Limit // a copy that is in no sum yet
		limit.Restore(w.limit.Slots(), w.limit.Learned())
		scan.limitSum.Update(&limit, live)
		if w.lost && (w.state == Removed || d.inSlowStart(w)) || live && !d.inSlowStart(w) {
			scan.total++
		}
	}
	return scan
}

// checkLevel checks that a worker that is not pending is at the level that an update would give it.
func checkLevel(t *testing.T, d *Dispatcher, w *worker) {
	t.Helper()
	if w.pending {
		return
	}
	level := w.level
	if d.updateLevel(w); w.level != level || w.pending {
		t.Fatalf("worker %s is at level %d and not pending, want level %d", w.id, level, w.level)
	}
}

// checkIndex compares the index with a scan of all workers.
func checkIndex(t *testing.T, d *Dispatcher) {
	t.Helper()
	scan := scanWorkers(t, d)
	if !slices.Equal(scan.live, d.liveWorkers) || len(d.workers) != len(d.workerOrder) {
		t.Fatalf("%d live workers, want %d; %d workers by ID, want %d",
			len(d.liveWorkers), len(scan.live), len(d.workers), len(d.workerOrder))
	}
	for _, w := range scan.removed {
		if !slices.Contains(d.removedWorkers, w) {
			t.Fatalf("removed worker %s is not in removedWorkers and would never be deleted", w.id)
		}
	}
	if scan.limitSum != d.limitSum {
		t.Fatalf("limitSum = %+v, want %+v", d.limitSum, scan.limitSum)
	}
	want := min(1, scan.available/max(1, scan.total))
	if scan.total > 0 && math.Abs(d.remainingCapacity()-want) > 1e-12 {
		t.Fatalf("remainingCapacity() = %v, want %v", d.remainingCapacity(), want)
	}
	for k := range d.classes {
		j := &job{class: &d.classes[k], req: Request{Key: uint64(d.now)}}
		set, of := d.rankAffinity(j)
		wantSet, wantOf := affinityByScan(d, j)
		if of != wantOf || !slices.Equal(set, wantSet) {
			t.Fatalf("rankAffinity() returned other workers than a scan: %d of %d, want %d of %d",
				len(set), of, len(wantSet), wantOf)
		}
	}
}

// affinityByScan computes the result of rankAffinity by a scan of all live workers.
func affinityByScan(d *Dispatcher, j *job) (set []*worker, of int) {
	for _, w := range d.liveWorkers {
		if !d.inSlowStart(w) && (j.class.Kind < 0 || w.kind == j.class.Kind) &&
			(w.zone == d.cfg.Zone || d.cfg.Prices.CrossZone <= 0) {
			set = append(set, w)
		}
	}
	rank := func(w *worker) uint64 { return affinity.Score(w.hash, j.req.Key) }
	slices.SortFunc(set, func(a, b *worker) int {
		if rank(a) > rank(b) {
			return -1
		}
		return 1
	})
	return set[:min(affinity.MaxWorkers, len(set))], len(set)
}

// The number of workers that a step examines must not grow with the fleet: none at a tick without a job, the
// named workers at a change of the endpoint list, and a sample for a job. Two entries are nil, so that a loop over
// all workers panics.
func TestStepExaminesABoundedSample(t *testing.T) {
	const maxExaminedKeyed = affinity.MaxCompared + 4*sampleSize
	for _, n := range []int{600, 19000} {
		d := scaleDispatcher(t, n)
		d.workerOrder[1], d.liveWorkers[1] = nil, nil
		now := 3 * second
		step := func(input string, maxExamined int, events ...Event) []Action {
			t.Helper()
			d.workersExamined = 0
			actions := d.Step(now, events)
			if d.workersExamined > maxExamined {
				t.Errorf("%d workers: %s examined %d workers, want %d at most", n, input, d.workersExamined, maxExamined)
			}
			return actions
		}
		for range 200 { // including some runs of the control loops
			now += d.tickInterval
			step("an idle tick", 0)
		}
		id := uint64(0)
		for i, r := range []Request{{}, {Class: 1}, {Class: 3}, {Key: 5}, {Key: 6, Class: 2}, {Key: 7, Class: 3}} {
			now += ms
			id++
			r.ID, r.Deadline = id, now+2*second
			most := 2 * sampleSize
			if r.Key != 0 {
				most = maxExaminedKeyed
			}
			for _, a := range step(fmt.Sprint("job ", i), most, Event{Kind: EventRequest, Request: r}) {
				if a.Kind == ActionSend {
					step("an outcome", 2*sampleSize, started(id, a.Attempt, a.Worker), outcome(id, a.Attempt, a.Worker, Served))
				}
			}
		}
		for i, state := range []WorkerState{Draining, Removed, Live, Draining, Live} {
			now += ms
			w := Worker{ID: fmt.Sprintf("worker-%05d", n/2), State: state}
			step(fmt.Sprint("change ", i), 4, endpointsEvent(EndpointsDelta, w))
		}
		for range 70 { // until a removed worker is deleted
			now += second
			step("a tick after a change", 4)
		}
	}
}

// In a large fleet the affinity set of a key is chosen from a part of the workers. Still every worker must be
// first for about the same number of keys, and the removal of a worker must reassign only the keys that it was
// first for.
func TestAffinityInALargeFleet(t *testing.T) {
	const workers, keys = 6000, 60000
	d := scaleDispatcher(t, workers)
	firstWorker := func(key uint64) *worker {
		ws, of := d.rankAffinity(&job{class: &d.classes[0], req: Request{Key: key}})
		if len(ws) != affinity.MaxWorkers || of < workers*4/5 || of > workers*5/4 {
			t.Fatalf("key %d: affinity set of %d workers out of %d, want %d out of about %d",
				key, len(ws), of, affinity.MaxWorkers, workers)
		}
		return ws[0]
	}
	rng := rand.New(rand.NewPCG(1, 1))
	before, keysByWorker := map[uint64]*worker{}, map[*worker]int{}
	for range keys {
		key := rng.Uint64()
		before[key] = firstWorker(key)
		keysByWorker[before[key]]++
	}
	if len(keysByWorker) < workers*99/100 {
		t.Errorf("%d workers are first for a key, want at least %d", len(keysByWorker), workers*99/100)
	}
	for w, n := range keysByWorker {
		if n > 40 { // 10 on average
			t.Errorf("worker %s is first for %d keys of %d, want 40 at most", w.id, n, keys)
		}
	}
	removed := d.liveWorkers[7]
	d.Step(3*second, []Event{endpointsEvent(EndpointsDelta, Worker{ID: removed.id, State: Removed})})
	for key, w := range before {
		if now := firstWorker(key); (now != w) != (w == removed) {
			t.Errorf("key %d: first worker %s before and %s after the removal of %s, want a change only of its own keys",
				key, w.id, now.id, removed.id)
		}
	}
}

// When a fleet grows beyond affinity.MaxCompared, the part of the workers that is searched for a key is halved. A
// key must then keep about half of its affinity set.
func TestAffinityAfterTheSearchedPartSplits(t *testing.T) {
	d := scaleDispatcher(t, affinity.MaxCompared)
	affinitySet := func(key uint64) []*worker {
		workers, _ := d.rankAffinity(&job{class: &d.classes[0], req: Request{Key: key}})
		return workers
	}
	before := map[uint64][]*worker{}
	for key := uint64(1); key <= 500; key++ {
		before[key] = affinitySet(key)
	}
	d.Step(3*second, []Event{{Kind: EventEndpoints, EndpointUpdate: EndpointsDelta, Workers: []Worker{{ID: "one more"}}}})
	kept := 0
	for key, workers := range before {
		now := affinitySet(key)
		for _, w := range workers {
			if slices.Contains(now, w) {
				kept++
			}
		}
	}
	if part := float64(kept) / float64(500*affinity.MaxWorkers); part < 0.45 || part > 0.55 {
		t.Errorf("the affinity sets kept a fraction of %.2f of their workers, want 0.45 to 0.55", part)
	}
}
