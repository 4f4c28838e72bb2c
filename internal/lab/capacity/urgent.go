package capacity

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// taskSeconds is the mean length of a task at the peak: those that run over those that start a second.
const meanTaskSeconds = float64(TargetTasks) / TargetStartsPerSecond

// taskLengthSigma is the standard deviation of the logarithm of a task's length in the hollow fleet: most
// are short, a few take many times the mean.
const taskLengthSigma = 1.0

const (
	urgentSamples  = 2000
	urgentQuantile = 0.99 // of urgent tasks that start within the bound
)

// measureUrgent measures how long an urgent task waits for the first slot that comes free where every
// slot of a pool is taken, in a hollow pool of slots with tasks one after another.
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

// slotWait returns the wait that urgentQuantile of urgent tasks stays under. Each slot is met at a
// random moment of a task: a long task is met the more likely, so its length is drawn by length.
func simulateUrgentWait(slots int, rng *rand.Rand) float64 {
	// By length, a lognormal length is lognormal again, with its mean moved by the variance.
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

// urgentWait is the closed form: the ends of tasks on many slots are nearly a Poisson process.
func urgentWaitEstimate(slots float64) float64 {
	return -math.Log(1-urgentQuantile) * meanTaskSeconds / slots
}

// urgentSlots is the smallest pool in which urgentQuantile of urgent tasks start within the bound.
func minUrgentPoolSlots() float64 { return urgentWaitEstimate(1) / TargetUrgentStart.Seconds() }
