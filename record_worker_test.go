package foxlift_test

import (
	"fmt"
	"slices"

	"github.com/vatu-meals/foxlift"
)

// A simWorker simulates a worker with a few slots and a queue.
type simWorker struct {
	host    *fleetHost
	index   int
	entry   foxlift.Worker // its entry in the endpoint list
	running []*simAttempt
	queue   []*simAttempt
	keys    []uint64 // keys of the last jobs, whose data is cached
	served  int

	hanging, failing, rejecting bool
	slowness                    float64
}

// A simAttempt is an attempt of a simJob at a worker.
type simAttempt struct {
	member      *member
	incarnation int
	job         *simJob
	number      int
	worker      *simWorker
	sent        int64
	started     int64
	done        bool // its outcome was reported
}

const (
	maxQueuedJobs = 6 // a worker rejects jobs over this
	maxCachedKeys = 5 // keys whose data a worker caches
)

func newSimWorker(h *fleetHost, index int) *simWorker {
	w := &simWorker{host: h, index: index, slowness: 0.8 + 0.5*h.rng.Float64()}
	id := fmt.Sprintf("10.0.%d.%d", index/200, index%200)
	w.entry = foxlift.Worker{ID: id, Zone: index % 2, Kind: -1, Cell: index / 3}
	if h.plan.kinds > 0 {
		w.entry.Kind = index % h.plan.kinds
	}
	if h.plan.slowStart {
		w.entry.StartedAt = h.now - h.rng.Int64N(second)
	}
	return w
}

func (h *fleetHost) findWorker(id string) *simWorker {
	return h.workers[slices.IndexFunc(h.workers, func(w *simWorker) bool { return w.entry.ID == id })]
}

// networkDelay returns the one-way delay of a message between a dispatcher and a worker.
func (w *simWorker) networkDelay(m *member) int64 {
	if w.entry.Zone != m.config.Zone {
		return 3 * millisecond
	}
	return millisecond / 2
}

// speed returns the fraction of its full speed that a worker has, which is below 1 in slow start.
func (w *simWorker) speed() float64 {
	c := &w.host.plan.config
	if w.entry.StartedAt == 0 || c.SlowStartDuration == 0 {
		return 1
	}
	age := float64(w.host.now-w.entry.StartedAt) / float64(c.SlowStartDuration)
	return min(1, c.SlowStartCapacity+(1-c.SlowStartCapacity)*age)
}

// load returns the worker's load report.
func (w *simWorker) load() (values [foxlift.MaxGauges]float64) {
	inFlight := float64(len(w.running) + len(w.queue))
	for i, g := range w.host.plan.config.Gauges {
		switch g {
		case foxlift.GaugeInFlight:
			values[i] = inFlight
		case foxlift.GaugeQueued:
			values[i] = float64(len(w.queue))
		case foxlift.GaugeBusy:
			values[i] = float64(len(w.running)) / float64(w.host.plan.slots)
		case foxlift.GaugeThroughput:
			values[i] = float64(w.served)
		case foxlift.GaugeFreeSlots:
			values[i] = float64(w.host.plan.slots - len(w.running))
		}
	}
	return values
}

// send starts an attempt. Some never reach their worker and end with a random code.
func (m *member) send(j *simJob, id string) {
	w := m.host.findWorker(id)
	a := &simAttempt{member: m, incarnation: m.incarnation, job: j, number: len(j.attempts), worker: w, sent: m.host.now}
	j.attempts = append(j.attempts, a)
	m.inFlight = append(m.inFlight, a)
	if m.host.randomBool(m.host.plan.abnormalOutcomes) {
		codes := []foxlift.Code{
			foxlift.NotSent, foxlift.Reset, foxlift.InvalidRequest, foxlift.WorkerError, foxlift.Saturated,
		}
		code := codes[m.host.rng.IntN(len(codes))]
		m.host.scheduleAfter(w.networkDelay(m), func() { a.report(code) })
		return
	}
	m.host.scheduleAfter(w.networkDelay(m), func() { w.arrive(a) })
}

func (w *simWorker) arrive(a *simAttempt) {
	switch {
	case a.done:
	case w.entry.State == foxlift.Removed || w.host.plan.unreachableWorker && w.index == 0:
		a.report(foxlift.Unreachable)
	case w.rejecting || len(w.queue) >= maxQueuedJobs || w.entry.State == foxlift.Draining && w.index%2 == 0:
		a.report(foxlift.Saturated)
	case w.host.randomBool(w.host.plan.externalUsage):
		w.host.scheduleAfter(w.host.exponential(60*millisecond), func() { w.enqueue(a) })
	default:
		w.enqueue(a)
	}
}

func (w *simWorker) enqueue(a *simAttempt) {
	if !a.done {
		w.queue = append(w.queue, a)
		w.startNext()
	}
}

// startNext starts queued attempts while slots are free.
func (w *simWorker) startNext() {
	for len(w.running) < w.host.plan.slots && len(w.queue) > 0 && !w.hanging {
		a := w.queue[0]
		w.queue = w.queue[1:]
		w.running = append(w.running, a)
		w.start(a)
	}
}

func (w *simWorker) start(a *simAttempt) {
	h, r := w.host, &a.job.request
	a.started = h.now
	if h.plan.config.StartNotes {
		stream := h.plan.config.Classes[r.Class].Stream
		a.notify(foxlift.Event{Kind: foxlift.EventStarted, ID: r.ID, Attempt: a.number, Worker: w.entry.ID, Stream: stream})
	}
	work := h.plan.runtimes[r.Class]
	if r.Size > 0 {
		work = r.Size
	}
	runtime := float64(work) * (0.4 + 0.6*h.rng.ExpFloat64()) * w.slowness / w.speed()
	if w.failing {
		runtime /= 10
	}
	if r.Key != 0 && !slices.Contains(w.keys, r.Key) {
		runtime += float64(work) / 2
		w.keys = append([]uint64{r.Key}, w.keys[:min(len(w.keys), maxCachedKeys-1)]...)
	}
	h.scheduleAfter(int64(runtime), func() { w.finish(a) })
	if runtime > float64(second) {
		h.scheduleAfter(second/2, func() {
			a.notify(foxlift.Event{Kind: foxlift.EventProgress, ID: r.ID, Attempt: a.number, Worker: w.entry.ID})
		})
	}
}

// finish ends a run and frees its slot. The outcome is reported only if the attempt has none yet.
func (w *simWorker) finish(a *simAttempt) {
	i := slices.Index(w.running, a)
	if i < 0 {
		return
	}
	w.running = slices.Delete(w.running, i, i+1)
	w.served++
	switch {
	case w.hanging:
	case w.failing && w.host.randomBool(0.8):
		a.report(foxlift.WorkerError)
	default:
		a.report(foxlift.Served)
	}
	w.startNext()
}

// removeAttempt removes an attempt from the worker's queue and slots.
func (w *simWorker) removeAttempt(a *simAttempt) {
	if i := slices.Index(w.queue, a); i >= 0 {
		w.queue = slices.Delete(w.queue, i, i+1)
	}
	if i := slices.Index(w.running, a); i >= 0 {
		w.running = slices.Delete(w.running, i, i+1)
	}
}

// cancel handles a cancellation by the dispatcher. Every other worker continues to run what has started.
func (a *simAttempt) cancel() {
	if a.done {
		return
	}
	if a.started == 0 || a.worker.index%2 == 0 {
		a.worker.removeAttempt(a)
		a.worker.startNext()
	}
	a.report(foxlift.Cancelled)
}

// notify sends an event to the attempt's dispatcher, unless the attempt has its outcome or the dispatcher was
// replaced.
func (a *simAttempt) notify(e foxlift.Event) {
	if !a.done && a.incarnation == a.member.incarnation {
		a.member.receive(e)
	}
}

// report sends the attempt's outcome to the dispatcher, once.
func (a *simAttempt) report(code foxlift.Code) {
	if a.done {
		return
	}
	m, h, j := a.member, a.worker.host, a.job
	j.answered = j.answered || code == foxlift.Served
	e := foxlift.Event{
		Kind: foxlift.EventOutcome, ID: j.request.ID, Attempt: a.number, Worker: a.worker.entry.ID, Code: code,
		Took: h.now - max(a.started, a.sent), Ended: j.answered,
	}
	if code == foxlift.Served || code == foxlift.WorkerError {
		e.HasLoad, e.Load = len(m.config.Gauges) > 0, a.worker.load()
	}
	a.notify(e)
	a.done = true
	m.inFlight = slices.DeleteFunc(m.inFlight, func(o *simAttempt) bool { return o == a })
}
