package capacity

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/vatu-meals/foxlift/internal/core"
)

// errTasksNotSent reports that a hollow fleet had too little capacity for the tasks of a measurement.
var errTasksNotSent = errors.New("not all tasks were sent")

// measureTasks measures the cost of running tasks to the scheduler that waits for their end: memory in the core and the
// module, and the time of an idle tick.
func measureTasks(ctx context.Context, p plan) ([]Series, error) {
	return measureBySize(ctx, "tasks", p.sizes(100, 300, 1000, 3000, 10_000),
		costMeasurement{"tasks.memory", "bytes", func(tasks int) (runs []float64, err error) {
			for range p.runs {
				h, bytes, err := memoryOfTasks(tasks)
				if err != nil {
					return nil, err
				}
				defer h.Stop() // deferred until after the last run, as in memoryOfWorkers
				runs = append(runs, bytes)
			}
			return runs, nil
		}},
		costMeasurement{"tasks.idle_tick", "ns", func(tasks int) ([]float64, error) {
			return tickWithTasks(tasks, p.runs)
		}},
	)
}

// deploymentForTasks returns a deployment with enough workers for a number of running tasks.
func deploymentForTasks(tasks int) deployment {
	return deployment{workers: 2 * tasks, schedulers: 1, teams: TargetTeams}
}

// memoryOfTasks returns a core with a number of running tasks, and the bytes of memory that the tasks use in it. The
// caller must stop the core.
func memoryOfTasks(tasks int) (*hollowCore, float64, error) {
	h, err := deploymentForTasks(tasks).core()
	if err != nil {
		return nil, 0, err
	}
	before := heapInUse()
	for i := range tasks {
		h.Accept(&core.Job{
			ID:        fmt.Sprintf("%016x", i),
			Class:     "heavy",
			Tenant:    teamName(i % TargetTeams),
			Remaining: 20 * time.Second,
			ArrivedAt: time.Now().UnixNano(),
			Client:    discardingClient{},
		})
	}
	h.awaitStep()
	if len(h.reports) < tasks {
		h.Stop()
		return nil, 0, fmt.Errorf("%w: %d of %d", errTasksNotSent, len(h.reports), tasks)
	}
	for _, report := range h.reports {
		report(core.Report{}) // the task has started
	}
	h.awaitStep()
	return h, heapInUse() - before, nil
}

// A discardingClient is a client that discards the answer.
type discardingClient struct{}

// Answer implements core.Client.
func (discardingClient) Answer(core.Answer) {}

// Disconnected implements core.Client.
func (discardingClient) Disconnected() bool { return false }

// tickWithTasks returns the nanoseconds per idle tick of a module with a number of tasks in flight, in each run.
func tickWithTasks(tasks, runs int) ([]float64, error) {
	h, err := deploymentForTasks(tasks).module()
	if err != nil {
		return nil, err
	}
	for i := range tasks {
		if !h.startTask(i % TargetTeams) {
			return nil, fmt.Errorf("%w: %d of %d", errTasksNotSent, i, tasks)
		}
	}
	return timePerCall(runs, h.idleTick), nil
}
