package pollpacing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A fleet plays askers against one discovery that serves calls one after another, by the
// order in which they came, and refuses what has waited for patience. It has no real clock.
type pollers struct {
	n              int
	cost, patience time.Duration
	down           time.Duration // until then every call fails at once
	naive          bool          // pauses as before: half a second, doubled, of which half is chance
	events         schedule
}

type event struct {
	at   time.Duration
	do   func(now time.Duration)
	tick int
}

type schedule []event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].tick < s[j].tick
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// seen is what a play saw.
type result struct {
	half, all       time.Duration // until half, and all, had an answer
	calls, rejected int
	maxRate         int // calls in one second
}

func (f *pollers) play(seed uint64) (r result) {
	ticks := 0
	after := func(at time.Duration, do func(time.Duration)) {
		ticks++
		heap.Push(&f.events, event{at, do, ticks})
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	seconds := map[time.Duration]int{}
	var queue []func(now time.Duration)
	busy, answered := false, 0
	serve := func(now time.Duration) {
		if !busy && len(queue) > 0 {
			next := queue[0]
			queue = queue[1:]
			next(now)
		}
	}
	for range f.n {
		a := NewPacer(f.n, 20*time.Second, rand.New(rand.NewPCG(seed, rng.Uint64())))
		backoff := 250 * time.Millisecond
		var ask func(now time.Duration)
		failed := func(now, took time.Duration, o Outcome) {
			r.rejected++
			pause := a.NextDelay(o, took)
			if f.naive {
				backoff = min(2*backoff, 5*time.Second)
				pause = backoff/2 + time.Duration(rng.Int64N(int64(backoff/2)))
			}
			after(now+pause, ask)
		}
		ask = func(began time.Duration) {
			r.calls++
			seconds[began/time.Second]++
			r.maxRate = max(r.maxRate, seconds[began/time.Second])
			if began < f.down {
				failed(began, 0, Unreachable)
				return
			}
			waits := true
			queue = append(queue, func(now time.Duration) {
				if !waits {
					serve(now)
					return
				}
				waits, busy = false, true
				after(now+f.cost, func(now time.Duration) {
					busy = false
					if answered++; answered == (f.n+1)/2 {
						r.half = now
					}
					r.all = now
					serve(now)
				})
			})
			after(began+f.patience, func(now time.Duration) {
				if waits {
					waits = false
					failed(now, f.patience, Overloaded)
				}
			})
			serve(began)
		}
		after(a.InitialDelay(), ask)
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		e.do(e.at)
	}
	return r
}

// One second's calls of all schedulers stay under a figure that does not grow with them, and
// the last has its list soon after discovery could have answered all one after another.
func TestFleetPollsDiscovery(t *testing.T) {
	for _, n := range []int{1, 10, 100, 300, 1000} {
		for _, down := range []time.Duration{0, 10 * time.Second} {
			t.Run(fmt.Sprintf("%d, down %v", n, down), func(t *testing.T) {
				var worst, before result
				for seed := range uint64(10) {
					play := func(naive bool, r *result) {
						f := pollers{n: n, cost: 22 * time.Millisecond, patience: 2 * time.Second, down: down, naive: naive}
						s := f.play(seed)
						*r = result{max(r.half, s.half), max(r.all, s.all), max(r.calls, s.calls), max(r.rejected, s.rejected), max(r.maxRate, s.maxRate)}
					}
					play(false, &worst)
					play(true, &before)
				}
				t.Logf("half %.2f s, all %.2f s, calls %d, refused %d, in a second %d; before: %.2f s, %.2f s, %d, %d, %d",
					worst.half.Seconds(), worst.all.Seconds(), worst.calls, worst.rejected, worst.maxRate,
					before.half.Seconds(), before.all.Seconds(), before.calls, before.rejected, before.maxRate)
				least := down + time.Duration(n)*22*time.Millisecond
				if limit := least + least/4 + 2*time.Second; worst.all > limit {
					t.Errorf("the last has its list after %v, want %v", worst.all, limit)
				}
				if worst.maxRate > 500 {
					t.Errorf("%d calls in a second", worst.maxRate)
				}
				// What is spared are calls, unless the list's clock (TestPropagationDelay) asks for more: a
				// refused call costs discovery no work, and all have their lists sooner for it.
				if n == 300 && down == 0 && 10*worst.calls > 9*before.calls {
					t.Errorf("%d calls, %d before", worst.calls, before.calls)
				}
				if n >= 300 && (worst.all > before.all || down == 0 && 10*worst.calls > 11*before.calls) {
					t.Errorf("all after %v and %d calls, %v and %d before", worst.all, worst.calls, before.all, before.calls)
				}
			})
		}
	}
}

// Who was turned away more often comes back sooner, on average.
func TestRejectedCallsRetrySooner(t *testing.T) {
	mean := func(times int) (sum time.Duration) {
		rng := rand.New(rand.NewPCG(1, 2))
		for range 2000 {
			a := NewPacer(300, 0, rng)
			for range times - 1 {
				a.NextDelay(Overloaded, 2*time.Second)
			}
			sum += a.NextDelay(Overloaded, 2*time.Second) / 2000
		}
		return sum
	}
	if one, three := mean(1), mean(3); three > one*3/5 || three < one*2/5 {
		t.Errorf("pauses of %v after the first refusal, %v after the third", one, three)
	}
}

func TestPauses(t *testing.T) {
	for _, c := range []struct {
		name        string
		n           int
		before      []Outcome
		moved       bool
		o           Outcome
		took        time.Duration
		least, most time.Duration
	}{
		{"answered", 300, []Outcome{Overloaded, Overloaded}, false, Answered, time.Second, 0, 0},
		{"a few, down", 3, nil, false, Unreachable, 0, 50 * time.Millisecond, 100 * time.Millisecond},
		{"a few, down for long", 3, slices.Repeat([]Outcome{Unreachable}, 20), false, Unreachable, 0, 50 * time.Millisecond, time.Second},
		{"many, down", 300, nil, false, Unreachable, 0, 50 * time.Millisecond, 3 * time.Second},
		{"many, turned away", 300, nil, false, Overloaded, 2 * time.Second, 50 * time.Millisecond, 2450 * time.Millisecond},
		{"many, after a long wait", 300, nil, false, Overloaded, 3 * time.Second, 50 * time.Millisecond, 1450 * time.Millisecond},
		{"many, refused at once", 1000, nil, false, Overloaded, 0, 50 * time.Millisecond, 4450 * time.Millisecond},
		{"some, refused at once", 60, nil, false, Overloaded, 20 * time.Millisecond, 50 * time.Millisecond, 1200 * time.Millisecond},
		{"many, after a silence", 300, []Outcome{Overloaded, Overloaded}, false, TimedOut, 4 * time.Second, 50 * time.Millisecond, 250 * time.Millisecond},
		{"a fleet without end", 1 << 40, nil, false, Unreachable, 0, 1725 * time.Millisecond, 3450 * time.Millisecond},
		{"a few, moved", 3, nil, true, Unreachable, 0, 50 * time.Millisecond, 50 * time.Millisecond},
		{"many, moved", 300, nil, true, Unreachable, 0, 50 * time.Millisecond, 500 * time.Millisecond},
		{"faulty", 300, nil, false, Invalid, 0, 50 * time.Millisecond, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			var low, high time.Duration = time.Hour, 0
			for seed := range uint64(500) {
				a := NewPacer(c.n, 20*time.Second, rand.New(rand.NewPCG(seed, 1)))
				for _, o := range c.before {
					a.NextDelay(o, time.Second)
				}
				if c.moved {
					a.EndpointChanged()
				}
				pause := a.NextDelay(c.o, c.took)
				low, high = min(low, pause), max(high, pause)
			}
			if low < c.least || high > c.most || high < c.most*4/5 {
				t.Errorf("pauses from %v to %v, want %v to %v", low, high, c.least, c.most)
			}
		})
	}
}

// After a move that is never answered the fleet's bound holds again.
func TestNewEndpointBoundEnds(t *testing.T) {
	a := NewPacer(300, 0, rand.New(rand.NewPCG(1, 1)))
	a.EndpointChanged()
	for range newEndpointAttempts {
		a.NextDelay(Unreachable, 0)
	}
	var most time.Duration
	for range 200 {
		most = max(most, a.NextDelay(Unreachable, 0))
	}
	if most < 2500*time.Millisecond {
		t.Errorf("pauses up to %v", most)
	}
}

// From any moment at which discovery has a change and can be reached, a scheduler has it within
// MaxPropagationDelay: over every sequence of outcomes of up to six calls, on virtual time, with each call
// as long as it can be, each pause the longest of many draws, and the change made at the worst
// moment of the last call that failed.
func TestPropagationDelay(t *testing.T) {
	kinds := []struct {
		o         Outcome
		took      time.Duration // 0 for Silent: the longest
		reachable bool          // from its beginning; else it proves that discovery was not
	}{
		{TimedOut, 0, true}, {TimedOut, DialTimeout, true}, {Unreachable, 0, false}, {Unreachable, DialTimeout, true},
		{Overloaded, 0, true}, {Overloaded, time.Second, true}, {Overloaded, 3 * time.Second, true}, {Invalid, 0, true},
	}
	for _, n := range []int{1, 2, 5, 20, 80, 300, 1000} {
		var play func(a *Pacer, depth int)
		play = func(a *Pacer, depth int) {
			for _, k := range kinds {
				took, pause := k.took, time.Duration(0)
				if k.o == TimedOut && took == 0 {
					took = a.Timeout(maxWatchHold) // it was broken as it began, and the change is as old
				}
				next := *a
				for range 12 {
					next = *a
					pause = max(pause, next.NextDelay(k.o, took))
				}
				told := pause + answerDelay + schedulingDelay
				if k.reachable {
					told += took
				}
				if told > MaxPropagationDelay {
					t.Fatalf("%d schedulers: after call %d (%+v) a change is known after %v", n, depth, k, told)
				}
				if depth < 6 {
					play(&next, depth+1)
				}
			}
		}
		play(NewPacer(n, 0, rand.New(rand.NewPCG(uint64(n), 1))), 1)
	}
}

// An agent serves one scheduler: what it has at the end of an outage is had well within the least
// grace for drains, however many schedulers there are and however often it failed.
func TestAgentIsPolledAgainAtOnce(t *testing.T) {
	a := NewAgentPacer(rand.New(rand.NewPCG(1, 1)))
	for range 200 {
		for _, o := range []Outcome{Unreachable, TimedOut, Overloaded, Invalid} {
			if pause := a.NextDelay(o, time.Second); pause > 100*time.Millisecond {
				t.Errorf("%d: asked again after %v", o, pause)
			}
		}
		if limit := a.WatchHold() + a.Timeout(0); limit > 2500*time.Millisecond || a.InitialDelay() > 0 || a.DialTimeout() > 500*time.Millisecond {
			t.Errorf("a silent watch is broken after %v", limit)
		}
	}
}

// A list over the bound is asked for again and again at ever longer times, by an agent's scheduler
// too; the first two times within the list's clock, and after an answer as if there had been none.
func TestOversizedPausesGrow(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{1, 300, 1000} {
		for _, a := range []*Pacer{NewPacer(n, time.Second, rng), NewAgentPacer(rng)} {
			for range 100 {
				last := time.Duration(0)
				for i := range 12 {
					took := a.Timeout(0)
					pause := a.NextDelay(Oversized, took)
					if i < 2 && took+pause+answerDelay+schedulingDelay > MaxPropagationDelay {
						t.Fatalf("%d schedulers: known after %v and a pause of %v", n, took, pause)
					}
					if pause < last/2 || i >= 7 && pause < 32*time.Second || pause > maxOversizedBackoff {
						t.Fatalf("%d schedulers: pause %d is %v after one of %v", n, i, pause, last)
					}
					last = pause
				}
				a.NextDelay(Answered, 0)
			}
		}
	}
}
