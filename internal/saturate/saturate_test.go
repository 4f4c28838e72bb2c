package saturate

import (
	"math"
	"testing"
)

// Guards against conversions whose result depends on the processor.
func TestInt64(t *testing.T) {
	const limit = 1 << 63
	for _, test := range []struct {
		x    float64
		want int64
	}{
		{0, 0},
		{-0.9, 0},
		{2.9, 2},
		{-2.9, -2},
		{math.NaN(), 0},
		{math.Inf(1), math.MaxInt64},
		{math.Inf(-1), math.MinInt64},
		{limit, math.MaxInt64},
		{math.Nextafter(limit, 0), limit - 1024},
		{math.Nextafter(limit, math.Inf(1)), math.MaxInt64},
		{-limit, math.MinInt64},
		{math.Nextafter(-limit, 0), -limit + 1024},
		{math.Nextafter(-limit, math.Inf(-1)), math.MinInt64},
	} {
		if got := Int64(test.x); got != test.want {
			t.Errorf("Int64(%g) = %d, want %d", test.x, got, test.want)
		}
	}
}
