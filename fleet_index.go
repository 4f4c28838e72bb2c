package foxlift

// The fleet as a dispatcher looks for it: what time alone may move, who is live, gone or lost, and
// the sum of the learned caps. All of it is kept as workers change, so that no step looks at every
// worker but that which takes a whole list. Nothing is decided here.

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// A fleetIndex holds the workers by what is asked of them. Each slice holds a worker once.
type fleetIndex struct {
	numbered int64       // workers ever heard of
	pending  []*worker   // to be placed anew at the next tick or list event
	unsorted bool        // pending is not in the order of the list
	turned   []*worker   // those that became live, or are so no more, by the list event in hand
	gone     []*worker   // with some that have come back since the last look
	lost     []*worker   // the same
	caps     capSum      // of the live workers whose caps were learned
	homes    []homeIndex // of all kinds, then of each
	looked   int         // workers that any step but one of a whole list has looked at, for tests of its cost
}

// fewTurned is the most workers that are put into the live ones one by one.
const fewTurned = 64

// A capSum is an exact sum of caps, so that it depends on no order and never drifts: a cap is
// counted in parts of capUnit, to which every cap that was learned from whole slots is exact.
type capSum struct {
	parts int64
	count int
}

const (
	capUnit = 1 << 30 // parts of a slot
	capMost = 1 << 14 // slots that a cap counts for at most: half a million such workers fit the sum
)

// add takes a cap into the sum (1) or out of it (-1).
func (s *capSum) add(parts int64, by int) {
	s.parts += int64(by) * parts
	s.count += by
}

// mean returns the mean of the caps, or other if there are none.
func (s *capSum) mean(other float64) float64 {
	if s.count == 0 {
		return other
	}
	return float64(s.parts) / float64(s.count) / capUnit
}

// newWorker takes a worker that is heard of for the first time into the list.
func (d *Dispatcher) newWorker(id string) *worker {
	h := fnv.New64a()
	h.Write([]byte(id))
	d.numbered++
	w := &worker{id: id, number: d.numbered, state: Gone, level: -1, hash: h.Sum64() * 0xff51afd7ed558ccd, up: -1}
	d.workers[id] = w
	d.list = append(d.list, w)
	return w
}

// byNumber orders workers as they were first heard of, which is the order of Dispatcher.list.
func byNumber(a, b *worker) int { return cmp.Compare(a.number, b.number) }

// revisit has a worker placed anew at the next tick or list event.
func (d *Dispatcher) revisit(w *worker) {
	if w.pending {
		return
	}
	w.pending = true
	if n := len(d.pending); n > 0 && d.pending[n-1].number > w.number {
		d.unsorted = true
	}
	d.pending = append(d.pending, w)
}

// timed reports whether time alone may move a worker.
func (d *Dispatcher) timed(w *worker) bool {
	return w.state == Live && (d.now < w.ejectedUntil || d.young(w))
}

// sortPending puts the pending workers into the order of the list.
func (d *Dispatcher) sortPending() {
	if d.unsorted {
		slices.SortFunc(d.pending, byNumber)
		d.unsorted = false
	}
}

// placePending places the workers that are pending, in the order of the list. Those that time alone
// may move stay pending.
func (d *Dispatcher) placePending() {
	d.sortPending()
	d.looked += len(d.pending)
	kept := d.pending[:0]
	for _, w := range d.pending {
		d.place(w)
		if w.pending = d.timed(w); w.pending {
			kept = append(kept, w)
		}
	}
	clear(d.pending[len(kept):])
	d.pending = kept
}

// recountCap brings the sum of caps up to date with a worker.
func (d *Dispatcher) recountCap(w *worker) {
	if w.counted {
		d.caps.add(w.countedCap, -1)
	}
	if w.counted = w.capped && w.state == Live; w.counted {
		w.countedCap = int64(min(w.cap, capMost) * capUnit)
		d.caps.add(w.countedCap, 1)
	}
}

// noteWorker brings the index up to date with what a list event says of a worker.
func (d *Dispatcher) noteWorker(w *worker) {
	d.revisit(w)
	d.recountCap(w)
	d.noteHome(w)
	if (w.state == Live) != w.live {
		w.live = !w.live
		d.turned = append(d.turned, w)
	}
	if w.state == Gone && !w.inGone {
		w.inGone = true
		d.gone = append(d.gone, w)
	}
	if w.lost && !w.inLost {
		w.inLost = true
		d.lost = append(d.lost, w)
	}
}

// dropUnlisted lets the workers that a whole list does not name be gone.
func (d *Dispatcher) dropUnlisted() {
	for _, w := range d.list {
		if w.listed != d.lists && w.state != Gone {
			w.setState(Gone, d.now)
			d.noteWorker(w)
		}
	}
}

// collectLive brings the live workers up to date at the end of a list event.
func (d *Dispatcher) collectLive() {
	if len(d.turned) > fewTurned {
		d.live = d.live[:0]
		for _, w := range d.list {
			if w.live {
				d.live = append(d.live, w)
			}
		}
	} else {
		for _, w := range d.turned {
			switch i, there := slices.BinarySearchFunc(d.live, w, byNumber); {
			case w.live && !there:
				d.live = slices.Insert(d.live, i, w)
			case !w.live && there:
				d.live = slices.Delete(d.live, i, i+1)
			}
		}
	}
	d.looked += len(d.turned)
	clear(d.turned)
	d.turned = d.turned[:0]
}

// youngLive returns how many live workers are young, and the sum of their warmth.
func (d *Dispatcher) youngLive() (young int, warmth float64) {
	d.sortPending()
	for _, w := range d.pending { // a live worker that is young is timed
		if w.state == Live && d.young(w) {
			young++
			warmth += d.warmth(w)
		}
	}
	d.looked += len(d.pending)
	return young, warmth
}

// countLost returns how many workers are lost, and forgets those that are back and warm.
func (d *Dispatcher) countLost() int {
	d.looked += len(d.lost)
	d.lost = slices.DeleteFunc(d.lost, func(w *worker) bool {
		w.lost = w.lost && (w.state == Gone || d.young(w))
		w.inLost = w.lost
		return !w.lost
	})
	return len(d.lost)
}

// forgetGone drops the workers that have been gone since before a time, once nothing is
// counted there: a fleet that replaces its workers for months must not cost more by the day.
func (d *Dispatcher) forgetGone(before int64) {
	d.looked += len(d.gone)
	var old []*worker
	d.gone = slices.DeleteFunc(d.gone, func(w *worker) bool {
		if w.inGone = w.state == Gone; !w.inGone {
			return true
		}
		if w.went >= before || w.jobs > 0 || w.others != 0 {
			return false
		}
		old = append(old, w)
		return true
	})
	for _, w := range old {
		d.forgetWorker(w)
	}
	if len(old) > fewTurned {
		d.list = slices.DeleteFunc(d.list, func(w *worker) bool { return w.forgotten })
		return
	}
	for _, w := range old {
		if i, there := slices.BinarySearchFunc(d.list, w, byNumber); there {
			d.list = slices.Delete(d.list, i, i+1)
		}
	}
}

// forgetWorker drops a worker from all but the list.
func (d *Dispatcher) forgetWorker(w *worker) {
	w.forgotten, w.lost = true, false
	delete(d.workers, w.id)
	for i, f := range d.fresh {
		if f == w {
			d.fresh[i] = nil
		}
	}
}

// A homeIndex holds the live workers that may be homes of keys, of one kind or of all, by the first
// bits of their hashes.
type homeIndex [homeBuckets][]homeEntry

// A homeEntry is a worker in a homeIndex; what the search for homes asks of it stands beside it.
type homeEntry struct {
	hash   uint64
	warmAt int64
	worker *worker
}

const (
	homeBits     = 6
	homeBuckets  = 1 << homeBits
	mostCompared = 1024 // workers that a key's homes are searched among
)

func bucketOf(hash uint64) int { return int(hash >> (64 - homeBits)) }

// noteHome brings the index of homes up to date with a worker.
func (d *Dispatcher) noteHome(w *worker) {
	in := w.state == Live && (w.zone == d.cfg.Zone || d.cfg.Prices.CrossZone <= 0)
	warmAt := d.warmAt(w)
	if in == w.home && (!in || warmAt == w.homeWarm && w.kind == w.homeKind) {
		return
	}
	if w.home {
		d.homes[0].remove(w)
		if w.homeKind >= 0 {
			d.homes[w.homeKind+1].remove(w)
		}
	}
	if w.home, w.homeWarm, w.homeKind = in, warmAt, w.kind; in {
		d.homes[0].add(w)
		if w.kind >= 0 {
			d.homes[w.kind+1].add(w)
		}
	}
}

// warmAt returns from when on a worker is not young.
func (d *Dispatcher) warmAt(w *worker) int64 {
	switch {
	case w.up == 0:
		return math.MinInt64
	case w.up > math.MaxInt64-d.cfg.WarmAfter:
		return math.MaxInt64
	}
	return w.up + d.cfg.WarmAfter
}

func (x *homeIndex) add(w *worker) {
	b := &x[bucketOf(w.hash)]
	*b = append(*b, homeEntry{w.hash, w.homeWarm, w})
}

func (x *homeIndex) remove(w *worker) {
	b := &x[bucketOf(w.hash)]
	i := slices.IndexFunc(*b, func(e homeEntry) bool { return e.worker == w })
	last := len(*b) - 1
	(*b)[i] = (*b)[last]
	(*b)[last] = homeEntry{}
	*b = (*b)[:last]
}

// size returns how many workers some buckets hold.
func (x *homeIndex) size(from, to int) (n int) {
	for i := from; i < to; i++ {
		n += len(x[i])
	}
	return n
}

// search returns the buckets that a key's homes are searched in: all, or while these hold more than
// mostCompared workers the half that the key draws by the next bit of its hash. That is hierarchical
// rendezvous hashing: where a half is divided, the keys that have drawn it keep half of their homes.
func (x *homeIndex) search(key uint64) (from, to int) {
	from, to = 0, homeBuckets
	for draw := mix(key); to-from > 1 && x.size(from, to) > mostCompared; draw >>= 1 {
		middle := (from + to) / 2
		if draw&1 == 0 {
			to = middle
		} else {
			from = middle
		}
	}
	return from, to
}
