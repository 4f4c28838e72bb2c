package foxlift_test

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"github.com/vatu-meals/foxlift"
)

const (
	millisecond = int64(1e6)
	second      = 1000 * millisecond
)

// A fleetPlan says what a recording plays: some dispatchers that share workers for a while.
type fleetPlan struct {
	name          string
	config        foxlift.Config // but for each dispatcher's own Index and Zone
	seed          uint64
	played        int // dispatchers that are recorded, of config.Dispatchers
	workers       int
	slots         int // of each worker
	kinds         int // of workers
	length        int64
	load          float64 // jobs that come, as a share of what the workers can do
	work          []int64 // mean running time, by class
	weights       []float64
	keys          int     // that jobs have; 0: none
	varied        bool    // jobs have sizes, slots, memory and workers that they are confined to
	strange       float64 // share of attempts that end in a rare way
	leaving       float64 // share of clients that leave before a second is over
	externalUsage float64 // share of jobs that wait at a worker for those of other schedulers
	slowStart     bool    // all workers have just started
	broken        bool    // one worker can never be reached
	faultPlan
}

// A faultPlan says which faults a fleet meets.
type faultPlan struct {
	faults []fault // drawn from
	every  int64   // mean time between drawn faults
	script []scheduledFault
}

// A fleetHost plays a plan on virtual time.
type fleetHost struct {
	plan    *fleetPlan
	rng     *rand.Rand
	record  *recorder
	now     int64
	agenda  agenda
	members []*member
	workers []*simWorker
	ordered int64  // entries that the agenda ever had
	lastID  uint64 // of a job

	discoveryFails bool
	failure        foxlift.PollFailure
	failureLasts   bool // it stays the same until discovery answers again
	flooding       int  // the tenant that sends far more than its share; -1: none
}

// A due is something that happens at a time.
type due struct {
	at, order int64
	do        func()
}

// An agenda is a heap of what is due, the earliest first.
type agenda []due

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, k int) bool {
	return a[i].at < a[k].at || a[i].at == a[k].at && a[i].order < a[k].order
}
func (a agenda) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

const (
	fleetStart   = 100 * second
	inspectEvery = second
)

// playFleet records a plan from its start to its end.
func playFleet(r *recorder, plan fleetPlan) {
	h := &fleetHost{
		plan: &plan, rng: rand.New(rand.NewPCG(plan.seed, 1)), record: r, now: fleetStart, flooding: -1,
	}
	for i := range plan.workers {
		h.workers = append(h.workers, newSimWorker(h, i))
	}
	for i := range plan.played {
		h.members = append(h.members, newMember(h, i))
	}
	for _, m := range h.members {
		m.begin()
		h.after(h.exponential(second/10), func() { h.arrive(m) })
	}
	h.repeat(inspectEvery, func() {
		for _, m := range h.members {
			r.inspect(m.index, m.dispatcher)
			if plan.config.EndpointLease > 0 {
				m.receiveEndpoints(foxlift.EndpointsConfirmed, nil)
			}
		}
	})
	for _, s := range plan.script {
		h.at(fleetStart+s.after, func() { s.fault(h) })
	}
	if len(plan.faults) > 0 {
		h.scheduleFault()
	}
	h.run(fleetStart + plan.length)
}

// run plays what is due, and after it steps each dispatcher that has learned of something.
func (h *fleetHost) run(end int64) {
	for h.now < end {
		h.now = h.agenda[0].at
		for len(h.agenda) > 0 && h.agenda[0].at <= h.now {
			next := heap.Pop(&h.agenda).(due)
			next.do()
		}
		for _, m := range h.members {
			if len(m.inbox) > 0 {
				m.step()
			}
		}
	}
}

// at lets something happen at a time, on the grid of half a millisecond, so that some things coincide.
func (h *fleetHost) at(time int64, do func()) {
	const grid = millisecond / 2
	time = max(time, h.now+1)
	h.ordered++
	heap.Push(&h.agenda, due{(time + grid - 1) / grid * grid, h.ordered, do})
}

func (h *fleetHost) nextID() uint64 {
	h.lastID++
	return h.lastID
}

func (h *fleetHost) after(wait int64, do func()) { h.at(h.now+wait, do) }

// repeat lets something happen again and again.
func (h *fleetHost) repeat(wait int64, do func()) {
	h.after(wait, func() {
		do()
		h.repeat(wait, do)
	})
}

// exponential draws a time that has a mean.
func (h *fleetHost) exponential(mean int64) int64 { return 1 + int64(float64(mean)*h.rng.ExpFloat64()) }

func (h *fleetHost) chance(p float64) bool { return h.rng.Float64() < p }

// rate is how many jobs a second come to each dispatcher now: they come in waves.
func (h *fleetHost) rate() float64 {
	work := 0.0
	for _, w := range h.plan.work {
		work += float64(w) / float64(len(h.plan.work)*int(second))
	}
	wave := 1 + 0.4*math.Sin(2*math.Pi*float64(h.now-fleetStart)/float64(20*second))
	rate := h.plan.load * wave * float64(h.plan.workers*h.plan.slots) / work / float64(h.plan.played)
	if h.flooding >= 0 {
		rate *= 2
	}
	return rate
}

// arrive brings a job to a dispatcher, and the next one later.
func (h *fleetHost) arrive(m *member) {
	m.accept(h.drawRequest())
	skew := 1 + 0.5*float64(m.index%2)
	h.after(h.exponential(int64(float64(second)/(h.rate()*skew))), func() { h.arrive(m) })
}

func (h *fleetHost) drawRequest() foxlift.Request {
	p := h.plan
	class := h.rng.IntN(len(p.config.Classes))
	r := foxlift.Request{
		ID: h.nextID(), Class: class, Tenant: h.drawTenant(),
		Deadline: h.now + p.config.Classes[class].Deadline,
	}
	if p.keys > 0 && h.chance(0.7) {
		r.Key = 1 + uint64(float64(p.keys)*h.rng.Float64()*h.rng.Float64())
	}
	if !p.varied {
		return r
	}
	r.Slots = []float64{0, 1, 1, 0.5, 2}[h.rng.IntN(5)]
	r.Memory = []float64{0, 0.5, 1, 1.5}[h.rng.IntN(4)]
	if h.chance(0.3) {
		r.Size = int64(float64(p.work[class]) * (0.5 + h.rng.Float64()))
	}
	if h.chance(0.05) {
		r.AllowedWorkers = []string{h.drawWorker().entry.ID, h.drawWorker().entry.ID}
	}
	if h.chance(0.05) { // it comes from another dispatcher of the host
		r.Waited = h.rng.Int64N(100 * millisecond)
		r.PriorAttempts = h.rng.IntN(2)
	}
	return r
}

func (h *fleetHost) drawTenant() int {
	if h.flooding >= 0 && h.chance(0.6) {
		return h.flooding
	}
	sum := 0.0
	for _, w := range h.plan.weights {
		sum += w
	}
	at := h.rng.Float64() * sum
	for i, w := range h.plan.weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return -1
}

func (h *fleetHost) drawWorker() *simWorker { return h.workers[h.rng.IntN(len(h.workers))] }

// entries are the list of workers as discovery has it.
func (h *fleetHost) entries() (list []foxlift.Worker) {
	for _, w := range h.workers {
		list = append(list, w.entry)
	}
	return list
}

// notifyChange tells the dispatchers of changed workers, each at a moment of its own.
func (h *fleetHost) notifyChange(changed ...foxlift.Worker) {
	for _, m := range h.members {
		h.after(h.rng.Int64N(second/2), func() { m.receiveEndpoints(foxlift.EndpointsDelta, changed) })
	}
}
