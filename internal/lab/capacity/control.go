package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sync/errgroup"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/lab/fleet"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// controlRates are rates of changes of the endpoint list per second: on an ordinary day and in a bad hour.
var controlRates = []float64{0.2, 5}

const (
	longControlDuration     = 30 * time.Second       // time for which a process is measured at each rate
	shortControlDuration    = 3 * time.Second        // the same in a short run
	controlLatencyObjective = 100 * time.Millisecond // the module ticks eight times in this time
)

// A controlCost is the measured cost of one scheduler process without jobs.
type controlCost struct {
	startCPU float64   // seconds of processor time from the start until the endpoint list was in force
	memory   float64   // resident bytes at the end of the measurement at a rate; the largest of all rates
	cpu      []float64 // percent of a core, by index in controlRates
	traffic  []float64 // bytes per second from and to discovery, by index in controlRates
}

// checkpointOperatorConfig is an operator's configuration file that enables the checkpoint of the endpoint list; %s
// stands for the path of the checkpoint.
const checkpointOperatorConfig = `(foxlift (list (checkpoint "%s")))`

// A controlVariant is a configuration of the scheduler process: the prefix of its series' names and the text of the
// operator's configuration file, empty for none.
type controlVariant struct {
	prefix, operator string
}

// controlVariants are the configurations without and with a checkpoint of the endpoint list.
var controlVariants = []controlVariant{{"control", ""}, {"keeping", checkpointOperatorConfig}}

// series returns the series of a variant, without points.
func (v controlVariant) series() []Series {
	all := []Series{{Name: v.prefix + ".start", Unit: "s"}, {Name: v.prefix + ".memory", Unit: "bytes"}}
	for _, rate := range controlRates {
		all = append(all, Series{Name: fmt.Sprintf("%s.cpu_at_%g", v.prefix, rate), Unit: "% of a core"},
			Series{Name: fmt.Sprintf("%s.traffic_at_%g", v.prefix, rate), Unit: "bytes/s"})
	}
	for i := range all {
		all[i].Of = "workers"
	}
	return all
}

// controlProcesses returns the number of processes that measureControl runs at a time.
func controlProcesses(p plan) int { return len(controlVariants) * len(p.sizes(controlSizes...)) }

// controlSizes are the numbers of workers in the endpoint lists that the processes watch.
var controlSizes = []int{190, 600, 1900, 6000, TargetWorkers}

// measureControl measures the cost of control alone: the cost of a real scheduler process without jobs that watches an
// endpoint list, at each number of workers, without and with a checkpoint.
func measureControl(ctx context.Context, p plan) (all []Series, err error) {
	sizes := p.sizes(controlSizes...)
	results := make([][][]controlCost, len(controlVariants)) // by variant, size and run
	for i := range results {
		results[i] = make([][]controlCost, len(sizes))
	}
	for range p.controlRunsPerSize() { // all processes run at once: each uses a few hundredths of a core
		group, ctx := errgroup.WithContext(ctx)
		for i, v := range controlVariants {
			for k, workers := range sizes {
				group.Go(func() error {
					cost, err := runControl(ctx, p, v.operator, workers)
					if err != nil {
						return fmt.Errorf("%s at %d workers: %w", v.prefix, workers, err)
					}
					results[i][k] = append(results[i][k], cost)
					return nil
				})
			}
		}
		if err := group.Wait(); err != nil {
			return nil, err
		}
	}
	for i, v := range controlVariants {
		all = append(all, v.fitSeries(sizes, results[i])...)
	}
	return all, nil
}

// fitSeries returns the series of a variant with their fitted lines. costs is indexed by size and run.
func (v controlVariant) fitSeries(sizes []int, costs [][]controlCost) []Series {
	series := v.series()
	for n := range series {
		for k, workers := range sizes {
			var runs []float64
			for _, cost := range costs[k] {
				runs = append(runs, cost.values()[n])
			}
			series[n].addPoint(workers, runs)
		}
		series[n].fit()
	}
	return series
}

// values returns the measured values in the order of controlVariant.series.
func (c controlCost) values() []float64 {
	values := []float64{c.startCPU, c.memory}
	for i := range controlRates {
		values = append(values, c.cpu[i], c.traffic[i])
	}
	return values
}

// controlRunsPerSize returns the number of runs at each size. It is smaller than runsPerSize because the runs of
// processes take most of the tool's time.
func (p plan) controlRunsPerSize() int {
	if p.short {
		return 1
	}
	return 2
}

// controlDuration returns the time for which a process is measured at each rate.
func (p plan) controlDuration() time.Duration {
	if p.short {
		return shortControlDuration
	}
	return longControlDuration
}

// runControl runs a scheduler process with a number of hollow workers and returns its cost. operator is the text of
// the operator's configuration file, empty for none.
func runControl(ctx context.Context, p plan, operator string, workers int) (cost controlCost, err error) {
	testFleet, err := fleet.New(fleet.Options{
		Topology:     controlTopology(),
		Program:      p.program,
		Admin:        true,
		OperatorFile: operator,
	})
	if err != nil {
		return cost, err
	}
	defer testFleet.Close()
	announceHollowWorkers(testFleet.Discovery, 0, workers)
	process := testFleet.Processes[0]
	if err := process.Start(); err != nil {
		return cost, err
	}
	if err := awaitWorkerCount(ctx, process, workers); err != nil {
		return cost, err
	}
	proc, err := procfs.NewProc(process.ID())
	if err != nil {
		return cost, err
	}
	stat, err := proc.Stat()
	if err != nil {
		return cost, err
	}
	cost.startCPU = stat.CPUTime()
	for _, rate := range controlRates {
		before, err := sampleProcess(proc, testFleet.Links[0])
		if err != nil {
			return cost, err
		}
		if workers, err = addWorkersAtRate(ctx, testFleet.Discovery, workers, rate, p.controlDuration()); err != nil {
			return cost, err
		}
		after, err := sampleProcess(proc, testFleet.Links[0])
		if err != nil {
			return cost, err
		}
		cost.add(before, after)
		if err := awaitWorkerCount(ctx, process, workers); err != nil { // wait until every change is in force
			return cost, err
		}
	}
	return cost, nil
}

// add adds the cost at one rate, from the samples before and after the measurement.
func (c *controlCost) add(before, after processSample) {
	elapsedSeconds := after.at.Sub(before.at).Seconds()
	c.cpu = append(c.cpu, percent*(after.cpu-before.cpu)/elapsedSeconds)
	c.traffic = append(c.traffic, float64(after.bytes-before.bytes)/elapsedSeconds)
	c.memory = max(c.memory, after.memory)
}

// controlTopology returns a topology of one scheduler with the target's teams and zones, and without workers.
func controlTopology() lab.Topology {
	topology := lab.Topology{Schedulers: 1, Sockets: processSockets}
	for i := range TargetTeams {
		topology.Tenants = append(topology.Tenants, lab.Tenant{Name: teamName(i), QuotaFraction: 1.0 / TargetTeams})
	}
	for i := range TargetZones {
		topology.Zones = append(topology.Zones, zoneName(i))
	}
	for i := range assumedKinds {
		topology.Kinds = append(topology.Kinds, lab.WorkerKind{Name: kindName(i), Slots: 4, Speed: 1})
	}
	topology.Classes = []lab.Class{{
		Name:             "light",
		Effect:           "idempotent",
		ServiceTime:      time.Second,
		JobFraction:      1,
		LatencyObjective: controlLatencyObjective,
		Deadline:         5 * time.Second,
	}}
	return topology
}

// addWorkersAtRate adds workers to the endpoint list at a rate per second, and returns the number of workers at the
// end. workers is the number before.
func addWorkersAtRate(
	ctx context.Context, discovery *standin.Discovery, workers int, rate float64, duration time.Duration,
) (int, error) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for end := time.After(duration); ; {
		select {
		case <-ticker.C:
			announceHollowWorkers(discovery, workers, 1)
			workers++
		case <-end:
			return workers, nil
		case <-ctx.Done():
			return workers, ctx.Err()
		}
	}
}
