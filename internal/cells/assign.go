package cells

// The assignment of nodes to cells: by seats first, the rest by rendezvous hashing.

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"
)

// A Node is a live execute node.
type Worker struct {
	ID   string
	Zone int // -1 if unknown
	Kind int // -1 if unknown
}

// An Assigner gives each node a cell. Each cell has seats for each machine kind, by
// its share; of a kind that some class needs, one for every cell before a second for
// any. A seat has a place on the hash ring and a zone that it would rather have; the
// seats choose in a fixed order, each the first free node clockwise of it, of its
// zone if there is one. There are seats for part of the nodes only. The rest go by
// weighted rendezvous hashing to where the seats have left capacity short.
//
// Why so: one node more goes down the order of the seats, and each seat that likes
// it better passes on the one it had. With n nodes the i-th seat does so with a
// chance of 1/(n-i+2), so that with a seat for each about ln(n) change hands; with
// seats for a share s of them it is ln(1/(1-s)), whatever n is. So few seats keep
// changes small, and as many as there are cells keep small fleets even.
//
// The zero value is not usable; see NewAssigner. An Assigner belongs to one
// goroutine; the Layouts that it makes may be read by any.
type Assigner struct {
	plan         *Plan
	workers      map[string]*ringWorker
	ordered      []*ringWorker    // by place on the ring
	strata       map[int]*stratum // by kind
	slotCapacity []float64        // capacity of the seats by cell, for settle

	cellWeights    []float64 // weights of the cells for nodes without a seat
	weightsVersion int       // number of those weights
}

const (
	slotFraction           = 0.3 // share of a kind's nodes for which there are seats
	smallFleetSlotFraction = 0.6 // the same in a small fleet, where hashing alone is uneven,
	smallFleetSlots        = 24  // up to this many seats
	weightSteps            = 8   // in which the weights of cells change for the rest
)

// A node is a Node with its place.
type ringWorker struct {
	Worker
	position       uint64
	hash           uint64
	slot           int // that it holds in its stratum; -1: none
	preferredCell  int // the cell that rendezvous hashing prefers,
	weightsVersion int // with these weights
	cell           int // -1: not yet
}

// NewAssigner returns an Assigner without nodes.
func NewAssigner(p *Plan) *Assigner {
	return &Assigner{plan: p, workers: map[string]*ringWorker{}, strata: map[int]*stratum{}, slotCapacity: make([]float64, len(p.cells))}
}

// A Change is a node whose cell is another than before; -1 stands for none.
type Change struct {
	ID       string
	From, To int
}

const maxIncrementalChanges = 8 // changes of the list from which all is made anew: it costs as much

// Update takes the whole list of live nodes and returns which nodes change cell. It
// is the same whatever came before.
func (a *Assigner) Update(list []Worker) []Change {
	var gone []*ringWorker
	var come []Worker
	here := make(map[string]bool, len(list))
	for _, n := range list {
		here[n.ID] = true
		if old := a.workers[n.ID]; old == nil {
			come = append(come, n)
		} else if old.Worker != n { // a machine of another kind or zone is another node
			gone, come = append(gone, old), append(come, n)
		}
	}
	for id, old := range a.workers {
		if !here[id] {
			gone = append(gone, old)
		}
	}
	if len(gone)+len(come) == 0 {
		return nil
	}
	before := map[string]int{}
	for _, n := range gone {
		before[n.ID] = n.cell
	}
	if len(gone)+len(come) > maxIncrementalChanges {
		a.rebuild(gone, come)
	} else {
		for _, n := range gone {
			a.remove(n)
		}
		for _, n := range come {
			a.insert(n)
		}
	}
	changes := a.assignCells(before)
	for id, from := range before {
		if from >= 0 {
			changes = append(changes, Change{id, from, -1})
		}
	}
	return changes
}

// Add takes in one node, which the list had not. It costs far less than Update.
func (a *Assigner) Add(n Worker) []Change {
	if a.workers[n.ID] != nil {
		return nil
	}
	a.insert(n)
	return a.assignCells(nil)
}

// Remove takes out one node.
func (a *Assigner) Remove(id string) []Change {
	n := a.workers[id]
	if n == nil {
		return nil
	}
	a.remove(n)
	return append(a.assignCells(nil), Change{id, n.cell, -1})
}

// enter puts a node into the tables.
func (a *Assigner) register(n Worker) *ringWorker {
	hash := xxhash.Sum64String(n.ID)
	x := &ringWorker{Worker: n, position: mix(hash), hash: hash, slot: -1, cell: -1}
	a.workers[n.ID] = x
	return x
}

func byPosition(a, b *ringWorker) int {
	return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.ID, b.ID))
}

// settle gives each node its cell: its seat's, or for the rest the one that rendezvous
// hashing gives it. There each cell weighs what its seats leave it short of its share,
// in coarse steps, so that the weights seldom change; and no node's cell depends on
// another's. It returns the changes and takes those of nodes that went and came out
// of before.
func (a *Assigner) assignCells(before map[string]int) (changes []Change) {
	p, total := a.plan, 0.0
	clear(a.slotCapacity)
	for _, x := range a.ordered {
		w := p.kindWeight(x.Kind)
		total += w
		if x.slot >= 0 {
			a.slotCapacity[a.strata[x.Kind].slots[x.slot].cell] += w
		}
	}
	same := a.cellWeights != nil
	pull := make([]float64, len(p.fractions))
	for c, share := range p.fractions {
		short := 1 - a.slotCapacity[c]/max(share*total, 1e-9)
		pull[c] = share * math.Round(max(0, short)*weightSteps) / weightSteps
		same = same && pull[c] == a.cellWeights[c]
	}
	if !same {
		a.cellWeights, a.weightsVersion = pull, a.weightsVersion+1
	}
	for _, x := range a.ordered {
		cell := 0
		if x.slot >= 0 {
			cell = a.strata[x.Kind].slots[x.slot].cell
		} else {
			if x.weightsVersion != a.weightsVersion {
				x.preferredCell, x.weightsVersion = p.rendezvousWeighted(x.hash, a.cellWeights), a.weightsVersion
			}
			cell = x.preferredCell
		}
		if old, ok := before[x.ID]; ok {
			x.cell = old
			delete(before, x.ID)
		}
		if cell != x.cell {
			changes = append(changes, Change{x.ID, x.cell, cell})
			x.cell = cell
		}
	}
	return changes
}

// prefer is choose among all cells with other weights than the shares; with all at
// 0 it is the shares that count.
func (p *Plan) rendezvousWeighted(hash uint64, weights []float64) int {
	best, most := -1, 0.0
	for c, w := range weights {
		u := uniform(hash ^ p.cellHashes[c])
		if w <= most*(1-u) {
			continue
		}
		if s := -w / math.Log(u); s > most {
			best, most = c, s
		}
	}
	if best < 0 {
		return p.rendezvous(hash, nil)
	}
	return best
}

// weight is the capacity of a node of a kind.
func (p *Plan) kindWeight(kind int) float64 {
	if kind+1 < 0 || kind+1 >= len(p.weights) {
		return 1
	}
	return p.weights[kind+1]
}
