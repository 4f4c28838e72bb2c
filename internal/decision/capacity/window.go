package capacity

const (
	targetLateFraction = 0.25 // fraction of late starts at which the window is stable
	windowGain         = 0.01 // fraction of the window that a late start takes off, with few dispatchers
	maxGainScale       = 8    // largest multiple of windowGain, for many dispatchers
)

// A StartWindow estimates how many slots one dispatcher can have in flight, at all workers together, with at
// most targetLateFraction of its jobs late or rejected. RecordLate and RecordPrompt adjust it.
type StartWindow struct {
	slots float64
	gain  float64
}

// NewStartWindow returns an unknown window. fleetScale is how many times more dispatchers the fleet has than
// can each learn enough from their own jobs: with more dispatchers each sees fewer starts, so the gain is
// higher.
func NewStartWindow(fleetScale float64) StartWindow {
	return StartWindow{gain: windowGain * min(fleetScale, maxGainScale)}
}

// Slots returns the window in slots; 0: not known yet.
func (w *StartWindow) Slots() float64 { return w.slots }

// Set sets the window in slots.
func (w *StartWindow) Set(slots float64) { w.slots = slots }

// RecordLate shrinks the window after a job had to wait while occupied slots were in flight. The gain is
// taken off the window or twice occupied, whichever is less; the result is at least 1 slot.
func (w *StartWindow) RecordLate(occupied float64) {
	w.slots = max(1, min(w.slots, 2*occupied)*(1-w.gain))
}

// RecordPrompt grows the window after a job did not wait, if at least half of the window was in flight.
func (w *StartWindow) RecordPrompt(occupied float64) {
	if occupied >= w.slots/2 {
		w.slots += w.slots * w.gain * targetLateFraction / (1 - targetLateFraction)
	}
}

// NumPaths is the number of paths of an attempt: over a new connection or not, to another zone or not. Paths
// are numbered from 0.
const NumPaths = 4

// StartDelays keeps statistics of the delay from sending an attempt to its start, in nanoseconds.
type StartDelays struct {
	mean MovingMean
	min  [NumPaths]int64 // by path; 0: none yet
}

// Mean returns the average delay and its mean deviation.
func (s *StartDelays) Mean() MovingMean { return s.mean }

// Min returns the shortest delay of each path; 0: none yet.
func (s *StartDelays) Min() [NumPaths]int64 { return s.min }

// Restore sets the mean and the shortest delay of each path.
func (s *StartDelays) Restore(mean MovingMean, minimum [NumPaths]int64) {
	s.mean, s.min = mean, minimum
}

// Bound returns the average delay plus a number of mean deviations.
func (s *StartDelays) Bound(deviations float64) int64 { return s.mean.Bound(deviations) }

// Record adds an attempt's delay to the mean.
func (s *StartDelays) Record(delay int64) { s.mean.Add(float64(delay)) }

// Excess returns a delay in nanoseconds less the shortest one of the same path (0 to NumPaths-1), which it
// updates first. Without this a handshake with another zone, which may take longer than a job waits for a
// slot, would count as waiting.
func (s *StartDelays) Excess(path int, delay int64) int64 {
	if minimum := &s.min[path]; *minimum == 0 || delay < *minimum {
		*minimum = max(1, delay)
	}
	return delay - s.min[path]
}
