package slowstart

import "math/bits"

// Turns shares a node that may be cold out among schedulers that hear nothing of each other:
// each turn at it belongs to one of them, and no other sends there. So what all of them send is
// known without a word, and is not a matter of chance. All read the same clock: one that is
// wrong by more than a part of a turn takes another's.
type Slots struct {
	length            int64 // of a turn, nanoseconds
	schedulers, index uint64
}

const maxSlotsPerWindow = 8 // in a window

// NewSlots makes the turns of one of so many schedulers, index counting from 0. A cold node
// falls over when it is sent more than so many light jobs, less the heaviest, within a window
// (nanoseconds). A turn is for one light job: there are as many in a window.
func NewSlots(window int64, schedulers, index int, jobs float64) Slots {
	turns := int64(min(maxSlotsPerWindow, max(1, jobs)))
	return Slots{length: max(1, window/turns), schedulers: uint64(max(1, schedulers)), index: uint64(index)}
}

// At returns the number of the turn that a time is in.
func (t Slots) At(now int64) int64 { return now / t.length }

// Mine reports whether a turn at a node belongs to this scheduler. Each has one in as many as
// there are schedulers; nodes differ by when.
func (t Slots) Owned(turn int64, node uint64) bool {
	return (uint64(turn)+node>>1)%t.schedulers == t.index
}

// Heavy reports whether a turn is one of those in which a node may be sent a single job that
// is so many times a light one: at most one in as many, and by powers of two, so that also
// where schedulers differ in what they take a job for no two such turns lie side by side.
func (t Slots) AllowsHeavy(turn int64, node uint64, times float64) bool {
	every := uint64(1) << min(16, max(1, bits.Len64(uint64(max(0, times)))))
	return (uint64(turn)+node>>33)%every == 0
}
