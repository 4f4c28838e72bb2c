package cells

import "slices"

// A stratum is the workers of one kind and the slots for them.
type kindPool struct {
	kind        int
	workers     int
	slots       []slot
	slotsByCell []int
}

// A slot is a cell's claim to a worker of the slot's stratum.
type slot struct {
	cell     int
	position uint64
	zone     int // that it prefers; -1: any
	holder   *ringWorker
}

const (
	anyZone = -1
	// requiredRank puts a cell without a worker of a required kind before all others.
	requiredKindRank = 1e6
	// slotSalt tells the positions of a cell's slots apart.
	slotSalt = 0xd1b54a32d192ed03
)

// stratumOf returns the stratum of a kind.
func (a *Assigner) poolOf(kind int) *kindPool {
	s := a.pools[kind]
	if s == nil {
		s = &kindPool{kind: kind, slotsByCell: make([]int, len(a.plan.cells))}
		a.pools[kind] = s
	}
	return s
}

// slotCount returns how many slots there are for so many workers of a kind: as many as there are cells
// before anything is left to hashing.
func (a *Assigner) slotCount(workers int) int {
	n := float64(workers)
	return max(
		min(workers, len(a.plan.cells)),
		int(slotFraction*n),
		min(int(smallFleetSlotFraction*n), smallFleetSlots),
	)
}

// addSlot adds the next slot: the cell's that is furthest under its fraction of slots, by the divisors
// of Webster. The order depends on fractions alone, so that one more worker means at most one more slot
// and changes none before it.
func (s *kindPool) addSlot(p *Plan) *slot {
	cell := s.nextSlotCell(p)
	ordinal := s.slotsByCell[cell]
	s.slotsByCell[cell]++
	zone := anyZone
	if p.zones > 1 {
		zone = (ordinal + cell + max(0, s.kind)) % p.zones
	}
	position := mix(p.cellHashes[cell] + uint64(s.kind+1)*goldenRatio + uint64(ordinal)*slotSalt)
	s.slots = append(s.slots, slot{cell: cell, position: position, zone: zone})
	return &s.slots[len(s.slots)-1]
}

// nextSlotCell returns the cell of the next slot. Where cells are equal, kinds begin at different ones.
func (s *kindPool) nextSlotCell(p *Plan) int {
	best, bestRank := 0, -1.0
	first := max(0, s.kind*max(1, len(p.cells)/max(1, len(p.kindWeights)-1)))
	for i := range p.cells {
		cell := (i + first) % len(p.cells)
		rank := p.fractions[cell] / float64(2*s.slotsByCell[cell]+1)
		if s.slotsByCell[cell] == 0 && p.requiresKind(s.kind) {
			rank += requiredKindRank
		}
		if rank > bestRank {
			best, bestRank = cell, rank
		}
	}
	return best
}

// prefers reports whether a slot prefers worker x to y, which may be nil: one of its zone, then the one
// nearer on the ring.
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

// assign gives slot i to a worker.
func (s *kindPool) assign(i int, w *ringWorker) {
	s.slots[i].holder = w
	w.slot = i
}

// insert adds one worker: it goes down the slots, and each that prefers it to the one it has passes
// that one on.
func (a *Assigner) insert(w Worker) {
	added := a.register(w)
	at, _ := slices.BinarySearchFunc(a.ordered, added, byPosition)
	a.ordered = slices.Insert(a.ordered, at, added)
	s := a.poolOf(w.Kind)
	s.workers++
	displaced := added
	for i := range s.slots {
		if holder := s.slots[i].holder; s.slots[i].prefers(displaced, holder) {
			s.assign(i, displaced)
			holder.slot = noSlot
			displaced = holder
		}
	}
	for len(s.slots) < a.slotCount(s.workers) {
		s.addSlot(a.plan)
		a.refill(s, len(s.slots)-1)
	}
}

// remove removes one worker: its slot chooses again among those that later slots or none hold, and so
// on down the order.
func (a *Assigner) remove(w *ringWorker) {
	delete(a.workers, w.ID)
	at, _ := slices.BinarySearchFunc(a.ordered, w, byPosition)
	a.ordered = slices.Delete(a.ordered, at, at+1)
	s := a.poolOf(w.Kind)
	s.workers--
	for len(s.slots) > a.slotCount(s.workers) {
		last := &s.slots[len(s.slots)-1]
		s.slotsByCell[last.cell]--
		last.holder.slot = noSlot
		s.slots = s.slots[:len(s.slots)-1]
	}
	if w.slot >= 0 {
		a.refill(s, w.slot)
	}
}

// refill lets slot i choose among the workers that no earlier slot holds, and after it the slot that
// lost its worker to it.
func (a *Assigner) refill(s *kindPool, i int) {
	for i >= 0 {
		var best *ringWorker
		for _, w := range a.ordered {
			if w.Kind == s.kind && (w.slot < 0 || w.slot > i) && s.slots[i].prefers(w, best) {
				best = w
			}
		}
		next := best.slot
		s.assign(i, best)
		i = next
	}
}

// rebuild assigns everything anew, for all slots of a stratum together.
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
	for kind, s := range a.pools {
		for len(s.slots) < a.slotCount(s.workers) {
			added := s.addSlot(a.plan)
			w := added.preferredFree(rings[kind])
			rings[kind][w.Zone].markTaken(w)
			s.assign(len(s.slots)-1, w)
		}
	}
}

// ringsOf returns the rings of workers by kind and zone.
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

// choose returns the free worker that a slot prefers, by the rings of its stratum's zones.
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
