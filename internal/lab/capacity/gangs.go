package capacity

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
)

// poolSlots are the slots of one kind in one zone.
const poolSlots = TargetTasks / TargetZones / assumedKinds

// gangUtilizations are the fractions of the slots in use, in percent.
var gangUtilizations = []int{70, 90, 98}

// measureGangs measures how often so many slots of one kind and zone are free at once, in a hollow pool
// in which tasks start as they come and are shed where none is free.
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
		series[0].Slope, series[0].Offset, series[0].Residual = 0, 0, 0 // a fraction of time follows no power law
		all = append(all, series...)
	}
	return all, nil
}

// offeredLoad returns the load that keeps a fraction of a pool's slots in use: more than that
// fraction, since tasks that find no slot are shed.
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

// erlangB is Erlang's loss formula: the fraction shed at an offered load by so many slots.
func erlangLossFraction(load float64, slots int) float64 {
	blocked := 1.0
	for n := 1; n <= slots; n++ {
		blocked = load * blocked / (float64(n) + load*blocked)
	}
	return blocked
}

// gangFitFraction is the closed form: the fraction of time in which so many slots are free.
func gangFitFraction(utilization float64, gang int) float64 {
	load := offeredLoad(utilization)
	logWeights := make([]float64, poolSlots+1) // of load^n / n!, for n slots in use
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
	warmupArrivals   = 10 * poolSlots // tasks that fill a simulated pool
	measuredArrivals = 40 * poolSlots // tasks that come to it after these
)

// A simulatedPool is a pool of slots in which tasks run, in mean lengths of a task.
type simulatedPool struct {
	now             float64
	running         finishTimes
	warmedUp        bool      // it has been filled
	timeByFreeSlots []float64 // in which each number of slots was free
	totalTime       float64   // of time
}

// advance moves the clock and counts the time.
func (s *simulatedPool) advance(to float64) {
	if s.warmedUp {
		s.timeByFreeSlots[poolSlots-len(s.running)] += to - s.now
		s.totalTime += to - s.now
	}
	s.now = to
}

// simulateFreeSlots returns the fraction of time in which each number of slots was free.
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

// fractionWithFree returns the fraction of time in which a gang's slots were free.
func fractionWithFree(fractions []float64, gang int) (sum float64) {
	for free := gang; free < len(fractions); free++ {
		sum += fractions[free]
	}
	return sum
}

// finishTimes holds the times at which running tasks finish. It implements heap.Interface, the
// next one first.
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
