package affinity

// Rendezvous hashing: each key has its own order of workers, and adding or removing a worker changes the
// first worker only of the keys that this worker is first for. Nothing is decided here.

import "slices"

const (
	// MaxWorkers is the most workers in a key's affinity set.
	MaxWorkers = 16

	// MaxCompared is the most workers that are compared for a key, unless one bucket holds more.
	MaxCompared = 1024

	bucketBits  = 6
	bucketCount = 1 << bucketBits
)

// Score returns the rank score of a worker, by its hash, for a key. A key's order is by descending score.
func Score(workerHash, key uint64) uint64 { return mixBits(workerHash ^ key*0x9e3779b97f4a7c15) }

// mixBits is the finalizer of MurmurHash3: each bit of x affects all bits of the result.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// A Registration records how a worker is indexed in Indexes. The zero value stands for a worker not indexed.
type Registration struct {
	indexed bool
	kind    int
	readyAt int64
}

// Indexes hold the workers, of type W, that may be in affinity sets: one index of all workers and one for
// each kind.
type Indexes[W comparable] struct {
	all    index[W]
	byKind []index[W]
}

// NewIndexes returns empty indexes for the given number of kinds.
func NewIndexes[W comparable](kinds int) *Indexes[W] {
	return &Indexes[W]{byKind: make([]index[W], kinds)}
}

// Update adds a worker to the indexes, moves it there or, if indexed is false, removes it. hash is the hash
// of its ID, kind is -1 for a worker of no kind, and the worker is ranked from readyAt on. r is the worker's
// registration, which only Update changes. A kind that NewIndexes did not provide for causes a panic.
func (x *Indexes[W]) Update(w W, hash uint64, r *Registration, indexed bool, kind int, readyAt int64) {
	if indexed == r.indexed && (!indexed || readyAt == r.readyAt && kind == r.kind) {
		return
	}
	if r.indexed {
		x.all.remove(hash, w)
		if r.kind >= 0 {
			x.byKind[r.kind].remove(hash, w)
		}
	}
	*r = Registration{indexed: indexed, kind: kind, readyAt: readyAt}
	if indexed {
		e := entry[W]{hash, readyAt, w}
		x.all.add(e)
		if kind >= 0 {
			x.byKind[kind].add(e)
		}
	}
}

// Rank returns the first workers in a key's order, at most MaxWorkers, among the workers that are ready at now
// and of a kind (-1: any kind). candidates is the number of such workers, an estimate if only part of the index
// was searched. examined is the number of workers that were looked at, ready or not.
func (x *Indexes[W]) Rank(key uint64, kind int, now int64) (ranked []W, candidates, examined int) {
	if kind < 0 {
		return x.all.rank(key, now)
	}
	return x.byKind[kind].rank(key, now)
}

// An index holds workers in buckets by the highest bits of their hashes.
type index[W comparable] [bucketCount][]entry[W]

// An entry is a worker with the values that rank reads of it.
type entry[W comparable] struct {
	hash    uint64
	readyAt int64
	worker  W
}

// bucketOf returns the index of a hash's bucket.
func bucketOf(hash uint64) int { return int(hash >> (64 - bucketBits)) }

// add adds an entry.
func (x *index[W]) add(e entry[W]) {
	b := &x[bucketOf(e.hash)]
	*b = append(*b, e)
}

// remove removes a worker that was added with the hash; it must be in the index.
func (x *index[W]) remove(hash uint64, w W) {
	b := &x[bucketOf(hash)]
	i := slices.IndexFunc(*b, func(e entry[W]) bool { return e.worker == w })
	last := len(*b) - 1
	(*b)[i] = (*b)[last]
	(*b)[last] = entry[W]{}
	*b = (*b)[:last]
}

// size returns the number of workers in the buckets from `from` up to, not including, `to`.
func (x *index[W]) size(from, to int) (n int) {
	for i := from; i < to; i++ {
		n += len(x[i])
	}
	return n
}

// searchRange returns the range of buckets in which a key's workers are searched: all buckets, halved by the
// next bit of the key's hash while the range holds more than MaxCompared workers. This is hierarchical
// rendezvous hashing: when a range is split, the keys that map to it keep half of their workers.
func (x *index[W]) searchRange(key uint64) (from, to int) {
	from, to = 0, bucketCount
	for hashBits := mixBits(key); to-from > 1 && x.size(from, to) > MaxCompared; hashBits >>= 1 {
		middle := (from + to) / 2
		if hashBits&1 == 0 {
			to = middle
		} else {
			from = middle
		}
	}
	return from, to
}

// rank implements Indexes.Rank for one index.
func (x *index[W]) rank(key uint64, now int64) (ranked []W, candidates, examined int) {
	var scores [MaxWorkers]uint64
	ranked = make([]W, 0, MaxWorkers)
	from, to := x.searchRange(key)
	for _, bucket := range x[from:to] {
		examined += len(bucket)
		for i := range bucket {
			e := &bucket[i]
			if now < e.readyAt {
				continue
			}
			candidates++
			score := Score(e.hash, key)
			position := len(ranked)
			if position < MaxWorkers {
				ranked = append(ranked, e.worker)
			} else if position--; score <= scores[position] {
				continue
			}
			for ; position > 0 && scores[position-1] < score; position-- {
				scores[position], ranked[position] = scores[position-1], ranked[position-1]
			}
			scores[position], ranked[position] = score, e.worker
		}
	}
	if from > 0 || to < bucketCount { // estimate: the same fraction is ready in the other buckets
		candidates = candidates * x.size(0, bucketCount) / max(1, examined)
	}
	return ranked, candidates, examined
}
