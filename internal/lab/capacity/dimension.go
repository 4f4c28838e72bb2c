package capacity

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// A plan says at which sizes a run measures.
type plan struct {
	short   bool
	runs    int // at each size
	seed    uint64
	program string // the scheduler's binary
}

// sizes returns the sizes of a dimension: all, or the first few of a short run.
func (p plan) sizes(all ...int) []int {
	if p.short {
		return all[:min(len(all), 3)]
	}
	return all
}

// A dimension measures some costs by one size.
type dimension struct {
	name      string
	measure   func(context.Context, plan) ([]Series, error)
	processes func(plan) int // that run at a time; nil: none
}

// dimensions are all that can be measured, in the order of a whole run.
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

// errUnknownDimension says that there is no such dimension.
var errUnknownDimension = errors.New("unknown dimension")

// chooseDimensions returns the dimensions that are asked for by name, all if none is.
func chooseDimensions(requested []string) (chosen []dimension, err error) {
	if len(requested) == 0 {
		return dimensions, nil
	}
	for _, name := range requested {
		i := slices.IndexFunc(dimensions, func(d dimension) bool { return d.name == name })
		if i < 0 {
			return nil, fmt.Errorf("%w %q; there are %s", errUnknownDimension, name, dimensionNames())
		}
		chosen = append(chosen, dimensions[i])
	}
	return chosen, nil
}

// dimensionNames returns the names of all dimensions.
func dimensionNames() string {
	var names []string
	for _, d := range dimensions {
		names = append(names, d.name)
	}
	return strings.Join(names, ", ")
}

// A costGauge measures one cost at one size.
type costMeasurement struct {
	name, unit string
	measure    func(size int) ([]float64, error)
}

// measureBySize measures each measurement at each size.
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
