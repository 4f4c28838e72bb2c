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

// gangUtilizations are the shares of the slots in use, in percent.
var gangUtilizations = []int{70, 90, 98}

// measureGangs measures how often so many slots of one kind and zone are free at once, in a hollow pool
// in which tasks start as they come and are turned away where none is free.
func measureGangs(ctx context.Context, p plan) ([]Series, error) {
	rng := rand.New(rand.NewPCG(p.seed, 3))
	var all []Series
	for _, use := range gangUtilizations {
		free := make([][]float64, p.runs)
		for i := range free {
			free[i] = simulateFreeSlots(offeredLoad(float64(use)/100), rng)
		}
		series, err := measureBySize(ctx, "slots of a gang", p.sizes(2, 8, 32, 64, 128, TargetGang), costGauge{
			fmt.Sprintf("gangs.room_at_%d", use), "share of time",
			func(gang int) (runs []float64, _ error) {
				for i := range free {
					runs = append(runs, fractionWithFree(free[i], gang))
				}
				return runs, nil
			},
		})
		if err != nil {
			return nil, err
		}
		series[0].Slope, series[0].Offset, series[0].Residual = 0, 0, 0 // a share of time follows no power law
		all = append(all, series...)
	}
	return all, nil
}

// offered returns the load that keeps a share of a pool's slots in use: more than that share, since
// what finds no slot is turned away.
func offeredLoad(use float64) float64 {
	least, most := 0.0, 4.0*poolSlots
	for range 60 {
		a := (least + most) / 2
		if a*(1-erlangB(a, poolSlots)) < use*poolSlots {
			least = a
		} else {
			most = a
		}
	}
	return least
}

// erlangB is Erlang's loss formula: the share turned away at an offered load by so many slots.
func erlangB(load float64, slots int) float64 {
	b := 1.0
	for n := 1; n <= slots; n++ {
		b = load * b / (float64(n) + load*b)
	}
	return b
}

// gangFitFraction is the closed form: the share of time in which so many slots are free.
func gangFitFraction(use float64, gang int) float64 {
	load := offeredLoad(use)
	logs := make([]float64, poolSlots+1) // of load^n / n!
	most := 0.0
	for n := 1; n <= poolSlots; n++ {
		logs[n] = logs[n-1] + math.Log(load/float64(n))
		most = max(most, logs[n])
	}
	sum, room := 0.0, 0.0
	for n, l := range logs {
		part := math.Exp(l - most)
		sum += part
		if poolSlots-n >= gang {
			room += part
		}
	}
	return room / sum
}

// simulatedArrivals are those that come to a pool in one run, after as many to fill it.
const simulatedArrivals = 40 * poolSlots

// simulateFreeSlots returns the share of time in which each number of slots was free.
func simulateFreeSlots(load float64, rng *rand.Rand) []float64 {
	shares := make([]float64, poolSlots+1)
	var ends finishTimes
	now, spent := 0.0, 0.0
	pass := func(to float64, counts bool) {
		if counts {
			shares[poolSlots-len(ends)] += to - now
			spent += to - now
		}
		now = to
	}
	for i := range simulatedArrivals + 10*poolSlots {
		counts := i >= 10*poolSlots
		comes := now + rng.ExpFloat64()/load // in mean lengths of a task
		for len(ends) > 0 && ends[0] <= comes {
			pass(ends[0], counts)
			heap.Pop(&ends)
		}
		pass(comes, counts)
		if len(ends) < poolSlots {
			length := math.Exp(rng.NormFloat64()*taskLengthSigma - taskLengthSigma*taskLengthSigma/2)
			heap.Push(&ends, now+length)
		}
	}
	for i := range shares {
		shares[i] /= spent
	}
	return shares
}

// fractionWithFree returns the share of time in which so many slots were free.
func fractionWithFree(shares []float64, gang int) (sum float64) {
	for free := gang; free < len(shares); free++ {
		sum += shares[free]
	}
	return sum
}

// finishTimes holds the ends of running tasks, the next one first.
type finishTimes []float64

func (h finishTimes) Len() int           { return len(h) }
func (h finishTimes) Less(i, j int) bool { return h[i] < h[j] }
func (h finishTimes) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *finishTimes) Push(x any)        { *h = append(*h, x.(float64)) }
func (h *finishTimes) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
