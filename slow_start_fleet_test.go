package foxlift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// A slowStartFleet simulates dispatchers and workers in virtual time. Sizes and traffic are random, and the
// traffic differs between dispatchers. All workers, half of them or those of one zone restart during the run.
// Each dispatcher is notified of that at its own time, and some dispatchers restart during the slow start.
type slowStartFleet struct {
	rng          *rand.Rand
	cfg          Config
	meanWork     int64 // mean work of a job, nanoseconds
	harnesses    []*harness
	arrivalRates []float64 // jobs per second, by dispatcher
	notifyAt     []int64   // when each dispatcher is notified of the starts; 0: already notified
	workers      []*slowStartWorker
	byID         map[string]*slowStartWorker
	lastID       uint64
	running      []slowStartAttempt // running attempts of all workers
}

type slowStartWorker struct {
	Worker
	slots   int
	running int
	waiting []slowStartAttempt
	sent    []sentWork // since its start, by dispatchers that were notified of it
}

type slowStartAttempt struct {
	finishesAt int64
	dispatcher int // index of the sender
	send       Action
	number     int
	work       int64
	worker     *slowStartWorker
}

type sentWork struct{ at, work int64 }

const slowStartStep = 20 * ms

func newRandomSlowStartFleet(t *testing.T, n int, seed uint64) *slowStartFleet {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	fleet := &slowStartFleet{
		rng:      rng,
		cfg:      testConfig(),
		meanWork: (100 + rng.Int64N(250)) * ms,
		byID:     map[string]*slowStartWorker{},
	}
	fleet.cfg.Gauges, fleet.cfg.MaxAttempts, fleet.cfg.Dispatchers = nil, 3, n
	fleet.cfg.SlowStartCapacity = 0.14 + 0.3*rng.Float64()
	fleet.cfg.OverloadWindow = second + rng.Int64N(second)
	for i := range fleet.cfg.Classes {
		fleet.cfg.Classes[i].LatencyObjective, fleet.cfg.Classes[i].Deadline = fleet.meanWork, 20*second
	}
	workers := 6 + rng.IntN(8) + n/3
	total, weights := 0.0, 0.0
	for i := range workers {
		w := &slowStartWorker{Worker: Worker{ID: fmt.Sprintf("w%d", i), Zone: i % 2, Kind: -1}, slots: 3 + rng.IntN(3)}
		fleet.workers, fleet.byID[w.ID] = append(fleet.workers, w), w
		total += float64(w.slots)
	}
	for range n {
		fleet.arrivalRates = append(fleet.arrivalRates, math.Exp(rng.NormFloat64()))
		weights += fleet.arrivalRates[len(fleet.arrivalRates)-1]
	}
	for i := range n {
		fleet.arrivalRates[i] *= (0.5 + 0.4*rng.Float64()) * total / (float64(fleet.meanWork) / 1e9) / weights
		fleet.notifyAt = append(fleet.notifyAt, 0)
		fleet.harnesses = append(fleet.harnesses, fleet.startDispatcher(t, i))
	}
	for i := range fleet.cfg.Tenants {
		fleet.cfg.Tenants[i].Quota = total / (float64(fleet.meanWork) / 1e9)
	}
	return fleet
}

// startDispatcher starts a dispatcher with the current endpoint list.
func (fleet *slowStartFleet) startDispatcher(t *testing.T, i int) *harness {
	cfg := fleet.cfg
	cfg.Index, cfg.Zone = i, i%2
	return newSeededHarness(t, cfg, fleet.rng.Uint64(), fleet.endpoints()...)
}

// run simulates the fleet from one time to another. If the workers' starts are announced, each dispatcher is
// notified of them at its time in notifyAt.
func (fleet *slowStartFleet) run(from, to int64, announced bool) {
	for now := from; now < to; now += slowStartStep {
		inboxes := make([][]Event, len(fleet.harnesses))
		fleet.finishAttempts(now, inboxes)
		for _, w := range fleet.workers {
			fleet.startWaiting(w, now, inboxes)
		}
		for i, h := range fleet.harnesses {
			if h == nil {
				continue
			}
			if announced && now >= fleet.notifyAt[i] && fleet.notifyAt[i] > 0 {
				inboxes[i] = append(inboxes[i], endpointsEvent(EndpointsComplete, fleet.endpoints()...))
				fleet.notifyAt[i] = 0
			}
			h.now = now
			h.step(append(inboxes[i], fleet.arrivals(i, now)...)...)
			inboxes[i] = nil
			fleet.enqueueSends(i)
			fleet.applyCancels(i)
		}
	}
}

// finishAttempts ends the attempts that have finished and notifies their dispatchers.
func (fleet *slowStartFleet) finishAttempts(now int64, inboxes [][]Event) {
	running := fleet.running
	fleet.running = nil
	for _, a := range running {
		if a.finishesAt > now {
			fleet.running = append(fleet.running, a)
			continue
		}
		a.worker.running--
		served := outcome(a.send.ID, a.number, a.worker.ID, Served)
		served.Took = a.work
		inboxes[a.dispatcher] = append(inboxes[a.dispatcher], served)
	}
}

// endpoints returns the complete endpoint list.
func (fleet *slowStartFleet) endpoints() (workers []Worker) {
	for _, w := range fleet.workers {
		workers = append(workers, w.Worker)
	}
	return workers
}

// arrivals returns random requests that arrive at a dispatcher in one step.
func (fleet *slowStartFleet) arrivals(dispatcher int, now int64) (requests []Event) {
	for p := fleet.arrivalRates[dispatcher] * float64(slowStartStep) / 1e9; p > 0; p-- {
		if fleet.rng.Float64() >= p {
			continue
		}
		fleet.lastID++
		requests = append(requests, Event{Kind: EventRequest, Request: Request{
			ID:       fleet.lastID,
			Class:    int(fleet.lastID % 2),
			Tenant:   int(fleet.lastID / 2 % 2),
			Deadline: now + 20*second,
		}})
	}
	return requests
}

// enqueueSends adds the attempts that a dispatcher has just sent to the queues of their workers.
func (fleet *slowStartFleet) enqueueSends(dispatcher int) {
	h := fleet.harnesses[dispatcher]
	for _, a := range h.actionsOf(ActionSend) {
		w := fleet.byID[a.Worker]
		work := int64(float64(fleet.meanWork) * (0.5 + fleet.rng.Float64()))
		if fleet.notifyAt[dispatcher] == 0 {
			w.sent = append(w.sent, sentWork{h.now, work})
		}
		w.waiting = append(w.waiting, slowStartAttempt{
			dispatcher: dispatcher,
			send:       a,
			number:     len(h.d.jobs.byID[a.ID].attempts) - 1,
			work:       work,
			worker:     w,
		})
	}
}

// applyCancels removes the attempts that a dispatcher has just cancelled from the queues of workers.
func (fleet *slowStartFleet) applyCancels(dispatcher int) {
	h := fleet.harnesses[dispatcher]
	for _, a := range h.actionsOf(ActionCancel) {
		j := h.d.jobs.byID[a.ID]
		if j == nil || a.Attempt >= len(j.attempts) {
			continue
		}
		w := fleet.byID[j.attempts[a.Attempt].worker.id]
		waits := slices.IndexFunc(w.waiting, func(e slowStartAttempt) bool {
			return e.dispatcher == dispatcher && e.send.ID == a.ID && e.number == a.Attempt
		})
		if waits >= 0 {
			w.waiting = slices.Delete(w.waiting, waits, waits+1)
			h.step(outcome(a.ID, a.Attempt, w.ID, Cancelled))
		}
	}
}

// startWaiting starts the queued attempts of a worker while it has free slots.
func (fleet *slowStartFleet) startWaiting(w *slowStartWorker, now int64, inboxes [][]Event) {
	for w.running < w.slots && len(w.waiting) > 0 {
		a := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.running++
		inboxes[a.dispatcher] = append(inboxes[a.dispatcher], started(a.send.ID, a.number, w.ID))
		a.finishesAt = now + int64(float64(a.work)/fleet.capacityFraction(w, now))
		fleet.running = append(fleet.running, a)
	}
}

// capacityFraction returns the fraction of its full capacity that a worker has now, 0 to 1.
func (fleet *slowStartFleet) capacityFraction(w *slowStartWorker, now int64) float64 {
	if w.StartedAt == 0 {
		return 1
	}
	atStart := fleet.cfg.SlowStartCapacity
	ramp := (1 - atStart) * float64(now-w.StartedAt) / float64(fleet.cfg.SlowStartDuration)
	return min(1, atStart+ramp)
}

// worstOverload returns, in mean jobs, the largest excess of the work sent to a worker in slow start within a window
// over its budget of N jobs plus an allowance for chance of 2*sqrt(N)+2. It is negative if there was no overload.
func (fleet *slowStartFleet) worstOverload() (excess float64, where string) {
	excess = math.Inf(-1)
	for _, w := range fleet.workers {
		if w.StartedAt == 0 {
			continue
		}
		sum, first := 0.0, 0
		for _, s := range w.sent {
			if s.at < w.StartedAt {
				first++
				continue
			}
			sum += fleet.meanJobs(s.work)
			for ; w.sent[first].at <= s.at-fleet.cfg.OverloadWindow; first++ {
				sum -= fleet.meanJobs(w.sent[first].work)
			}
			budget := fleet.cfg.OverloadMultiple * fleet.capacityFraction(w, w.sent[first].at) *
				float64(w.slots) * float64(fleet.cfg.OverloadWindow) / float64(fleet.meanWork)
			if over := sum - budget - 2*math.Sqrt(budget) - 2; over > excess {
				excess = over
				age := float64(s.at-w.StartedAt) / 1e9
				where = fmt.Sprintf("%s: %.1f jobs with a budget of %.1f, %.2f s after its start", w.ID, sum, budget, age)
			}
		}
	}
	return excess, where
}

// meanJobs converts work in nanoseconds to a number of mean jobs.
func (fleet *slowStartFleet) meanJobs(work int64) float64 {
	return float64(work) / float64(fleet.meanWork)
}

// The dispatchers of a fleet send to a worker in slow start without coordination, and may together overload it.
// The work that they send must stay within its budget for any number of dispatchers, in 1,000 random fleets.
func TestSlowStartUnderTheSumOfDispatchers(t *testing.T) {
	for _, c := range []struct{ dispatchers, fleets int }{
		{1, 300},
		{4, 260},
		{5, 260},
		{20, 90},
		{30, 60},
		{80, 25},
		{300, 5},
	} {
		t.Run(fmt.Sprint(c.dispatchers), func(t *testing.T) {
			t.Parallel()
			failed, worst, where := 0, math.Inf(-1), ""
			for seed := range uint64(c.fleets) {
				fleet := newRandomSlowStartFleet(t, c.dispatchers, seed)
				fleet.runRestarts(t, seed)
				excess, which := fleet.worstOverload()
				if excess > worst {
					worst, where = excess, which
				}
				if excess > 0 {
					failed++
				}
			}
			t.Logf("%d fleets, %d with an overloaded worker, worst excess %+.1f jobs: %s", c.fleets, failed, worst, where)
			if failed > 0 {
				t.Errorf("%d of %d fleets overload a worker in slow start, by up to %.1f jobs, want none", failed, c.fleets, worst)
			}
		})
	}
}

// runRestarts simulates a restart of workers and of some dispatchers. By seed, either few dispatchers restart during
// the slow start, or most of them stop before it and the others take over their traffic until they are back.
func (fleet *slowStartFleet) runRestarts(t *testing.T, seed uint64) {
	from, workersRestartAt := 5*second, 9*second
	restartProbability, stopAt, resumeAt := 0.2, workersRestartAt+2*second, workersRestartAt+2*second
	if seed%2 == 0 {
		restartProbability, stopAt, resumeAt = 0.7, workersRestartAt-2*second, workersRestartAt+second
	}
	rates := slices.Clone(fleet.arrivalRates)
	restarting := fleet.pickRestarting(restartProbability)
	fleet.run(from, min(stopAt, workersRestartAt), false)
	fleet.stopDispatchers(restarting, stopAt < resumeAt)
	fleet.run(min(stopAt, workersRestartAt), workersRestartAt, false)
	for i, w := range fleet.workers {
		if kind := seed % 3; kind == 0 || kind == 1 && i%4 < 2 || kind == 2 && w.Zone == 0 {
			w.StartedAt, w.sent = workersRestartAt, nil
		}
	}
	for i := range fleet.notifyAt {
		fleet.notifyAt[i] = workersRestartAt + 1 + fleet.rng.Int64N(second)
	}
	fleet.run(workersRestartAt, resumeAt, true)
	for i, rate := range rates {
		fleet.arrivalRates[i] = rate
		if restarting[i] {
			fleet.harnesses[i], fleet.notifyAt[i] = fleet.startDispatcher(t, i), 0
		}
	}
	fleet.run(resumeAt, workersRestartAt+8*second, true)
}

// pickRestarting selects the dispatchers that restart, at random. A single dispatcher never does.
func (fleet *slowStartFleet) pickRestarting(probability float64) []bool {
	restarting := make([]bool, len(fleet.harnesses))
	for i := range restarting {
		restarting[i] = len(restarting) > 1 && fleet.rng.Float64() < probability
	}
	return restarting
}

// stopDispatchers stops the selected dispatchers. If rerouted is true, the others get their traffic.
func (fleet *slowStartFleet) stopDispatchers(restarting []bool, rerouted bool) {
	total, remaining := 0.0, 0.0
	for i, rate := range fleet.arrivalRates {
		total += rate
		if !restarting[i] {
			remaining += rate
		}
	}
	for i := range restarting {
		if restarting[i] {
			fleet.stopDispatcher(i)
		} else if rerouted {
			fleet.arrivalRates[i] *= total / remaining
		}
	}
}

// stopDispatcher kills a dispatcher: its attempts are dropped, and no job arrives at it.
func (fleet *slowStartFleet) stopDispatcher(i int) {
	fleet.harnesses[i], fleet.arrivalRates[i] = nil, 0
	fleet.running = withoutDispatcher(fleet.running, i)
	for _, w := range fleet.workers {
		w.waiting = withoutDispatcher(w.waiting, i)
	}
}

// withoutDispatcher returns the attempts of all dispatchers but one, and frees the slots of its running attempts.
func withoutDispatcher(attempts []slowStartAttempt, dispatcher int) (remaining []slowStartAttempt) {
	for _, a := range attempts {
		if a.dispatcher != dispatcher {
			remaining = append(remaining, a)
		} else if a.finishesAt > 0 {
			a.worker.running--
		}
	}
	return remaining
}
