package cells

import (
	"cmp"
	"slices"
)

// A ring is workers in the order of their positions, of which some are taken by slots. next[i] leads to
// the first free one from i on, by union and find with path halving.
type ring struct {
	workers     []*ringWorker
	nextUntaken []int
}

func (r *ring) add(w *ringWorker) {
	r.workers = append(r.workers, w)
	r.nextUntaken = append(r.nextUntaken, len(r.nextUntaken))
}

// nextFree returns the index of the first free worker from i on, or the ring's length.
func (r *ring) nextFree(i int) int {
	for i < len(r.nextUntaken) && r.nextUntaken[i] != i {
		if j := r.nextUntaken[i]; j < len(r.nextUntaken) {
			r.nextUntaken[i] = r.nextUntaken[j]
		}
		i = r.nextUntaken[i]
	}
	return i
}

// nearestFree returns the first free worker clockwise of a position, or nil.
func (r *ring) nearestFree(position uint64) *ringWorker {
	if r == nil {
		return nil
	}
	start, _ := slices.BinarySearchFunc(r.workers, position, func(w *ringWorker, p uint64) int {
		return cmp.Compare(w.position, p)
	})
	for _, from := range []int{start, 0} {
		if i := r.nextFree(from); i < len(r.workers) {
			return r.workers[i]
		}
	}
	return nil
}

// markTaken takes a worker that a slot holds out of the search.
func (r *ring) markTaken(w *ringWorker) {
	i, _ := slices.BinarySearchFunc(r.workers, w, byPosition)
	r.nextUntaken[i] = i + 1
}
