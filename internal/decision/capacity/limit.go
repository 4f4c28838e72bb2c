// Package capacity learns how much work the fleet takes without delay: of each worker the concurrency
// limit (Limit, and Limits for all) and the load reports (LoadReport, with Reports for the fleet's usual
// pressure), of the whole fleet the start window (StartWindow) and the delay before a start (StartDelays).
//
// Times are in nanoseconds on the dispatcher's clock and are passed in; capacity is in slots.
package capacity

const (
	defaultLimit = 4 // slots that a worker counts at while no limit has been learned

	limitDecrease = 0.5  // slots that a limit falls by under what the worker held when a job had to wait
	limitIncrease = 0.25 // slots that a limit grows by when a job did not, at the limit
)

// A Limit is a worker's concurrency limit: the most of our slots that it takes without delay.
type Limit struct {
	slots       float64
	learned     bool  // from the worker's own answers
	inSum       bool  // it is in the sum of Limits,
	summedParts int64 // as so much
}

// Slots returns the limit.
func (l *Limit) Slots() float64 { return l.slots }

// Learned reports whether the limit was learned from the worker's own answers.
func (l *Limit) Learned() bool { return l.learned }

// Restore sets the limit.
func (l *Limit) Restore(slots float64, learned bool) { l.slots, l.learned = slots, learned }

// Decrease notes that a job had to wait, or was rejected, while the worker held so many slots.
func (l *Limit) Decrease(used float64) {
	l.slots, l.learned = max(1, min(l.slots, used)-limitDecrease), true
}

// Increase notes that a job did not wait while the worker held so many slots.
func (l *Limit) Increase(used float64) {
	if used >= l.slots-1 {
		l.slots, l.learned = l.slots+limitIncrease, true
	}
}

const (
	partsPerSlot   = 1 << 30 // parts of a slot
	maxSummedLimit = 1 << 14 // slots that a limit counts for at most: half a million such workers fit the sum
)

// Limits is an exact sum of the limits that were learned, so that it depends on no order and never drifts:
// a limit is counted in parts of a slot, to which every one that was learned from whole slots is exact.
type LimitSum struct {
	parts int64
	count int
}

// Recount brings the sum up to date with a limit, which counts only if its worker is live.
func (s *LimitSum) Update(l *Limit, live bool) {
	if l.inSum {
		s.add(l.summedParts, -1)
	}
	if l.inSum = l.learned && live; l.inSum {
		l.summedParts = int64(min(l.slots, maxSummedLimit) * partsPerSlot)
		s.add(l.summedParts, 1)
	}
}

// add takes a limit into the sum (1) or out of it (-1).
func (s *LimitSum) add(parts int64, sign int) {
	s.parts += int64(sign) * parts
	s.count += sign
}

// Mean returns the mean of the limits: what a worker counts at until it answers.
func (s *LimitSum) Mean() float64 {
	if s.count == 0 {
		return defaultLimit
	}
	return float64(s.parts) / float64(s.count) / partsPerSlot
}
