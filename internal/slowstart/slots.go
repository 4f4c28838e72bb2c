// Package slowstart divides the time of a worker in slow start into slots and the slots among the schedulers
// of a fleet, so that the total load on the worker is bounded although the schedulers exchange no messages.
// It computes with a shared clock and has no state.
package slowstart

import (
	"math/bits"

	"github.com/vatu-meals/foxlift/internal/saturate"
)

const (
	maxSlotsPerWindow = 8  // maximum number of time slots in a window
	maxHeavyExponent  = 16 // jobs of any weight may use at least one slot in 2^16
)

// Slots are the time slots in which schedulers may send to a worker in slow start while its service rate is
// unknown. Each slot at a worker belongs to one scheduler. The schedulers' clocks must agree: a scheduler
// whose clock is off by a large part of a slot sends in the slot of another scheduler.
type Slots struct {
	length            int64  // of a slot, in nanoseconds
	schedulers, index uint64 // number of schedulers, and index of this one
}

// NewSlots returns the slots of the scheduler with the given index, counted from 0, in a fleet; fewer than 1
// schedulers count as 1. A worker in slow start is overloaded if the work that it receives within a window (in
// nanoseconds), not counting the heaviest job, exceeds the work of the given number of light jobs. A slot allows
// one light job, so a window has as many slots as jobs, rounded down, but at least 1 and at most
// maxSlotsPerWindow.
func NewSlots(window int64, schedulers, index int, jobs float64) Slots {
	perWindow := max(1, saturate.Int64(min(maxSlotsPerWindow, jobs)))
	return Slots{
		length:     max(1, window/perWindow),
		schedulers: uint64(max(1, schedulers)),
		index:      uint64(index),
	}
}

// At returns the number of the slot that contains a time, in nanoseconds.
func (s Slots) At(now int64) int64 { return now / s.length }

// Owned reports whether a slot at a worker, given by the worker's hash, belongs to this scheduler. The slots
// belong to the schedulers in rotation, with a different start for each worker.
func (s Slots) Owned(slot int64, worker uint64) bool {
	return (uint64(slot)+worker>>1)%s.schedulers == s.index
}

// AllowsHeavy reports whether a worker may receive, in a slot, a single job with weight times the work of a
// light one. Every n-th slot allows this, where n is the smallest power of two above the integer part of weight,
// but from 2 to 2^maxHeavyExponent. As all n are powers of two from 2 on, no two such slots of a worker are
// adjacent, even if schedulers estimate different weights for a job.
func (s Slots) AllowsHeavy(slot int64, worker uint64, weight float64) bool {
	period := uint64(1) << min(maxHeavyExponent, max(1, bits.Len64(uint64(saturate.Int64(max(0, weight))))))
	return (uint64(slot)+worker>>33)%period == 0
}
