package capacity

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/vatu-meals/foxlift"
)

// workerSizes are the numbers of workers that are measured, up to the target size.
var workerSizes = []int{60, 200, 600, 2000, 6000, TargetWorkers}

// measuredSchedulers is the number of schedulers that share the fleet in measurements of the module and the core.
const measuredSchedulers = 300

// measureWorkers measures the cost of the module, the core and the endpoint list by the number of workers.
func measureWorkers(ctx context.Context, p plan) ([]Series, error) {
	var cycle drainCycle
	return measureBySize(ctx, "workers", p.sizes(workerSizes...),
		p.moduleStepTime("module.idle_tick", func(h *hollowModule, _ int) { h.idleTick() }),
		p.moduleStepTime("module.change", func(h *hollowModule, workers int) {
			i, state := cycle.next()
			h.updateWorker(i%workers, state)
		}),
		p.moduleStepTime("module.job", func(h *hollowModule, _ int) {
			h.runJob(int(h.jobs)%TargetTeams, 0)
		}),
		p.moduleStepTime("module.keyed_job", func(h *hollowModule, _ int) {
			h.runJob(int(h.jobs)%TargetTeams, rand.Uint64())
		}),
		costMeasurement{"module.whole_list", "ns", func(workers int) ([]float64, error) {
			return timeCompleteSnapshot(deploymentForWorkers(workers), p.runs)
		}},
		costMeasurement{"core.change", "ns", func(workers int) ([]float64, error) {
			h, err := deploymentForWorkers(workers).core()
			if err != nil {
				return nil, err
			}
			defer h.Stop()
			return timePerCall(p.runs, func() {
				i, state := cycle.next()
				h.updateWorker(i%workers, state)
			}), nil
		}},
		costMeasurement{"core.memory", "bytes", func(workers int) ([]float64, error) {
			return memoryOfWorkers(deploymentForWorkers(workers), p.runs)
		}},
		costMeasurement{"list.bytes", "bytes", func(workers int) ([]float64, error) {
			bytes, err := endpointsBytes(workers)
			return []float64{float64(bytes)}, err
		}},
	)
}

// deploymentForWorkers returns the deployment for measurements of the module and the core at a number of workers.
func deploymentForWorkers(workers int) deployment {
	return deployment{workers: workers, schedulers: measuredSchedulers, teams: TargetTeams}
}

// moduleStepTime returns a measurement of the time of a step of a module with a number of workers.
func (p plan) moduleStepTime(name string, step func(h *hollowModule, workers int)) costMeasurement {
	return costMeasurement{name, "ns", func(workers int) ([]float64, error) {
		h, err := deploymentForWorkers(workers).module()
		if err != nil {
			return nil, err
		}
		return timePerCall(p.runs, func() { step(h, workers) }), nil
	}}
}

// drainCycle generates state changes: one worker after another becomes draining and live again.
type drainCycle int

// next returns the number of the next worker that changes, and its new state.
func (c *drainCycle) next() (worker int, state foxlift.WorkerState) {
	*c++
	if *c%2 == 0 {
		return int(*c) / 2, foxlift.Draining
	}
	return int(*c) / 2, foxlift.Live
}

// timeCompleteSnapshot returns the nanoseconds that a new module takes for its first complete endpoint list, in each
// run.
func timeCompleteSnapshot(d deployment, runs int) (nanoseconds []float64, err error) {
	workers := d.endpoints()
	settings, err := d.settings()
	if err != nil {
		return nil, err
	}
	for i := range runs + 1 {
		dispatcher, err := foxlift.New(settings.Module, 1)
		if err != nil {
			return nil, err
		}
		runtime.GC() // so that no collection occurs in the timed section
		startedAt := time.Now()
		dispatcher.Step(int64(time.Second), []foxlift.Event{{
			Kind:           foxlift.EventEndpoints,
			EndpointUpdate: foxlift.EndpointsComplete,
			Workers:        workers,
		}})
		if i > 0 { // the first run only warms the caches
			nanoseconds = append(nanoseconds, float64(time.Since(startedAt).Nanoseconds()))
		}
	}
	return nanoseconds, nil
}

// memoryOfWorkers returns the bytes of memory that a core and its module use for an endpoint list, in each run.
func memoryOfWorkers(d deployment, runs int) (bytes []float64, err error) {
	for range runs { // all cores stay until the last run: memory freed late would distort the next run
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
