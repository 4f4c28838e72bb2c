package capacity

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/vatu-meals/foxlift/internal/pollpacing"
)

// Calls to discovery are counted on a virtual clock, with the delays and watch times of the scheduler's own pacing.
// Each call is answered at once, since the capacity of discovery is unknown.
const (
	watchDuration = 2 * time.Minute // virtual time for which watches are counted
	startsPerRun  = 10              // starts of all schedulers in each run: one start lasts only seconds
)

// measureSchedulers measures the rate of calls that all schedulers together make to discovery.
func measureSchedulers(ctx context.Context, p plan) ([]Series, error) {
	rng := rand.New(rand.NewPCG(p.seed, 1))
	repeatRuns := func(count func(schedulers int, rng *rand.Rand) float64) func(int) ([]float64, error) {
		return func(schedulers int) (runs []float64, _ error) {
			for range p.runs {
				runs = append(runs, count(schedulers, rng))
			}
			return runs, nil
		}
	}
	return measureBySize(ctx, "schedulers", p.sizes(30, 60, 100, 200, 300, 600, 1000),
		costMeasurement{"discovery.watch_calls", "calls/s", repeatRuns(watchCalls)},
		costMeasurement{"discovery.start_peak", "calls/s", repeatRuns(startPeak)},
	)
}

// watchCalls returns the calls per second of schedulers that watch an endpoint list without changes.
func watchCalls(schedulers int, rng *rand.Rand) float64 {
	calls := 0
	for range schedulers {
		pacer := pollpacing.NewPacer(schedulers, 0, rng)
		for at := time.Duration(0); at < watchDuration; at += pacer.WatchHold() {
			calls++
		}
	}
	return float64(calls) / watchDuration.Seconds()
}

// startPeak returns the most calls in one second after all schedulers have started at once, in startsPerRun starts.
func startPeak(schedulers int, rng *rand.Rand) float64 {
	maxPeak := 0.0
	for range startsPerRun {
		callsBySecond := map[int]int{}
		peak := 0
		for range schedulers {
			second := int(math.Floor(pollpacing.NewPacer(schedulers, 0, rng).InitialDelay().Seconds()))
			callsBySecond[second]++
			peak = max(peak, callsBySecond[second])
		}
		maxPeak = max(maxPeak, float64(peak))
	}
	return maxPeak
}
