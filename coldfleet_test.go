package foxlift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// A coldFleet is dispatchers and workers on virtual time, drawn anew each time: sizes, traffic that
// is uneven over the dispatchers, workers that all, half of them or of one zone start cold amid it,
// each dispatcher told of that at a moment of its own, some of them started anew while it warms up.
type coldFleet struct {
	rng    *rand.Rand
	cfg    Config
	work   int64 // mean of a job
	rigs   []*rig
	rate   []float64 // jobs a second that come to each dispatcher
	tellAt []int64   // when each learns of the starts
	nodes  []*coldNode
	byID   map[string]*coldNode
	id     uint64
	queue  []coldEnd // what the dispatchers hear at the next steps
}

type coldNode struct {
	Worker
	slots   int
	running int
	waiting []coldEnd
	sent    []coldSend // since its start, by those who had been told of it
}

type coldEnd struct {
	at      int64
	to      int // the dispatcher
	attempt Action
	number  int
	work    int64
	node    *coldNode
}

type coldSend struct{ at, work int64 }

const coldStep = 20 * ms

func drawColdFleet(t *testing.T, n int, seed uint64) *coldFleet {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	f := &coldFleet{rng: rng, cfg: testConfig(), work: (100 + rng.Int64N(250)) * ms, byID: map[string]*coldNode{}}
	f.cfg.Gauges, f.cfg.MaxAttempts, f.cfg.Dispatchers = nil, 3, n
	f.cfg.SlowStartCapacity = 0.14 + 0.3*rng.Float64()
	f.cfg.OverloadWindow = second + rng.Int64N(second)
	for i := range f.cfg.Classes {
		f.cfg.Classes[i].LatencyObjective, f.cfg.Classes[i].Deadline = f.work, 20*second
	}
	workers := 6 + rng.IntN(8) + n/3
	total, weights := 0.0, 0.0
	for i := range workers {
		w := &coldNode{Worker: Worker{ID: fmt.Sprintf("w%d", i), Zone: i % 2, Kind: -1}, slots: 3 + rng.IntN(3)}
		f.nodes, f.byID[w.ID] = append(f.nodes, w), w
		total += float64(w.slots)
	}
	for range n {
		f.rate = append(f.rate, math.Exp(rng.NormFloat64()))
		weights += f.rate[len(f.rate)-1]
	}
	for i := range n {
		f.rate[i] *= (0.5 + 0.4*rng.Float64()) * total / (float64(f.work) / 1e9) / weights
		f.tellAt = append(f.tellAt, 0)
		f.rigs = append(f.rigs, f.start(t, i))
	}
	for i := range f.cfg.Tenants {
		f.cfg.Tenants[i].Quota = total / (float64(f.work) / 1e9)
	}
	return f
}

func (f *coldFleet) start(t *testing.T, i int) *rig {
	cfg := f.cfg
	cfg.Index, cfg.Zone = i, i%2
	var ws []Worker
	for _, n := range f.nodes {
		ws = append(ws, n.Worker)
	}
	return newSeededRig(t, cfg, f.rng.Uint64(), ws...)
}

// play runs the fleet from one time to another.
func (f *coldFleet) play(from, to int64, told bool) {
	for now := from; now < to; now += coldStep {
		heard := make([][]Event, len(f.rigs))
		due := f.queue
		f.queue = nil
		for _, e := range due {
			if e.at > now {
				f.queue = append(f.queue, e)
				continue
			}
			e.node.running--
			o := outcome(e.attempt.ID, e.number, e.node.ID, Served)
			o.Took = e.work
			heard[e.to] = append(heard[e.to], o)
		}
		for _, n := range f.nodes {
			f.admit(n, now, heard)
		}
		for i, r := range f.rigs {
			if r == nil {
				continue
			}
			if told && now >= f.tellAt[i] && f.tellAt[i] > 0 {
				var ws []Worker
				for _, n := range f.nodes {
					ws = append(ws, n.Worker)
				}
				heard[i] = append(heard[i], Event{Kind: EventEndpoints, EndpointUpdate: EndpointsComplete, Workers: ws})
				f.tellAt[i] = 0
			}
			for p := f.rate[i] * float64(coldStep) / 1e9; p > 0; p-- {
				if f.rng.Float64() < p {
					f.id++
					e := Event{Kind: EventRequest, Request: Request{ID: f.id, Class: int(f.id % 2), Tenant: int(f.id / 2 % 2), Deadline: now + 20*second}}
					heard[i] = append(heard[i], e)
				}
			}
			r.now = now
			r.step(heard[i]...)
			heard[i] = nil
			for _, a := range r.only(ActionSend) {
				node, work := f.byID[a.Worker], int64(float64(f.work)*(0.5+f.rng.Float64()))
				if f.tellAt[i] == 0 {
					node.sent = append(node.sent, coldSend{now, work})
				}
				number := len(r.d.jobs[a.ID].attempts) - 1
				node.waiting = append(node.waiting, coldEnd{to: i, attempt: a, number: number, work: work, node: node})
			}
			for _, a := range r.only(ActionCancel) {
				j := r.d.jobs[a.ID]
				if j == nil || a.Attempt >= len(j.attempts) {
					continue
				}
				node := f.byID[j.attempts[a.Attempt].worker.id]
				for k, e := range node.waiting {
					if e.to == i && e.attempt.ID == a.ID && e.number == a.Attempt {
						node.waiting = append(node.waiting[:k], node.waiting[k+1:]...)
						r.step(outcome(a.ID, a.Attempt, node.ID, Cancelled))
						break
					}
				}
			}
		}
	}
}

// admit starts what waits at a worker while it has slots.
func (f *coldFleet) admit(n *coldNode, now int64, heard [][]Event) {
	for n.running < n.slots && len(n.waiting) > 0 {
		e := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.running++
		heard[e.to] = append(heard[e.to], started(e.attempt.ID, e.number, n.ID))
		e.at = now + int64(float64(e.work)/f.able(n, now))
		f.queue = append(f.queue, e)
	}
}

// able is the share of its capacity that a worker has.
func (f *coldFleet) able(n *coldNode, now int64) float64 {
	if n.StartedAt == 0 {
		return 1
	}
	return min(1, f.cfg.SlowStartCapacity+(1-f.cfg.SlowStartCapacity)*float64(now-n.StartedAt)/float64(f.cfg.SlowStartDuration))
}

// worst returns by how much the calls that a cold worker was sent in a window were over its budget
// of N and what counts as chance, 2 x root of N + 2; under 0 if none was.
func (f *coldFleet) worst() (over float64, where string) {
	over = math.Inf(-1)
	for _, n := range f.nodes {
		if n.StartedAt == 0 {
			continue
		}
		sum, first := 0.0, 0
		for _, s := range n.sent {
			if s.at < n.StartedAt {
				first++
				continue
			}
			sum += float64(s.work) / float64(f.work)
			for ; n.sent[first].at <= s.at-f.cfg.OverloadWindow; first++ {
				sum -= float64(n.sent[first].work) / float64(f.work)
			}
			budget := f.cfg.OverloadMultiple * f.able(n, n.sent[first].at) * float64(n.slots) * float64(f.cfg.OverloadWindow) / float64(f.work)
			if o := sum - budget - 2*math.Sqrt(budget) - 2; o > over {
				over, where = o, fmt.Sprintf("%s: %.1f calls of %.1f, %.2f s after its start", n.ID, sum, budget, float64(s.at-n.StartedAt)/1e9)
			}
		}
	}
	return over, where
}

// What all dispatchers of a fleet together send to a cold worker stays in its budget, whatever the
// fleet's size: no failure in 1,000 drawn fleets.
func TestColdWorkersUnderTheSumOfTheFleet(t *testing.T) {
	for _, c := range []struct{ dispatchers, fleets int }{{1, 300}, {4, 260}, {5, 260}, {20, 90}, {30, 60}, {80, 25}, {300, 5}} {
		t.Run(fmt.Sprint(c.dispatchers), func(t *testing.T) {
			t.Parallel()
			failed, worst, where := 0, math.Inf(-1), ""
			for seed := range uint64(c.fleets) {
				f := drawColdFleet(t, c.dispatchers, seed)
				from, release := 5*second, 9*second
				// Some are started anew amid the ramp; or most are killed before it, and the others have
				// their traffic until they are back.
				anew, down, back := 0.2, release+2*second, release+2*second
				if seed%2 == 0 {
					anew, down, back = 0.7, release-2*second, release+second
				}
				rate := slices.Clone(f.rate)
				gone := make([]bool, len(rate))
				all, left := 0.0, 0.0
				for i := range rate {
					gone[i] = c.dispatchers > 1 && f.rng.Float64() < anew
					all += rate[i]
					if !gone[i] {
						left += rate[i]
					}
				}
				f.play(from, min(down, release), false)
				for i := range rate {
					if gone[i] {
						f.stop(i)
					} else if down < back {
						f.rate[i] *= all / left
					}
				}
				f.play(min(down, release), release, false)
				for i, n := range f.nodes {
					if kind := seed % 3; kind == 0 || kind == 1 && i%4 < 2 || kind == 2 && n.Zone == 0 {
						n.StartedAt, n.sent = release, nil
					}
				}
				for i := range f.tellAt {
					f.tellAt[i] = release + 1 + f.rng.Int64N(second)
				}
				f.play(release, back, true)
				for i := range rate {
					if f.rate[i] = rate[i]; gone[i] {
						f.rigs[i], f.tellAt[i] = f.start(t, i), 0
					}
				}
				f.play(back, release+8*second, true)
				over, which := f.worst()
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
func (f *coldFleet) stop(i int) {
	f.rigs[i], f.rate[i] = nil, 0
	f.queue = without(f.queue, i)
	for _, n := range f.nodes {
		n.waiting = without(n.waiting, i)
	}
}

// without drops what a dispatcher that is no more would have heard.
func without(ends []coldEnd, of int) (left []coldEnd) {
	for _, e := range ends {
		if e.to != of {
			left = append(left, e)
		} else if e.at > 0 {
			e.node.running--
		}
	}
	return left
}
