package cells

import (
	"cmp"
	"slices"
)

// A ring lists workers sorted by position, some of which are taken by slots. nextUntaken[i] is i if worker i
// is free, otherwise an index nearer to the next free worker: a union-find structure with path halving.
type ring struct {
	workers     []*ringWorker
	nextUntaken []int
}

// add appends a free worker. Workers are added in order of their positions.
func (r *ring) add(w *ringWorker) {
	r.workers = append(r.workers, w)
	r.nextUntaken = append(r.nextUntaken, len(r.nextUntaken))
}

// nextFree returns the index of the first free worker at or after i, or the ring's length if there is none.
func (r *ring) nextFree(i int) int {
	for i < len(r.nextUntaken) && r.nextUntaken[i] != i {
		if j := r.nextUntaken[i]; j < len(r.nextUntaken) {
			r.nextUntaken[i] = r.nextUntaken[j]
		}
		i = r.nextUntaken[i]
	}
	return i
}

// nearestFree returns the first free worker at or clockwise of a position, or nil if there is none. A nil ring
// has no workers.
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

// markTaken excludes a worker of the ring, which a slot has taken, from later searches.
func (r *ring) markTaken(w *ringWorker) {
	i, _ := slices.BinarySearchFunc(r.workers, w, byPosition)
	r.nextUntaken[i] = i + 1
}
