package pollpacing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A simulation is a fleet of pacers against one discovery that serves calls one after another, by
// the order in which they came, and refuses what has waited for patience. It has no real clock.
type simulation struct {
	schedulers                int
	serviceTime, queueTimeout time.Duration
	downUntil                 time.Duration // until then every call fails at once
	naive                     bool          // a backoff that knows nothing: half a second, doubled, half of it random

	pending        eventHeap
	sequence       int
	rng            *rand.Rand
	callsPerSecond map[time.Duration]int
	queue          []func(now time.Duration)
	busy           bool
	answered       int
	result         result
}

type event struct {
	at       time.Duration
	do       func(now time.Duration)
	sequence int
}

type eventHeap []event

func (s eventHeap) Len() int { return len(s) }
func (s eventHeap) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].sequence < s[j].sequence
}
func (s eventHeap) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *eventHeap) Push(x any)   { *s = append(*s, x.(event)) }
func (s *eventHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// A result is what a simulation measured.
type result struct {
	half, all       time.Duration // until half, and all, had an answer
	calls, rejected int
	maxRate         int // calls in one second
}

// worst returns the greater of each figure.
func (r result) maximum(o result) result {
	return result{
		max(r.half, o.half), max(r.all, o.all),
		max(r.calls, o.calls), max(r.rejected, o.rejected), max(r.maxRate, o.maxRate),
	}
}

// A simulatedPoller is one scheduler of a simulation.
type simulatedPoller struct {
	simulation *simulation
	pacer      *Pacer
	backoff    time.Duration // of the naive fleet
}

func (s *simulation) run(seed uint64) result {
	s.rng = rand.New(rand.NewPCG(seed, 3))
	s.callsPerSecond = map[time.Duration]int{}
	for range s.schedulers {
		p := &simulatedPoller{
			simulation: s, backoff: 250 * time.Millisecond,
			pacer: NewPacer(s.schedulers, 20*time.Second, rand.New(rand.NewPCG(seed, s.rng.Uint64()))),
		}
		s.after(p.pacer.InitialDelay(), p.poll)
	}
	for len(s.pending) > 0 {
		e := heap.Pop(&s.pending).(event)
		e.do(e.at)
	}
	return s.result
}

func (s *simulation) after(at time.Duration, do func(now time.Duration)) {
	s.sequence++
	heap.Push(&s.pending, event{at, do, s.sequence})
}

// serve begins with the next call in discovery's queue, if it is idle.
func (s *simulation) serve(now time.Duration) {
	if !s.busy && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next(now)
	}
}

// answer ends the call that discovery serves.
func (s *simulation) answer(now time.Duration) {
	s.busy = false
	if s.answered++; s.answered == (s.schedulers+1)/2 {
		s.result.half = now
	}
	s.result.all = now
	s.serve(now)
}

func (p *simulatedPoller) poll(now time.Duration) {
	s := p.simulation
	s.result.calls++
	s.callsPerSecond[now/time.Second]++
	s.result.maxRate = max(s.result.maxRate, s.callsPerSecond[now/time.Second])
	if now < s.downUntil {
		p.failed(now, 0, Unreachable)
		return
	}
	queued := true
	s.queue = append(s.queue, func(now time.Duration) {
		if !queued {
			s.serve(now)
			return
		}
		queued, s.busy = false, true
		s.after(now+s.serviceTime, s.answer)
	})
	s.after(now+s.queueTimeout, func(now time.Duration) {
		if queued {
			queued = false
			p.failed(now, s.queueTimeout, Overloaded)
		}
	})
	s.serve(now)
}

func (p *simulatedPoller) failed(now, elapsed time.Duration, outcome Outcome) {
	s := p.simulation
	s.result.rejected++
	delay := p.pacer.NextDelay(outcome, elapsed)
	if s.naive {
		p.backoff = min(2*p.backoff, 5*time.Second)
		delay = p.backoff/2 + time.Duration(s.rng.Int64N(int64(p.backoff/2)))
	}
	s.after(now+delay, p.poll)
}

// One second's calls of all schedulers stay under a figure that does not grow with them, and
// the last has its list soon after discovery could have answered all one after another.
func TestFleetCallRateIsBounded(t *testing.T) {
	for _, n := range []int{1, 10, 100, 300, 1000} {
		for _, down := range []time.Duration{0, 10 * time.Second} {
			t.Run(fmt.Sprintf("%d, down %v", n, down), func(t *testing.T) {
				var worst, naiveWorst result
				for seed := range uint64(10) {
					run := func(naive bool) result {
						s := simulation{
							schedulers: n, serviceTime: 22 * time.Millisecond, queueTimeout: 2 * time.Second, downUntil: down, naive: naive,
						}
						return s.run(seed)
					}
					worst = worst.maximum(run(false))
					naiveWorst = naiveWorst.maximum(run(true))
				}
				t.Logf("half %.2f s, all %.2f s, calls %d, refused %d, in a second %d; before: %.2f s, %.2f s, %d, %d, %d",
					worst.half.Seconds(), worst.all.Seconds(), worst.calls, worst.rejected, worst.maxRate,
					naiveWorst.half.Seconds(), naiveWorst.all.Seconds(), naiveWorst.calls, naiveWorst.rejected, naiveWorst.maxRate)
				minimum := down + time.Duration(n)*22*time.Millisecond
				if limit := minimum + minimum/4 + 2*time.Second; worst.all > limit {
					t.Errorf("the last has its list after %v, want %v", worst.all, limit)
				}
				if worst.maxRate > 500 {
					t.Errorf("%d calls in a second", worst.maxRate)
				}
				// Fewer calls are made than by the naive fleet, unless MaxPropagationDelay asks for more: a
				// refused call costs discovery no work, and all have their lists sooner for it.
				if n == 300 && down == 0 && 10*worst.calls > 9*naiveWorst.calls {
					t.Errorf("%d calls, %d before", worst.calls, naiveWorst.calls)
				}
				if n >= 300 && (worst.all > naiveWorst.all || down == 0 && 10*worst.calls > 11*naiveWorst.calls) {
					t.Errorf("all after %v and %d calls, %v and %d before",
						worst.all, worst.calls, naiveWorst.all, naiveWorst.calls)
				}
			})
		}
	}
}

// A scheduler that was rejected more often calls again sooner, on average.
func TestRejectedCallsRetrySooner(t *testing.T) {
	mean := func(times int) (sum time.Duration) {
		rng := rand.New(rand.NewPCG(1, 2))
		for range 2000 {
			pacer := NewPacer(300, 0, rng)
			for range times - 1 {
				pacer.NextDelay(Overloaded, 2*time.Second)
			}
			sum += pacer.NextDelay(Overloaded, 2*time.Second) / 2000
		}
		return sum
	}
	if one, three := mean(1), mean(3); three > one*3/5 || three < one*2/5 {
		t.Errorf("delays of %v after the first refusal, %v after the third", one, three)
	}
}

// Delays are within their bounds and use nearly the whole range.
func TestDelays(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name        string
		n           int
		before      []Outcome
		newEndpoint bool
		outcome     Outcome
		elapsed     time.Duration
		low, high   time.Duration
	}{
		{"answered", 300, []Outcome{Overloaded, Overloaded}, false, Answered, time.Second, 0, 0},
		{"a few, down", 3, nil, false, Unreachable, 0, 50 * ms, 100 * ms},
		{
			"a few, down for long", 3, slices.Repeat([]Outcome{Unreachable}, 20), false,
			Unreachable, 0, 50 * ms, time.Second,
		},
		{"many, down", 300, nil, false, Unreachable, 0, 50 * ms, 3 * time.Second},
		{"many, rejected", 300, nil, false, Overloaded, 2 * time.Second, 50 * ms, 2450 * ms},
		{"many, after a long wait", 300, nil, false, Overloaded, 3 * time.Second, 50 * ms, 1450 * ms},
		{"many, refused at once", 1000, nil, false, Overloaded, 0, 50 * ms, 4450 * ms},
		{"some, refused at once", 60, nil, false, Overloaded, 20 * ms, 50 * ms, 1200 * ms},
		{
			"many, after no answer", 300,
			[]Outcome{Overloaded, Overloaded},
			false,
			Unanswered, 4 * time.Second, 50 * ms, 250 * ms,
		},
		{"a fleet without end", 1 << 40, nil, false, Unreachable, 0, 1725 * ms, 3450 * ms},
		{"a few, new endpoint", 3, nil, true, Unreachable, 0, 50 * ms, 50 * ms},
		{"many, new endpoint", 300, nil, true, Unreachable, 0, 50 * ms, 500 * ms},
		{"invalid", 300, nil, false, Invalid, 0, 50 * ms, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			var low, high time.Duration = time.Hour, 0
			for seed := range uint64(500) {
				pacer := NewPacer(c.n, 20*time.Second, rand.New(rand.NewPCG(seed, 1)))
				for _, outcome := range c.before {
					pacer.NextDelay(outcome, time.Second)
				}
				if c.newEndpoint {
					pacer.EndpointChanged()
				}
				delay := pacer.NextDelay(c.outcome, c.elapsed)
				low, high = min(low, delay), max(high, delay)
			}
			if low < c.low || high > c.high || high < c.high*4/5 {
				t.Errorf("delays from %v to %v, want %v to %v", low, high, c.low, c.high)
			}
		})
	}
}

// After another discovery was named and never answered, the fleet's bound holds again.
func TestNewEndpointBoundExpires(t *testing.T) {
	pacer := NewPacer(300, 0, rand.New(rand.NewPCG(1, 1)))
	pacer.EndpointChanged()
	for range newEndpointAttempts {
		pacer.NextDelay(Unreachable, 0)
	}
	var longest time.Duration
	for range 200 {
		longest = max(longest, pacer.NextDelay(Unreachable, 0))
	}
	if longest < 2500*time.Millisecond {
		t.Errorf("delays up to %v", longest)
	}
}

// Once discovery has a change and can be reached, a scheduler has it within MaxPropagationDelay: over
// every sequence of outcomes of up to six calls, on virtual time, with each call as long as it can be,
// each delay the longest of many draws, and the change made at the worst moment of the last call that
// failed.
func TestPropagationDelay(t *testing.T) {
	calls := []struct {
		outcome   Outcome
		elapsed   time.Duration // 0 for Unanswered: the longest
		reachable bool          // from its beginning; else it proves that discovery was not
	}{
		{Unanswered, 0, true},
		{Unanswered, DialTimeout, true},
		{Unreachable, 0, false},
		{Unreachable, DialTimeout, true},
		{Overloaded, 0, true},
		{Overloaded, time.Second, true},
		{Overloaded, 3 * time.Second, true},
		{Invalid, 0, true},
	}
	for _, n := range []int{1, 2, 5, 20, 80, 300, 1000} {
		var explore func(pacer *Pacer, depth int)
		explore = func(pacer *Pacer, depth int) {
			for _, call := range calls {
				elapsed, delay := call.elapsed, time.Duration(0)
				if call.outcome == Unanswered && elapsed == 0 {
					elapsed = pacer.Timeout(maxWatchHold) // it was broken as it began, and the change is as old
				}
				next := *pacer
				for range 12 {
					next = *pacer
					delay = max(delay, next.NextDelay(call.outcome, elapsed))
				}
				propagation := delay + answerDelay + schedulingDelay
				if call.reachable {
					propagation += elapsed
				}
				if propagation > MaxPropagationDelay {
					t.Fatalf("%d schedulers: after call %d (%+v) a change is known after %v", n, depth, call, propagation)
				}
				if depth < 6 {
					explore(&next, depth+1)
				}
			}
		}
		explore(NewPacer(n, 0, rand.New(rand.NewPCG(uint64(n), 1))), 1)
	}
}

// An agent serves one scheduler: what it has at the end of an outage is known well within the
// shortest drain grace, however many schedulers there are and however often it failed.
func TestAgentIsPolledAtShortIntervals(t *testing.T) {
	pacer := NewAgentPacer(rand.New(rand.NewPCG(1, 1)))
	for range 200 {
		for _, outcome := range []Outcome{Unreachable, Unanswered, Overloaded, Invalid} {
			if delay := pacer.NextDelay(outcome, time.Second); delay > 100*time.Millisecond {
				t.Errorf("%d: asked again after %v", outcome, delay)
			}
		}
		limit := pacer.WatchHold() + pacer.Timeout(0)
		if limit > 2500*time.Millisecond || pacer.InitialDelay() > 0 || pacer.DialTimeout() > 500*time.Millisecond {
			t.Errorf("a watch without an answer is broken off after %v", limit)
		}
	}
}

// An oversized list is polled after ever longer delays, by an agent's scheduler too; the first two
// times within MaxPropagationDelay, and after an answer as if there had been none.
func TestOversizedBackoffGrows(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{1, 300, 1000} {
		for _, pacer := range []*Pacer{NewPacer(n, time.Second, rng), NewAgentPacer(rng)} {
			for range 100 {
				last := time.Duration(0)
				for i := range 12 {
					elapsed := pacer.Timeout(0)
					delay := pacer.NextDelay(Oversized, elapsed)
					if i < 2 && elapsed+delay+answerDelay+schedulingDelay > MaxPropagationDelay {
						t.Fatalf("%d schedulers: known after %v and a delay of %v", n, elapsed, delay)
					}
					if delay < last/2 || i >= 7 && delay < 32*time.Second || delay > maxOversizedBackoff {
						t.Fatalf("%d schedulers: delay %d is %v after one of %v", n, i, delay, last)
					}
					last = delay
				}
				pacer.NextDelay(Answered, 0)
			}
		}
	}
}
