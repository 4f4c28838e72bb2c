package cells

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"
)

// A Worker describes a live worker of the endpoint list.
type Worker struct {
	ID   string
	Zone int // index of its zone; -1 if unknown
	Kind int // index of its machine kind; -1 if unknown
}

// A Change records that a worker moved from one cell to another; cell -1 means no cell.
type Change struct {
	ID       string
	From, To int
}

// An Assigner assigns each worker to a cell. Each cell has slots for each worker kind, in proportion to its
// fraction of capacity; for a required kind, every cell gets one slot before any cell gets a second. A slot
// has a position on the hash ring and a preferred zone. The slots choose in a fixed order: each takes the
// first free worker clockwise of its position, from its preferred zone if possible. Only a part of the
// workers is assigned by slots. The others are assigned by weighted rendezvous hashing to the cells whose
// slots hold less than the cell's fraction of capacity.
//
// A new worker is offered to the slots in order, and each slot that prefers it releases its previous worker
// to the later slots. With n workers the i-th slot does so with probability 1/(n-i+2): with a slot for each
// worker about ln(n) workers change cells, with slots for a fraction s of them ln(1/(1-s)), independently
// of n. Few slots therefore keep changes small, and at least one slot per cell keeps small fleets balanced.
//
// The zero value is not usable; see NewAssigner. An Assigner is not safe for concurrent use; the layouts
// that are built from its changes are.
type Assigner struct {
	plan            *Plan
	workers         map[string]*ringWorker
	ordered         []*ringWorker     // sorted by position on the ring
	pools           map[int]*kindPool // by worker kind
	slottedCapacity []float64         // capacity of the workers that are assigned by slots, by cell

	cellWeights    []float64 // rendezvous weights for workers without a slot, by cell
	weightsVersion int       // incremented with each change of cellWeights
}

const (
	slotFraction            = 0.3 // least number of slots of a kind, as a fraction of its workers
	smallFleetSlotFraction  = 0.6 // the same up to smallFleetSlots: hashing alone leaves a small fleet unbalanced
	smallFleetSlots         = 24  // slots of a kind up to which smallFleetSlotFraction applies
	weightQuantizationSteps = 8   // cellWeights are rounded to multiples of 1/8 of a cell's fraction

	// maxIncrementalChanges is the largest number of changed workers that are applied one by one. Beyond it
	// a complete rebuild costs no more.
	maxIncrementalChanges = 8

	noSlot = -1 // ringWorker.slot of a worker without a slot
)

// A ringWorker is a Worker with its position on the ring and its assignment.
type ringWorker struct {
	Worker
	position       uint64 // on the hash ring
	hash           uint64 // of its id
	slot           int    // index of its slot in the kindPool of its kind, or noSlot
	preferredCell  int    // by rendezvous hashing
	weightsVersion int    // version of cellWeights that preferredCell was computed with
	cell           int    // noCell until it is assigned
}

// NewAssigner returns an Assigner without workers.
func NewAssigner(p *Plan) *Assigner {
	return &Assigner{
		plan:            p,
		workers:         map[string]*ringWorker{},
		pools:           map[int]*kindPool{},
		slottedCapacity: make([]float64, len(p.cells)),
	}
}

// Update replaces the complete list of live workers and returns the workers whose cell changes, including
// those that are no longer listed; nil if the list is unchanged. The assignment depends only on the list, not on
// earlier calls.
func (a *Assigner) Update(list []Worker) []Change {
	departed, arrived := a.diff(list)
	if len(departed)+len(arrived) == 0 {
		return nil
	}
	previousCells := map[string]int{}
	for _, w := range departed {
		previousCells[w.ID] = w.cell
	}
	if len(departed)+len(arrived) > maxIncrementalChanges {
		a.rebuild(departed, arrived)
	} else {
		for _, w := range departed {
			a.remove(w)
		}
		for _, w := range arrived {
			a.insert(w)
		}
	}
	changes := a.assignCells(previousCells)
	for id, from := range previousCells {
		if from >= 0 {
			changes = append(changes, Change{id, from, noCell})
		}
	}
	return changes
}

// diff compares a list of live workers with the registered ones. A worker whose kind or zone has changed is
// returned both as departed and as arrived.
func (a *Assigner) diff(list []Worker) (departed []*ringWorker, arrived []Worker) {
	listed := make(map[string]bool, len(list))
	for _, w := range list {
		listed[w.ID] = true
		old := a.workers[w.ID]
		switch {
		case old == nil:
			arrived = append(arrived, w)
		case old.Worker != w:
			departed, arrived = append(departed, old), append(arrived, w)
		}
	}
	for id, old := range a.workers {
		if !listed[id] {
			departed = append(departed, old)
		}
	}
	return departed, arrived
}

// Add adds one worker and returns the workers whose cell changes, including the new one; nil, without any
// effect, if a worker with its id is registered. It costs far less than Update.
func (a *Assigner) Add(w Worker) []Change {
	if a.workers[w.ID] != nil {
		return nil
	}
	a.insert(w)
	return a.assignCells(nil)
}

// Remove removes one worker and returns the workers whose cell changes, including the removed one; nil if the
// worker is unknown.
func (a *Assigner) Remove(id string) []Change {
	w := a.workers[id]
	if w == nil {
		return nil
	}
	a.remove(w)
	return append(a.assignCells(nil), Change{id, w.cell, noCell})
}

// register adds a worker without a slot or a cell to the table of workers, but not to the ring.
func (a *Assigner) register(w Worker) *ringWorker {
	hash := xxhash.Sum64String(w.ID)
	added := &ringWorker{Worker: w, position: mix(hash), hash: hash, slot: noSlot, cell: noCell}
	a.workers[w.ID] = added
	return added
}

// byPosition orders workers by their position on the ring, and by id where positions are equal.
func byPosition(a, b *ringWorker) int {
	return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.ID, b.ID))
}

// assignCells sets the cell of each worker and returns the changes. A worker with a slot gets the cell of
// its slot, any other worker the cell that rendezvous hashing with cellWeights selects; apart from the slots
// and weights, no worker's cell depends on another worker. The previous cells of workers that were removed
// and added again are taken from previousCells and deleted there.
func (a *Assigner) assignCells(previousCells map[string]int) (changes []Change) {
	a.updateWeights()
	for _, w := range a.ordered {
		cell := a.cellOf(w)
		if previous, ok := previousCells[w.ID]; ok {
			w.cell = previous
			delete(previousCells, w.ID)
		}
		if cell != w.cell {
			changes = append(changes, Change{w.ID, w.cell, cell})
			w.cell = cell
		}
	}
	return changes
}

// updateWeights sets the weight of each cell for workers without a slot: the part of the cell's fraction of
// capacity that the workers of its slots do not provide. Weights are rounded to coarse steps, so that they
// rarely change.
func (a *Assigner) updateWeights() {
	total := 0.0
	clear(a.slottedCapacity)
	for _, w := range a.ordered {
		capacity := a.plan.kindWeight(w.Kind)
		total += capacity
		if w.slot >= 0 {
			a.slottedCapacity[a.pools[w.Kind].slots[w.slot].cell] += capacity
		}
	}
	unchanged := a.cellWeights != nil
	weights := make([]float64, len(a.plan.fractions))
	for cell, fraction := range a.plan.fractions {
		missing := 1 - a.slottedCapacity[cell]/max(fraction*total, 1e-9)
		weights[cell] = fraction * math.Round(max(0, missing)*weightQuantizationSteps) / weightQuantizationSteps
		unchanged = unchanged && weights[cell] == a.cellWeights[cell]
	}
	if !unchanged {
		a.cellWeights = weights
		a.weightsVersion++
	}
}

// cellOf returns the cell of a worker according to the current slots and weights.
func (a *Assigner) cellOf(w *ringWorker) int {
	if w.slot >= 0 {
		return a.pools[w.Kind].slots[w.slot].cell
	}
	if w.weightsVersion != a.weightsVersion {
		w.preferredCell = a.plan.rendezvousWeighted(w.hash, a.cellWeights)
		w.weightsVersion = a.weightsVersion
	}
	return w.preferredCell
}
