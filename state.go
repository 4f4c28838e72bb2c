package foxlift

// The state that the decisions are made on, and the containers that hold it.
// Nothing is decided here.

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/vatu-meals/foxlift/internal/coldstart"
)

// A Dispatcher makes the decisions of one scheduler. It sees only its own traffic.
type Dispatcher struct {
	cfg             Config
	rng             *rand.Rand
	now             int64
	fleetScale      float64 // how many times more dispatchers there are than a few
	began           int64   // time of the first step; -1 before it
	tick, tickAt    int64   // between looks at what is held and overdue; the next of them
	regulAt, period int64   // next run of the regulator, and its number
	actions         []Action

	jobs       map[uint64]*job
	out        []*attempt // in flight
	resend     []*job     // sent before, waiting to be sent again
	repeatable bool       // some class may be repeated
	copies     float64    // of overdue jobs that may be sent
	scouting   []*job     // waiting for news of some workers
	urgent     []*job     // came just before their deadline, or too late to be in time

	classes     []classLoop
	u           float64 // admission rate of the whole fleet, jobs a second
	open        bool    // u is at its maximum: the loop does not throttle
	offered     float64 // jobs a second that arrive here
	arrived     int
	peers       []peer
	untold      []*worker // where something changed that peers have not been told
	told        uint16    // number of the last message
	life        byte      // of this dispatcher, in its messages
	tenants     []tenant
	bands       []Band
	share       float64 // of the traffic that comes here, slowly followed
	burstTokens float64 // tokens past the bands, and unused ones, for any tenant
	burstRate   float64
	refilled    int64
	round       int64 // of dispatch

	workers map[string]*worker
	list    []*worker     // in the order first heard of
	room    [][][]*worker // by kind+1, then by own count: workers that may get a job
	levels  int           // most levels of any kind
	parts   [][]*worker   // for roomAt
	live    []*worker     // the live ones, in the list's order
	fleetIndex
	keys        keyLog     // of the last jobs
	inflight    float64    // slots of our jobs in flight,
	othersOut   float64    // and of those that the host sent past this dispatcher
	waits       int        // attempts sent that have not started, on workers that may be well
	window      float64    // how many of them the fleet starts without delay
	usual       mean       // pressure that load reports show
	fresh       [4]*worker // the last that reported
	freshAt     int
	fade        int64    // time in which a load report loses its meaning
	starts      mean     // delay from sending to the start
	least       [4]int64 // the least delay, by attempt.path
	warmRate    float64  // slots that each warm worker has at work for us
	warmNow     float64  // the same, lately
	served      float64
	listCall    listCall
	lease       listLease
	accepting   []*worker       // that have accepted a job lately
	turns       coldstart.Turns // at young workers, where no rate is known
	lightestAim float64         // the least aim: what a light job stands for there
	lists       int64           // number of list events
}

// A job is a request that is held, in flight, or ended with attempts still out.
type job struct {
	id            uint64
	class         *classLoop
	tenant        *tenant
	req           Request
	came          int64
	born          int64 // when its client first asked, as far as its deadline tells
	wanted        int64 // it should take no longer than this
	attempts      []*attempt
	out           int      // attempts in flight
	mayRan        *attempt // the first attempt that may have run
	ended, queued bool
	asked         int       // workers probed for it
	again         bool      // in resend
	stream        bool      // bound to a stream: no deadline any more
	blocked       int64     // the round of dispatch that found no worker for it
	homes         []*worker // of its key, the nearest first,
	homesOf       int       // of so many workers,
	homesAt       int64     // by the list event of this number
}

type attempt struct {
	job           *job
	worker        *worker
	number        int
	sent, started int64
	index         int // in Dispatcher.out
	path          int // how it went: over a new connection 1, to another zone 2 more
	slots         float64
	done          bool
	mayRun        bool // it ended, and may have run
	overdue       bool // not started in time, and counted so
	waits         bool // counted in Dispatcher.waits
	late          bool // entered the regulator at its limit
}

// A tenant is one of Config.Tenants as seen here.
type tenant struct {
	rate           float64 // its part of u here, within the bands, jobs a second
	tokens         float64
	arrived        int
	offered        float64
	margin         float64  // that offered may be over the rate by chance
	overQuotaSends float64  // jobs lately sent past its bands
	blocked        int64    // the round of dispatch that found no worker for it
	queues         [][]*job // by class, oldest first
	classes        []flow   // by class, what lately came and was sent
}

// A flow is what lately came of one class of a tenant, and what was sent of it.
type flow struct {
	came, sent float64
	blocked    int64 // the round of dispatch that found no worker for it
}

// mean follows an average and the mean deviation from it.
type mean struct{ avg, dev float64 }

func (m *mean) add(x float64) {
	if m.avg == 0 {
		m.avg, m.dev = x, x/2
		return
	}
	m.dev += (math.Abs(x-m.avg) - m.dev) / 64
	m.avg += (x - m.avg) / 64
}

// quantile returns a quantile, or other if there are too few to tell.
func quantile(runs []int64, share float64, other int64) int64 {
	if len(runs) < minJobs {
		return other
	}
	var s [64]int64
	n := copy(s[:], runs)
	slices.Sort(s[:n])
	return s[int(share*float64(n))]
}

// A listCall is the state of asking for the list, where it must be asked for.
type listCall struct {
	next    int64 // when to ask; only while not subscribed
	waiting bool  // an ask is unanswered
	joined  bool  // subscribed
	backoff int64
}

// New returns a Dispatcher for cfg, or an error naming the field that makes cfg
// impossible to run. All randomness comes from seed.
func New(cfg Config, seed uint64) (*Dispatcher, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), began: -1, fade: second,
		jobs: map[uint64]*job{}, workers: map[string]*worker{}, open: true, copies: maxCopies,
		peers: make([]peer, cfg.Dispatchers),
	}
	if !cfg.MayRetryAfter {
		d.cfg.MaxRetryAfter = 0
	}
	aim, kinds := int64(math.MaxInt64), 0
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		d.classes = append(d.classes, classLoop{Class: c, median: c.Aim, quick: c.Aim, fit: newModel(), v: 1})
		d.repeatable = d.repeatable || c.Effect != AtMostOnce
		aim, kinds = min(aim, c.Aim), max(kinds, c.Kind+1)
	}
	d.tick = max(aim/8, int64(1e6))
	d.room, d.homes = make([][][]*worker, kinds+1), make([]homeIndex, kinds+1)
	d.fleetScale = max(1, float64(cfg.Dispatchers)/few)
	bears := cfg.FallMultiple * cfg.StartCapacity * d.meanCap() // slots, of a worker that has just started
	d.lightestAim = float64(aim)
	d.turns = coldstart.NewTurns(cfg.FallWindow, cfg.Dispatchers, cfg.Index, bears*float64(cfg.FallWindow)/d.lightestAim)
	d.life = byte(seed ^ seed>>32)
	d.initTenants()
	return d, nil
}

func (d *Dispatcher) handle(e *Event) {
	switch e.Kind {
	case EventRequest:
		d.accept(&e.Request)
	case EventList:
		d.onList(e)
	case EventStarted:
		d.onStarted(e)
	case EventOutcome:
		d.onOutcome(e)
	case EventClientLeft:
		if j := d.jobs[e.ID]; j != nil && !j.ended {
			d.end(j)
		}
	case EventProbed:
		d.onProbed(e)
	case EventMessage:
		d.onMessage(e.From, e.Data)
	case EventQuotas:
		d.onQuotas(e.Quotas)
	}
}

func (d *Dispatcher) initTenants() {
	n := max(1, len(d.cfg.Tenants))
	d.tenants = make([]tenant, n+1) // the last is for requests of no known tenant
	for i := range d.tenants {
		d.tenants[i].queues = make([][]*job, len(d.classes))
		d.tenants[i].classes = make([]flow, len(d.classes))
	}
	if d.bands = d.cfg.Bands; len(d.bands) == 0 && len(d.cfg.Tenants) > 0 {
		d.bands = quotaBand(d.cfg.quotas())
	}
	d.refillRates()
	for i := range d.tenants {
		d.tenants[i].tokens = d.tenants[i].burst()
	}
}

// onProbed ends the wait of the jobs that were waiting for an answer.
func (d *Dispatcher) onProbed(e *Event) {
	w := d.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Code == Served && e.HasLoad {
		d.report(w, e)
	}
	d.revisit(w) // it may have more slots than was known
	d.endScouting(func(j *job) bool { return true })
}

// attemptOf finds the attempt that an event is about, or nil.
func (d *Dispatcher) attemptOf(e *Event) *attempt {
	j := d.jobs[e.ID]
	if j == nil || e.Attempt < 0 || e.Attempt >= len(j.attempts) {
		return nil
	}
	return j.attempts[e.Attempt]
}

// clearRan finds the first attempt that may have run, now that one is proved
// never to have.
func (d *Dispatcher) clearRan(j *job) {
	j.mayRan = nil
	for _, a := range j.attempts {
		if !a.done || a.mayRun {
			j.mayRan = a
			return
		}
	}
}

// attemptsLeft is how many more attempts a job may have.
func (d *Dispatcher) attemptsLeft(j *job) int {
	if d.cfg.MaxAttempts <= 0 {
		return math.MaxInt
	}
	return d.cfg.MaxAttempts - j.req.Tried - len(j.attempts)
}

// pathTo tells how an attempt goes to a worker now.
func (d *Dispatcher) pathTo(w *worker) (way int) {
	if d.dials(w) {
		way++
	}
	if w.zone != d.cfg.Zone {
		way += 2
	}
	return way
}

// busy is the slots of all jobs in flight that the window bounds. What the host has sent past this
// dispatcher fills the fleet as well: a process that has just taken over has few jobs of its own.
func (d *Dispatcher) busy() float64 { return d.inflight + d.othersOut }

// dials reports whether the next job to a worker needs a new connection.
func (d *Dispatcher) dials(w *worker) bool {
	return w.jobs >= w.conns || d.cfg.ConnIdle > 0 && d.now-w.idleAt > d.cfg.ConnIdle
}

// beyondLeastDelay notes an attempt's delay to its start and returns it less the least that the same way
// has taken: a handshake with another zone may take longer than a job waits.
func (d *Dispatcher) beyondLeastDelay(a *attempt, delay int64) int64 {
	if !d.largeFleet() {
		return delay // a few learn each worker's room by itself
	}
	if least := &d.least[a.path]; *least == 0 || delay < *least {
		*least = max(1, delay)
	}
	return delay - d.least[a.path]
}

// waited ends an attempt's wait for its start.
func (d *Dispatcher) waited(a *attempt) {
	if a.waits {
		a.waits = false
		d.waits--
	}
}

// heardOf ends an attempt's being overdue.
func (a *attempt) heardOf() {
	if a.overdue {
		a.overdue = false
		a.worker.overdue--
	}
}

// forget drops a job that has ended once all its attempts have.
func (d *Dispatcher) forget(j *job) {
	if j.ended && j.out == 0 {
		delete(d.jobs, j.id)
	}
}

// onQuotas takes over new shares. Tokens stay as they are: nobody gains by a change.
func (d *Dispatcher) onQuotas(quotas []float64) {
	if len(quotas) != len(d.cfg.Tenants) {
		return
	}
	d.bands = quotaBand(quotas)
	full, _ := split(math.MaxFloat64, d.bands, len(d.tenants))
	for i := range d.tenants {
		d.tenants[i].rate = full[i] * max(d.share, 1/float64(d.cfg.Dispatchers))
	}
}

// Idle reports whether the dispatcher holds no job and counts nothing in flight: so it
// must be once every job is answered and every attempt has had its outcome.
func (d *Dispatcher) Idle() bool {
	if len(d.jobs)+len(d.out) > 0 || math.Abs(d.inflight) > 1e-6 {
		return false
	}
	for _, w := range d.list {
		if w.jobs != 0 || w.overdue != 0 || math.Abs(w.own-w.others-w.theirs.slots) > 1e-6 {
			return false
		}
	}
	return true
}
