package foxlift

import (
	"fmt"
	"slices"
	"testing"

	"github.com/vatu-meals/foxlift/internal/decision/affinity"
	"github.com/vatu-meals/foxlift/internal/decision/health"
)

// Dispatchers that do not communicate must choose the same worker for a key, or each key's data is fetched by a
// worker for each dispatcher.
func TestAffinityAgreesAcrossDispatchers(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.Fetch = 0.1
	workersUsed := map[string]int{}
	for seed := range uint64(40) { // dispatchers without gossip
		d, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		d.Step(second, []Event{{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: testWorkers(60)}})
		actions := d.Step(second, []Event{{Kind: EventRequest, Request: Request{ID: 1, Deadline: 3 * second, Key: 99}}})
		for _, a := range actions {
			if a.Kind == ActionSend {
				workersUsed[a.Worker]++
			}
		}
	}
	if len(workersUsed) != 1 {
		t.Errorf("jobs of one key were sent to %d workers, want 1: %v", len(workersUsed), workersUsed)
	}
}

// A job must be sent to the worker that has its affinity key cached, unless other workers have far fewer of
// this dispatcher's jobs. A restart of the worker's process must clear its cached keys.
func TestJobsFollowCachedKeys(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(3)...)
	sendJob := func(id, key uint64) string {
		e := h.request(id, idempotent)
		e.Request.Key = key
		return h.step(e)[0].Worker
	}
	first := sendJob(1, 7)
	if other, next := sendJob(2, 8), sendJob(3, 7); other == first || next != first {
		t.Errorf("key 7 sent to %s, key 8 to %s, key 7 to %s, want key 7 twice to one worker and key 8 to another",
			first, other, next)
	}
	repeated := 0
	for id := uint64(4); id <= 7; id++ {
		if sendJob(id, 7) == first {
			repeated++
		}
	}
	if repeated > 2 {
		t.Errorf("%d of 4 more jobs of key 7 sent to the first worker, want at most 2", repeated)
	}
	w := h.d.workers[first]
	for key := uint64(20); key < 20+affinity.MaxCachedKeys; key++ {
		w.cachedKeys.Record(key)
	}
	if w.cachedKeys.Contains(7) || !w.cachedKeys.Contains(20) || len(w.cachedKeys.Keys()) != affinity.MaxCachedKeys {
		t.Errorf("Keys() = %v, want %d keys from 20 on", w.cachedKeys.Keys(), affinity.MaxCachedKeys)
	}
	h.d.resetWorker(w, 1)
	if w.cachedKeys.Contains(20) {
		t.Error("Contains(20) = true after resetWorker(), want false")
	}
}

// Many dispatchers without gossip must send a key's jobs to the same worker, and retry at the same next one.
// Otherwise the data that the jobs need is fetched at a worker for each dispatcher.
func TestManyDispatchersUseOneAffinitySet(t *testing.T) {
	var seen [2]map[string]bool
	for i := range seen {
		seen[i] = map[string]bool{}
	}
	for index := range 40 {
		cfg := manyConfig()
		cfg.Index = index
		h := newHarness(t, cfg, testWorkers(60)...)
		for range index {
			h.d.rng.Uint64() // each dispatcher has its own random numbers
		}
		makeRare(h)
		h.step(keyedRequest(h, 1, idempotent))
		seen[0][h.wantActions(ActionSend, 1)[0].Worker] = true
		for h.advance(h.d.tickInterval); len(h.actionsOf(ActionSend)) == 0; { // the worker reports no start
			h.advance(h.d.tickInterval)
		}
		seen[1][h.wantActions(ActionSend, 1)[0].Worker] = true
	}
	if len(seen[0]) != 1 || len(seen[1]) != 1 {
		t.Errorf("one key's jobs were sent to %d workers first and retried at %d, want 1 and 1", len(seen[0]), len(seen[1]))
	}
}

// A key with a large part of the jobs must get as many workers as it fills, or one worker is overloaded. Each
// dispatcher keeps to a worker that started its job promptly.
func TestBusyKeyUsesMoreWorkers(t *testing.T) {
	workersUsed := map[string]bool{}
	for index := range 40 {
		h := newHarness(t, manyConfig(), testWorkers(60)...)
		for range index {
			h.d.rng.Uint64()
		}
		for id := uint64(1); id <= 200; id++ {
			h.d.keys.keyLog.Add(7 + id%4*1000) // a quarter of the jobs have key 7
		}
		h.step(keyedRequest(h, 1, idempotent))
		w := h.wantActions(ActionSend, 1)[0].Worker
		workersUsed[w] = true
		h.advance(ms, started(1, 0, w))
		h.advance(ms, outcome(1, 0, w, Served))
		h.step(keyedRequest(h, 2, idempotent))
		if a := h.wantActions(ActionSend, 1)[0]; a.Worker != w {
			t.Errorf("job 2 sent to %s, want %s, which started job 1 promptly", a.Worker, w)
		}
	}
	if len(workersUsed) < 10 || len(workersUsed) > affinity.MaxWorkers {
		t.Errorf("a key of a quarter of the jobs uses %d of 60 workers, want 10 to %d", len(workersUsed), affinity.MaxWorkers)
	}
}

// A job that cannot be moved must go to a worker that has just started a job, even outside the affinity set.
func TestAtMostOnceGoesWhereAStartWasPrompt(t *testing.T) {
	h := newHarness(t, manyConfig(), testWorkers(60)...)
	makeRare(h)
	h.now += 60 * second
	h.step()
	affinitySet, _ := h.d.rankAffinity(&job{class: &h.d.classes[1], req: Request{Key: affinityKey}})
	proven := firstOutside(h.d, affinitySet)
	proven.setOutlier(func(s *health.OutlierState) { s.PromptStartAt = h.now })
	h.d.capacity.recentReports.add(proven)
	for class, want := range []string{affinitySet[0].id, proven.id} {
		h.step(keyedRequest(h, uint64(1+class), class))
		if a := h.wantActions(ActionSend, 1)[0]; a.Worker != want {
			t.Errorf("job of class %d sent to %s, want %s", class, a.Worker, want)
		}
	}
}

// The removal of a worker must reassign exactly the keys that it was first for. The keys must be spread evenly.
func TestRendezvousReassignsOnlyKeysOfARemovedWorker(t *testing.T) {
	h := newHarness(t, manyConfig(), testWorkers(60)...)
	d := h.d
	firstRanked := func(key uint64) *worker {
		workers, candidates := d.rankAffinity(&job{class: &d.classes[0], req: Request{Key: key}})
		if candidates != len(d.liveWorkers) {
			t.Fatalf("rankAffinity() ranked %d workers, want %d", candidates, len(d.liveWorkers))
		}
		return workers[0]
	}
	before := map[uint64]*worker{}
	firstCounts := map[*worker]int{}
	for key := uint64(1); key <= 6000; key++ {
		before[key] = firstRanked(key)
		firstCounts[before[key]]++
	}
	for w, n := range firstCounts {
		if n < 50 || n > 150 { // five standard deviations from the mean of 100
			t.Errorf("%s is first for %d of 6000 keys, want 50 to 150", w.id, n)
		}
	}
	removed := d.liveWorkers[7]
	h.step(endpointsEvent(EndpointsDelta, Worker{ID: removed.id, State: Removed}))
	for key, w := range before {
		if now := firstRanked(key); (now != w) != (w == removed) {
			t.Errorf("key %d has %s first before and %s after the removal of %s", key, w.id, now.id, removed.id)
		}
	}
}

// The cost of a fetch must be relative to the run time: a long job is sent to a worker that started one some
// seconds ago, a short job to the first worker of the affinity set although that one is unproven.
func TestFetchPriceIsRelativeToRunTime(t *testing.T) {
	for median, wantPreferred := range map[int64]bool{1: true, 10: false} {
		t.Run(fmt.Sprintf("runtime=%dx", median), func(t *testing.T) {
			h := newHarness(t, manyConfig(), testWorkers(60)...)
			makeRare(h)
			h.now += 60 * second
			h.step()
			c := &h.d.classes[1]
			c.setRuntimes(median*h.d.classes[0].runtimes.Median(), c.runtimes.LowerQuartile())
			affinitySet, _ := h.d.rankAffinity(&job{class: c, req: Request{Key: affinityKey}})
			proven := firstOutside(h.d, affinitySet)
			proven.setOutlier(func(s *health.OutlierState) { s.PromptStartAt = h.now - 3*second })
			h.d.capacity.recentReports.add(proven)
			h.step(keyedRequest(h, 1, atMostOnce))
			if a := h.wantActions(ActionSend, 1)[0]; (a.Worker == affinitySet[0].id) != wantPreferred {
				t.Errorf("a job %d times as long sent to %s; first of the affinity set is %s, proven is %s",
					median, a.Worker, affinitySet[0].id, proven.id)
			}
		})
	}
}

// firstOutside returns the first worker that is not in an affinity set.
func firstOutside(d *Dispatcher, set []*worker) *worker {
	return d.workerOrder[slices.IndexFunc(d.workerOrder, func(w *worker) bool { return !slices.Contains(set, w) })]
}
