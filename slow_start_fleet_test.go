package foxlift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// A slowStartFleet is dispatchers and workers on virtual time, drawn anew each time: sizes, traffic that
// is uneven over the dispatchers, workers that all, half of them or of one zone start cold amid it,
// each dispatcher told of that at a moment of its own, some of them started anew while it warms up.
type slowStartFleet struct {
	rng          *rand.Rand
	cfg          Config
	meanWork     int64 // mean of a job
	harnesses    []*harness
	arrivalRates []float64 // jobs a second that come to each dispatcher
	notifyAt     []int64   // when each learns of the starts
	workers      []*slowStartWorker
	byID         map[string]*slowStartWorker
	lastID       uint64
	running      []slowStartAttempt // what the dispatchers hear at the next steps
}

type slowStartWorker struct {
	Worker
	slots   int
	running int
	waiting []slowStartAttempt
	sent    []sentWork // since its start, by those who had been told of it
}

type slowStartAttempt struct {
	finishesAt int64
	dispatcher int // the dispatcher
	send       Action
	number     int
	work       int64
	worker     *slowStartWorker
}

type sentWork struct{ at, work int64 }

const slowStartStep = 20 * ms

func drawSlowStartFleet(t *testing.T, n int, seed uint64) *slowStartFleet {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	fleet := &slowStartFleet{rng: rng, cfg: testConfig(), meanWork: (100 + rng.Int64N(250)) * ms, byID: map[string]*slowStartWorker{}}
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
		fleet.harnesses = append(fleet.harnesses, fleet.start(t, i))
	}
	for i := range fleet.cfg.Tenants {
		fleet.cfg.Tenants[i].Quota = total / (float64(fleet.meanWork) / 1e9)
	}
	return fleet
}

func (fleet *slowStartFleet) start(t *testing.T, i int) *harness {
	cfg := fleet.cfg
	cfg.Index, cfg.Zone = i, i%2
	var workers []Worker
	for _, n := range fleet.workers {
		workers = append(workers, n.Worker)
	}
	return newSeededHarness(t, cfg, fleet.rng.Uint64(), workers...)
}

// play runs the fleet from one time to another.
func (fleet *slowStartFleet) play(from, to int64, told bool) {
	for now := from; now < to; now += slowStartStep {
		heard := make([][]Event, len(fleet.harnesses))
		due := fleet.running
		fleet.running = nil
		for _, e := range due {
			if e.finishesAt > now {
				fleet.running = append(fleet.running, e)
				continue
			}
			e.worker.running--
			o := outcome(e.send.ID, e.number, e.worker.ID, Served)
			o.Took = e.work
			heard[e.dispatcher] = append(heard[e.dispatcher], o)
		}
		for _, n := range fleet.workers {
			fleet.startWaiting(n, now, heard)
		}
		for i, h := range fleet.harnesses {
			if h == nil {
				continue
			}
			if told && now >= fleet.notifyAt[i] && fleet.notifyAt[i] > 0 {
				var workers []Worker
				for _, n := range fleet.workers {
					workers = append(workers, n.Worker)
				}
				heard[i] = append(heard[i], Event{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: workers})
				fleet.notifyAt[i] = 0
			}
			for p := fleet.arrivalRates[i] * float64(slowStartStep) / 1e9; p > 0; p-- {
				if fleet.rng.Float64() < p {
					fleet.lastID++
					e := Event{Kind: EventRequest, Request: Request{ID: fleet.lastID, Class: int(fleet.lastID % 2), Tenant: int(fleet.lastID / 2 % 2), Deadline: now + 20*second}}
					heard[i] = append(heard[i], e)
				}
			}
			h.now = now
			h.step(heard[i]...)
			heard[i] = nil
			for _, a := range h.actionsOf(ActionSend) {
				node, work := fleet.byID[a.Worker], int64(float64(fleet.meanWork)*(0.5+fleet.rng.Float64()))
				if fleet.notifyAt[i] == 0 {
					node.sent = append(node.sent, sentWork{now, work})
				}
				number := len(h.d.jobs[a.ID].attempts) - 1
				node.waiting = append(node.waiting, slowStartAttempt{dispatcher: i, send: a, number: number, work: work, worker: node})
			}
			for _, a := range h.actionsOf(ActionCancel) {
				j := h.d.jobs[a.ID]
				if j == nil || a.Attempt >= len(j.attempts) {
					continue
				}
				node := fleet.byID[j.attempts[a.Attempt].worker.id]
				for k, e := range node.waiting {
					if e.dispatcher == i && e.send.ID == a.ID && e.number == a.Attempt {
						node.waiting = append(node.waiting[:k], node.waiting[k+1:]...)
						h.step(outcome(a.ID, a.Attempt, node.ID, Cancelled))
						break
					}
				}
			}
		}
	}
}

// admit starts what waits at a worker while it has slots.
func (fleet *slowStartFleet) startWaiting(n *slowStartWorker, now int64, heard [][]Event) {
	for n.running < n.slots && len(n.waiting) > 0 {
		e := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.running++
		heard[e.dispatcher] = append(heard[e.dispatcher], started(e.send.ID, e.number, n.ID))
		e.finishesAt = now + int64(float64(e.work)/fleet.capacityFraction(n, now))
		fleet.running = append(fleet.running, e)
	}
}

// able is the share of its capacity that a worker has.
func (fleet *slowStartFleet) capacityFraction(n *slowStartWorker, now int64) float64 {
	if n.StartedAt == 0 {
		return 1
	}
	return min(1, fleet.cfg.SlowStartCapacity+(1-fleet.cfg.SlowStartCapacity)*float64(now-n.StartedAt)/float64(fleet.cfg.SlowStartDuration))
}

// worst returns by how much the calls that a cold worker was sent in a window were over its budget
// of N and what counts as chance, 2 x root of N + 2; under 0 if none was.
func (fleet *slowStartFleet) worstOverload() (over float64, where string) {
	over = math.Inf(-1)
	for _, n := range fleet.workers {
		if n.StartedAt == 0 {
			continue
		}
		sum, first := 0.0, 0
		for _, s := range n.sent {
			if s.at < n.StartedAt {
				first++
				continue
			}
			sum += float64(s.work) / float64(fleet.meanWork)
			for ; n.sent[first].at <= s.at-fleet.cfg.OverloadWindow; first++ {
				sum -= float64(n.sent[first].work) / float64(fleet.meanWork)
			}
			budget := fleet.cfg.OverloadMultiple * fleet.capacityFraction(n, n.sent[first].at) * float64(n.slots) * float64(fleet.cfg.OverloadWindow) / float64(fleet.meanWork)
			if o := sum - budget - 2*math.Sqrt(budget) - 2; o > over {
				over, where = o, fmt.Sprintf("%s: %.1f calls of %.1f, %.2f s after its start", n.ID, sum, budget, float64(s.at-n.StartedAt)/1e9)
			}
		}
	}
	return over, where
}

// What all dispatchers of a fleet together send to a cold worker stays in its budget, whatever the
// fleet's size: no failure in 1,000 drawn fleets.
func TestSlowStartUnderTheSumOfDispatchers(t *testing.T) {
	for _, c := range []struct{ dispatchers, fleets int }{{1, 300}, {4, 260}, {5, 260}, {20, 90}, {30, 60}, {80, 25}, {300, 5}} {
		t.Run(fmt.Sprint(c.dispatchers), func(t *testing.T) {
			t.Parallel()
			failed, worst, where := 0, math.Inf(-1), ""
			for seed := range uint64(c.fleets) {
				fleet := drawSlowStartFleet(t, c.dispatchers, seed)
				from, release := 5*second, 9*second
				// Some are started anew amid the ramp; or most are killed before it, and the others have
				// their traffic until they are back.
				anew, down, back := 0.2, release+2*second, release+2*second
				if seed%2 == 0 {
					anew, down, back = 0.7, release-2*second, release+second
				}
				rate := slices.Clone(fleet.arrivalRates)
				gone := make([]bool, len(rate))
				all, left := 0.0, 0.0
				for i := range rate {
					gone[i] = c.dispatchers > 1 && fleet.rng.Float64() < anew
					all += rate[i]
					if !gone[i] {
						left += rate[i]
					}
				}
				fleet.play(from, min(down, release), false)
				for i := range rate {
					if gone[i] {
						fleet.stop(i)
					} else if down < back {
						fleet.arrivalRates[i] *= all / left
					}
				}
				fleet.play(min(down, release), release, false)
				for i, n := range fleet.workers {
					if kind := seed % 3; kind == 0 || kind == 1 && i%4 < 2 || kind == 2 && n.Zone == 0 {
						n.StartedAt, n.sent = release, nil
					}
				}
				for i := range fleet.notifyAt {
					fleet.notifyAt[i] = release + 1 + fleet.rng.Int64N(second)
				}
				fleet.play(release, back, true)
				for i := range rate {
					if fleet.arrivalRates[i] = rate[i]; gone[i] {
						fleet.harnesses[i], fleet.notifyAt[i] = fleet.start(t, i), 0
					}
				}
				fleet.play(back, release+8*second, true)
				over, which := fleet.worstOverload()
				if over > worst {
					worst, where = over, which
				}
				if over > 0 {
					failed++
				}
			}
			t.Logf("%d fleets, %d pushed over, the nearest %+.1f: %s", c.fleets, failed, worst, where)
			if failed > 0 {
				t.Errorf("%d of %d fleets push a cold worker over, by up to %.1f calls", failed, c.fleets, worst)
			}
		})
	}
}

// stop takes a dispatcher down: what it has out is called off, and nothing comes to it.
func (fleet *slowStartFleet) stop(i int) {
	fleet.harnesses[i], fleet.arrivalRates[i] = nil, 0
	fleet.running = withoutDispatcher(fleet.running, i)
	for _, n := range fleet.workers {
		n.waiting = withoutDispatcher(n.waiting, i)
	}
}

// without drops what a dispatcher that is no more would have heard.
func withoutDispatcher(ends []slowStartAttempt, of int) (left []slowStartAttempt) {
	for _, e := range ends {
		if e.dispatcher != of {
			left = append(left, e)
		} else if e.finishesAt > 0 {
			e.worker.running--
		}
	}
	return left
}
