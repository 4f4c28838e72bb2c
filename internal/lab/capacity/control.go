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
	controlTime      = 30 * time.Second // that a process is watched at each rate
	controlTimeShort = 3 * time.Second
	toldLimit        = 30 * time.Second // for the list, or the last change, to be in force
	toldPause        = 50 * time.Millisecond
	controlAim       = 100 * time.Millisecond // the module looks at its clock eight times in that
	hollowDial       = "127.0.0.1:9"          // nothing is ever sent there
)

// hollowDiscovery starts a discovery with so many workers behind which there is nothing.
func hollowDiscovery(workers int) (*standin.Discovery, error) {
	d, err := standin.StartDiscovery()
	if err != nil {
		return nil, err
	}
	tellHollow(d, 0, workers)
	return d, nil
}

// tellHollow tells of hollow workers from one number on.
func tellHollow(d *standin.Discovery, from, count int) {
	entries := make([]standin.Entry, count)
	for i := range entries {
		w := worker(from + i)
		entries[i] = standin.Entry{
			Host: w.ID, Dial: hollowDial, Zone: fmt.Sprintf("zone-%02d", w.Zone), Kind: fmt.Sprintf("kind-%d", w.Kind),
			Health: "active", Born: bornAt,
		}
	}
	d.Tell(entries...)
}

// bornAt is when the hollow workers started: long ago, as long as any other time to write.
var bornAt = time.UnixMilli(1_790_000_000_000)

// listBytes returns the length of the whole list in bytes.
func listBytes(workers int) (int, error) {
	d, err := hollowDiscovery(workers)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	return len(d.Known()), nil
}

// A controlled is what one process cost.
type controlled struct {
	start   float64   // seconds of processor time until the list was in force
	memory  float64   // bytes resident at the end, the most of both rates
	cpu     []float64 // percent of a core, by rate
	traffic []float64 // bytes a second from and to discovery, by rate
}

// keepingOperator is an operator's file that has the list kept.
const keepingOperator = `(foxlift (list (checkpoint "%s")))`

// A variant is a way to run the process, with the names of its series.
type variant struct {
	prefix, operator string
}

var variants = []variant{{"control", ""}, {"keeping", keepingOperator}}

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
	results := make([][][]controlled, len(variants)) // by variant, size and run
	for i := range results {
		results[i] = make([][]controlled, len(sizes))
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
func (c controlled) values() []float64 {
	values := []float64{c.start, c.memory}
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
func runControl(ctx context.Context, p plan, operator string, workers int) (c controlled, err error) {
	f, err := fleet.New(fleet.Options{Topology: controlWorld(), Program: p.program, Admin: true, Operator: operator})
	if err != nil {
		return c, err
	}
	defer f.Close()
	tellHollow(f.Discovery, 0, workers)
	process := f.Processes[0]
	if err := process.Start(); err != nil {
		return c, err
	}
	if err := awaitPool(ctx, process, workers); err != nil {
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
	c.start = stat.CPUTime()
	length := controlTime
	if p.short {
		length = controlTimeShort
	}
	told := workers
	for _, rate := range controlRates {
		before, err := lookAt(proc, f.Links[0])
		if err != nil {
			return c, err
		}
		if told, err = change(ctx, f.Discovery, told, rate, length); err != nil {
			return c, err
		}
		after, err := lookAt(proc, f.Links[0])
		if err != nil {
			return c, err
		}
		seconds := after.at.Sub(before.at).Seconds()
		c.cpu = append(c.cpu, 100*(after.cpu-before.cpu)/seconds)
		c.traffic = append(c.traffic, float64(after.bytes-before.bytes)/seconds)
		c.memory = max(c.memory, after.memory)
		if err := awaitPool(ctx, process, told); err != nil { // every change is in force
			return c, err
		}
	}
	return c, nil
}

// controlWorld is a world of one scheduler with the design's teams and zones, and no node of its own.
func controlWorld() lab.Topology {
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
	w.Classes = []lab.Class{{Name: "light", Effect: "idempotent", ServiceTime: time.Second, JobFraction: 1, LatencyObjective: controlAim, Deadline: 5 * time.Second}}
	return w
}

// change adds workers to the list at a rate for some time, and returns how many there are then.
func change(ctx context.Context, d *standin.Discovery, workers int, rate float64, length time.Duration) (int, error) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for end := time.After(length); ; {
		select {
		case <-ticker.C:
			tellHollow(d, workers, 1)
			workers++
		case <-end:
			return workers, nil
		case <-ctx.Done():
			return workers, ctx.Err()
		}
	}
}

// A look is what a process has cost by a moment.
type look struct {
	at     time.Time
	cpu    float64 // seconds
	memory float64 // bytes
	bytes  int64   // on the link to discovery, both ways
}

func lookAt(proc procfs.Proc, link *fleet.Link) (look, error) {
	stat, err := proc.Stat()
	if err != nil {
		return look{}, err
	}
	return look{
		at: time.Now(), cpu: stat.CPUTime(), memory: float64(stat.ResidentMemory()),
		bytes: link.Carried(fleet.There) + link.Carried(fleet.Back),
	}, nil
}

// errNotTold says that a process did not take in the list in time.
var errNotTold = errors.New("the list is not in force in time")

// awaitPool waits until a process knows so many workers.
func awaitPool(ctx context.Context, p *fleet.Process, workers int) error {
	var figures service.Figures
	var err error
	operators := service.Operators{Addr: p.Admin}
	for end := time.Now().Add(toldLimit); time.Now().Before(end); {
		if figures, err = operators.Stats(ctx); err == nil && int(figures.PoolSize) == workers {
			return nil
		}
		select {
		case <-p.Done():
			return fmt.Errorf("the scheduler ended: %s", strings.Join(p.Log(), "\n"))
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(toldPause):
		}
	}
	return fmt.Errorf("%w: %v of %d workers (%v)", errNotTold, figures.PoolSize, workers, err)
}
