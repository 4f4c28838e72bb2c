package cells

import "slices"

// A kindPool holds the slots for the workers of one kind.
type kindPool struct {
	kind        int
	workers     int    // number of workers of the kind
	slots       []slot // in the order in which they choose
	slotsByCell []int  // number of slots, by cell
}

// A slot assigns one worker of the slot's kindPool to a cell.
type slot struct {
	cell     int
	position uint64      // on the hash ring
	zone     int         // preferred zone; anyZone: no preference
	holder   *ringWorker // the worker that the slot has taken
}

const (
	anyZone = -1
	// requiredKindRank is added to the rank of a cell without a slot of a required kind, and exceeds any
	// rank by fraction, so that such cells come first.
	requiredKindRank = 1e6
	// slotSalt is multiplied by a slot's ordinal, to give the slots of a cell different positions.
	slotSalt = 0xd1b54a32d192ed03
)

// poolOf returns the kindPool of a kind, and creates it if there is none.
func (a *Assigner) poolOf(kind int) *kindPool {
	pool := a.pools[kind]
	if pool == nil {
		pool = &kindPool{kind: kind, slotsByCell: make([]int, len(a.plan.cells))}
		a.pools[kind] = pool
	}
	return pool
}

// slotCount returns the number of slots for a number of workers of one kind: at least slotFraction of the
// workers, and smallFleetSlotFraction of them up to smallFleetSlots, both rounded down. There are at least as
// many slots as cells before any worker is left to hashing.
func (a *Assigner) slotCount(workers int) int {
	n := float64(workers)
	return max(
		min(workers, len(a.plan.cells)),
		int(slotFraction*n),
		min(int(smallFleetSlotFraction*n), smallFleetSlots),
	)
}

// addSlot adds and returns the next slot, without a worker, for the cell that is furthest below its fraction of
// the slots by Webster's method. The order of slots depends only on the cells' fractions and the required kinds,
// so that one more worker adds at most one slot and changes no earlier one. The result is valid until the next
// call.
func (pool *kindPool) addSlot(p *Plan) *slot {
	cell := pool.nextSlotCell(p)
	ordinal := pool.slotsByCell[cell]
	pool.slotsByCell[cell]++
	zone := anyZone
	if p.zones > 1 {
		zone = (ordinal + cell + max(0, pool.kind)) % p.zones
	}
	position := mix(p.cellHashes[cell] + uint64(pool.kind+1)*goldenRatio + uint64(ordinal)*slotSalt)
	pool.slots = append(pool.slots, slot{cell: cell, position: position, zone: zone})
	return &pool.slots[len(pool.slots)-1]
}

// nextSlotCell returns the cell of the next slot. Among cells of equal rank, each kind begins with a
// different cell.
func (pool *kindPool) nextSlotCell(p *Plan) int {
	best, bestRank := 0, -1.0
	first := max(0, pool.kind*max(1, len(p.cells)/max(1, len(p.kindWeights)-1)))
	for i := range p.cells {
		cell := (i + first) % len(p.cells)
		rank := p.fractions[cell] / float64(2*pool.slotsByCell[cell]+1)
		if pool.slotsByCell[cell] == 0 && p.requiresKind(pool.kind) {
			rank += requiredKindRank
		}
		if rank > bestRank {
			best, bestRank = cell, rank
		}
	}
	return best
}

// prefers reports whether a slot prefers worker x to y, which may be nil: first the worker in the slot's
// zone, then the one nearer on the ring, then the one with the smaller id.
func (s *slot) prefers(x, y *ringWorker) bool {
	if y == nil {
		return true
	}
	xOtherZone := s.zone >= 0 && x.Zone != s.zone
	yOtherZone := s.zone >= 0 && y.Zone != s.zone
	if xOtherZone != yOtherZone {
		return yOtherZone
	}
	xDistance, yDistance := x.position-s.position, y.position-s.position
	if xDistance != yDistance {
		return xDistance < yDistance
	}
	return x.ID < y.ID
}

// assign assigns a worker to slot i and records the slot in the worker. It leaves the slot index of the previous
// holder and the holder of the worker's previous slot as they are: the caller changes them.
func (pool *kindPool) assign(i int, w *ringWorker) {
	pool.slots[i].holder = w
	w.slot = i
}

// insert adds one worker. The worker is offered to the slots in order; a slot that prefers it to its own
// worker takes it, and the displaced worker is offered to the slots after it. If the number of workers allows
// another slot, that slot then chooses among the workers without one.
func (a *Assigner) insert(w Worker) {
	added := a.register(w)
	at, _ := slices.BinarySearchFunc(a.ordered, added, byPosition)
	a.ordered = slices.Insert(a.ordered, at, added)
	pool := a.poolOf(w.Kind)
	pool.workers++
	displaced := added
	for i := range pool.slots {
		if holder := pool.slots[i].holder; pool.slots[i].prefers(displaced, holder) {
			pool.assign(i, displaced)
			holder.slot = noSlot
			displaced = holder
		}
	}
	for len(pool.slots) < a.slotCount(pool.workers) {
		pool.addSlot(a.plan)
		a.refill(pool, len(pool.slots)-1)
	}
}

// remove removes one worker, and the last slot if the remaining workers allow fewer. The worker's slot chooses
// again among the workers without a slot or with a later slot, and a later slot that loses its worker chooses
// again in the same way.
func (a *Assigner) remove(w *ringWorker) {
	delete(a.workers, w.ID)
	at, _ := slices.BinarySearchFunc(a.ordered, w, byPosition)
	a.ordered = slices.Delete(a.ordered, at, at+1)
	pool := a.poolOf(w.Kind)
	pool.workers--
	for len(pool.slots) > a.slotCount(pool.workers) {
		last := &pool.slots[len(pool.slots)-1]
		pool.slotsByCell[last.cell]--
		last.holder.slot = noSlot
		pool.slots = pool.slots[:len(pool.slots)-1]
	}
	if w.slot >= 0 {
		a.refill(pool, w.slot)
	}
}

// refill assigns to slot i the worker that it prefers among those that no earlier slot holds, and then
// refills the slot that lost this worker.
func (a *Assigner) refill(pool *kindPool, i int) {
	for i >= 0 {
		var best *ringWorker
		for _, w := range a.ordered {
			if w.Kind == pool.kind && (w.slot < 0 || w.slot > i) && pool.slots[i].prefers(w, best) {
				best = w
			}
		}
		next := best.slot
		pool.assign(i, best)
		i = next
	}
}

// rebuild applies the departed and arrived workers and assigns the workers of all slots from scratch.
func (a *Assigner) rebuild(departed []*ringWorker, arrived []Worker) {
	for _, w := range departed {
		delete(a.workers, w.ID)
	}
	for _, w := range arrived {
		a.register(w)
	}
	a.ordered = a.ordered[:0]
	for _, w := range a.workers {
		w.slot = noSlot
		a.ordered = append(a.ordered, w)
	}
	slices.SortFunc(a.ordered, byPosition)
	clear(a.pools)
	for _, w := range a.ordered {
		a.poolOf(w.Kind).workers++
	}
	rings := ringsOf(a.ordered)
	for kind, pool := range a.pools {
		for len(pool.slots) < a.slotCount(pool.workers) {
			added := pool.addSlot(a.plan)
			w := added.preferredFree(rings[kind])
			rings[kind][w.Zone].markTaken(w)
			pool.assign(len(pool.slots)-1, w)
		}
	}
}

// ringsOf returns a ring of workers for each kind and zone, given the workers sorted by position.
func ringsOf(ordered []*ringWorker) map[int]map[int]*ring {
	rings := map[int]map[int]*ring{}
	for _, w := range ordered {
		zones := rings[w.Kind]
		if zones == nil {
			zones = map[int]*ring{}
			rings[w.Kind] = zones
		}
		if zones[w.Zone] == nil {
			zones[w.Zone] = &ring{}
		}
		zones[w.Zone].add(w)
	}
	return rings
}

// preferredFree returns the free worker that a slot prefers, given the rings of its kind by zone: the nearest in
// its preferred zone, otherwise the nearest in any zone; nil if no worker is free.
func (s *slot) preferredFree(zones map[int]*ring) *ringWorker {
	if w := zones[s.zone].nearestFree(s.position); w != nil {
		return w
	}
	var best *ringWorker
	for _, r := range zones {
		if w := r.nearestFree(s.position); w != nil && s.prefers(w, best) {
			best = w
		}
	}
	return best
}
