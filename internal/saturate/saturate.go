// Package saturate converts floating-point numbers to integers alike on all processors. Go leaves the result of a
// conversion that is out of range to the processor. Nothing is decided here.
package saturate

import "math"

// Int64 truncates x towards zero. It returns the nearest integer of the type if x is out of its range, and 0 if x is
// not a number.
func Int64(x float64) int64 {
	switch {
	case math.IsNaN(x):
		return 0
	case x >= math.MaxInt64: // as a float64, 2^63
		return math.MaxInt64
	case x <= math.MinInt64:
		return math.MinInt64
	}
	return int64(x)
}
