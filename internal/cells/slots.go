package cells

// The seats of the cells for the nodes of each kind, and the order in which they choose.

import "slices"

// A stratum is the nodes of one kind and the seats for them.
type stratum struct {
	kind        int
	workers     int
	slots       []slot
	slotsByCell []int // seats of each cell
}

type slot struct {
	cell     int
	position uint64
	zone     int // that it would rather have
	holder   *ringWorker
}

// stratumOf returns the stratum of a kind.
func (a *Assigner) stratumOf(kind int) *stratum {
	s := a.strata[kind]
	if s == nil {
		s = &stratum{kind: kind, slotsByCell: make([]int, len(a.plan.cells))}
		a.strata[kind] = s
	}
	return s
}

// wanted is how many seats there are for n nodes of a kind: as many as there are
// cells before anything is left to hashing.
func (a *Assigner) slotCount(n int) int {
	return max(min(n, len(a.plan.cells)), int(slotFraction*float64(n)), min(int(smallFleetSlotFraction*float64(n)), smallFleetSlots))
}

// open adds the next seat: the cell's that is furthest under its share of seats, by
// the divisors of Webster. The order depends on shares alone, so that one more node
// means at most one more seat and changes none before it.
func (s *stratum) addSlot(p *Plan) *slot {
	best, most := 0, -1.0
	turn := s.kind * max(1, len(p.cells)/max(1, len(p.weights)-1)) // kinds begin at different cells
	for i := range p.cells {
		c := (i + max(0, turn)) % len(p.cells)
		rank := p.fractions[c] / float64(2*s.slotsByCell[c]+1)
		if s.slotsByCell[c] == 0 && p.requiresKind(s.kind) {
			rank += 1e6
		}
		if rank > most {
			best, most = c, rank
		}
	}
	j := s.slotsByCell[best]
	s.slotsByCell[best]++
	zone := -1
	if p.zones > 1 {
		zone = (j + best + max(0, s.kind)) % p.zones
	}
	pos := mix(p.cellHashes[best] + uint64(s.kind+1)*0x9e3779b97f4a7c15 + uint64(j)*0xd1b54a32d192ed03)
	s.slots = append(s.slots, slot{cell: best, position: pos, zone: zone})
	return &s.slots[len(s.slots)-1]
}

// likes reports whether a seat would rather have x than y.
func (s *slot) prefers(x, y *ringWorker) bool {
	if y == nil {
		return true
	}
	if mx, my := s.zone >= 0 && x.Zone != s.zone, s.zone >= 0 && y.Zone != s.zone; mx != my {
		return my
	}
	if dx, dy := x.position-s.position, y.position-s.position; dx != dy {
		return dx < dy
	}
	return x.ID < y.ID
}

// take gives seat i to a node.
func (s *stratum) assign(i int, x *ringWorker) {
	s.slots[i].holder = x
	x.slot = i
}

// add puts one node in: it goes down the seats, and each that likes it better than
// the one it has passes that one on.
func (a *Assigner) insert(n Worker) {
	x := a.register(n)
	at, _ := slices.BinarySearchFunc(a.ordered, x, byPosition)
	a.ordered = slices.Insert(a.ordered, at, x)
	s := a.stratumOf(n.Kind)
	s.workers++
	for i := range s.slots {
		if old := s.slots[i].holder; s.slots[i].prefers(x, old) {
			s.assign(i, x)
			old.slot = -1
			x = old
		}
	}
	for len(s.slots) < a.slotCount(s.workers) {
		s.addSlot(a.plan)
		a.refill(s, len(s.slots)-1)
	}
}

// remove takes one node out: its seat chooses again among those that chose later
// and the rest, and so on down the order.
func (a *Assigner) remove(x *ringWorker) {
	delete(a.workers, x.ID)
	at, _ := slices.BinarySearchFunc(a.ordered, x, byPosition)
	a.ordered = slices.Delete(a.ordered, at, at+1)
	s := a.stratumOf(x.Kind)
	s.workers--
	for len(s.slots) > a.slotCount(s.workers) {
		last := &s.slots[len(s.slots)-1]
		s.slotsByCell[last.cell]--
		last.holder.slot = -1
		s.slots = s.slots[:len(s.slots)-1]
	}
	if x.slot >= 0 {
		a.refill(s, x.slot)
	}
}

// fill lets seat i choose among the nodes that no earlier seat has, and after it
// the seat that lost its node to it.
func (a *Assigner) refill(s *stratum, i int) {
	for i >= 0 {
		var best *ringWorker
		for _, x := range a.ordered {
			if x.Kind == s.kind && (x.slot < 0 || x.slot > i) && s.slots[i].prefers(x, best) {
				best = x
			}
		}
		next := best.slot
		s.assign(i, best)
		i = next
	}
}

// rebuild makes everything anew, for all seats of a stratum together.
func (a *Assigner) rebuild(gone []*ringWorker, come []Worker) {
	for _, n := range gone {
		delete(a.workers, n.ID)
	}
	for _, n := range come {
		a.register(n)
	}
	a.ordered = a.ordered[:0]
	for _, x := range a.workers {
		x.slot = -1
		a.ordered = append(a.ordered, x)
	}
	slices.SortFunc(a.ordered, byPosition)
	rings := map[int]map[int]*ring{} // by kind and zone
	clear(a.strata)
	for _, x := range a.ordered {
		a.stratumOf(x.Kind).workers++
		zones := rings[x.Kind]
		if zones == nil {
			zones = map[int]*ring{}
			rings[x.Kind] = zones
		}
		if zones[x.Zone] == nil {
			zones[x.Zone] = &ring{}
		}
		zones[x.Zone].add(x)
	}
	for kind, s := range a.strata {
		for len(s.slots) < a.slotCount(s.workers) {
			c := s.addSlot(a.plan)
			x := rings[kind][c.zone].nearestFree(c.position)
			if x == nil {
				for _, r := range rings[kind] {
					if y := r.nearestFree(c.position); y != nil && c.prefers(y, x) {
						x = y
					}
				}
			}
			rings[kind][x.Zone].markTaken(x)
			s.assign(len(s.slots)-1, x)
		}
	}
}
