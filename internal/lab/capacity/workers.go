package capacity

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/vatu-meals/foxlift"
)

// workerSizes are the workers of a fleet, from the smallest that is played to the one designed for.
var workerSizes = []int{60, 200, 600, 2000, 6000, TargetWorkers}

// measuredSchedulers share the fleet of the module's measurements.
const measuredSchedulers = 300

// measureWorkers measures what the module, the core and the list cost by the number of workers.
func measureWorkers(ctx context.Context, p plan) ([]Series, error) {
	fleet := func(workers int) deployment {
		return deployment{workers: workers, schedulers: measuredSchedulers, teams: TargetTeams}
	}
	module := func(step func(h *hollowModule, workers int)) func(int) ([]float64, error) {
		return func(workers int) ([]float64, error) {
			h, err := fleet(workers).module()
			if err != nil {
				return nil, err
			}
			return timeEach(p.runs, func() { step(h, workers) }), nil
		}
	}
	turn := 0
	next := func() (int, foxlift.WorkerState) { // a worker drains, then it is back
		turn++
		return turn / 2, [2]foxlift.WorkerState{foxlift.Draining, foxlift.Live}[turn%2]
	}
	return measureBySize(ctx, "workers", p.sizes(workerSizes...),
		costGauge{"module.idle_tick", "ns", module(func(h *hollowModule, _ int) { h.idleTick() })},
		costGauge{"module.change", "ns", module(func(h *hollowModule, n int) {
			i, state := next()
			h.updateWorker(i%n, state)
		})},
		costGauge{"module.job", "ns", module(func(h *hollowModule, _ int) { h.runJob(int(h.jobs)%TargetTeams, 0) })},
		costGauge{"module.keyed_job", "ns", module(func(h *hollowModule, _ int) { h.runJob(int(h.jobs)%TargetTeams, rand.Uint64()) })},
		costGauge{"module.whole_list", "ns", func(workers int) ([]float64, error) { return timeCompleteSnapshot(fleet(workers), p.runs) }},
		costGauge{"core.change", "ns", func(workers int) ([]float64, error) {
			h, err := fleet(workers).core()
			if err != nil {
				return nil, err
			}
			defer h.Stop()
			return timeEach(p.runs, func() {
				i, state := next()
				h.updateWorker(i%workers, state)
			}), nil
		}},
		costGauge{"core.memory", "bytes", func(workers int) ([]float64, error) { return memoryOfWorkers(fleet(workers), p.runs) }},
		costGauge{"list.bytes", "bytes", func(workers int) ([]float64, error) {
			bytes, err := endpointsBytes(workers)
			return []float64{float64(bytes)}, err
		}},
	)
}

// timeCompleteSnapshot times the first whole list of a module.
func timeCompleteSnapshot(d deployment, runs int) (took []float64, err error) {
	list := d.endpoints()
	s, err := d.settings()
	if err != nil {
		return nil, err
	}
	for i := range runs + 1 {
		m, err := foxlift.New(s.Module, 1)
		if err != nil {
			return nil, err
		}
		runtime.GC() // none falls into what is timed
		began := time.Now()
		m.Step(int64(time.Second), []foxlift.Event{{Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsComplete, Workers: list}})
		if i > 0 { // the first one warms the caches
			took = append(took, float64(time.Since(began).Nanoseconds()))
		}
	}
	return took, nil
}

// memoryOfWorkers returns the memory that core and module take for a list.
func memoryOfWorkers(d deployment, runs int) (bytes []float64, err error) {
	for range runs { // all stay until the end: what is freed late would count against the next one
		before := heapInUse()
		h, err := d.core()
		if err != nil {
			return nil, err
		}
		defer h.Stop()
		bytes = append(bytes, heapInUse()-before)
	}
	return bytes, nil
}
