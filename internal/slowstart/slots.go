// Package slowstart divides the time of a worker in slow start among the schedulers of a fleet, so
// that what all of them send to it is bounded though they exchange no messages. It is arithmetic on
// a shared clock and owns no state.
package slowstart

import "math/bits"

const (
	maxSlotsPerWindow = 8
	maxHeavyExponent  = 16 // a heavy job has one slot in 2^16 at least
)

// Slots are the time slots in which schedulers may send to a worker in slow start while no rate of
// it is known. Each slot at a worker belongs to one scheduler. All read the same clock: a scheduler
// whose clock is off by a good part of a slot sends in another's.
type Slots struct {
	length            int64 // of a slot, nanoseconds
	schedulers, index uint64
}

// NewSlots returns the slots of one of a fleet's schedulers, with its index counting from 0. A worker
// in slow start is overloaded by more than jobs light jobs, less the heaviest, within a window
// (nanoseconds). A slot is for one light job: there are as many in a window.
func NewSlots(window int64, schedulers, index int, jobs float64) Slots {
	perWindow := int64(min(maxSlotsPerWindow, max(1, jobs)))
	return Slots{
		length:     max(1, window/perWindow),
		schedulers: uint64(max(1, schedulers)),
		index:      uint64(index),
	}
}

// At returns the number of the slot at a time in nanoseconds.
func (s Slots) At(now int64) int64 { return now / s.length }

// Owned reports whether a slot at a worker, given by its hash, belongs to this scheduler. Schedulers
// take turns; which is first differs by worker.
func (s Slots) Owned(slot int64, worker uint64) bool {
	return (uint64(slot)+worker>>1)%s.schedulers == s.index
}

// AllowsHeavy reports whether a worker may be sent, in this slot, a single job that is weight times a
// light one. At most one slot in weight does, by powers of two: so no two such slots are adjacent,
// even where schedulers differ in the weight they expect of a job.
func (s Slots) AllowsHeavy(slot int64, worker uint64, weight float64) bool {
	period := uint64(1) << min(maxHeavyExponent, max(1, bits.Len64(uint64(max(0, weight)))))
	return (uint64(slot)+worker>>33)%period == 0
}
