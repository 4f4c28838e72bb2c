package affinity

// Rendezvous hashing: each key has an order of workers of its own, and one worker more or less moves no
// key but its own. Nothing is decided here.

import "slices"

const (
	// MaxWorkers is how many workers a key has.
	MaxWorkers = 16

	// MaxCompared is the most workers that a key's are searched among, unless one bucket holds more.
	MaxCompared = 1024

	bucketBits  = 6
	bucketCount = 1 << bucketBits
)

// Score returns the place of the worker with a hash in a key's order: the greatest comes first.
func Score(workerHash, key uint64) uint64 { return mixBits(workerHash ^ key*0x9e3779b97f4a7c15) }

// mixBits spreads the bits of x over all of it (the finalizer of MurmurHash3).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// A Registration is where a worker stands in Indexes. The zero value is one that is not indexed.
type Registration struct {
	indexed bool
	kind    int
	readyAt int64
}

// Indexes hold the workers of type W that may be in a key's affinity set: all of them, and those of each
// kind.
type Indexes[W comparable] struct {
	all    index[W]
	byKind []index[W]
}

// NewIndexes returns empty indexes for so many kinds.
func NewIndexes[W comparable](kinds int) *Indexes[W] {
	return &Indexes[W]{byKind: make([]index[W], kinds)}
}

// Update indexes a worker with the hash of its ID, or no more, as one of a kind (-1: of none) that is
// ready from some time on. Its registration is what the last Update made of it.
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

// Rank returns the workers that are ready and of a kind (-1: of any) that come first in a key's order. It
// also returns how many workers they are the first of, and how many it has looked at.
func (x *Indexes[W]) Rank(key uint64, kind int, now int64) (ranked []W, candidates, examined int) {
	if kind < 0 {
		return x.all.rank(key, now)
	}
	return x.byKind[kind].rank(key, now)
}

// An index holds workers by the first bits of their hashes.
type index[W comparable] [bucketCount][]entry[W]

// An entry is a worker; what the search asks of it stands beside it.
type entry[W comparable] struct {
	hash    uint64
	readyAt int64
	worker  W
}

// bucketOf returns the bucket of a hash.
func bucketOf(hash uint64) int { return int(hash >> (64 - bucketBits)) }

// add puts a worker in.
func (x *index[W]) add(e entry[W]) {
	b := &x[bucketOf(e.hash)]
	*b = append(*b, e)
}

// remove takes a worker out.
func (x *index[W]) remove(hash uint64, w W) {
	b := &x[bucketOf(hash)]
	i := slices.IndexFunc(*b, func(e entry[W]) bool { return e.worker == w })
	last := len(*b) - 1
	(*b)[i] = (*b)[last]
	(*b)[last] = entry[W]{}
	*b = (*b)[:last]
}

// size returns how many workers some buckets hold.
func (x *index[W]) size(from, to int) (n int) {
	for i := from; i < to; i++ {
		n += len(x[i])
	}
	return n
}

// search returns the buckets that a key's workers are searched in: all, or while these hold more than
// MaxCompared workers the half that the key draws by the next bit of its hash. That is hierarchical
// rendezvous hashing: where a half is divided, the keys that have drawn it keep half of their workers.
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

// rank is Indexes.Rank for one index.
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
	if from > 0 || to < bucketCount { // as many are ready elsewhere
		candidates = candidates * x.size(0, bucketCount) / max(1, examined)
	}
	return ranked, candidates, examined
}
