package fleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// A Keyed is a trial: few schedulers, nodes in pods that drop repeats of a keyed job for a
// time, and connections that are reset or fall silent amid the jobs, one after another.
type Keyed struct {
	Program string
	Faults  int
	Seed    uint64
	Every   time.Duration // between two faults

	// Faults of the deployment itself, for which the judge must fail.
	ShortWindow bool // pods drop repeats for less than the settings say
	NoGroups      bool // each node is a pod of its own, and discovery says that all are one
}

// DefaultKeyed is the trial that the operators' page speaks of.
var DefaultKeyed = Keyed{Program: "bin/foxlift", Faults: 1000, Seed: 1, Every: 15 * time.Millisecond}

// A KeyedResult is what a trial saw.
type KeyedResult struct {
	Resets, Silences  int
	Tally             standin.Tally
	Sent              int64 // claims
	Withheld          int64 // repeats that no rule allowed
	Twice             int   // keyed jobs that ran twice, on any nodes
	Received, Dropped int64 // messages between schedulers
	Ended             bool
}

// Line is the result in one line.
func (r KeyedResult) Line() string {
	return fmt.Sprintf("keyed: resets %d, silences %d, jobs %d, claims %d, withheld %d, served %.1f %%, messages heard %d, dropped %d, jobs lost %d, ran twice %d",
		r.Resets, r.Silences, r.Tally.Sent, r.Sent, r.Withheld, 100*float64(r.Tally.Served+r.Tally.Late)/float64(max(1, r.Tally.Sent)),
		r.Received, r.Dropped, r.Tally.Lost, r.Twice)
}

// OK reports whether what must never happen did not, and there was something to see: jobs
// that were sent again.
func (r KeyedResult) OK() bool {
	return r.Twice == 0 && r.Tally.Lost == 0 && r.Ended && r.Sent > int64(r.Tally.Sent) && r.Received > 0
}

// keyedWorld is a small deployment: one data centre, two kinds of node, reports, messages.
func keyedWorld() lab.Topology {
	return lab.Topology{
		Schedulers: 2, Sockets: 384, Zones: []string{"centre"}, Groups: 2, DedupWindow: 1500 * time.Millisecond, LoadReports: true, Gossip: true,
		Kinds:   []lab.WorkerKind{{Name: "fast", Count: 4, Slots: 2, Speed: 1}, {Name: "slow", Count: 4, Slots: 2, Speed: 0.7}},
		Tenants: []lab.Tenant{{Name: "north", QuotaFraction: 0.6}, {Name: "south", QuotaFraction: 0.4}},
		Classes: []lab.Class{
			{Name: "render", Effect: "idempotent", ServiceTime: 40 * time.Millisecond, JobFraction: 0.5, LatencyObjective: 200 * time.Millisecond, Deadline: 4 * time.Second},
			{Name: "publish", Effect: "deduplicated", ServiceTime: 80 * time.Millisecond, JobFraction: 0.5, LatencyObjective: 300 * time.Millisecond, Deadline: 4 * time.Second},
		},
	}
}

// Run plays the trial.
func (o Keyed) Run(w io.Writer) (r KeyedResult, err error) {
	options := Options{Topology: keyedWorld(), Program: o.Program, Price: standin.Price{Call: time.Millisecond, Patience: time.Second}, WorkerLinks: true}
	if o.ShortWindow {
		options.GroupWindow = time.Millisecond
	}
	if o.NoGroups {
		options.Groups = 8
	}
	f, err := New(options)
	if err != nil {
		return r, err
	}
	defer f.Close()
	if o.NoGroups {
		for _, p := range f.groups {
			p.Number = 0
		}
		for _, n := range f.Workers() {
			f.Discovery.Put(n, "active")
		}
		for i := range f.Processes {
			if err := f.Configure(i, f.Discovery.KnownAt(f.dial(i))); err != nil {
				return r, err
			}
		}
	}
	f.Messaging.Corrupt(5, 5, 2, 20*time.Millisecond)
	if err := f.StartAll(20 * time.Second); err != nil {
		return r, err
	}
	load := f.StartLoad("keyed", 0.4*f.Capacity(), o.Seed)
	rng, nodes := rand.New(rand.NewPCG(o.Seed, 3)), f.Workers()
	for range o.Faults {
		<-time.After(o.Every)
		l := f.WorkerLink(rng.IntN(len(f.Processes)), nodes[rng.IntN(len(nodes))])
		if l == nil {
			continue
		}
		if rng.IntN(2) == 0 {
			l.Reset()
			r.Resets++
			continue
		}
		r.Silences++
		l.Silence(Direction(rng.IntN(2)))
		time.AfterFunc(time.Duration(50+rng.IntN(300))*time.Millisecond, l.Heal)
	}
	r.Tally = load.Stop()
	r.Ended = true
	if err := f.TerminateAll(); err != nil {
		r.Ended = false
		fmt.Fprintln(w, err)
	}
	r.Sent, r.Withheld = f.Counter("claims.sent"), f.Counter("claims.withheld")
	r.Received = f.Counter("peers.heard")
	r.Dropped = f.Counter("peers.garbled") + f.Counter("peers.doubled") + f.Counter("peers.late")
	r.Twice = len(f.Twice())
	return r, nil
}
