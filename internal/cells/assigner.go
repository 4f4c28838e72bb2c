package cells

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"
)

// A Worker is a live worker.
type Worker struct {
	ID   string
	Zone int // -1 if unknown
	Kind int // -1 if unknown
}

// A Change is a worker whose cell is another than before; -1 stands for none.
type Change struct {
	ID       string
	From, To int
}

// An Assigner gives each worker a cell. Each cell has slots for each worker kind, by its fraction of
// capacity; of a required kind, one for every cell before a second for any. A slot has a position on
// the hash ring and a preferred zone; the slots choose in a fixed order, each the first free worker
// clockwise of it, of its zone if there is one. There are slots for part of the workers only. The rest
// go by weighted rendezvous hashing to the cells whose slots hold less than their fraction.
//
// One worker more goes down the order of the slots, and each slot that prefers it passes on the one
// that it had. With n workers the i-th slot does so with a probability of 1/(n-i+2), so that with a
// slot for each about ln(n) change cells; with slots for a fraction s of them it is ln(1/(1-s)),
// whatever n is. So few slots keep changes small, and as many as there are cells keep small fleets
// even.
//
// The zero value is not usable; see NewAssigner. An Assigner is not safe for concurrent use; the
// layouts that are made of its changes are.
type Assigner struct {
	plan            *Plan
	workers         map[string]*ringWorker
	ordered         []*ringWorker     // by position on the ring
	pools           map[int]*kindPool // by kind
	slottedCapacity []float64         // capacity of the workers that slots hold, by cell

	cellWeights    []float64 // for workers without a slot
	weightsVersion int       // of cellWeights
}

const (
	slotFraction            = 0.3 // of a kind's workers, for which there are slots
	smallFleetSlotFraction  = 0.6 // the same in a small fleet, where hashing alone is uneven,
	smallFleetSlots         = 24  // up to this many slots
	weightQuantizationSteps = 8   // in which cellWeights change

	// maxIncrementalChanges is the number of changed workers over which everything is assigned anew: it
	// costs as much.
	maxIncrementalChanges = 8

	noSlot = -1
)

// A ringWorker is a Worker with its position on the ring and its assignment.
type ringWorker struct {
	Worker
	position       uint64
	hash           uint64
	slot           int // that holds it in its stratum, or noSlot
	preferredCell  int // by rendezvous hashing
	weightsVersion int // with which preferredCell was computed
	cell           int // noCell: not yet assigned
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

// Update takes the complete list of live workers and returns which workers change cell. The assignment
// is the same whatever came before.
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

// diff compares a list of live workers with those that are known. One whose kind or zone has changed
// has both departed and arrived.
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

// Add adds one worker. It costs far less than Update.
func (a *Assigner) Add(w Worker) []Change {
	if a.workers[w.ID] != nil {
		return nil
	}
	a.insert(w)
	return a.assignCells(nil)
}

// Remove removes one worker.
func (a *Assigner) Remove(id string) []Change {
	w := a.workers[id]
	if w == nil {
		return nil
	}
	a.remove(w)
	return append(a.assignCells(nil), Change{id, w.cell, noCell})
}

// register makes a worker known.
func (a *Assigner) register(w Worker) *ringWorker {
	hash := xxhash.Sum64String(w.ID)
	added := &ringWorker{Worker: w, position: mix(hash), hash: hash, slot: noSlot, cell: noCell}
	a.workers[w.ID] = added
	return added
}

func byPosition(a, b *ringWorker) int {
	return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.ID, b.ID))
}

// assignCells gives each worker its cell: its slot's, or for the rest the one that rendezvous hashing
// by cellWeights gives; no worker's cell depends on another's. It returns the changes. Workers that
// were removed and added again are looked up in previousCells, and deleted there.
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

// updateWeights sets the weight of each cell for workers without a slot: the part of its capacity that
// its slots' workers do not make up. It changes in coarse steps, so that it seldom does.
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

// cellOf returns the cell of a worker by the slots and weights of now.
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
