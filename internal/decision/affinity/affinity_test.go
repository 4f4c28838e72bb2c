package affinity

import (
	"slices"
	"testing"
)

// CachedKeys must hold each key once and evict the least recently used one; key 0 is not recorded.
func TestCachedKeys(t *testing.T) {
	var c CachedKeys
	for _, key := range []uint64{1, 2, 0, 3, 2, 4, 5, 6} {
		c.Record(key)
	}
	if want := []uint64{6, 5, 4, 2, 3}; !slices.Equal(c.Keys(), want) {
		t.Errorf("Keys() = %v, want %v", c.Keys(), want)
	}
	if c.Contains(1) || !c.Contains(2) {
		t.Errorf("Contains(1) = %v, Contains(2) = %v, want false, true", c.Contains(1), c.Contains(2))
	}
	if c.Restore([]uint64{1, 2, 3, 4, 5, 6}); len(c.Keys()) != MaxCachedKeys {
		t.Errorf("Restore() of 6 keys kept %v, want %d keys", c.Keys(), MaxCachedKeys)
	}
}

// KeyLog must drop the oldest of 256 keys, and must not report a large fraction for a key of the first jobs.
func TestKeyLog(t *testing.T) {
	var l KeyLog
	if l.Add(7); l.Fraction(7) != 1.0/17 {
		t.Errorf("Fraction(7) = %v after one job, want 1/17", l.Fraction(7))
	}
	for range 254 {
		l.Add(8)
	}
	l.Add(9)
	l.Add(9) // overwrites the first key
	if l.Fraction(7) != 0 || l.Fraction(9) != 2.0/272 {
		t.Errorf("Fraction(7) = %v, Fraction(9) = %v, want 0 and 2/272", l.Fraction(7), l.Fraction(9))
	}
	keys := l.Keys()
	if len(keys) != 256 || keys[0] != 8 || keys[255] != 9 {
		t.Errorf("Keys() returned %d keys from %d to %d, want 256 from 8 to 9", len(keys), keys[0], keys[255])
	}
	var restored KeyLog
	if restored.Restore(keys); !slices.Equal(restored.Keys(), keys) || restored.Fraction(9) != l.Fraction(9) {
		t.Errorf("Restore() gives keys %v, Fraction(9) %v, want %v, %v",
			restored.Keys(), restored.Fraction(9), keys, l.Fraction(9))
	}
}

// Rank must return the indexed workers that are ready, by kind and for any kind, after updates that move a worker
// to another kind, change its ready time or remove it.
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
			t.Errorf("Rank() of kind %d = %v of %d candidates, want %v", kind, ranked, of, want)
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
		t.Errorf("Rank() = %v, not by descending score", ranked)
	}
}
