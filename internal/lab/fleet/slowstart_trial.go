package fleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// SlowStartTrial is a trial in which all schedulers of a fleet start at once, under load, with an
// endpoint list from before a release that replaced a part of the workers. Discovery serves one call
// at a time.
type SlowStartTrial struct {
	Program           string
	Schedulers        int
	Workers           int
	Seed              uint64
	Duration          time.Duration // of the load
	LoadFraction      float64       // of the capacity that the fleet has after slow start
	ReplacedFraction  float64       // of the workers; they start with the trial and are not in the cached list
	RestartedFraction float64       // of the workers; they restart with the trial, which the cached list does not show
}

// DefaultSlowStartTrial is the trial that the operator documentation describes.
var DefaultSlowStartTrial = SlowStartTrial{
	Program: "bin/foxlift", Schedulers: 300, Workers: 200, Seed: 1, Duration: 30 * time.Second,
	LoadFraction: 0.4, ReplacedFraction: 0.5,
}

// SlowStartResult holds the observations of a trial.
type SlowStartResult struct {
	Schedulers                          int
	HalfInformedAfter, AllInformedAfter time.Duration // until half, and all, of the schedulers had the list; 0: never
	Informed                            int           // schedulers that had the list at the end
	MaxCallsPerSecond                   int           // to discovery
	DiscoveryCapacity                   float64       // complete lists per second
	RejectedCallsPercent                float64       // of the calls to discovery
	OverloadedWorkers                   int           // during slow start
	SendsToRemovedPercent               float64       // of the sends
	Tally                               standin.Tally
	DuplicateJobs                       int     // at-most-once jobs that ran more than once
	CleanExit                           bool    // all schedulers exited with code 0 after SIGTERM
	DiscoveryIdle                       bool    // discovery's queue became empty at the end: see becomesIdle
	FinalServedPercent                  float64 // in the last third of the trial
}

// Line returns the result as one line.
func (r SlowStartResult) Line() string {
	return fmt.Sprintf("coldstart: schedulers %d, lists at half in %.2f s, at all in %.2f s (%d), "+
		"calls per second at most %d of capacity %.0f, rejected %.1f %%, workers overloaded %d, "+
		"sends to removed workers %.1f %%, jobs lost %d, ran more than once %d, served %.1f %% (last third %.1f %%)",
		r.Schedulers, r.HalfInformedAfter.Seconds(), r.AllInformedAfter.Seconds(), r.Informed,
		r.MaxCallsPerSecond, r.DiscoveryCapacity, r.RejectedCallsPercent, r.OverloadedWorkers,
		r.SendsToRemovedPercent, r.Tally.Lost, r.DuplicateJobs, r.Tally.ServedPercent(), r.FinalServedPercent)
}

// OK reports whether the trial passed: no worker was overloaded, no job was lost, no at-most-once job ran
// more than once, all schedulers exited with code 0, and jobs were sent.
func (r SlowStartResult) OK() bool {
	return r.OverloadedWorkers == 0 && r.Tally.Lost == 0 && r.DuplicateJobs == 0 && r.CleanExit && r.Tally.Sent > 0
}

// The percentages of the workers by kind; the remaining workers are of the kind "old".
const (
	largePercent  = 28
	mediumPercent = 36
)

const (
	trialStartTimeout = 30 * time.Second
	shuffleRNGStream  = 11 // of the seed's random numbers
	trialReportCount  = 3  // progress reports during the load
)

// trialCallCost is the cost of calls to the trial's discovery.
var trialCallCost = standin.CallCost{
	PerCall: 2 * time.Millisecond,
	PerHost: 100 * time.Microsecond,
	MaxWait: 2 * time.Second,
}

// topology returns the trial's deployment: three kinds of worker and two classes, in the proportions
// of the platform's own deployment.
func (o SlowStartTrial) topology() lab.Topology {
	large := max(1, o.Workers*largePercent/100)
	medium := max(1, o.Workers*mediumPercent/100)
	return lab.Topology{
		Schedulers: o.Schedulers,
		Sockets:    512,
		Zones:      []string{"east", "west"},
		Kinds: []lab.WorkerKind{
			{Name: "large", Count: large, Slots: 4, Speed: 1.6},
			{Name: "medium", Count: medium, Slots: 3, Speed: 1},
			{Name: "old", Count: max(1, o.Workers-large-medium), Slots: 5, Speed: 0.6},
		},
		Tenants: []lab.Tenant{
			{Name: "north", QuotaFraction: 0.6},
			{Name: "south", QuotaFraction: 0.4},
		},
		Classes: []lab.Class{
			{
				Name:             "reading",
				Effect:           "idempotent",
				ServiceTime:      335 * time.Millisecond,
				JobFraction:      0.72,
				LatencyObjective: 500 * time.Millisecond,
				Deadline:         5 * time.Second,
			},
			{
				Name:             "ratify",
				Effect:           "at_most_once",
				ServiceTime:      2050 * time.Millisecond,
				JobFraction:      0.28,
				LatencyObjective: 2 * time.Second,
				Deadline:         25 * time.Second,
			},
		},
	}
}

// Run runs the trial and writes its progress, and the errors of exiting schedulers, to w. A trial that does
// not pass is no error: Run fails only if the fleet cannot be created or started or a worker not replaced.
func (o SlowStartTrial) Run(w io.Writer) (r SlowStartResult, err error) {
	f, err := New(Options{
		Topology: o.topology(),
		Program:  o.Program,
		CallCost: trialCallCost,
		SlowStart: &standin.SlowStart{
			InitialCapacity:  0.14,
			Duration:         24 * time.Second,
			OverloadMultiple: 3,
			OverloadWindow:   time.Second,
		},
	})
	if err != nil {
		return r, err
	}
	defer f.Close()
	if err := o.replaceWorkers(f); err != nil {
		return r, err
	}
	r.Schedulers, r.CleanExit = o.Schedulers, true
	r.DiscoveryCapacity = 1 / (trialCallCost.PerCall + time.Duration(o.Workers)*trialCallCost.PerHost).Seconds()
	startedAt := time.Now()
	load := f.StartLoad("cold", o.LoadFraction*f.Capacity(), o.Seed)
	if err := f.StartAll(trialStartTimeout); err != nil {
		close(load.stop)
		return r, err
	}
	fmt.Fprintf(w, "%d schedulers ready after %.1f s\n", o.Schedulers, time.Since(startedAt).Seconds())
	o.reportProgress(w, f, load, startedAt, &r)
	r.Tally = standin.Total(r.Tally, load.Stop())
	r.recordDiscovery(f, startedAt)
	if err := f.TerminateAll(); err != nil {
		r.CleanExit = false
		fmt.Fprintln(w, err)
	}
	r.SendsToRemovedPercent = percent(f.Counter("claims.unreachable"), f.Counter("claims.sent"))
	r.OverloadedWorkers, r.DuplicateJobs = f.OverloadedWorkers(), len(f.DuplicateJobs())
	return r, nil
}

// replaceWorkers replaces a random part of the workers and restarts another part.
func (o SlowStartTrial) replaceWorkers(f *Fleet) (err error) {
	rng := rand.New(rand.NewPCG(o.Seed, shuffleRNGStream))
	workers := f.Workers()
	rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	replaced := int(o.ReplacedFraction * float64(len(workers)))
	restarted := int(o.RestartedFraction * float64(len(workers)))
	for i, worker := range workers[:min(replaced+restarted, len(workers))] {
		if i < replaced {
			_, err = f.Replace(worker)
		} else {
			_, err = f.Restart(worker, "")
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// reportProgress writes progress reports until the trial's duration has passed, and adds up the tally.
func (o SlowStartTrial) reportProgress(w io.Writer, f *Fleet, load *Load, startedAt time.Time, r *SlowStartResult) {
	for i := range trialReportCount {
		<-time.After(time.Until(startedAt.Add(o.Duration * time.Duration(i+1) / trialReportCount)))
		tally := load.ResetTally()
		r.Tally = standin.Total(r.Tally, tally)
		r.FinalServedPercent = tally.ServedPercent()
		calls := f.Discovery.Calls()
		fmt.Fprintf(w, "%5.1f s: %d jobs, served %.1f %%, shed %d, late %d, failed %d; "+
			"discovery: %d calls, %d rejected, %d waiting\n",
			time.Since(startedAt).Seconds(), tally.Sent, tally.ServedPercent(), tally.Shed, tally.Late, tally.Failed,
			calls.Received, calls.Rejected, calls.Waiting)
	}
}

// recordDiscovery records when the schedulers had the list, and the load that this put on discovery.
func (r *SlowStartResult) recordDiscovery(f *Fleet, startedAt time.Time) {
	var informedAfter []time.Duration
	for _, p := range f.Processes {
		if respondedAt := f.Discovery.TakeFirstResponse(p.Name); !respondedAt.IsZero() {
			informedAfter = append(informedAfter, respondedAt.Sub(startedAt))
		}
	}
	slices.Sort(informedAfter)
	r.Informed = len(informedAfter)
	if half := (r.Schedulers+1)/2 - 1; half < len(informedAfter) {
		r.HalfInformedAfter = informedAfter[half]
	}
	if len(informedAfter) == r.Schedulers {
		r.AllInformedAfter = informedAfter[len(informedAfter)-1]
	}
	calls := f.Discovery.Calls()
	r.MaxCallsPerSecond = calls.MaxPerSecond
	r.RejectedCallsPercent = percent(int64(calls.Rejected), int64(calls.Received))
	r.DiscoveryIdle = becomesIdle(f.Discovery, r.Schedulers)
}

const idlePollInterval = time.Millisecond

// becomesIdle reports whether discovery's queue is empty now, or becomes empty by the time it has answered a number of
// further calls. A discovery that gets more calls than it can serve does not become idle. The caller passes one call
// for each scheduler: each may be polling just now.
func becomesIdle(d *standin.Discovery, calls int) bool {
	first := d.Calls()
	for now := first; now.Waiting > 0; now = d.Calls() {
		if now.Answered+now.Rejected-first.Answered-first.Rejected >= calls {
			return false
		}
		<-time.After(idlePollInterval)
	}
	return true
}

// percent returns part as a percentage of whole; 0 if whole is 0.
func percent(part, whole int64) float64 {
	return 100 * float64(part) / float64(max(1, whole))
}
