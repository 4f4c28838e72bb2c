package foxlift

// The state that the decisions are made on, and the containers that hold it.
// Nothing is decided here.

import (
	"math"
	"math/rand/v2"

	"github.com/vatu-meals/foxlift/internal/decision/admission"
	"github.com/vatu-meals/foxlift/internal/decision/affinity"
	"github.com/vatu-meals/foxlift/internal/decision/capacity"
	"github.com/vatu-meals/foxlift/internal/decision/health"
	"github.com/vatu-meals/foxlift/internal/decision/membership"
	"github.com/vatu-meals/foxlift/internal/slowstart"
)

// A Dispatcher makes the decisions of one scheduler. It sees only its own traffic.
type Dispatcher struct {
	cfg                Config
	rng                *rand.Rand // one source for all decisions, so that a seed fixes them
	fleetScale         float64    // how many times more dispatchers there are than a few
	tickInterval       int64      // between looks at what is queued and overdue
	hasRepeatableClass bool       // some class may be repeated

	now     int64
	timing  timing
	actions []Action // of this step

	jobs          jobTable
	classes       []class
	tenants       []tenant // the last is for jobs of no known tenant
	rate          admission.RateController
	quotas        *admission.Allocator
	dispatchRound int64 // number of this round of dispatch

	fleetIndex           // the workers, by what is asked of them
	free       freeLists // those that may get a job
	keys       affinityState
	capacity   fleetCapacity
	endpoints  endpointState
	exchange   peerExchange
}

// A timing is when a dispatcher looks at what depends on time alone.
type timing struct {
	startedAt     int64 // time of the first step; -1 before it
	nextTickAt    int64
	nextControlAt int64 // next run of the control loops
}

// A jobTable holds the jobs, by what they wait for.
type jobTable struct {
	byID                map[uint64]*job
	inFlight            []*attempt
	unstarted           int     // attempts that have not started, on workers that may be well
	retryQueue          []*job  // sent before, waiting to be sent again
	hedgeBudget         float64 // hedges of overdue jobs that may be sent
	awaitingHealthCheck []*job  // waiting for the load of some workers
	urgent              []*job  // came just before their deadline, or too late to be in time
}

// A fleetCapacity is what is learned of the capacity of the fleet, and what is in use of it.
type fleetCapacity struct {
	inFlightSlots float64 // slots of our jobs in flight,
	externalSlots float64 // and of those that the host sent past this dispatcher
	startWindow   capacity.StartWindow
	startDelays   capacity.StartDelays
	reports       capacity.Reports
	reported      recentReports
	slowStart     health.SlowStart
}

// An affinityState is where the affinity keys of jobs are.
type affinityState struct {
	index  *affinity.Indexes[*worker]
	keyLog affinity.KeyLog // of the last jobs
}

// An endpointState is how the endpoint list is kept up to date.
type endpointState struct {
	poll      membership.PollSchedule
	lease     membership.Lease
	events    int64     // number of list events
	accepting []*worker // that have accepted a job lately, and some that had
}

// New returns a Dispatcher for cfg, or an error naming the field that makes cfg
// impossible to run. All randomness comes from seed.
func New(cfg Config, seed uint64) (*Dispatcher, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), timing: timing{startedAt: -1},
		jobs:       jobTable{byID: map[uint64]*job{}, hedgeBudget: maxHedgeBudget},
		rate:       admission.NewRateController(cfg.Dispatchers, cfg.Index),
		fleetIndex: fleetIndex{workers: map[string]*worker{}},
		exchange:   newPeerExchange(&cfg, seed),
		endpoints: endpointState{
			poll: membership.NewPollSchedule(cfg.MaxPollInterval), lease: membership.NewLease(cfg.EndpointLease),
		},
	}
	if !cfg.MayRetryAfter {
		d.cfg.MaxRetryAfter = 0
	}
	minObjective, kinds := int64(math.MaxInt64), 0
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		d.classes = append(d.classes, newClass(c))
		d.hasRepeatableClass = d.hasRepeatableClass || c.Effect != AtMostOnce
		minObjective, kinds = min(minObjective, c.LatencyObjective), max(kinds, c.Kind+1)
	}
	d.tickInterval = max(minObjective/8, int64(1e6))
	d.free.byKind = make([][][]*worker, kinds+1)
	d.keys.index = affinity.NewIndexes[*worker](kinds)
	d.fleetScale = max(1, float64(cfg.Dispatchers)/fewDispatchersMax)
	d.capacity = newFleetCapacity(&cfg, d.fleetScale, float64(minObjective), d.limitSum.Mean())
	d.initTenants()
	return d, nil
}

// newFleetCapacity returns the capacity of a fleet of which nothing is known but the least latency
// objective of a class, and the slots that a worker counts at.
func newFleetCapacity(cfg *Config, fleetScale, minObjective, meanLimit float64) fleetCapacity {
	newWorkerLimit := cfg.OverloadMultiple * cfg.SlowStartCapacity * meanLimit // slots that a fresh worker bears
	slots := slowstart.NewSlots(cfg.OverloadWindow, cfg.Dispatchers, cfg.Index,
		newWorkerLimit*float64(cfg.OverloadWindow)/minObjective)
	return fleetCapacity{
		startWindow: capacity.NewStartWindow(fleetScale),
		reports:     capacity.NewReports(cfg.Gauges),
		slowStart: health.NewSlowStart(health.SlowStartConfig{
			Capacity: cfg.SlowStartCapacity, Duration: cfg.SlowStartDuration, OverloadMultiple: cfg.OverloadMultiple,
			MinObjective: minObjective, Slots: slots,
		}, health.NewWorkerRate(fleetScale)),
	}
}

// occupiedSlots is the slots of all jobs in flight that the start window bounds. What the host has sent past this
// dispatcher fills the fleet as well: a process that has just taken over has few jobs of its own.
func (d *Dispatcher) occupiedSlots() float64 {
	return d.capacity.inFlightSlots + d.capacity.externalSlots
}

// Idle reports whether the dispatcher has no job and counts nothing in flight: so it must be once every
// job is answered and every attempt has had its outcome.
func (d *Dispatcher) Idle() bool {
	if len(d.jobs.byID)+len(d.jobs.inFlight) > 0 || math.Abs(d.capacity.inFlightSlots) > 1e-6 {
		return false
	}
	for _, w := range d.workerOrder {
		if w.inFlightJobs != 0 || w.overdue != 0 || math.Abs(w.usedSlots-w.externalSlots-w.peerUsage.Slots) > 1e-6 {
			return false
		}
	}
	return true
}
