package fleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// A Keyed is a trial: few schedulers, workers in groups that drop repeats of a job with an idempotency key for a
// time, and connections that are reset or fall silent amid the jobs, one after another.
type KeyedTrial struct {
	Program       string
	Faults        int
	Seed          uint64
	FaultInterval time.Duration // between two faults

	// Faults of the deployment itself, for which the judge must fail.
	ShortWindow bool // groups drop repeats for less than the settings say
	NoGroups    bool // each worker is a group of its own, and discovery says that all are one
}

// DefaultKeyed is the trial that the operators' page speaks of.
var DefaultKeyedTrial = KeyedTrial{Program: "bin/foxlift", Faults: 1000, Seed: 1, FaultInterval: 15 * time.Millisecond}

// A KeyedResult is what a trial saw.
type KeyedResult struct {
	Resets, Blocks                    int
	Tally                             standin.Tally
	Attempts                          int64 // attempts
	WithheldAttempts                  int64 // repeats that no rule allowed
	DuplicateJobs                     int   // deduplicated jobs that ran twice, on any workers
	MessagesReceived, MessagesDropped int64 // messages between schedulers
	CleanExit                         bool  // all schedulers ended well after SIGTERM
}

// Line is the result in one line.
func (r KeyedResult) Line() string {
	served := 100 * float64(r.Tally.Served+r.Tally.Late) / float64(max(1, r.Tally.Sent))
	return fmt.Sprintf("keyed: resets %d, silences %d, jobs %d, claims %d, withheld %d, served %.1f %%, "+
		"messages heard %d, dropped %d, jobs lost %d, ran twice %d",
		r.Resets, r.Blocks, r.Tally.Sent, r.Attempts, r.WithheldAttempts, served,
		r.MessagesReceived, r.MessagesDropped, r.Tally.Lost, r.DuplicateJobs)
}

// OK reports whether what must never happen did not, and there was something to see: jobs
// that were sent again.
func (r KeyedResult) OK() bool {
	return r.DuplicateJobs == 0 && r.Tally.Lost == 0 && r.CleanExit && r.Attempts > int64(r.Tally.Sent) && r.MessagesReceived > 0
}

// The trial's faults of connections and of messages.
const (
	minBlockTime        = 50 * time.Millisecond
	blockTimeRange      = 300 // milliseconds
	lostPercent         = 5
	duplicatedPercent   = 5
	corruptedPercent    = 2
	maxMessageDelay     = 20 * time.Millisecond
	keyedStartTimeout   = 20 * time.Second
	keyedLoadFraction   = 0.4 // of the fleet's capacity
	keyedFaultRNGStream = 3   // stream of the seed's random numbers
	tooShortWindow      = time.Millisecond
)

// keyedWorld is a small deployment: one data centre, two kinds of worker, load reports, messages.
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

// Run plays the trial.
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

// fleet makes the trial's fleet, with the faults of its deployment.
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

// announceOneGroup has discovery, and each process's cached list, say that all workers are of one group.
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

// disturb resets connections and silences links, one fault after another, and counts them.
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
