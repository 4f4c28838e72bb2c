package capacity

// A mean that follows its values. Nothing is decided here.

import "math"

const meanWeight = 64 // values after which a mean has mostly followed

// A MovingMean follows an average and the mean deviation from it.
type MovingMean struct{ Average, Deviation float64 }

// Add takes a value into the mean.
func (m *MovingMean) Add(value float64) {
	if m.Average == 0 {
		m.Average, m.Deviation = value, value/2
		return
	}
	m.Deviation += (math.Abs(value-m.Average) - m.Deviation) / meanWeight
	m.Average += (value - m.Average) / meanWeight
}

// Bound returns the average and so many mean deviations.
func (m *MovingMean) Bound(deviations float64) int64 {
	return int64(m.Average + deviations*m.Deviation)
}
