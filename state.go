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
	cfg                      Config
	rng                      *rand.Rand
	now                      int64
	fleetScale               float64 // how many times more dispatchers there are than a few
	startedAt                int64   // time of the first step; -1 before it
	tickInterval, nextTickAt int64   // between looks at what is held and overdue; the next of them
	nextControlAt            int64   // next run of the control loops
	actions                  []Action

	jobs                map[uint64]*job
	inFlight            []*attempt // in flight
	retryQueue          []*job     // sent before, waiting to be sent again
	hasRepeatableClass  bool       // some class may be repeated
	hedgeBudget         float64    // of overdue jobs that may be sent
	awaitingHealthCheck []*job     // waiting for news of some workers
	urgentJobs          []*job     // came just before their deadline, or too late to be in time

	classes       []class
	rate          admission.RateController
	exchange      peerExchange
	tenants       []tenant
	quotas        *admission.Allocator
	dispatchRound int64 // of dispatch

	workers     map[string]*worker
	workerOrder []*worker     // in the order first heard of
	freeWorkers [][][]*worker // by kind+1, then by own count: workers that may get a job
	freeLevels  int           // most levels of any kind
	viewBuffer  [][]*worker   // for freeAt
	liveWorkers []*worker     // the live ones, in the list's order
	fleetIndex
	affinity         *affinity.Indexes[*worker]
	recentKeys       affinity.KeyLog // of the last jobs
	inFlightSlots    float64         // slots of our jobs in flight,
	externalSlots    float64         // and of those that the host sent past this dispatcher
	unstarted        int             // attempts sent that have not started, on workers that may be well
	startWindow      capacity.StartWindow
	startDelays      capacity.StartDelays
	reports          capacity.Reports
	recentlyReported [4]*worker // the last that reported
	nextReported     int
	slowStart        health.SlowStart
	poll             membership.PollSchedule
	lease            membership.Lease
	acceptingWorkers []*worker // that have accepted a job lately
	endpointEvents   int64     // number of list events
}

// A job is a request that is held, in flight, or ended with attempts still out.
type job struct {
	id             uint64
	class          *class
	tenant         *tenant
	req            Request
	arrivedAt      int64
	firstAttemptAt int64 // when its client first asked, as far as its deadline tells
	objective      int64 // it should take no longer than this
	attempts       []*attempt
	inFlight       int      // attempts in flight
	mayHaveRun     *attempt // the first attempt that may have run
	ended, queued  bool
	healthChecks   int       // workers probed for it
	retryQueued    bool      // in resend
	stream         bool      // bound to a stream: no deadline any more
	blockedRound   int64     // the round of dispatch that found no worker for it
	affinity       []*worker // of its key, the nearest first,
	affinityPool   int       // of so many workers,
	affinityEvent  int64     // by the list event of this number
}

type attempt struct {
	job               *job
	worker            *worker
	number            int
	sentAt, startedAt int64
	index             int // in Dispatcher.out
	path              int // how it went: over a new connection 1, to another zone 2 more
	slots             float64
	done              bool
	mayHaveRun        bool // it ended, and may have run
	overdue           bool // not started in time, and counted so
	unstarted         bool // counted in Dispatcher.waits
	late              bool // entered the regulator at its limit
}

// New returns a Dispatcher for cfg, or an error naming the field that makes cfg
// impossible to run. All randomness comes from seed.
func New(cfg Config, seed uint64) (*Dispatcher, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), startedAt: -1,
		jobs: map[uint64]*job{}, workers: map[string]*worker{}, hedgeBudget: maxHedgeBudget,
		exchange: newPeerExchange(&cfg, seed), rate: admission.NewRateController(cfg.Dispatchers, cfg.Index),
		poll: membership.NewPollSchedule(cfg.MaxPollInterval), lease: membership.NewLease(cfg.EndpointLease),
	}
	if !cfg.MayRetryAfter {
		d.cfg.MaxRetryAfter = 0
	}
	aim, kinds := int64(math.MaxInt64), 0
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		d.classes = append(d.classes, newClass(c))
		d.hasRepeatableClass = d.hasRepeatableClass || c.Effect != AtMostOnce
		aim, kinds = min(aim, c.LatencyObjective), max(kinds, c.Kind+1)
	}
	d.tickInterval = max(aim/8, int64(1e6))
	d.freeWorkers, d.affinity = make([][][]*worker, kinds+1), affinity.NewIndexes[*worker](kinds)
	d.fleetScale = max(1, float64(cfg.Dispatchers)/smallFleetMax)
	d.startWindow, d.reports = capacity.NewStartWindow(d.fleetScale), capacity.NewReports(cfg.Gauges)
	bears := cfg.OverloadMultiple * cfg.SlowStartCapacity * d.learnedLimits.Mean() // slots, of a worker that has just started
	minObjective := float64(aim)
	slots := slowstart.NewSlots(cfg.OverloadWindow, cfg.Dispatchers, cfg.Index,
		bears*float64(cfg.OverloadWindow)/minObjective)
	d.slowStart = health.NewSlowStart(health.SlowStartConfig{
		Capacity: cfg.SlowStartCapacity, Duration: cfg.SlowStartDuration, OverloadMultiple: cfg.OverloadMultiple,
		MinObjective: minObjective, Slots: slots,
	}, health.NewWorkerRate(d.fleetScale))
	d.initTenants()
	return d, nil
}

func (d *Dispatcher) handle(e *Event) {
	switch e.Kind {
	case EventRequest:
		d.accept(&e.Request)
	case EventEndpoints:
		d.onEndpoints(e)
	case EventStarted:
		d.onStarted(e)
	case EventOutcome:
		d.onOutcome(e)
	case EventClientDisconnected:
		if j := d.jobs[e.ID]; j != nil && !j.ended {
			d.finish(j)
		}
	case EventHealthChecked:
		d.onHealthChecked(e)
	case EventMessage:
		d.onMessage(e.From, e.Data)
	case EventQuotas:
		d.onQuotas(e.Quotas)
	}
}

// onHealthChecked ends the wait of the jobs that were waiting for an answer.
func (d *Dispatcher) onHealthChecked(e *Event) {
	w := d.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Code == Served && e.HasLoad {
		d.recordLoad(w, e)
	}
	d.markPending(w) // it may have more slots than was known
	d.finishHealthChecks(func(j *job) bool { return true })
}

// attemptOf finds the attempt that an event is about, or nil.
func (d *Dispatcher) attemptOf(e *Event) *attempt {
	j := d.jobs[e.ID]
	if j == nil || e.Attempt < 0 || e.Attempt >= len(j.attempts) {
		return nil
	}
	return j.attempts[e.Attempt]
}

// updateMayHaveRun finds the first attempt that may have run, now that one is proved
// never to have.
func (d *Dispatcher) updateMayHaveRun(j *job) {
	j.mayHaveRun = nil
	for _, a := range j.attempts {
		if !a.done || a.mayHaveRun {
			j.mayHaveRun = a
			return
		}
	}
}

// remainingAttempts is how many more attempts a job may have.
func (d *Dispatcher) remainingAttempts(j *job) int {
	if d.cfg.MaxAttempts <= 0 {
		return math.MaxInt
	}
	return d.cfg.MaxAttempts - j.req.PriorAttempts - len(j.attempts)
}

// pathTo tells how an attempt goes to a worker now.
func (d *Dispatcher) pathTo(w *worker) (way int) {
	if d.needsConnection(w) {
		way++
	}
	if w.zone != d.cfg.Zone {
		way += 2
	}
	return way
}

// busy is the slots of all jobs in flight that the window bounds. What the host has sent past this
// dispatcher fills the fleet as well: a process that has just taken over has few jobs of its own.
func (d *Dispatcher) occupiedSlots() float64 { return d.inFlightSlots + d.externalSlots }

// dials reports whether the next job to a worker needs a new connection.
func (d *Dispatcher) needsConnection(w *worker) bool {
	return w.inFlightJobs >= w.connections || d.cfg.ConnIdle > 0 && d.now-w.connectionUsedAt > d.cfg.ConnIdle
}

// waited ends an attempt's wait for its start.
func (d *Dispatcher) recordStarted(a *attempt) {
	if a.unstarted {
		a.unstarted = false
		d.unstarted--
	}
}

// clearOverdue ends an attempt's being overdue.
func (a *attempt) clearOverdue() {
	if a.overdue {
		a.overdue = false
		a.worker.overdue--
	}
}

// forget drops a job that has ended once all its attempts have.
func (d *Dispatcher) forget(j *job) {
	if j.ended && j.inFlight == 0 {
		delete(d.jobs, j.id)
	}
}

// Idle reports whether the dispatcher holds no job and counts nothing in flight: so it
// must be once every job is answered and every attempt has had its outcome.
func (d *Dispatcher) Idle() bool {
	if len(d.jobs)+len(d.inFlight) > 0 || math.Abs(d.inFlightSlots) > 1e-6 {
		return false
	}
	for _, w := range d.workerOrder {
		if w.inFlightJobs != 0 || w.overdue != 0 || math.Abs(w.usedSlots-w.externalSlots-w.peerUsage.Slots) > 1e-6 {
			return false
		}
	}
	return true
}
