// Package soak plays faults that overlap in time against many real processes of the scheduler, drawn from a
// seed, and judges by what the stand-ins for workers, discovery and clients recorded (docs/operate/soak.md).
//
// A run owns its fleet, the schedule of faults and a record of what they did. The package's own mutants, deliberate
// faults of the scheduler, prove that the judge sees each kind of violation.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/lab/fleet"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// Options say what one run is made of.
type Options struct {
	Program       string // the scheduler's binary
	Schedulers    int
	Workers       int
	Seed          uint64
	Duration      time.Duration // how long faults begin
	JobsPerSecond float64       // jobs a second at each scheduler
}

// Default is the run that the operators' page speaks of.
var DefaultOptions = Options{Program: "bin/foxlift", Schedulers: 10, Workers: 10, Duration: 30 * time.Second, JobsPerSecond: 12}

// Violations counts broken rules, by the names of package guard, and exit codes that are not 0.
type Violations struct {
	Drain, Lost, Duplicate, Disconnected, Deadline, StartOverload, Exit int
}

// Sum returns all violations.
func (v Violations) Sum() int {
	return v.Drain + v.Lost + v.Duplicate + v.Disconnected + v.Deadline + v.StartOverload + v.Exit
}

// A Result is what a run, or several, saw.
type Result struct {
	Seeds, Processes    int
	Faults, Overlapping int
	Sends               int
	Tally               standin.Tally
	Violations          Violations
}

// Add adds another run's result.
func (r *Result) Add(o Result) {
	r.Seeds += o.Seeds
	r.Processes = max(r.Processes, o.Processes)
	r.Faults += o.Faults
	r.Overlapping += o.Overlapping
	r.Sends += o.Sends
	r.Tally = standin.Total(r.Tally, o.Tally)
	v, w := &r.Violations, o.Violations
	v.Drain += w.Drain
	v.Lost += w.Lost
	v.Duplicate += w.Duplicate
	v.Disconnected += w.Disconnected
	v.Deadline += w.Deadline
	v.StartOverload += w.StartOverload
	v.Exit += w.Exit
}

// Line is the result in one line.
func (r *Result) Line() string {
	v, t := r.Violations, r.Tally
	served := 100 * float64(t.Served+t.Late) / float64(max(1, t.Sent))
	return fmt.Sprintf("soak: seeds %d, processes %d, faults %d (overlapping %d), sends %d, violations %d "+
		"(drain %d, lost %d, duplicate %d, gone %d, deadline %d, slowstart %d, exit %d), served %.1f %%",
		r.Seeds, r.Processes, r.Faults, r.Overlapping, r.Sends, v.Sum(),
		v.Drain, v.Lost, v.Duplicate, v.Disconnected, v.Deadline, v.StartOverload, v.Exit, served)
}

const (
	readyTimeout = 30 * time.Second
	warmupTime   = 500 * time.Millisecond // of load before the first fault
	answerGrace  = 500 * time.Millisecond // past a job's time: its answer earns nothing, but is one
)

// world is the deployment: two zones, two kinds of worker, a class that may be repeated and one that may not.
func (o Options) topology() lab.Topology {
	return lab.Topology{
		Schedulers: o.Schedulers,
		Sockets:    512,
		Zones:      []string{"east", "west"},
		Kinds: []lab.WorkerKind{
			{Name: "large", Count: o.Workers / 2, Slots: 6, Speed: 1.5},
			{Name: "small", Count: o.Workers - o.Workers/2, Slots: 4, Speed: 1},
		},
		Tenants: []lab.Tenant{{Name: "all", QuotaFraction: 1}},
		Classes: []lab.Class{
			{
				Name:             "reading",
				Effect:           "idempotent",
				ServiceTime:      60 * time.Millisecond,
				JobFraction:      0.7,
				LatencyObjective: 500 * time.Millisecond,
				Deadline:         3 * time.Second,
			},
			{
				Name:             "ratify",
				Effect:           "at_most_once",
				ServiceTime:      250 * time.Millisecond,
				JobFraction:      0.3,
				LatencyObjective: 2 * time.Second,
				Deadline:         12 * time.Second,
			},
		},
	}
}

// A run is the run of one seed.
type run struct {
	Options
	fleet         *fleet.Fleet
	rng           *rand.Rand
	startedAt     time.Time
	faultRecord   *faultRecord
	disconnecting disconnectingClients

	logMu sync.Mutex // faults log from goroutines of their own
	log   io.Writer

	mu       sync.Mutex
	reserved map[string]bool // workers and processes under a fault that excludes others
	wait     sync.WaitGroup
}

// rngStream is the stream of a seed's random numbers that draws the faults.
const faultRNGStream = 17

// newRun makes the run of the options' seed on a fleet.
func (o Options) newRun(f *fleet.Fleet, log io.Writer) *run {
	return &run{
		Options:     o,
		fleet:       f,
		rng:         rand.New(rand.NewPCG(o.Seed, faultRNGStream)),
		log:         log,
		faultRecord: newFaultRecord(),
		reserved:    map[string]bool{},
	}
}

// Run plays one seed. What it sees broken is written to log, a line each.
func (o Options) Run(log io.Writer) (r Result, err error) {
	f, err := fleet.New(fleet.Options{
		Topology:    o.topology(),
		Program:     o.Program,
		WorkerLinks: true,
		CallCost: standin.CallCost{
			PerCall: time.Millisecond,
			PerHost: 50 * time.Microsecond,
			MaxWait: 2 * time.Second,
		},
		SlowStart: &standin.SlowStart{
			InitialCapacity:  0.2,
			Duration:         10 * time.Second,
			OverloadMultiple: 3,
			OverloadWindow:   time.Second,
		},
	})
	if err != nil {
		return r, err
	}
	defer f.Close()
	p := o.newRun(f, log)
	if err := f.StartAll(readyTimeout); err != nil {
		return r, err
	}
	allow := fleet.Tolerance{Grace: answerGrace, WasInterrupted: p.wasInterrupted}
	load := f.StartLoadWith("soak", o.JobsPerSecond*float64(o.Schedulers), o.Seed, allow)
	<-time.After(warmupTime)
	p.startedAt = time.Now()
	faults := p.drawFaults()
	p.injectFaults(faults)
	r.Tally = load.Stop()
	p.disconnecting.wait.Wait()
	p.terminateAll(&r.Violations)
	r.Seeds = 1
	r.Processes = o.Schedulers
	r.Faults = len(faults)
	r.Overlapping = overlapping(faults)
	p.countViolations(load, &r)
	return r, nil
}

// excuse says whether a job at a process is owed no answer, since the process was killed after it was sent.
func (p *run) wasInterrupted(i int) func(time.Time) bool {
	return func(sent time.Time) bool { return p.faultRecord.killedSince(i, sent) }
}

// terminateAll ends all processes with SIGTERM; each has to end with exit code 0.
func (p *run) terminateAll(v *Violations) {
	if err := p.fleet.TerminateAll(); err != nil {
		v.Exit += strings.Count(err.Error(), "exit status") + strings.Count(err.Error(), "signal:")
		p.logf("exit: %v", err)
	}
}

// logf writes one line to the run's log.
func (p *run) logf(format string, args ...any) {
	at := time.Since(p.startedAt).Seconds()
	p.logMu.Lock()
	defer p.logMu.Unlock()
	fmt.Fprintf(p.log, "seed %d, %6.2f s: %s\n", p.Seed, at, fmt.Sprintf(format, args...))
}
