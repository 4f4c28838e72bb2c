package foxlift

// Where the keys of jobs are: what a worker was lately sent, what lately came, and the order
// of workers that belongs to each key. Nothing is decided here.

import "slices"

const keptKeys = 5 // on more than these a worker has mostly given up the first

// holds reports whether a worker is likely to have what jobs with a key need.
func (w *worker) holds(key uint64) bool { return slices.Contains(w.keys, key) }

// keep notes that a job with a key goes to a worker.
func (w *worker) keep(key uint64) {
	if key == 0 {
		return
	}
	if i := slices.Index(w.keys, key); i >= 0 {
		w.keys = slices.Delete(w.keys, i, i+1)
	} else if len(w.keys) == keptKeys {
		w.keys = w.keys[:keptKeys-1]
	}
	w.keys = slices.Insert(w.keys, 0, key)
}

// nearest returns the warm workers of the own zone and of the job's kind that come first
// by rendezvous hashing of its key: each key has an order of workers of its own, and one
// worker more or less moves no key but its own. Where crossings are free zones don't count.
// It also returns how many workers they are the first of.
func (d *Dispatcher) nearest(j *job) (homes []*worker, of int) {
	var hashes [mostHomes]uint64
	ws := make([]*worker, 0, mostHomes)
	index := &d.homes[j.class.Kind+1]
	from, to := index.search(j.req.Key)
	compared := 0
	for _, bucket := range index[from:to] {
		compared += len(bucket)
		for i := range bucket {
			e := &bucket[i]
			if d.now < e.warmAt {
				continue
			}
			of++
			h := mix(e.hash ^ j.req.Key*0x9e3779b97f4a7c15)
			i := len(ws)
			if i < mostHomes {
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
	d.looked += compared
	if from > 0 || to < homeBuckets { // as many are warm elsewhere
		of = of * index.size(0, homeBuckets) / max(1, compared)
	}
	return ws, of
}

// mix spreads the bits of x over all of it (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// A keyLog holds the keys of the last jobs, the newest over the oldest.
type keyLog struct {
	last [256]uint64
	n    int // that were ever added
}

func (l *keyLog) add(key uint64) {
	l.last[l.n%len(l.last)] = key
	l.n++
}

// part returns the part of the last jobs that had a key, and a few more that had not: of
// the first jobs one says little.
func (l *keyLog) part(key uint64) float64 {
	n := 0
	for _, k := range l.last {
		if k == key {
			n++
		}
	}
	return float64(n) / float64(min(l.n, len(l.last))+16)
}
