package capacity

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// A plan contains the parameters of a run.
type plan struct {
	short   bool   // measure few and small sizes
	runs    int    // runs at each size
	seed    uint64 // of the random numbers of simulations
	program string // path of the scheduler's binary
}

// sizes returns the sizes of a dimension to measure: all of them, or the first three in a short run.
func (p plan) sizes(all ...int) []int {
	if p.short {
		return all[:min(len(all), 3)]
	}
	return all
}

// A dimension is a size of the deployment by which costs are measured.
type dimension struct {
	name      string
	measure   func(context.Context, plan) ([]Series, error)
	processes func(plan) int // number of processes that run at a time; nil: none
}

// dimensions are all dimensions, in the order in which a complete run measures them.
var dimensions = []dimension{
	{name: "workers", measure: measureWorkers},
	{name: "schedulers", measure: measureSchedulers},
	{name: "tasks", measure: measureTasks},
	{name: "teams", measure: measureTeams},
	{name: "configuration", measure: measureConfiguration},
	{name: "urgent", measure: measureUrgent},
	{name: "gangs", measure: measureGangs},
	{name: "control", measure: measureControl, processes: controlProcesses},
}

// errUnknownDimension reports the name of a dimension that does not exist.
var errUnknownDimension = errors.New("unknown dimension")

// chooseDimensions returns the dimensions with the requested names, or all dimensions if requested is empty.
func chooseDimensions(requested []string) (chosen []dimension, err error) {
	if len(requested) == 0 {
		return dimensions, nil
	}
	for _, name := range requested {
		i := slices.IndexFunc(dimensions, func(d dimension) bool { return d.name == name })
		if i < 0 {
			return nil, fmt.Errorf("%w %q; known dimensions: %s", errUnknownDimension, name, dimensionNames())
		}
		chosen = append(chosen, dimensions[i])
	}
	return chosen, nil
}

// dimensionNames returns the names of all dimensions, separated by commas.
func dimensionNames() string {
	var names []string
	for _, d := range dimensions {
		names = append(names, d.name)
	}
	return strings.Join(names, ", ")
}

// A costMeasurement measures one cost. Its name and unit become those of the series; measure returns the cost in each
// run at a size.
type costMeasurement struct {
	name, unit string
	measure    func(size int) ([]float64, error)
}

// measureBySize runs each measurement at each size and returns one fitted series per measurement. sizeUnit says what
// the sizes count.
func measureBySize(
	ctx context.Context, sizeUnit string, sizes []int, measurements ...costMeasurement,
) ([]Series, error) {
	series := make([]Series, len(measurements))
	for i, measurement := range measurements {
		series[i] = Series{Name: measurement.name, Of: sizeUnit, Unit: measurement.unit}
		for _, size := range sizes {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			runs, err := measurement.measure(size)
			if err != nil {
				return nil, fmt.Errorf("%s at %d %s: %w", measurement.name, size, sizeUnit, err)
			}
			series[i].addPoint(size, runs)
		}
		series[i].fit()
	}
	return series, nil
}
