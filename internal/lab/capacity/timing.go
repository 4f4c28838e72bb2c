package capacity

import "time"

// runsPerSize is how many times each size is measured.
const runsPerSize = 5

// minTimedDuration is how long a repeated step is timed at least.
const minTimedDuration = 4 * time.Millisecond

// timeEach returns the nanoseconds that one call of a step takes, in several runs.
func timePerCall(runs int, step func()) (took []float64) {
	step() // what is made once, at the first call, is no part of it
	for range runs {
		calls, startedAt := 0, time.Now()
		for time.Since(startedAt) < minTimedDuration {
			step()
			calls++
		}
		took = append(took, float64(time.Since(startedAt).Nanoseconds())/float64(calls))
	}
	return took
}
