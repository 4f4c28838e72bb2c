package capacity

import (
	"context"
	"errors"
	"fmt"
	"slices"
)

// A plan says at which sizes a run measures.
type plan struct {
	short bool
	runs  int // at each size
	seed  uint64
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
	name    string
	measure func(context.Context, plan) ([]Series, error)
}

// dimensions are all that can be measured, in the order of a whole run.
var dimensions = []dimension{
	{"workers", measureWorkers},
	{"schedulers", measureSchedulers},
	{"tasks", measureTasks},
	{"teams", measureTeams},
	{"configuration", measureConfiguration},
	{"urgent", measureUrgent},
	{"gangs", measureGangs},
}

// control needs the scheduler's binary.
const controlDimension = "control"

// errUnknown says that there is no such dimension.
var errUnknown = errors.New("unknown dimension")

// names returns the names of all dimensions.
func names() (ns []string) {
	for _, d := range dimensions {
		ns = append(ns, d.name)
	}
	return append(ns, controlDimension)
}

// choose returns the dimensions that are asked for, all if none is.
func choose(asked []string) ([]string, error) {
	all := names()
	if len(asked) == 0 {
		return all, nil
	}
	for _, name := range asked {
		if !slices.Contains(all, name) {
			return nil, fmt.Errorf("%w %q; there are %v", errUnknown, name, all)
		}
	}
	return asked, nil
}

// A gauge measures one cost at one size.
type gauge struct {
	name, unit string
	runs       func(size int) ([]float64, error)
}

// bySize measures each gauge at each size.
func bySize(ctx context.Context, of string, sizes []int, gauges ...gauge) ([]Series, error) {
	series := make([]Series, len(gauges))
	for i, g := range gauges {
		series[i] = Series{Name: g.name, Of: of, Unit: g.unit}
		for _, size := range sizes {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			runs, err := g.runs(size)
			if err != nil {
				return nil, fmt.Errorf("%s at %d %s: %w", g.name, size, of, err)
			}
			series[i].addPoint(size, runs)
		}
		series[i].fit()
	}
	return series, nil
}
