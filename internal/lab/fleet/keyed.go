package fleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// KeyedTrial is a trial of jobs with idempotency keys: few schedulers, and workers in groups that drop
// repeats of such a job within a time window. Connections are reset or blocked during the jobs, one
// after another.
type KeyedTrial struct {
	Program       string
	Faults        int // one for which the process has no link to the worker yet is skipped
	Seed          uint64
	FaultInterval time.Duration // between two faults

	// Faults of the deployment itself, with which the trial must fail.
	ShortWindow bool // groups drop repeats for a shorter time than the settings say
	NoGroups    bool // each worker is its own group, while discovery reports one group for all
}

// DefaultKeyedTrial is the trial that the operator documentation describes.
var DefaultKeyedTrial = KeyedTrial{Program: "bin/foxlift", Faults: 1000, Seed: 1, FaultInterval: 15 * time.Millisecond}

// KeyedResult holds the observations of a trial.
type KeyedResult struct {
	Resets, Blocks                    int
	Tally                             standin.Tally
	Attempts                          int64
	WithheldAttempts                  int64 // repeats that the scheduler did not send because no rule allowed them
	DuplicateJobs                     int   // deduplicated jobs that ran more than once, on any workers
	MessagesReceived, MessagesDropped int64 // messages between schedulers
	CleanExit                         bool  // all schedulers exited with code 0 after SIGTERM
}

// Line returns the result as one line.
func (r KeyedResult) Line() string {
	served := 100 * float64(r.Tally.Served+r.Tally.Late) / float64(max(1, r.Tally.Sent))
	return fmt.Sprintf("keyed: resets %d, blocked links %d, jobs %d, attempts %d, withheld %d, served %.1f %%, "+
		"messages received %d, dropped %d, jobs lost %d, ran more than once %d",
		r.Resets, r.Blocks, r.Tally.Sent, r.Attempts, r.WithheldAttempts, served,
		r.MessagesReceived, r.MessagesDropped, r.Tally.Lost, r.DuplicateJobs)
}

// OK reports whether the trial passed: no job was lost, no deduplicated job ran more than once, all
// schedulers exited with code 0, there were more attempts than jobs, because the faults caused further
// attempts, and messages were received.
func (r KeyedResult) OK() bool {
	return r.DuplicateJobs == 0 && r.Tally.Lost == 0 && r.CleanExit &&
		r.Attempts > int64(r.Tally.Sent) && r.MessagesReceived > 0
}

// The faults that the trial injects into connections and messages.
const (
	minBlockTime        = 50 * time.Millisecond
	blockTimeRange      = 300 // in milliseconds, added to minBlockTime
	lostPercent         = 5
	duplicatedPercent   = 5
	corruptedPercent    = 2
	maxMessageDelay     = 20 * time.Millisecond
	keyedStartTimeout   = 20 * time.Second
	keyedLoadFraction   = 0.4 // of the fleet's capacity
	keyedFaultRNGStream = 3   // of the seed's random numbers
	tooShortWindow      = time.Millisecond
)

// keyedTopology returns a small deployment: one data centre, two kinds of worker, load reports, and
// messages between the schedulers.
func keyedTopology() lab.Topology {
	return lab.Topology{
		Schedulers:  2,
		Sockets:     384,
		Zones:       []string{"centre"},
		DedupGroups: 2,
		DedupWindow: 1500 * time.Millisecond,
		LoadReports: true,
		Gossip:      true,
		Kinds: []lab.WorkerKind{
			{Name: "fast", Count: 4, Slots: 2, Speed: 1},
			{Name: "slow", Count: 4, Slots: 2, Speed: 0.7},
		},
		Tenants: []lab.Tenant{
			{Name: "north", QuotaFraction: 0.6},
			{Name: "south", QuotaFraction: 0.4},
		},
		Classes: []lab.Class{
			{
				Name:             "render",
				Effect:           "idempotent",
				ServiceTime:      40 * time.Millisecond,
				JobFraction:      0.5,
				LatencyObjective: 200 * time.Millisecond,
				Deadline:         4 * time.Second,
			},
			{
				Name:             "publish",
				Effect:           "deduplicated",
				ServiceTime:      80 * time.Millisecond,
				JobFraction:      0.5,
				LatencyObjective: 300 * time.Millisecond,
				Deadline:         4 * time.Second,
			},
		},
	}
}

// Run runs the trial and writes errors of exiting schedulers to w. A trial that does not pass is no error:
// Run fails only if the fleet cannot be created or started.
func (o KeyedTrial) Run(w io.Writer) (r KeyedResult, err error) {
	f, err := o.fleet()
	if err != nil {
		return r, err
	}
	defer f.Close()
	f.Messaging.SetFaults(lostPercent, duplicatedPercent, corruptedPercent, maxMessageDelay)
	if err := f.StartAll(keyedStartTimeout); err != nil {
		return r, err
	}
	load := f.StartLoad("keyed", keyedLoadFraction*f.Capacity(), o.Seed)
	o.injectFaults(f, &r)
	r.Tally = load.Stop()
	r.CleanExit = true
	if err := f.TerminateAll(); err != nil {
		r.CleanExit = false
		fmt.Fprintln(w, err)
	}
	r.Attempts, r.WithheldAttempts = f.Counter("claims.sent"), f.Counter("claims.withheld")
	r.MessagesReceived = f.Counter("peers.heard")
	r.MessagesDropped = f.Counter("peers.garbled") + f.Counter("peers.doubled") + f.Counter("peers.late")
	r.DuplicateJobs = len(f.DuplicateJobs())
	return r, nil
}

// fleet creates the trial's fleet, including the faults of its deployment.
func (o KeyedTrial) fleet() (*Fleet, error) {
	options := Options{
		Topology:    keyedTopology(),
		Program:     o.Program,
		CallCost:    standin.CallCost{PerCall: time.Millisecond, MaxWait: time.Second},
		WorkerLinks: true,
	}
	if o.ShortWindow {
		options.GroupWindow = tooShortWindow
	}
	if !o.NoGroups {
		return New(options)
	}
	options.DedupGroups = 8
	f, err := New(options)
	if err != nil {
		return nil, err
	}
	if err := f.announceOneGroup(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// announceOneGroup makes discovery and the cached list of each process report all workers as members
// of one group.
func (f *Fleet) announceOneGroup() error {
	for _, group := range f.groups {
		group.Number = 0
	}
	for _, worker := range f.Workers() {
		f.Discovery.Put(worker, standin.Active)
	}
	for i := range f.Processes {
		if err := f.Configure(i, f.Discovery.ViewListJSON(f.workerAddrs(i))); err != nil {
			return err
		}
	}
	return nil
}

// injectFaults resets or blocks random links, one after another, and counts the faults.
func (o KeyedTrial) injectFaults(f *Fleet, r *KeyedResult) {
	rng, workers := rand.New(rand.NewPCG(o.Seed, keyedFaultRNGStream)), f.Workers()
	for range o.Faults {
		<-time.After(o.FaultInterval)
		link := f.WorkerLink(rng.IntN(len(f.Processes)), workers[rng.IntN(len(workers))])
		if link == nil {
			continue
		}
		if rng.IntN(2) == 0 {
			link.Reset()
			r.Resets++
			continue
		}
		r.Blocks++
		link.Block(Direction(rng.IntN(2)))
		time.AfterFunc(minBlockTime+time.Duration(rng.IntN(blockTimeRange))*time.Millisecond, link.Heal)
	}
}
