package pollpacing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A simulation runs a fleet of pacers against one discovery service that serves calls one at a time, in the
// order of their arrival, and refuses a call that has waited for queueTimeout. It uses virtual time.
type simulation struct {
	schedulers                int
	serviceTime, queueTimeout time.Duration
	downUntil                 time.Duration // before this time every call fails at once
	naive                     bool          // use backoff from 0.5 s, doubled up to 5 s, half of it random, not the pacers

	pending        eventHeap
	sequence       int
	rng            *rand.Rand
	callsPerSecond map[time.Duration]int
	queue          []func(now time.Duration)
	busy           bool
	answered       int
	result         result
}

// An event is an action at a virtual time. Events of the same time run in the order of their sequence.
type event struct {
	at       time.Duration
	do       func(now time.Duration)
	sequence int
}

// An eventHeap orders events by time; it implements heap.Interface.
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

// A result holds the measurements of a simulation.
type result struct {
	half, all       time.Duration // time until half of the schedulers, and all, had an answer
	calls, rejected int
	maxRate         int // most calls in one second
}

// maximum returns the larger value of each measurement.
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
	backoff    time.Duration // last backoff in the naive mode
}

// run simulates until every scheduler has an answer, and returns the measurements.
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

// after schedules an action for a virtual time.
func (s *simulation) after(at time.Duration, do func(now time.Duration)) {
	s.sequence++
	heap.Push(&s.pending, event{at, do, s.sequence})
}

// serve starts to serve the next call in discovery's queue, if discovery is idle.
func (s *simulation) serve(now time.Duration) {
	if !s.busy && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next(now)
	}
}

// answer completes the call that discovery serves.
func (s *simulation) answer(now time.Duration) {
	s.busy = false
	if s.answered++; s.answered == (s.schedulers+1)/2 {
		s.result.half = now
	}
	s.result.all = now
	s.serve(now)
}

// poll starts a call to discovery: it fails at once, is queued and answered, or is refused after queueTimeout.
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

// failed schedules the next call after a failed one.
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

// After a start or an outage of discovery all schedulers call it together. The calls per second must stay
// below a limit that does not grow with the fleet, and the last scheduler must have its list soon after the
// time that discovery needs to answer all calls one after another.
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
				t.Logf("half %.2f s, all %.2f s, calls %d, refused %d, per second %d; naive: %.2f s, %.2f s, %d, %d, %d",
					worst.half.Seconds(), worst.all.Seconds(), worst.calls, worst.rejected, worst.maxRate,
					naiveWorst.half.Seconds(), naiveWorst.all.Seconds(), naiveWorst.calls, naiveWorst.rejected, naiveWorst.maxRate)
				minimum := down + time.Duration(n)*22*time.Millisecond
				if limit := minimum + minimum/4 + 2*time.Second; worst.all > limit {
					t.Errorf("the last scheduler has its list after %v, want at most %v", worst.all, limit)
				}
				if worst.maxRate > 500 {
					t.Errorf("%d calls in one second, want at most 500", worst.maxRate)
				}
				// The fleet makes fewer calls than the naive one, unless MaxPropagationDelay requires more: a
				// refused call costs discovery no work, and all schedulers have their lists sooner.
				if n == 300 && down == 0 && 10*worst.calls > 9*naiveWorst.calls {
					t.Errorf("%d calls, want at most 90%% of the %d calls of the naive fleet", worst.calls, naiveWorst.calls)
				}
				if n >= 300 && (worst.all > naiveWorst.all || down == 0 && 10*worst.calls > 11*naiveWorst.calls) {
					t.Errorf("all schedulers have lists after %v and %d calls, in the naive fleet after %v and %d",
						worst.all, worst.calls, naiveWorst.all, naiveWorst.calls)
				}
			})
		}
	}
}

// A scheduler that was refused more often calls again sooner, on average; otherwise some schedulers would
// never be served.
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
		t.Errorf("mean delay %v after the first refusal and %v after the third, want 2/5 to 3/5 of the first", one, three)
	}
}

// The delays after each outcome stay within their bounds and use nearly the whole range.
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
		{"small fleet, down", 3, nil, false, Unreachable, 0, 50 * ms, 100 * ms},
		{
			"small fleet, down for long", 3, slices.Repeat([]Outcome{Unreachable}, 20), false,
			Unreachable, 0, 50 * ms, time.Second,
		},
		{"large fleet, down", 300, nil, false, Unreachable, 0, 50 * ms, 3 * time.Second},
		{"large fleet, refused after a wait", 300, nil, false, Overloaded, 2 * time.Second, 50 * ms, 2450 * ms},
		{"large fleet, refused after a long wait", 300, nil, false, Overloaded, 3 * time.Second, 50 * ms, 1450 * ms},
		{"large fleet, refused at once", 1000, nil, false, Overloaded, 0, 50 * ms, 4450 * ms},
		{"medium fleet, refused at once", 60, nil, false, Overloaded, 20 * ms, 50 * ms, 1200 * ms},
		{
			"large fleet, no answer", 300,
			[]Outcome{Overloaded, Overloaded},
			false,
			Unanswered, 4 * time.Second, 50 * ms, 250 * ms,
		},
		{"fleet larger than maxSchedulers", 1 << 40, nil, false, Unreachable, 0, 1725 * ms, 3450 * ms},
		{"small fleet, new endpoint", 3, nil, true, Unreachable, 0, 50 * ms, 50 * ms},
		{"large fleet, new endpoint", 300, nil, true, Unreachable, 0, 50 * ms, 500 * ms},
		{"large fleet, invalid answer", 300, nil, false, Invalid, 0, 50 * ms, 3 * time.Second},
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
				t.Errorf("NextDelay() returns delays from %v to %v, want %v to %v", low, high, c.low, c.high)
			}
		})
	}
}

// The short backoff after a change of discovery's address ends after newEndpointAttempts failed calls: if the
// new address never answers, the bound for the whole fleet applies again.
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
		t.Errorf("longest delay after %d failed calls is %v, want at least 2.5s", newEndpointAttempts, longest)
	}
}

// Once discovery has a change and is reachable, a scheduler has the change within MaxPropagationDelay. The
// test tries every sequence of outcomes of up to six calls, without a clock: each call takes as long as
// possible, each delay is the longest of 12 draws, and the change occurs at the worst moment of the last
// failed call.
func TestPropagationDelay(t *testing.T) {
	calls := []struct {
		outcome   Outcome
		elapsed   time.Duration // for Unanswered, 0 means the longest timeout
		reachable bool          // whether discovery may have been reachable since the start of the call
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
					elapsed = pacer.Timeout(maxWatchHold) // the call was lost at its start, when the change occurred
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
					t.Fatalf("%d schedulers: after call %d (%+v) a change arrives after %v, want at most %v",
						n, depth, call, propagation, MaxPropagationDelay)
				}
				if depth < 6 {
					explore(&next, depth+1)
				}
			}
		}
		explore(NewPacer(n, 0, rand.New(rand.NewPCG(uint64(n), 1))), 1)
	}
}

// An agent serves one scheduler: after an outage its list must arrive well within the shortest drain grace
// period, however many schedulers there are and however many calls have failed.
func TestAgentIsPolledAtShortIntervals(t *testing.T) {
	pacer := NewAgentPacer(rand.New(rand.NewPCG(1, 1)))
	for range 200 {
		for _, outcome := range []Outcome{Unreachable, Unanswered, Overloaded, Invalid} {
			if delay := pacer.NextDelay(outcome, time.Second); delay > 100*time.Millisecond {
				t.Errorf("NextDelay(%d) = %v, want at most 100ms", outcome, delay)
			}
		}
		limit := pacer.WatchHold() + pacer.Timeout(0)
		if limit > 2500*time.Millisecond || pacer.InitialDelay() > 0 || pacer.DialTimeout() > 500*time.Millisecond {
			t.Errorf("watch hold and timeout %v, want <= 2.5s; initial delay %v, want 0; dial timeout %v, want <= 500ms",
				limit, pacer.InitialDelay(), pacer.DialTimeout())
		}
	}
}

// After oversized answers the delays grow, also with an agent: each such answer costs discovery the complete
// list without any use. The first two delays keep MaxPropagationDelay, and a usable answer resets them.
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
						t.Fatalf("%d schedulers: a call of %v and a delay of %v exceed MaxPropagationDelay", n, elapsed, delay)
					}
					if delay < last/2 || i >= 7 && delay < 32*time.Second || delay > maxOversizedBackoff {
						t.Fatalf("%d schedulers: delay %d is %v after a delay of %v", n, i, delay, last)
					}
					last = delay
				}
				pacer.NextDelay(Answered, 0)
			}
		}
	}
}
