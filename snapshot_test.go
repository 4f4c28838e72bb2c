package foxlift

import (
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// runRandomLoad sends a dispatcher 400 random jobs, which are served, rejected or failed, or hang.
func runRandomLoad(h *harness, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	id := uint64(0)
	for range 400 {
		id++
		e := h.request(id, rng.IntN(3))
		e.Request.Tenant, e.Request.Key = rng.IntN(2), rng.Uint64N(20)
		h.advance(20*ms, e)
		for _, a := range h.actionsOf(ActionSend) {
			code := Served
			switch rng.IntN(20) {
			case 0:
				code = WorkerError
			case 1:
				code = Saturated
			case 2:
				continue // it hangs
			}
			h.advance(rng.Int64N(30*ms), started(a.ID, a.Attempt, a.Worker))
			h.advance(rng.Int64N(60*ms), outcome(a.ID, a.Attempt, a.Worker, code))
		}
	}
}

// A snapshot must transfer all learned state to another dispatcher through JSON: the restored dispatcher's snapshot
// is equal, and it can continue to work.
func TestSnapshotIsRestored(t *testing.T) {
	for seed := range uint64(5) {
		from := newSeededHarness(t, testConfig(), seed, testWorkers(6)...)
		runRandomLoad(from, seed)
		text, err := json.Marshal(from.d.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		var snapshot Snapshot
		if err := json.Unmarshal(text, &snapshot); err != nil {
			t.Fatal(err)
		}
		restored := newSeededHarness(t, testConfig(), seed+100, testWorkers(6)...)
		restored.now = from.now
		restored.step()
		restored.d.Restore(&snapshot)
		got := restored.d.Snapshot()
		if !reflect.DeepEqual(*got, snapshot) {
			t.Errorf("seed %d: restored\n%+v\nwant\n%+v", seed, *got, snapshot)
		}
		runRandomLoad(restored, seed+7) // it continues from the restored state
	}
}

func limitLearned(w WorkerSnapshot) bool { return w.LimitLearned }

// Restore must skip entries for unknown workers, classes and tenants, and for an earlier process of a worker. It
// must accept an empty snapshot.
func TestSnapshotSkipsUnknownEntries(t *testing.T) {
	from := newHarness(t, testConfig(), testWorkers(3)...)
	runRandomLoad(from, 1)
	snapshot := from.d.Snapshot()
	if len(snapshot.Workers) != 3 || !slices.ContainsFunc(snapshot.Workers, limitLearned) {
		t.Fatalf("snapshot has workers %+v, want 3 with a learned limit", snapshot.Workers)
	}
	workers := testWorkers(2)
	workers[1].StartedAt = 4 * second
	cfg := testConfig()
	cfg.Classes[2].Name, cfg.Tenants[1].Name = "other", "c"
	to := newHarness(t, cfg, workers...)
	before := *to.d.workers["w1"]
	to.d.Restore(snapshot)
	after := *to.d.workers["w1"]
	if after.limit.Slots() != before.limit.Slots() || after.latencyRatio != before.latencyRatio ||
		after.outlier.State().PausedUntil != before.outlier.State().PausedUntil {
		t.Errorf("Restore() changed another process of w1: %+v, want %+v", after, before)
	}
	if to.d.workers["w0"].limit.Slots() != snapshot.Workers[0].ConcurrencyLimit {
		t.Errorf("limit of w0 = %v, want %v", to.d.workers["w0"].limit.Slots(), snapshot.Workers[0].ConcurrencyLimit)
	}
	if to.d.classes[2].runtimes.Median() == snapshot.Classes[2].Median {
		t.Error("Restore() changed a class that has another name than the snapshot's")
	}
	restored := snapshot.Workers[0]
	if mean, want := to.d.limitSum.Mean(), restored.ConcurrencyLimit; restored.LimitLearned && mean != want {
		t.Errorf("mean limit %v, want %v of the one restored worker", mean, want)
	}
	if len(to.d.workers) != 2 {
		t.Errorf("%d workers, want 2", len(to.d.workers))
	}
	newHarness(t, testConfig(), testWorkers(2)...).d.Restore(&Snapshot{})
}

// Ejected must count live workers that failed or have an overdue start, but not saturated ones.
func TestEjected(t *testing.T) {
	h := newHarness(t, testConfig(), testWorkers(3)...)
	if n := h.d.Ejected(); n != 0 {
		t.Fatalf("Ejected() = %d, want 0", n)
	}
	h.d.backoffWorker(h.d.workers["w0"], &job{class: &h.d.classes[0]})
	if n := h.d.Ejected(); n != 0 {
		t.Errorf("Ejected() = %d with a saturated worker, want 0", n)
	}
	h.d.eject(h.d.workers["w1"])
	h.d.workers["w2"].overdue = 1
	if n := h.d.Ejected(); n != 2 {
		t.Errorf("Ejected() = %d with a failed worker and one with an overdue start, want 2", n)
	}
	h.d.workers["w2"].setState(Draining, h.now)
	if n := h.d.Ejected(); n != 1 {
		t.Errorf("Ejected() = %d after one of them drains, want 1", n)
	}
}
