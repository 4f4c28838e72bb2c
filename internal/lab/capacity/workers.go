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

// measureWorkers measures what the module, the core and the endpoint list cost by the number of workers.
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

// fleetOf is the deployment of the module's measurements at a number of workers.
func deploymentForWorkers(workers int) deployment {
	return deployment{workers: workers, schedulers: measuredSchedulers, teams: TargetTeams}
}

// moduleGauge times a step of a module that knows so many workers.
func (p plan) moduleStepTime(name string, step func(h *hollowModule, workers int)) costMeasurement {
	return costMeasurement{name, "ns", func(workers int) ([]float64, error) {
		h, err := deploymentForWorkers(workers).module()
		if err != nil {
			return nil, err
		}
		return timePerCall(p.runs, func() { step(h, workers) }), nil
	}}
}

// drainCycle lets one worker after another drain and come back.
type drainCycle int

// next returns the next worker that changes, by its number, and its new state.
func (c *drainCycle) next() (worker int, state foxlift.WorkerState) {
	*c++
	if *c%2 == 0 {
		return int(*c) / 2, foxlift.Draining
	}
	return int(*c) / 2, foxlift.Live
}

// timeCompleteSnapshot times the first complete endpoint list of a module.
func timeCompleteSnapshot(d deployment, runs int) (took []float64, err error) {
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
		runtime.GC() // none falls into what is timed
		startedAt := time.Now()
		dispatcher.Step(int64(time.Second), []foxlift.Event{{
			Kind:           foxlift.EventEndpoints,
			EndpointUpdate: foxlift.EndpointsComplete,
			Workers:        workers,
		}})
		if i > 0 { // the first one warms the caches
			took = append(took, float64(time.Since(startedAt).Nanoseconds()))
		}
	}
	return took, nil
}

// memoryOfWorkers returns the memory that core and module take for an endpoint list.
func memoryOfWorkers(d deployment, runs int) (bytes []float64, err error) {
	for range runs { // all stay until the last run: what is freed late would count against the next one
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
