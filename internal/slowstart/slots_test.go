package slowstart

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Each slot at a worker belongs to exactly one scheduler: of n consecutive slots, each of n schedulers owns
// one. A window has no more slots than the number of light jobs that the worker may receive in it.
func TestSlotOwnership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "schedulers")
		worker, from := rapid.Uint64().Draw(t, "worker"), rapid.Int64Range(0, 1<<61).Draw(t, "now")
		jobs := rapid.Float64Range(0, 20).Draw(t, "jobs")
		slots := NewSlots(int64(time.Second), n, 0, jobs)
		if perSecond := max(1, jobs); float64(time.Second)/float64(slots.length) > perSecond*1.001 {
			t.Fatalf("NewSlots() has slots of %d ns for %g jobs per second", slots.length, jobs)
		}
		first := slots.At(from)
		owned := map[int]int{}
		for slot := first; slot < first+int64(n); slot++ {
			for i := range n {
				if slots.index = uint64(i); slots.Owned(slot, worker) {
					owned[i]++
					if slots.At(slot*slots.length) != slot || slots.At((slot+1)*slots.length-1) != slot {
						t.Fatalf("At() does not return slot %d from its start to its end", slot)
					}
				}
			}
		}
		for i := range n {
			if owned[i] != 1 {
				t.Fatalf("scheduler %d owns %d of %d slots, want 1", i, owned[i], n)
			}
		}
	})
}

// Slots for heavy jobs are never adjacent, even if two schedulers estimate different weights for a job, and
// are as frequent as the weight allows.
func TestHeavySlotsAreSparse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		worker := rapid.Uint64().Draw(t, "worker")
		weight, otherWeight := rapid.Float64Range(1.0001, 1e6).Draw(t, "weight"),
			rapid.Float64Range(1.0001, 1e6).Draw(t, "other")
		slot := rapid.Int64Range(0, 1<<33).Draw(t, "slot")
		var slots Slots
		if slots.AllowsHeavy(slot, worker, weight) && slots.AllowsHeavy(slot+1, worker, otherWeight) {
			t.Fatal("AllowsHeavy() is true for two adjacent slots")
		}
		heavy := 0
		for i := range int64(1 << 10) {
			if slots.AllowsHeavy(slot+i, worker, 5) {
				heavy++
			}
		}
		if heavy != 1<<10/8 {
			t.Fatalf("AllowsHeavy() is true for %d of %d slots at weight 5, want one in 8", heavy, 1<<10)
		}
	})
}

// A number of jobs that is not a number must give one slot on every processor. Otherwise the conversion gives 0 slots
// on arm64, and the length of a slot is a division by zero.
func TestSlotsWithoutANumberOfJobs(t *testing.T) {
	one, got := NewSlots(1000, 4, 1, 1), NewSlots(1000, 4, 1, math.NaN())
	if got != one {
		t.Errorf("NewSlots() with NaN jobs = %+v, want %+v as with 1 job", got, one)
	}
}
