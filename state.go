package foxlift

// The state of a Dispatcher, on which its decisions are based, and the types that hold it.
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
	fleetScale         float64    // dispatchers divided by fewDispatchersMax, at least 1
	tickInterval       int64      // nanoseconds between ticks, which check queued and overdue jobs
	hasRepeatableClass bool       // some class allows a job to run more than once

	now     int64
	timing  timing
	actions []Action // the result of the current step

	jobs          jobTable
	classes       []class
	tenants       []tenant // the last is for jobs of unknown tenants
	rate          admission.RateController
	quotas        *admission.Allocator
	dispatchRound int64 // number of the current round of dispatch

	fleetIndex           // the workers, by ID and by state
	free       freeLists // the workers that may get a job
	keys       affinityState
	capacity   fleetCapacity
	endpoints  endpointState
	exchange   peerExchange
}

// A timing holds the time of the first step and of the next tick and run of the control loops.
type timing struct {
	startedAt     int64 // time of the first step; -1 before it
	nextTickAt    int64
	nextControlAt int64 // next run of the control loops
}

// A jobTable holds the jobs by ID and by what they wait for.
type jobTable struct {
	byID                map[uint64]*job
	inFlight            []*attempt
	unstarted           int     // at-most-once attempts not started, without those whose worker may hang
	retryQueue          []*job  // jobs that wait for another attempt
	hedgeBudget         float64 // hedges of overdue jobs that may be sent now
	awaitingHealthCheck []*job  // waiting for health checks of workers
	urgent              []*job  // arrived just before their deadline, or too late to meet their objective
}

// A fleetCapacity holds the estimates of the fleet's capacity, and the slots in use.
type fleetCapacity struct {
	inFlightSlots float64 // slots of this dispatcher's jobs in flight
	externalSlots float64 // slots of jobs that the host sent past this dispatcher
	startWindow   capacity.StartWindow
	startDelays   capacity.StartDelays
	reports       capacity.Reports
	recentReports recentReports
	slowStart     health.SlowStart
}

// An affinityState holds the index of workers by affinity key, and the keys of recent jobs.
type affinityState struct {
	index  *affinity.Indexes[*worker]
	keyLog affinity.KeyLog // keys of the last jobs
}

// An endpointState holds the schedule of polls for the endpoint list, and its lease.
type endpointState struct {
	poll   membership.PollSchedule
	lease  membership.Lease
	events int64 // number of endpoint events that carried a list or a change
}

// New returns a Dispatcher for cfg, or an error that names the invalid field of cfg. All randomness
// comes from seed.
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

// newFleetCapacity returns the initial estimates for a fleet. minObjective is the shortest latency objective
// of any class in nanoseconds; meanLimit is the assumed concurrency limit of a worker in slots.
func newFleetCapacity(cfg *Config, fleetScale, minObjective, meanLimit float64) fleetCapacity {
	newWorkerLimit := cfg.OverloadMultiple * cfg.SlowStartCapacity * meanLimit // slots that overload a new worker
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

// occupiedSlots returns the slots of all jobs in flight, which the start window bounds. Jobs that the host
// sent past this dispatcher count too: a process that has just taken over has few jobs of its own.
func (d *Dispatcher) occupiedSlots() float64 {
	return d.capacity.inFlightSlots + d.capacity.externalSlots
}

// Idle reports whether the dispatcher has no job and counts nothing in flight, which must hold once every
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
