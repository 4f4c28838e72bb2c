package capacity

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
)

// poolSlots is the number of slots of one kind of worker in one zone.
const poolSlots = TargetTasks / TargetZones / assumedKinds

// gangUtilizations are the percentages of the slots in use for which gangs are measured.
var gangUtilizations = []int{70, 90, 98}

// measureGangs measures the fraction of time in which a gang's slots of one kind and zone are free at once. It
// simulates a pool in which each task starts on arrival, or is shed if no slot is free.
func measureGangs(ctx context.Context, p plan) ([]Series, error) {
	rng := rand.New(rand.NewPCG(p.seed, 3))
	var all []Series
	for _, utilization := range gangUtilizations {
		simulated := make([][]float64, p.runs)
		for i := range simulated {
			simulated[i] = simulateFreeSlots(offeredLoad(float64(utilization)/percent), rng)
		}
		series, err := measureBySize(ctx, "slots of a gang", p.sizes(2, 8, 32, 64, 128, TargetGang), costMeasurement{
			fmt.Sprintf("gangs.room_at_%d", utilization), "share of time",
			func(gang int) (runs []float64, _ error) {
				for _, fractions := range simulated {
					runs = append(runs, fractionWithFree(fractions, gang))
				}
				return runs, nil
			},
		})
		if err != nil {
			return nil, err
		}
		series[0].Slope, series[0].Offset, series[0].Residual = 0, 0, 0 // fractions of time follow no power law
		all = append(all, series...)
	}
	return all, nil
}

// offeredLoad returns the load, in erlangs, that keeps a fraction of a pool's slots in use. It exceeds the number of
// slots in use, since tasks that find no free slot are shed.
func offeredLoad(utilization float64) float64 {
	const bisections = 60
	low, high := 0.0, 4.0*poolSlots
	for range bisections {
		load := (low + high) / 2
		if load*(1-erlangLossFraction(load, poolSlots)) < utilization*poolSlots {
			low = load
		} else {
			high = load
		}
	}
	return low
}

// erlangLossFraction is Erlang's loss formula (Erlang B): the fraction of tasks that are shed at an offered load, in
// erlangs, by a pool with a number of slots.
func erlangLossFraction(load float64, slots int) float64 {
	blocked := 1.0
	for n := 1; n <= slots; n++ {
		blocked = load * blocked / (float64(n) + load*blocked)
	}
	return blocked
}

// gangFitFraction returns the fraction of time in which at least gang slots are free, by the closed form of Erlang's
// loss system.
func gangFitFraction(utilization float64, gang int) float64 {
	load := offeredLoad(utilization)
	logWeights := make([]float64, poolSlots+1) // logarithms of load^n / n!, by the number n of slots in use
	largest := 0.0
	for n := 1; n <= poolSlots; n++ {
		logWeights[n] = logWeights[n-1] + math.Log(load/float64(n))
		largest = max(largest, logWeights[n])
	}
	total, fitting := 0.0, 0.0
	for n, logWeight := range logWeights {
		weight := math.Exp(logWeight - largest)
		total += weight
		if poolSlots-n >= gang {
			fitting += weight
		}
	}
	return fitting / total
}

const (
	warmupArrivals   = 10 * poolSlots // arrivals that fill a simulated pool before the measurement
	measuredArrivals = 40 * poolSlots // arrivals during the measurement
)

// A simulatedPool simulates a pool of slots that run tasks. Its unit of time is the mean length of a task.
type simulatedPool struct {
	now             float64 // virtual time
	running         finishTimes
	warmedUp        bool      // the pool has been filled: time is counted
	timeByFreeSlots []float64 // time in which a number of slots was free, by that number
	totalTime       float64   // sum of timeByFreeSlots
}

// advance moves the clock to a time, and counts the time until then if the pool is warmed up.
func (s *simulatedPool) advance(to float64) {
	if s.warmedUp {
		s.timeByFreeSlots[poolSlots-len(s.running)] += to - s.now
		s.totalTime += to - s.now
	}
	s.now = to
}

// simulateFreeSlots simulates a pool at an offered load in erlangs. It returns the fraction of time in which a number
// of slots was free, by that number.
func simulateFreeSlots(load float64, rng *rand.Rand) []float64 {
	s := &simulatedPool{timeByFreeSlots: make([]float64, poolSlots+1)}
	for i := range warmupArrivals + measuredArrivals {
		s.warmedUp = i >= warmupArrivals
		arrival := s.now + rng.ExpFloat64()/load
		for len(s.running) > 0 && s.running[0] <= arrival {
			s.advance(s.running[0])
			heap.Pop(&s.running)
		}
		s.advance(arrival)
		if len(s.running) < poolSlots {
			length := math.Exp(rng.NormFloat64()*taskLengthSigma - taskLengthSigma*taskLengthSigma/2)
			heap.Push(&s.running, s.now+length)
		}
	}
	for i := range s.timeByFreeSlots {
		s.timeByFreeSlots[i] /= s.totalTime
	}
	return s.timeByFreeSlots
}

// fractionWithFree returns the fraction of time in which at least gang slots were free. fractions is a result of
// simulateFreeSlots.
func fractionWithFree(fractions []float64, gang int) (sum float64) {
	for free := gang; free < len(fractions); free++ {
		sum += fractions[free]
	}
	return sum
}

// finishTimes holds the times at which running tasks finish. It implements heap.Interface, with the earliest time
// first.
type finishTimes []float64

// Len implements sort.Interface.
func (h finishTimes) Len() int { return len(h) }

// Less implements sort.Interface.
func (h finishTimes) Less(i, j int) bool { return h[i] < h[j] }

// Swap implements sort.Interface.
func (h finishTimes) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *finishTimes) Push(x any) { *h = append(*h, x.(float64)) }

// Pop implements heap.Interface.
func (h *finishTimes) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
