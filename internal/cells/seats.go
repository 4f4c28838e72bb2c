package cells

// The seats of the cells for the nodes of each kind, and the order in which they choose.

import "slices"

// A stratum is the nodes of one kind and the seats for them.
type stratum struct {
	kind  int
	n     int
	seats []seat
	got   []int // seats of each cell
}

type seat struct {
	cell   int
	pos    uint64
	zone   int // that it would rather have
	holder *node
}

// stratumOf returns the stratum of a kind.
func (a *Assigner) stratumOf(kind int) *stratum {
	s := a.kinds[kind]
	if s == nil {
		s = &stratum{kind: kind, got: make([]int, len(a.plan.cells))}
		a.kinds[kind] = s
	}
	return s
}

// wanted is how many seats there are for n nodes of a kind: as many as there are
// cells before anything is left to hashing.
func (a *Assigner) wanted(n int) int {
	return max(min(n, len(a.plan.cells)), int(seated*float64(n)), min(int(smallSeated*float64(n)), fewSeats))
}

// open adds the next seat: the cell's that is furthest under its share of seats, by
// the divisors of Webster. The order depends on shares alone, so that one more node
// means at most one more seat and changes none before it.
func (s *stratum) open(p *Plan) *seat {
	best, most := 0, -1.0
	turn := s.kind * max(1, len(p.cells)/max(1, len(p.weights)-1)) // kinds begin at different cells
	for i := range p.cells {
		c := (i + max(0, turn)) % len(p.cells)
		rank := p.shares[c] / float64(2*s.got[c]+1)
		if s.got[c] == 0 && p.needed(s.kind) {
			rank += 1e6
		}
		if rank > most {
			best, most = c, rank
		}
	}
	j := s.got[best]
	s.got[best]++
	zone := -1
	if p.zones > 1 {
		zone = (j + best + max(0, s.kind)) % p.zones
	}
	pos := mix(p.salts[best] + uint64(s.kind+1)*0x9e3779b97f4a7c15 + uint64(j)*0xd1b54a32d192ed03)
	s.seats = append(s.seats, seat{cell: best, pos: pos, zone: zone})
	return &s.seats[len(s.seats)-1]
}

// likes reports whether a seat would rather have x than y.
func (s *seat) likes(x, y *node) bool {
	if y == nil {
		return true
	}
	if mx, my := s.zone >= 0 && x.Zone != s.zone, s.zone >= 0 && y.Zone != s.zone; mx != my {
		return my
	}
	if dx, dy := x.pos-s.pos, y.pos-s.pos; dx != dy {
		return dx < dy
	}
	return x.ID < y.ID
}

// take gives seat i to a node.
func (s *stratum) take(i int, x *node) {
	s.seats[i].holder = x
	x.seat = i
}

// add puts one node in: it goes down the seats, and each that likes it better than
// the one it has passes that one on.
func (a *Assigner) add(n Node) {
	x := a.enter(n)
	at, _ := slices.BinarySearchFunc(a.all, x, byPlace)
	a.all = slices.Insert(a.all, at, x)
	s := a.stratumOf(n.Kind)
	s.n++
	for i := range s.seats {
		if old := s.seats[i].holder; s.seats[i].likes(x, old) {
			s.take(i, x)
			old.seat = -1
			x = old
		}
	}
	for len(s.seats) < a.wanted(s.n) {
		s.open(a.plan)
		a.fill(s, len(s.seats)-1)
	}
}

// remove takes one node out: its seat chooses again among those that chose later
// and the rest, and so on down the order.
func (a *Assigner) remove(x *node) {
	delete(a.nodes, x.ID)
	at, _ := slices.BinarySearchFunc(a.all, x, byPlace)
	a.all = slices.Delete(a.all, at, at+1)
	s := a.stratumOf(x.Kind)
	s.n--
	for len(s.seats) > a.wanted(s.n) {
		last := &s.seats[len(s.seats)-1]
		s.got[last.cell]--
		last.holder.seat = -1
		s.seats = s.seats[:len(s.seats)-1]
	}
	if x.seat >= 0 {
		a.fill(s, x.seat)
	}
}

// fill lets seat i choose among the nodes that no earlier seat has, and after it
// the seat that lost its node to it.
func (a *Assigner) fill(s *stratum, i int) {
	for i >= 0 {
		var best *node
		for _, x := range a.all {
			if x.Kind == s.kind && (x.seat < 0 || x.seat > i) && s.seats[i].likes(x, best) {
				best = x
			}
		}
		next := best.seat
		s.take(i, best)
		i = next
	}
}

// rebuild makes everything anew, for all seats of a stratum together.
func (a *Assigner) rebuild(gone []*node, come []Node) {
	for _, n := range gone {
		delete(a.nodes, n.ID)
	}
	for _, n := range come {
		a.enter(n)
	}
	a.all = a.all[:0]
	for _, x := range a.nodes {
		x.seat = -1
		a.all = append(a.all, x)
	}
	slices.SortFunc(a.all, byPlace)
	rings := map[int]map[int]*ring{} // by kind and zone
	clear(a.kinds)
	for _, x := range a.all {
		a.stratumOf(x.Kind).n++
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
	for kind, s := range a.kinds {
		for len(s.seats) < a.wanted(s.n) {
			c := s.open(a.plan)
			x := rings[kind][c.zone].after(c.pos)
			if x == nil {
				for _, r := range rings[kind] {
					if y := r.after(c.pos); y != nil && c.likes(y, x) {
						x = y
					}
				}
			}
			rings[kind][x.Zone].drop(x)
			s.take(len(s.seats)-1, x)
		}
	}
}
