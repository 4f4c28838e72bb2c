package cells

// The hash ring on which seats look for a free node.

import (
	"cmp"
	"slices"
)

// A ring is nodes by place, of which some are taken. next[i] leads to the first free
// one from i on, by union and find with path halving.
type ring struct {
	workers []*ringWorker
	next    []int
}

func (r *ring) add(x *ringWorker) {
	r.workers = append(r.workers, x)
	r.next = append(r.next, len(r.next))
}

func (r *ring) nextFree(i int) int {
	for i < len(r.next) && r.next[i] != i {
		if j := r.next[i]; j < len(r.next) {
			r.next[i] = r.next[j]
		}
		i = r.next[i]
	}
	return i
}

// after returns the first free node clockwise of a place, or nil.
func (r *ring) nearestFree(pos uint64) *ringWorker {
	if r == nil {
		return nil
	}
	at, _ := slices.BinarySearchFunc(r.workers, pos, func(x *ringWorker, p uint64) int { return cmp.Compare(x.position, p) })
	if i := r.nextFree(at); i < len(r.workers) {
		return r.workers[i]
	}
	if i := r.nextFree(0); i < len(r.workers) {
		return r.workers[i]
	}
	return nil
}

func (r *ring) markTaken(x *ringWorker) {
	i, _ := slices.BinarySearchFunc(r.workers, x, byPosition)
	r.next[i] = i + 1
}
