package foxlift

// Where the keys of jobs are: what a worker was lately sent, what lately came, and the order
// of workers that belongs to each key. Nothing is decided here.

import "slices"

const keptKeys = 5 // on more than these a worker has mostly given up the first

// holds reports whether a worker is likely to have what jobs with a key need.
func (w *worker) likelyCaches(key uint64) bool { return slices.Contains(w.cachedKeys, key) }

// keep notes that a job with a key goes to a worker.
func (w *worker) recordKey(key uint64) {
	if key == 0 {
		return
	}
	if i := slices.Index(w.cachedKeys, key); i >= 0 {
		w.cachedKeys = slices.Delete(w.cachedKeys, i, i+1)
	} else if len(w.cachedKeys) == keptKeys {
		w.cachedKeys = w.cachedKeys[:keptKeys-1]
	}
	w.cachedKeys = slices.Insert(w.cachedKeys, 0, key)
}

// nearest returns the warm workers of the own zone and of the job's kind that come first
// by rendezvous hashing of its key: each key has an order of workers of its own, and one
// worker more or less moves no key but its own. Where crossings are free zones don't count.
// It also returns how many workers they are the first of.
func (d *Dispatcher) rankAffinity(j *job) (homes []*worker, of int) {
	var hashes [maxAffinity]uint64
	ws := make([]*worker, 0, maxAffinity)
	index := &d.affinityIndexes[j.class.Kind+1]
	from, to := index.search(j.req.Key)
	compared := 0
	for _, bucket := range index[from:to] {
		compared += len(bucket)
		for i := range bucket {
			e := &bucket[i]
			if d.now < e.readyAt {
				continue
			}
			of++
			h := mixBits(e.hash ^ j.req.Key*0x9e3779b97f4a7c15)
			i := len(ws)
			if i < maxAffinity {
				ws = append(ws, e.worker)
			} else if i--; h <= hashes[i] {
				continue
			}
			for ; i > 0 && hashes[i-1] < h; i-- {
				hashes[i], ws[i] = hashes[i-1], ws[i-1]
			}
			hashes[i], ws[i] = h, e.worker
		}
	}
	d.candidatesExamined += compared
	if from > 0 || to < affinityBuckets { // as many are warm elsewhere
		of = of * index.size(0, affinityBuckets) / max(1, compared)
	}
	return ws, of
}

// mix spreads the bits of x over all of it (the finalizer of MurmurHash3).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// A keyLog holds the keys of the last jobs, the newest over the oldest.
type keyLog struct {
	keys  [256]uint64
	added int // that were ever added
}

func (l *keyLog) add(key uint64) {
	l.keys[l.added%len(l.keys)] = key
	l.added++
}

// part returns the part of the last jobs that had a key, and a few more that had not: of
// the first jobs one says little.
func (l *keyLog) fraction(key uint64) float64 {
	n := 0
	for _, k := range l.keys {
		if k == key {
			n++
		}
	}
	return float64(n) / float64(min(l.added, len(l.keys))+16)
}
