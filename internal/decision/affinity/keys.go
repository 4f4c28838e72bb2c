// Package affinity keeps where the affinity keys of jobs are: which keys a worker was lately sent
// (CachedKeys), which keys came lately (KeyLog), and the order of workers that belongs to each key
// (Indexes, by rendezvous hashing). Nothing is decided here.
package affinity

import "slices"

// MaxCachedKeys is how many keys a worker keeps: on more than these it has mostly given up the first.
const MaxCachedKeys = 5

// CachedKeys are the keys of the last jobs at a worker.
type CachedKeys struct {
	keys []uint64 // the newest first
}

// Contains reports whether the worker is likely to have what jobs with a key need.
func (c *CachedKeys) Contains(key uint64) bool { return slices.Contains(c.keys, key) }

// Record notes that a job with a key goes to the worker; 0 is none.
func (c *CachedKeys) Record(key uint64) {
	if key == 0 {
		return
	}
	if i := slices.Index(c.keys, key); i >= 0 {
		c.keys = slices.Delete(c.keys, i, i+1)
	} else if len(c.keys) == MaxCachedKeys {
		c.keys = c.keys[:MaxCachedKeys-1]
	}
	c.keys = slices.Insert(c.keys, 0, key)
}

// Keys returns the keys, the newest first. They are valid until the next Record.
func (c *CachedKeys) Keys() []uint64 { return c.keys }

// Restore takes over a worker's keys, the newest first.
func (c *CachedKeys) Restore(keys []uint64) {
	c.keys = slices.Clone(keys)
	c.keys = c.keys[:min(len(c.keys), MaxCachedKeys)]
}

// A KeyLog holds the keys of the last jobs that came, the newest over the oldest.
type KeyLog struct {
	keys  [256]uint64
	added int // that were ever added
}

// Add notes a job's key; 0 is none.
func (l *KeyLog) Add(key uint64) {
	l.keys[l.added%len(l.keys)] = key
	l.added++
}

// Fraction returns the fraction of the last jobs that had a key, and of a few more that had not: of the
// first jobs one says little.
func (l *KeyLog) Fraction(key uint64) float64 {
	count := 0
	for _, k := range l.keys {
		if k == key {
			count++
		}
	}
	return float64(count) / float64(min(l.added, len(l.keys))+16)
}

// Keys returns the keys in the log, the oldest first.
func (l *KeyLog) Keys() []uint64 {
	var keys []uint64
	for i := max(0, l.added-len(l.keys)); i < l.added; i++ {
		keys = append(keys, l.keys[i%len(l.keys)])
	}
	return keys
}

// Restore takes over a log's keys, the oldest first.
func (l *KeyLog) Restore(keys []uint64) {
	*l = KeyLog{}
	for _, key := range keys {
		l.Add(key)
	}
}
