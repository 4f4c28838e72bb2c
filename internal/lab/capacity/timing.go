package capacity

import "time"

// runsPerSize is the number of runs at each size.
const runsPerSize = 5

// minTimedDuration is the minimum time for which a step is repeated in a run.
const minTimedDuration = 4 * time.Millisecond

// timePerCall returns the mean nanoseconds per call of step, in each run.
func timePerCall(runs int, step func()) (nanoseconds []float64) {
	step() // untimed: excludes one-time initialization in the first call
	for range runs {
		calls, startedAt := 0, time.Now()
		for time.Since(startedAt) < minTimedDuration {
			step()
			calls++
		}
		nanoseconds = append(nanoseconds, float64(time.Since(startedAt).Nanoseconds())/float64(calls))
	}
	return nanoseconds
}
