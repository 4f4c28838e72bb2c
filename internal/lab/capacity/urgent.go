package capacity

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// meanTaskSeconds is the mean length of a task at the peak: running tasks divided by task starts per second.
const meanTaskSeconds = float64(TargetTasks) / TargetStartsPerSecond

// taskLengthSigma is the standard deviation of the logarithm of a task's length in simulated pools: most tasks are
// short, a few take many times the mean.
const taskLengthSigma = 1.0

const (
	urgentSamples  = 2000 // simulated urgent tasks in each run
	urgentQuantile = 0.99 // fraction of urgent tasks that must start within TargetUrgentStart
)

// measureUrgent measures how long an urgent task waits for the first free slot if all slots of a pool are taken. It
// simulates a pool whose slots run one task after another.
func measureUrgent(ctx context.Context, p plan) ([]Series, error) {
	rng := rand.New(rand.NewPCG(p.seed, 2))
	return measureBySize(ctx, "slots of a pool", p.sizes(10, 30, 100, 300, 1000),
		costMeasurement{"urgent.wait", "s", func(slots int) (runs []float64, _ error) {
			for range p.runs {
				runs = append(runs, simulateUrgentWait(slots, rng))
			}
			return runs, nil
		}},
	)
}

// simulateUrgentWait returns the urgentQuantile of the simulated waits of urgent tasks, in seconds. An urgent task
// arrives at a random time of the task in each slot. It is more likely to find a long task, so that the length of the
// found task is drawn with a probability proportional to the length.
func simulateUrgentWait(slots int, rng *rand.Rand) float64 {
	// The length-biased distribution of a lognormal length is lognormal too, with the variance of the logarithm added
	// to the mean of the logarithm.
	occupyingLength := distuv.LogNormal{
		Mu:    math.Log(meanTaskSeconds) + taskLengthSigma*taskLengthSigma/2,
		Sigma: taskLengthSigma,
		Src:   rng,
	}
	waits := make([]float64, urgentSamples)
	for i := range waits {
		waits[i] = math.Inf(1)
		for range slots {
			waits[i] = min(waits[i], occupyingLength.Rand()*rng.Float64())
		}
	}
	slices.Sort(waits)
	return stat.Quantile(urgentQuantile, stat.Empirical, waits, nil)
}

// urgentWaitEstimate returns the wait of measureUrgent in closed form, in seconds. It takes the ends of tasks as a
// Poisson process, which is nearly true for many slots.
func urgentWaitEstimate(slots float64) float64 {
	return -math.Log(1-urgentQuantile) * meanTaskSeconds / slots
}

// minUrgentPoolSlots returns the slots of the smallest pool in which the fraction urgentQuantile of urgent tasks starts
// within TargetUrgentStart.
func minUrgentPoolSlots() float64 { return urgentWaitEstimate(1) / TargetUrgentStart.Seconds() }
