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

// A fleetPlan describes a recording: dispatchers that share workers, their load and their faults.
type fleetPlan struct {
	name              string
	config            foxlift.Config // without Index and Zone, which each dispatcher has of its own
	seed              uint64
	recorded          int // number of dispatchers that are recorded, at most config.Dispatchers
	workers           int
	slots             int // slots of each worker
	kinds             int // number of worker kinds; 0: workers have no kind
	duration          int64
	loadFactor        float64 // arriving work, as a fraction of the workers' capacity
	runtimes          []int64 // mean run time, by class
	tenantWeights     []float64
	keyCount          int     // number of affinity keys; 0: jobs have no key
	mixedRequests     bool    // requests differ in size, slots, memory and allowed workers
	abnormalOutcomes  float64 // fraction of attempts that never reach their worker and end with a random code
	disconnects       float64 // fraction of clients that disconnect within a second
	externalUsage     float64 // fraction of attempts delayed at the worker by jobs of other schedulers
	slowStart         bool    // all workers have just started
	unreachableWorker bool    // the first worker can never be reached
	faultPlan
}

// A faultPlan lists the faults of a fleet.
type faultPlan struct {
	faults        []fault // chosen from at random
	faultInterval int64   // mean time between random faults
	scheduled     []scheduledFault
}

// A fleetHost simulates a plan on virtual time.
type fleetHost struct {
	plan           *fleetPlan
	rng            *rand.Rand
	record         *recorder
	now            int64
	queue          callQueue
	members        []*member
	workers        []*simWorker
	callsScheduled int64  // calls that were ever scheduled
	lastID         uint64 // ID of the newest job

	discoveryFailing bool
	failure          foxlift.PollFailure
	failureFixed     bool // failure stays the same until discovery answers again
	flooding         int  // the tenant that sends far more than its share; -1: none
}

// A queuedCall is a call that is scheduled for a time; order is the order of scheduling.
type queuedCall struct {
	at, order int64
	do        func()
}

// A callQueue is a heap of scheduled calls, earliest first and then in the order of scheduling.
type callQueue []queuedCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].order < q[k].order
}
func (q callQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(queuedCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	fleetStart      = 100 * second
	inspectInterval = second
)

// recordFleet simulates and records a plan from its start to its end.
func recordFleet(r *recorder, plan fleetPlan) {
	h := &fleetHost{
		plan: &plan, rng: rand.New(rand.NewPCG(plan.seed, 1)), record: r, now: fleetStart, flooding: -1,
	}
	for i := range plan.workers {
		h.workers = append(h.workers, newSimWorker(h, i))
	}
	for i := range plan.recorded {
		h.members = append(h.members, newMember(h, i))
	}
	for _, m := range h.members {
		m.start()
		h.scheduleAfter(h.exponential(second/10), func() { h.arrive(m) })
	}
	h.scheduleEvery(inspectInterval, func() {
		for _, m := range h.members {
			r.inspect(m.index, m.dispatcher)
			if plan.config.EndpointLease > 0 {
				m.receiveEndpoints(foxlift.EndpointsConfirmed, nil)
			}
		}
	})
	for _, s := range plan.scheduled {
		h.scheduleAt(fleetStart+s.delay, func() { s.fault(h) })
	}
	if len(plan.faults) > 0 {
		h.scheduleFault()
	}
	h.run(fleetStart + plan.duration)
}

// run makes the scheduled calls up to end. After those of one time it steps each dispatcher that has received events.
func (h *fleetHost) run(end int64) {
	for h.now < end {
		h.now = h.queue[0].at
		for len(h.queue) > 0 && h.queue[0].at <= h.now {
			next := heap.Pop(&h.queue).(queuedCall)
			next.do()
		}
		for _, m := range h.members {
			if len(m.inbox) > 0 {
				m.step()
			}
		}
	}
}

// scheduleAt schedules a call for a time after now, rounded up to half a millisecond so that some calls coincide.
func (h *fleetHost) scheduleAt(time int64, do func()) {
	const grid = millisecond / 2
	time = max(time, h.now+1)
	h.callsScheduled++
	heap.Push(&h.queue, queuedCall{(time + grid - 1) / grid * grid, h.callsScheduled, do})
}

func (h *fleetHost) nextID() uint64 {
	h.lastID++
	return h.lastID
}

func (h *fleetHost) scheduleAfter(delay int64, do func()) { h.scheduleAt(h.now+delay, do) }

// scheduleEvery schedules a call after each interval.
func (h *fleetHost) scheduleEvery(interval int64, do func()) {
	h.scheduleAfter(interval, func() {
		do()
		h.scheduleEvery(interval, do)
	})
}

// exponential returns a random, exponentially distributed duration with the given mean.
func (h *fleetHost) exponential(mean int64) int64 { return 1 + int64(float64(mean)*h.rng.ExpFloat64()) }

func (h *fleetHost) randomBool(p float64) bool { return h.rng.Float64() < p }

// rate returns the current arrival rate at each dispatcher, in jobs a second. It varies as a wave of 20 s.
func (h *fleetHost) rate() float64 {
	work := 0.0
	for _, w := range h.plan.runtimes {
		work += float64(w) / float64(len(h.plan.runtimes)*int(second))
	}
	wave := 1 + 0.4*math.Sin(2*math.Pi*float64(h.now-fleetStart)/float64(20*second))
	rate := h.plan.loadFactor * wave * float64(h.plan.workers*h.plan.slots) / work / float64(h.plan.recorded)
	if h.flooding >= 0 {
		rate *= 2
	}
	return rate
}

// arrive sends a job to a dispatcher and schedules the next one.
func (h *fleetHost) arrive(m *member) {
	m.accept(h.drawRequest())
	skew := 1 + 0.5*float64(m.index%2)
	h.scheduleAfter(h.exponential(int64(float64(second)/(h.rate()*skew))), func() { h.arrive(m) })
}

func (h *fleetHost) drawRequest() foxlift.Request {
	plan := h.plan
	class := h.rng.IntN(len(plan.config.Classes))
	request := foxlift.Request{
		ID: h.nextID(), Class: class, Tenant: h.drawTenant(),
		Deadline: h.now + plan.config.Classes[class].Deadline,
	}
	if plan.keyCount > 0 && h.randomBool(0.7) {
		request.Key = 1 + uint64(float64(plan.keyCount)*h.rng.Float64()*h.rng.Float64())
	}
	if !plan.mixedRequests {
		return request
	}
	request.Slots = []float64{0, 1, 1, 0.5, 2}[h.rng.IntN(5)]
	request.Memory = []float64{0, 0.5, 1, 1.5}[h.rng.IntN(4)]
	if h.randomBool(0.3) {
		request.Size = int64(float64(plan.runtimes[class]) * (0.5 + h.rng.Float64()))
	}
	if h.randomBool(0.05) {
		request.AllowedWorkers = []string{h.drawWorker().entry.ID, h.drawWorker().entry.ID}
	}
	if h.randomBool(0.05) { // the job comes from another dispatcher of the host
		request.Waited = h.rng.Int64N(100 * millisecond)
		request.PriorAttempts = h.rng.IntN(2)
	}
	return request
}

func (h *fleetHost) drawTenant() int {
	if h.flooding >= 0 && h.randomBool(0.6) {
		return h.flooding
	}
	sum := 0.0
	for _, w := range h.plan.tenantWeights {
		sum += w
	}
	remaining := h.rng.Float64() * sum
	for i, w := range h.plan.tenantWeights {
		if remaining -= w; remaining < 0 {
			return i
		}
	}
	return -1
}

func (h *fleetHost) drawWorker() *simWorker { return h.workers[h.rng.IntN(len(h.workers))] }

// entries returns the endpoint list as discovery has it.
func (h *fleetHost) entries() (list []foxlift.Worker) {
	for _, w := range h.workers {
		list = append(list, w.entry)
	}
	return list
}

// notifyChange notifies the dispatchers of changed workers, each after a random delay.
func (h *fleetHost) notifyChange(changed ...foxlift.Worker) {
	for _, m := range h.members {
		h.scheduleAfter(h.rng.Int64N(second/2), func() { m.receiveEndpoints(foxlift.EndpointsDelta, changed) })
	}
}
