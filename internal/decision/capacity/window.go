package capacity

const (
	targetLateFraction = 0.25 // fraction of late starts at which the window stays
	windowGain         = 0.01 // fraction of the window that one start moves it by, at most
	maxGainScale       = 8    // times the gain of few dispatchers
)

// A StartWindow is how many slots the whole fleet starts without delay, as learned from each start.
type StartWindow struct {
	slots float64
	gain  float64
}

// NewStartWindow returns the window in a fleet that has fleetScale times more dispatchers than learn
// enough from their own jobs: each of many sees fewer starts.
func NewStartWindow(fleetScale float64) StartWindow {
	return StartWindow{gain: windowGain * min(fleetScale, maxGainScale)}
}

// Slots returns the window; 0: nothing is known yet.
func (w *StartWindow) Slots() float64 { return w.slots }

// Set sets the window.
func (w *StartWindow) Set(slots float64) { w.slots = slots }

// RecordLate notes that a job had to wait while so many slots were in flight.
func (w *StartWindow) RecordLate(occupied float64) {
	w.slots = max(1, min(w.slots, 2*occupied)*(1-w.gain))
}

// RecordPrompt notes that a job did not wait while so many slots were in flight.
func (w *StartWindow) RecordPrompt(occupied float64) {
	if occupied >= w.slots/2 {
		w.slots += w.slots * w.gain * targetLateFraction / (1 - targetLateFraction)
	}
}

// Paths is the number of ways that an attempt may go: over a new connection or not, to another zone or
// not.
const NumPaths = 4

// StartDelays is the delay from sending an attempt to its start.
type StartDelays struct {
	mean MovingMean
	min  [NumPaths]int64 // by way; 0: none yet
}

// Mean returns the delay's average and deviation.
func (s *StartDelays) Mean() MovingMean { return s.mean }

// Min returns the least delay of each way.
func (s *StartDelays) Min() [NumPaths]int64 { return s.min }

// Restore takes over another's delays.
func (s *StartDelays) Restore(mean MovingMean, minimum [NumPaths]int64) {
	s.mean, s.min = mean, minimum
}

// Bound returns the average delay and so many mean deviations.
func (s *StartDelays) Bound(deviations float64) int64 { return s.mean.Bound(deviations) }

// Record notes an attempt's delay to its start.
func (s *StartDelays) Record(delay int64) { s.mean.Add(float64(delay)) }

// Excess returns a delay less the least that the same way has taken: a handshake with another zone may
// take longer than a job waits.
func (s *StartDelays) Excess(path int, delay int64) int64 {
	if minimum := &s.min[path]; *minimum == 0 || delay < *minimum {
		*minimum = max(1, delay)
	}
	return delay - s.min[path]
}
