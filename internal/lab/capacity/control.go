package capacity

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sync/errgroup"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/lab/fleet"
	"github.com/vatu-meals/foxlift/internal/lab/service"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// A real scheduler process without a job, but with the list and its changes: what control alone costs.

// controlRates are changes of the list in a second: those of an ordinary day and of a bad hour.
var controlRates = []float64{0.2, 5}

const (
	controlDuration         = 30 * time.Second // that a process is watched at each rate
	controlDurationShort    = 3 * time.Second
	propagationTimeout      = 30 * time.Second // for the list, or the last change, to be in force
	propagationPollInterval = 50 * time.Millisecond
	controlLatencyObjective = 100 * time.Millisecond // the module looks at its clock eight times in that
	unusedAddr              = "127.0.0.1:9"          // nothing is ever sent there
)

// hollowDiscovery starts a discovery with so many workers behind which there is nothing.
func hollowDiscovery(workers int) (*standin.Discovery, error) {
	d, err := standin.StartDiscovery()
	if err != nil {
		return nil, err
	}
	announceHollowWorkers(d, 0, workers)
	return d, nil
}

// announceHollowWorkers tells of hollow workers from one number on.
func announceHollowWorkers(d *standin.Discovery, from, count int) {
	entries := make([]standin.Entry, count)
	for i := range entries {
		w := hollowWorker(from + i)
		entries[i] = standin.Entry{
			Host: w.ID, Dial: unusedAddr, Zone: fmt.Sprintf("zone-%02d", w.Zone), Kind: fmt.Sprintf("kind-%d", w.Kind),
			Health: "active", StartedAt: hollowStartedAt,
		}
	}
	d.Announce(entries...)
}

// hollowStartedAt is when the hollow workers started: long ago, as long as any other time to write.
var hollowStartedAt = time.UnixMilli(1_790_000_000_000)

// endpointsBytes returns the length of the whole list in bytes.
func endpointsBytes(workers int) (int, error) {
	d, err := hollowDiscovery(workers)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	return len(d.Known()), nil
}

// A controlled is what one process cost.
type controlCost struct {
	startCPU float64   // seconds of processor time until the list was in force
	memory   float64   // bytes resident at the end, the most of both rates
	cpu      []float64 // percent of a core, by rate
	traffic  []float64 // bytes a second from and to discovery, by rate
}

// checkpointOperator is an operator's file that has the list kept.
const checkpointOperator = `(foxlift (list (checkpoint "%s")))`

// A variant is a way to run the process, with the names of its series.
type variant struct {
	prefix, operator string
}

var variants = []variant{{"control", ""}, {"keeping", checkpointOperator}}

// series returns the empty series of a variant.
func (v variant) series() []Series {
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

// controlProcesses is how many processes measureControl runs at a time.
func controlProcesses(p plan) int { return len(variants) * len(p.sizes(controlSizes...)) }

// controlSizes are the workers of the lists that processes follow.
var controlSizes = []int{190, 600, 1900, 6000, TargetWorkers}

// measureControl measures a process of the program at each number of workers, with and without a list
// that is kept.
func measureControl(ctx context.Context, p plan) (all []Series, err error) {
	sizes := p.sizes(controlSizes...)
	results := make([][][]controlCost, len(variants)) // by variant, size and run
	for i := range results {
		results[i] = make([][]controlCost, len(sizes))
	}
	for range p.controlRuns() { // all at once: each takes a few hundredths of a core
		group, ctx := errgroup.WithContext(ctx)
		for i, v := range variants {
			for k, workers := range sizes {
				group.Go(func() error {
					c, err := runControl(ctx, p, v.operator, workers)
					if err != nil {
						return fmt.Errorf("%s at %d workers: %w", v.prefix, workers, err)
					}
					results[i][k] = append(results[i][k], c)
					return nil
				})
			}
		}
		if err := group.Wait(); err != nil {
			return nil, err
		}
	}
	for i, v := range variants {
		series := v.series()
		for n := range series {
			for k, workers := range sizes {
				var runs []float64
				for _, c := range results[i][k] {
					runs = append(runs, c.values()[n])
				}
				series[n].addPoint(workers, runs)
			}
			series[n].fit()
		}
		all = append(all, series...)
	}
	return all, nil
}

// values returns what was measured in the order of the series.
func (c controlCost) values() []float64 {
	values := []float64{c.startCPU, c.memory}
	for i := range controlRates {
		values = append(values, c.cpu[i], c.traffic[i])
	}
	return values
}

// controlRuns is how often each size is run: a run of a process takes most of the tool's time.
func (p plan) controlRuns() int {
	if p.short {
		return 1
	}
	return 2
}

// runControl runs one process with so many hollow workers.
func runControl(ctx context.Context, p plan, operator string, workers int) (c controlCost, err error) {
	f, err := fleet.New(fleet.Options{Topology: controlTopology(), Program: p.program, Admin: true, Operator: operator})
	if err != nil {
		return c, err
	}
	defer f.Close()
	announceHollowWorkers(f.Discovery, 0, workers)
	process := f.Processes[0]
	if err := process.Start(); err != nil {
		return c, err
	}
	if err := awaitWorkerCount(ctx, process, workers); err != nil {
		return c, err
	}
	proc, err := procfs.NewProc(process.ID())
	if err != nil {
		return c, err
	}
	stat, err := proc.Stat()
	if err != nil {
		return c, err
	}
	c.startCPU = stat.CPUTime()
	length := controlDuration
	if p.short {
		length = controlDurationShort
	}
	told := workers
	for _, rate := range controlRates {
		before, err := sampleProcess(proc, f.Links[0])
		if err != nil {
			return c, err
		}
		if told, err = addWorkersAtRate(ctx, f.Discovery, told, rate, length); err != nil {
			return c, err
		}
		after, err := sampleProcess(proc, f.Links[0])
		if err != nil {
			return c, err
		}
		seconds := after.at.Sub(before.at).Seconds()
		c.cpu = append(c.cpu, 100*(after.cpu-before.cpu)/seconds)
		c.traffic = append(c.traffic, float64(after.bytes-before.bytes)/seconds)
		c.memory = max(c.memory, after.memory)
		if err := awaitWorkerCount(ctx, process, told); err != nil { // every change is in force
			return c, err
		}
	}
	return c, nil
}

// controlTopology is a world of one scheduler with the design's teams and zones, and no node of its own.
func controlTopology() lab.Topology {
	w := lab.Topology{Schedulers: 1, Sockets: processSockets}
	for i := range TargetTeams {
		w.Tenants = append(w.Tenants, lab.Tenant{Name: fmt.Sprintf("team-%02d", i), QuotaFraction: 1.0 / TargetTeams})
	}
	for i := range TargetZones {
		w.Zones = append(w.Zones, fmt.Sprintf("zone-%02d", i))
	}
	for i := range assumedKinds {
		w.Kinds = append(w.Kinds, lab.WorkerKind{Name: fmt.Sprintf("kind-%d", i), Slots: 4, Speed: 1})
	}
	w.Classes = []lab.Class{{Name: "light", Effect: "idempotent", ServiceTime: time.Second, JobFraction: 1, LatencyObjective: controlLatencyObjective, Deadline: 5 * time.Second}}
	return w
}

// change adds workers to the list at a rate for some time, and returns how many there are then.
func addWorkersAtRate(ctx context.Context, d *standin.Discovery, workers int, rate float64, length time.Duration) (int, error) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for end := time.After(length); ; {
		select {
		case <-ticker.C:
			announceHollowWorkers(d, workers, 1)
			workers++
		case <-end:
			return workers, nil
		case <-ctx.Done():
			return workers, ctx.Err()
		}
	}
}

// A look is what a process has cost by a moment.
type processSample struct {
	at     time.Time
	cpu    float64 // seconds
	memory float64 // bytes
	bytes  int64   // on the link to discovery, both ways
}

func sampleProcess(proc procfs.Proc, link *fleet.Link) (processSample, error) {
	stat, err := proc.Stat()
	if err != nil {
		return processSample{}, err
	}
	return processSample{
		at: time.Now(), cpu: stat.CPUTime(), memory: float64(stat.ResidentMemory()),
		bytes: link.Carried(fleet.ToTarget) + link.Carried(fleet.FromTarget),
	}, nil
}

// errNotPropagated says that a process did not take in the list in time.
var errNotPropagated = errors.New("the list is not in force in time")

// awaitWorkerCount waits until a process knows so many workers.
func awaitWorkerCount(ctx context.Context, p *fleet.Process, workers int) error {
	var figures service.Figures
	var err error
	operators := service.Operators{Addr: p.Admin}
	for end := time.Now().Add(propagationTimeout); time.Now().Before(end); {
		if figures, err = operators.Stats(ctx); err == nil && int(figures.PoolSize) == workers {
			return nil
		}
		select {
		case <-p.Done():
			return fmt.Errorf("the scheduler ended: %s", strings.Join(p.Log(), "\n"))
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(propagationPollInterval):
		}
	}
	return fmt.Errorf("%w: %v of %d workers (%v)", errNotPropagated, figures.PoolSize, workers, err)
}
