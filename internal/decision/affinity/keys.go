// Package affinity tracks the affinity keys of jobs: the keys of the last jobs sent to a worker (CachedKeys),
// the keys of the last jobs that arrived (KeyLog), and the order of workers for each key (Indexes, by
// rendezvous hashing). Nothing is decided here.
package affinity

import "slices"

// MaxCachedKeys bounds the keys recorded for a worker: with more keys it has mostly evicted the oldest one's data.
const MaxCachedKeys = 5

// CachedKeys holds the distinct keys of the last jobs sent to a worker, at most MaxCachedKeys.
type CachedKeys struct {
	keys []uint64 // most recently used first
}

// Contains reports whether the worker is likely to have cached the data of a key's jobs; false for key 0.
func (c *CachedKeys) Contains(key uint64) bool { return slices.Contains(c.keys, key) }

// Record records that a job with a key is sent to the worker. Key 0 means no key and is ignored.
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

// Keys returns the keys, most recently used first. The slice is valid until the next Record.
func (c *CachedKeys) Keys() []uint64 { return c.keys }

// Restore replaces the keys by the first MaxCachedKeys of keys, which are most recently used first.
func (c *CachedKeys) Restore(keys []uint64) {
	c.keys = slices.Clone(keys)
	c.keys = c.keys[:min(len(c.keys), MaxCachedKeys)]
}

// A KeyLog is a ring buffer of the keys of the last jobs that arrived.
type KeyLog struct {
	keys  [256]uint64
	added int // total number of Add calls
}

// Add records a job's key. Key 0 stands for a job without a key.
func (l *KeyLog) Add(key uint64) {
	l.keys[l.added%len(l.keys)] = key
	l.added++
}

// Fraction returns the fraction of the logged jobs that have a key, which must not be 0, as unused entries
// are. 16 jobs with other keys are added to the count, so that a key of the very first jobs does not get a
// large fraction.
func (l *KeyLog) Fraction(key uint64) float64 {
	count := 0
	for _, k := range l.keys {
		if k == key {
			count++
		}
	}
	return float64(count) / float64(min(l.added, len(l.keys))+16)
}

// Keys returns the keys in the log, oldest first.
func (l *KeyLog) Keys() []uint64 {
	var keys []uint64
	for i := max(0, l.added-len(l.keys)); i < l.added; i++ {
		keys = append(keys, l.keys[i%len(l.keys)])
	}
	return keys
}

// Restore replaces the log by the last 256 of keys, which are oldest first.
func (l *KeyLog) Restore(keys []uint64) {
	*l = KeyLog{}
	for _, key := range keys {
		l.Add(key)
	}
}
