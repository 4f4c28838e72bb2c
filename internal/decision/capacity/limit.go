// Package capacity estimates how much work the fleet starts without delay. For each worker it keeps the
// concurrency limit (Limit, and LimitSum over all workers) and the last load report (LoadReport, with Reports
// for the average pressure of the fleet). For the whole fleet it keeps the start window (StartWindow) and the
// delay between sending an attempt and its start (StartDelays).
//
// Times are in nanoseconds on the dispatcher's clock and are passed in; capacity is in slots.
package capacity

const (
	defaultLimit = 4 // slots assumed for each worker while no limit has been learned

	limitDecrease = 0.5  // slots that the limit falls below the slots in use when a job had to wait
	limitIncrease = 0.25 // slots that the limit grows by when a job did not wait close to the limit
)

// A Limit is a worker's concurrency limit: the most slots that it can have in use without delaying a job.
type Limit struct {
	slots       float64
	learned     bool  // from the worker's own responses
	inSum       bool  // in the LimitSum
	summedParts int64 // contribution to the LimitSum
}

// Slots returns the limit in slots.
func (l *Limit) Slots() float64 { return l.slots }

// Learned reports whether the limit was learned from the worker's own responses. If not, it is the mean of
// other workers' limits or a default.
func (l *Limit) Learned() bool { return l.learned }

// Restore sets the limit and whether it was learned. Like the next two methods it leaves the LimitSum to its
// Update.
func (l *Limit) Restore(slots float64, learned bool) { l.slots, l.learned = slots, learned }

// Decrease lowers the limit after a job had to wait or was rejected while used slots were in use: to
// limitDecrease below used or below the old limit if that is less, but at least to 1. The limit then counts
// as learned.
func (l *Limit) Decrease(used float64) {
	l.slots, l.learned = max(1, min(l.slots, used)-limitDecrease), true
}

// Increase raises the limit by limitIncrease after a job did not wait while used slots were in use, if at
// most one slot of the limit was free. A limit that is raised counts as learned.
func (l *Limit) Increase(used float64) {
	if used >= l.slots-1 {
		l.slots, l.learned = l.slots+limitIncrease, true
	}
}

const (
	partsPerSlot   = 1 << 30 // unit of the sum: 2^-30 slots
	maxSummedLimit = 1 << 14 // slots that a limit adds at most, so that half a million workers fit the sum
)

// LimitSum is the exact sum of the learned limits of live workers. It counts integer parts of a slot, so it
// neither depends on the order of updates nor drifts. Limits that were learned from whole slots are
// exact in this unit.
type LimitSum struct {
	parts int64
	count int
}

// Update replaces a limit's contribution to the sum. Only learned limits of live workers contribute.
func (s *LimitSum) Update(l *Limit, live bool) {
	if l.inSum {
		s.add(l.summedParts, -1)
	}
	if l.inSum = l.learned && live; l.inSum {
		l.summedParts = int64(min(l.slots, maxSummedLimit) * partsPerSlot)
		s.add(l.summedParts, 1)
	}
}

// add adds a limit to the sum (sign 1) or subtracts it (sign -1).
func (s *LimitSum) add(parts int64, sign int) {
	s.parts += int64(sign) * parts
	s.count += sign
}

// Mean returns the mean of the summed limits in slots, which is assumed for a worker until it responds, or
// defaultLimit if there are none.
func (s *LimitSum) Mean() float64 {
	if s.count == 0 {
		return defaultLimit
	}
	return float64(s.parts) / float64(s.count) / partsPerSlot
}
