// Package soak injects overlapping faults, drawn from a seed, into a fleet of many real scheduler processes, and
// checks the records of the stand-ins for workers, discovery and clients for violations (docs/operate/soak.md).
//
// A run owns its fleet, the schedule of faults and a record of their effects. The package's mutants, deliberate
// faults of the scheduler, prove that a soak detects each kind of violation.
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

// Options describe one run.
type Options struct {
	Program       string // path of the scheduler's binary
	Schedulers    int
	Workers       int
	Seed          uint64
	Duration      time.Duration // period in which faults begin
	JobsPerSecond float64       // for each scheduler
}

// DefaultOptions are those of the run that the operator documentation describes.
var DefaultOptions = Options{
	Program: "bin/foxlift", Schedulers: 10, Workers: 10, Duration: 30 * time.Second, JobsPerSecond: 12,
}

// Violations counts the violations of each rule, and the processes that exited with an error (Exit).
// Reports use the rule names of package guard, such as "gone" for Disconnected, and "slowstart" for
// StartOverload and "exit" for Exit, which guard does not check. Lost also counts valid jobs that were
// answered with 4xx.
type Violations struct {
	Drain, Lost, Duplicate, Disconnected, Deadline, StartOverload, Exit int
}

// Sum returns the total number of violations.
func (v Violations) Sum() int {
	return v.Drain + v.Lost + v.Duplicate + v.Disconnected + v.Deadline + v.StartOverload + v.Exit
}

// Result holds the observations of one run or several. Faults counts the faults that were drawn, and
// Overlapping those of them that overlap in time with another one; a fault whose target is reserved by
// another fault counts, but is not injected. Sends counts the job requests that workers have read.
type Result struct {
	Seeds, Processes    int
	Faults, Overlapping int
	Sends               int
	Tally               standin.Tally
	Violations          Violations
}

// Add adds the result of another run. Processes becomes the larger of the two numbers.
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

// Line returns the result as one line.
func (r *Result) Line() string {
	v, t := r.Violations, r.Tally
	served := 100 * float64(t.Served+t.Late) / float64(max(1, t.Sent))
	return fmt.Sprintf("soak: seeds %d, processes %d, faults %d (overlapping %d), sends %d, violations %d "+
		"(drain %d, lost %d, duplicate %d, gone %d, deadline %d, slowstart %d, exit %d), served %.1f %%",
		r.Seeds, r.Processes, r.Faults, r.Overlapping, r.Sends, v.Sum(),
		v.Drain, v.Lost, v.Duplicate, v.Disconnected, v.Deadline, v.StartOverload, v.Exit, served)
}

const (
	readyTimeout = 30 * time.Second       // until a started process must be ready
	warmupTime   = 500 * time.Millisecond // under load before the first fault
	answerGrace  = 500 * time.Millisecond // after the deadline; an answer then counts as received but not as served
)

// topology returns the deployment: two zones, two kinds of worker, an idempotent class and an
// at-most-once class.
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

// run is the state of one run with one seed.
type run struct {
	Options
	fleet         *fleet.Fleet
	rng           *rand.Rand
	startedAt     time.Time
	faultRecord   *faultRecord
	disconnecting disconnectingClients

	logMu sync.Mutex // faults log from their own goroutines
	log   io.Writer

	mu       sync.Mutex
	reserved map[string]bool // workers, processes and discovery, by the fault that excludes others there
	wait     sync.WaitGroup
}

// faultRNGStream selects the stream of the seed's random numbers that draws the faults.
const faultRNGStream = 17

// newRun creates a run with the options' seed on a fleet.
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

// Run runs one seed. It writes the violations to log, except overloads in slow start. A violation is no
// error: Run fails only if the fleet cannot be created or started.
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
	tolerance := fleet.Tolerance{Grace: answerGrace, WasInterrupted: p.wasInterrupted}
	load := f.StartLoadWith("soak", o.JobsPerSecond*float64(o.Schedulers), o.Seed, tolerance)
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

// wasInterrupted returns a function that reports whether the scheduler was killed after a job was sent;
// such a job need not be answered.
func (p *run) wasInterrupted(scheduler int) func(time.Time) bool {
	return func(sent time.Time) bool { return p.faultRecord.killedSince(scheduler, sent) }
}

// terminateAll ends all processes with SIGTERM and counts those that exit with a code other than 0 or
// by a signal.
func (p *run) terminateAll(v *Violations) {
	if err := p.fleet.TerminateAll(); err != nil {
		v.Exit += strings.Count(err.Error(), "exit status") + strings.Count(err.Error(), "signal:")
		p.logf("exit: %v", err)
	}
}

// logf writes one line with the seed and the time since the start of the run to the run's log.
func (p *run) logf(format string, args ...any) {
	at := time.Since(p.startedAt).Seconds()
	p.logMu.Lock()
	defer p.logMu.Unlock()
	fmt.Fprintf(p.log, "seed %d, %6.2f s: %s\n", p.Seed, at, fmt.Sprintf(format, args...))
}
