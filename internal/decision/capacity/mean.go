package capacity

// An exponentially weighted moving mean. Nothing is decided here.

import (
	"math"

	"github.com/vatu-meals/foxlift/internal/saturate"
)

const meanWeight = 64 // a new value has weight 1/64

// A MovingMean is an exponentially weighted average and mean absolute deviation. The zero value is empty.
type MovingMean struct{ Average, Deviation float64 }

// Add adds a value. While the average is 0, the value sets the average, and the deviation to half of it.
func (m *MovingMean) Add(value float64) {
	if m.Average == 0 {
		m.Average, m.Deviation = value, value/2
		return
	}
	m.Deviation += float64((math.Abs(value-m.Average) - m.Deviation) / meanWeight)
	m.Average += float64((value - m.Average) / meanWeight)
}

// Bound returns the average plus a number of mean deviations, truncated to an integer.
func (m *MovingMean) Bound(deviations float64) int64 {
	return saturate.Int64(m.Average + float64(deviations*m.Deviation))
}
