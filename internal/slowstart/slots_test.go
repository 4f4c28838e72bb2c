package slowstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A turn at a node belongs to one scheduler, and each has one in as many as there are
// schedulers; no more turns are in a window than it may be sent light jobs.
func TestSlotOwnership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "schedulers")
		node, from := rapid.Uint64().Draw(t, "node"), rapid.Int64Range(0, 1<<61).Draw(t, "now")
		jobs := rapid.Float64Range(0, 20).Draw(t, "jobs")
		turns := NewSlots(int64(time.Second), n, 0, jobs)
		if most := max(1, jobs); float64(time.Second)/float64(turns.length) > most*1.001 {
			t.Fatalf("turns of %d ns for %g jobs a second", turns.length, jobs)
		}
		first := turns.At(from)
		had := map[int]int{}
		for w := first; w < first+int64(n); w++ {
			for i := range n {
				if turns.index = uint64(i); turns.Owned(w, node) {
					had[i]++
					if turns.At(w*turns.length) != w || turns.At((w+1)*turns.length-1) != w {
						t.Fatalf("turn %d is not from its start to its end", w)
					}
				}
			}
		}
		for i := range n {
			if had[i] != 1 {
				t.Fatalf("scheduler %d has %d of %d turns", i, had[i], n)
			}
		}
	})
}

// Whatever two schedulers take their jobs for, heavy ones do not come in turns side by side,
// and they come as often as the node bears.
func TestHeavySlotsAreSparse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := rapid.Uint64().Draw(t, "node")
		one, other := rapid.Float64Range(1.0001, 1e6).Draw(t, "times"), rapid.Float64Range(1.0001, 1e6).Draw(t, "other")
		w := rapid.Int64Range(0, 1<<33).Draw(t, "window")
		var turns Slots
		if turns.AllowsHeavy(w, node, one) && turns.AllowsHeavy(w+1, node, other) {
			t.Fatal("two heavy turns side by side")
		}
		heavy := 0
		for i := range int64(1 << 10) {
			if turns.AllowsHeavy(w+i, node, 5) {
				heavy++
			}
		}
		if heavy != 1<<10/8 {
			t.Fatalf("%d heavy turns in %d for jobs of 5 turns' work", heavy, 1<<10)
		}
	})
}
