package foxlift

// The state that dispatcher.go decides on, and the containers that hold it.
// Nothing is decided here.

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/vatu-meals/foxlift/internal/coldstart"
)

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
	slots         float64
	done          bool
	mayRun        bool // it ended, and may have run
	overdue       bool // not started in time, and counted so
	waits         bool // counted in Dispatcher.waits
	late          bool // entered the regulator at its limit
}

// A tenant is one of Config.Tenants as seen here.
type tenant struct {
	rate    float64 // its part of u here, within the bands, jobs a second
	tokens  float64
	arrived int
	offered float64
	margin  float64  // that offered may be over the rate by chance
	past    float64  // jobs lately sent past its bands
	blocked int64    // the round of dispatch that found no worker for it
	queues  [][]*job // by class, oldest first
	classes []flow   // by class, what lately came and was sent
}

// A flow is what lately came of one class of a tenant, and what was sent of it.
type flow struct {
	came, sent float64
	blocked    int64 // the round of dispatch that found no worker for it
}

// A peer is the u last heard from another dispatcher.
type peer struct {
	u  float64
	at int64
}

// A worker is what this dispatcher knows of one.
type worker struct {
	id               string
	zone, kind, cell int
	state            WorkerState
	listed           int64 // number of the last list event that named it
	lost             bool  // went without a drain, and is not back and warm
	went             int64 // when the list last named it otherwise than gone
	up               int64 // when it started; 0: long ago
	hash             uint64

	own        float64 // slots of our jobs there, and of the host's others
	others     float64 // of these, what others sent
	jobs       int
	cap        float64 // most of our slots that it takes without delay
	capped     bool    // cap was learned from its own answers
	level, pos int     // place in Dispatcher.room; level -1: gets nothing now
	overdue    int     // jobs that it should have started
	shut       int64   // gets nothing before this
	backoff    int64
	fulls      int     // refusals in a row
	trial      bool    // one job only, until it answers
	good       int64   // when it last started one of our jobs at once,
	bad        int64   // and when it last had no room for one, or failed it
	failing    float64 // share of late attempts that failed
	coldFrom   int64   // a young worker's last send,
	coldWork   float64 // and the work that it must have had time for before the next
	slow       float64 // its running times over the class medians
	load       [MaxGauges]float64
	loaded     bool
	since      float64 // slots sent since the load report
	loadAt     int64
	conns      int      // connections thought open
	idleAt     int64    // last use of a connection
	keys       []uint64 // of our last jobs there, the newest first
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

// moveTo puts a worker into another of the room lists, or, for a negative level,
// in none.
func (d *Dispatcher) moveTo(w *worker, level int) {
	k := w.kind + 1
	if k >= len(d.room) {
		k = 0
	}
	if w.level >= 0 {
		ws := d.room[k][w.level]
		last := ws[len(ws)-1]
		ws[w.pos] = last
		last.pos = w.pos
		d.room[k][w.level] = ws[:len(ws)-1]
	}
	w.level = level
	if level >= 0 {
		for len(d.room[k]) <= level {
			d.room[k] = append(d.room[k], nil)
		}
		d.levels = max(d.levels, level+1)
		w.pos = len(d.room[k][level])
		d.room[k][level] = append(d.room[k][level], w)
	}
}

// roomAt returns the workers of one level, and of one kind if it is not negative. They are
// valid until the next call, and until a worker moves.
func (d *Dispatcher) roomAt(kind, level int) []*worker {
	at := func(k int) []*worker {
		if level >= len(d.room[k]) {
			return nil
		}
		return d.room[k][level]
	}
	if kind >= 0 || len(d.room) == 1 {
		return at(kind + 1)
	}
	d.joined = d.joined[:0]
	for k := range d.room {
		d.joined = append(d.joined, at(k)...)
	}
	return d.joined
}

// collectLive collects the live workers.
func (d *Dispatcher) collectLive() {
	d.live = d.live[:0]
	for _, w := range d.list {
		if w.state == Live {
			d.live = append(d.live, w)
		}
	}
}

// A classLoop is a class with its regulator. v is u as a share of u_max, so that
// model and reset law do not depend on the size of the fleet.
type classLoop struct {
	*Class
	patience int64 // the longest that a client waits, as seen
	median   int64 // of recent running times
	quick    int64 // their lower quartile
	runs     []int64
	ratios   []float64 // job time over wanted time, this second
	fit      model
	v, v1    float64 // u(k-1) and u(k-2)
	w1       float64 // w(k-1)
}

// ran keeps the running times of the last jobs.
func (c *classLoop) ran(took int64) {
	if len(c.runs) < 64 {
		c.runs = append(c.runs, took)
		return
	}
	copy(c.runs, c.runs[1:])
	c.runs[63] = took
}

// A model is w(k) = s1 w(k-1) + r1 u(k-1) + r2 u(k-2), fitted by recursive least
// squares with forgetting.
type model struct {
	p   [3]float64 // s1, r1, r2
	cov [3][3]float64
}

// A listCall is the state of asking for the list, where it must be asked for.
type listCall struct {
	next    int64 // when to ask; only while not subscribed
	waiting bool  // an ask is unanswered
	joined  bool  // subscribed
	backoff int64
}

// up is when a worker started, or may have; 0: long ago.
func (d *Dispatcher) up(w *worker) int64 { return max(w.up, d.unsure) }

// mayBeCold reports whether a worker is still warming up, or may be for all that is known.
func (d *Dispatcher) mayBeCold(w *worker) bool {
	return d.up(w) != 0 && d.now-d.up(w) < d.cfg.WarmAfter
}

// byTurns reports whether a worker may be cold and no rate is known for it.
func (d *Dispatcher) byTurns(w *worker) bool {
	return (d.warmRate <= 0 || d.unsure != 0) && d.mayBeCold(w)
}

// coldSent is the work that a young worker has been sent in this window, where no rate is known.
func (d *Dispatcher) coldSent(w *worker) float64 {
	if !d.byTurns(w) || d.turns.At(w.coldFrom) != d.turns.At(d.now) {
		return 0
	}
	return w.coldWork
}

// coldSize is what a job counts for at such a worker. By its aim: running times are long where
// it is cold. Aims tell little of how much heavier one is than another, so the rest counts twice.
func (d *Dispatcher) coldSize(j *job) float64 { return 2*j.req.Slots*float64(j.class.Aim) - d.light }

// coldAfter is what a young worker has been sent with this attempt, until it has had time for it.
func (d *Dispatcher) coldAfter(w *worker, a *attempt) float64 {
	if !d.byTurns(w) {
		return a.slots * float64(a.job.class.median) * (0.75 + d.rng.Float64()/2)
	}
	return d.coldSent(w) + d.coldSize(a.job)
}

// setState notes what the list says of a worker.
func (w *worker) setState(s WorkerState, now int64) {
	w.lost = w.lost || w.state == Live && s == Gone
	if w.state != Gone {
		w.went = now
	}
	w.state = s
}

// forgetGone drops the workers that have been gone since before a time, once nothing is
// counted there: a fleet that replaces its workers for months must not cost more by the day.
func (d *Dispatcher) forgetGone(before int64) {
	d.list = slices.DeleteFunc(d.list, func(w *worker) bool {
		if w.state != Gone || w.went >= before || w.jobs > 0 || w.others != 0 {
			return false
		}
		delete(d.workers, w.id)
		for i, f := range d.fresh {
			if f == w {
				d.fresh[i] = nil
			}
		}
		return true
	})
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
	d.room = make([][][]*worker, kinds+1)
	d.crowd = max(1, float64(cfg.Dispatchers)/few)
	bears := cfg.FallMultiple * cfg.StartCapacity * d.meanCap() // slots, of a worker that has just started
	d.light = float64(aim)
	d.turns = coldstart.NewTurns(cfg.FallWindow, cfg.Dispatchers, cfg.Index, bears*float64(cfg.FallWindow)/d.light)
	d.initTenants()
	return d, nil
}

func (d *Dispatcher) handle(e *Event) {
	switch e.Kind {
	case EventRequest:
		d.accept(&e.Request)
	case EventList:
		d.onList(e.List, e.Workers)
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

func (d *Dispatcher) onMessage(from int, data []byte) {
	if from < 0 || from >= len(d.peers) || len(data) != 8 {
		return
	}
	if u := math.Float64frombits(binary.LittleEndian.Uint64(data)); u >= 0 {
		d.peers[from] = peer{u, d.now}
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
	d.endScouting(func(j *job) bool { return true })
}

// measured is w(k): the mean over the second's jobs, 0 if there were none.
func (c *classLoop) measured() float64 {
	sum := 0.0
	for _, r := range c.ratios {
		sum += r
	}
	return sum / max(1, float64(len(c.ratios)))
}

// update returns the model after one more observation.
func (m model) update(x [3]float64, w, forgetting, covMax float64) model {
	var px [3]float64
	den, err := forgetting, w
	for i := range px {
		for k := range x {
			px[i] += m.cov[i][k] * x[k]
		}
		den += x[i] * px[i]
		err -= m.p[i] * x[i]
	}
	trace := 0.0
	for i := range px {
		m.p[i] += px[i] / den * err
		for k := range px {
			m.cov[i][k] -= px[i] * px[k] / den
		}
		trace += m.cov[i][i]
	}
	// Without excitation forgetting would let the covariance grow for ever; then
	// noise alone would move the parameters far enough to reset them.
	if trace < covMax*forgetting {
		for i := range m.cov {
			for k := range m.cov {
				m.cov[i][k] /= forgetting
			}
		}
	}
	return m
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

// hold puts a job into its tenant's queue.
func (d *Dispatcher) hold(j *job) {
	j.queued = true
	j.tenant.queues[j.req.Class] = append(j.tenant.queues[j.req.Class], j)
}

// drop takes a job out of its tenant's queue.
func (t *tenant) drop(j *job) {
	k := j.req.Class
	if i := slices.Index(t.queues[k], j); i >= 0 {
		t.queues[k] = slices.Delete(t.queues[k], i, i+1)
	}
	j.queued = false
}

// next returns the oldest job of a queue, or for a tenant over its share the newest,
// of those that this round has not found without a worker; nil if there is none.
func (t *tenant) next(q []*job, round int64) *job {
	for i := range q {
		j := q[i]
		if t.over() {
			j = q[len(q)-1-i]
		}
		if j.blocked != round {
			return j
		}
	}
	return nil
}

// waiting reports whether the tenant has jobs held.
func (t *tenant) waiting() bool {
	return slices.ContainsFunc(t.queues, func(q []*job) bool { return len(q) > 0 })
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
		if w.jobs != 0 || w.overdue != 0 || math.Abs(w.own-w.others) > 1e-6 {
			return false
		}
	}
	return true
}

// tenantOf finds a tenant; requests of none share one of their own.
func (d *Dispatcher) tenantOf(i int) *tenant {
	if i < 0 || i >= len(d.cfg.Tenants) {
		i = len(d.tenants) - 1
	}
	return &d.tenants[i]
}

// report keeps a worker's load report.
func (d *Dispatcher) report(w *worker, e *Event) {
	w.load, w.loaded, w.since, w.loadAt = e.Load, true, 0, d.now
	d.usual.add(d.reported(w, 1))
	d.heard(w)
}

// heard makes a worker the last that was heard of: pick looks at it whatever it samples.
func (d *Dispatcher) heard(w *worker) {
	d.fresh[d.freshAt] = w
	d.freshAt = (d.freshAt + 1) % len(d.fresh)
}

// endScouting holds the jobs whose scouting is done.
func (d *Dispatcher) endScouting(done func(*job) bool) {
	d.scouting = slices.DeleteFunc(d.scouting, func(j *job) bool {
		if !j.ended && !done(j) {
			return false
		}
		if !j.ended {
			d.hold(j)
		}
		return true
	})
}
