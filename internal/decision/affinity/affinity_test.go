package affinity

import (
	"slices"
	"testing"
)

// A worker keeps the keys of its last jobs, each once.
func TestCachedKeys(t *testing.T) {
	var c CachedKeys
	for _, key := range []uint64{1, 2, 0, 3, 2, 4, 5, 6} {
		c.Record(key)
	}
	if want := []uint64{6, 5, 4, 2, 3}; !slices.Equal(c.Keys(), want) {
		t.Errorf("%v, want %v", c.Keys(), want)
	}
	if c.Contains(1) || !c.Contains(2) {
		t.Error("the oldest key is not the one that was given up")
	}
	if c.Restore([]uint64{1, 2, 3, 4, 5, 6}); len(c.Keys()) != MaxCachedKeys {
		t.Errorf("%v restored", c.Keys())
	}
}

// The log forgets the oldest keys, and says little of the first jobs.
func TestKeyLog(t *testing.T) {
	var l KeyLog
	if l.Add(7); l.Fraction(7) != 1.0/17 {
		t.Errorf("fraction %v of one job", l.Fraction(7))
	}
	for range 254 {
		l.Add(8)
	}
	l.Add(9)
	l.Add(9) // over the first
	if l.Fraction(7) != 0 || l.Fraction(9) != 2.0/272 {
		t.Errorf("fractions %v and %v", l.Fraction(7), l.Fraction(9))
	}
	keys := l.Keys()
	if len(keys) != 256 || keys[0] != 8 || keys[255] != 9 {
		t.Errorf("%d keys from %d to %d", len(keys), keys[0], keys[255])
	}
	var restored KeyLog
	if restored.Restore(keys); !slices.Equal(restored.Keys(), keys) || restored.Fraction(9) != l.Fraction(9) {
		t.Error("the log is not restored")
	}
}

// An indexed worker is ranked while it is ready, by its kind and by any, wherever it was before.
func TestIndexes(t *testing.T) {
	x := NewIndexes[string](2)
	var registered [3]Registration
	hashes := [3]uint64{mixBits(1), mixBits(2), mixBits(3)}
	names := [3]string{"a", "b", "c"}
	update := func(i int, indexed bool, kind int, readyAt int64) {
		x.Update(names[i], hashes[i], &registered[i], indexed, kind, readyAt)
	}
	check := func(kind int, want ...string) {
		t.Helper()
		ranked, of, _ := x.Rank(99, kind, 10)
		slices.Sort(ranked)
		if !slices.Equal(ranked, want) || of != len(want) {
			t.Errorf("kind %d: %v of %d, want %v", kind, ranked, of, want)
		}
	}
	update(0, true, 0, 0)
	update(1, true, -1, 0)
	update(2, true, 1, 11) // not ready yet
	check(-1, "a", "b")
	check(0, "a")
	check(1)
	update(2, true, 1, 10)
	check(1, "c")
	update(0, true, 1, 0)
	check(0)
	check(1, "a", "c")
	update(0, false, 1, 0)
	update(0, false, 0, 0)
	check(-1, "b", "c")
	if ranked, _, _ := x.Rank(99, -1, 10); Score(hashes[2], 99) > Score(hashes[1], 99) != (ranked[0] == "c") {
		t.Errorf("%v is not in the key's order", ranked)
	}
}
