package health

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/vatu-meals/foxlift/internal/slowstart"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// An ejected worker is paused for a backoff that doubles up to its bound, and is on trial until a job succeeds.
func TestEject(t *testing.T) {
	var o Outlier
	rng := newRand()
	for _, want := range []int64{second, 2 * second, 4 * second, 4 * second} {
		o.Eject(0, second, 4*second, rng)
		s := o.State()
		if s.Backoff != want || s.PausedUntil < want || s.PausedUntil > want*3/2 || !o.OnTrial() {
			t.Fatalf("after Eject(): %+v, want a backoff of %d, a pause of up to 1.5 times that, and a trial", s, want)
		}
		if !o.Paused(s.PausedUntil-1) || o.Paused(s.PausedUntil) {
			t.Errorf("Paused() does not end at PausedUntil, %d", s.PausedUntil)
		}
	}
	if o.RecordSuccess(); o.OnTrial() || o.State().Backoff != 0 {
		t.Errorf("after RecordSuccess(): on trial %v, backoff %d, want false, 0", o.OnTrial(), o.State().Backoff)
	}
}

// One failure may be chance, but three in a row make a worker an outlier. On trial one failure is enough. A worker
// that fails what it starts must not end its trial by a timely start.
func TestFailures(t *testing.T) {
	var o Outlier
	if o.RecordFailure(0.2) || o.Failing() {
		t.Error("RecordFailure() or Failing() is true after one failure, want false")
	}
	if o.RecordFailure(0.2) || !o.RecordFailure(0.2) || !o.Failing() {
		t.Error("RecordFailure() is not true from the third failure on, or Failing() is false then")
	}
	o.Eject(0, second, second, newRand())
	if o.RecordTimelyStart(); !o.OnTrial() {
		t.Error("OnTrial() = false after a timely start of a failing worker, want true")
	}
	for range 3 {
		o.RecordSuccess()
	}
	o.Eject(0, second, second, newRand())
	if !o.RecordFailure(0.01) {
		t.Error("RecordFailure(0.01) = false on trial, want true")
	}
}

// The pause doubles with each consecutive rejection, up to a bound. A timely start resets the count of rejections,
// a restart does not.
func TestBackoff(t *testing.T) {
	var o Outlier
	rng := newRand()
	for i, most := range []int64{200, 400, 800, 800} {
		if o.Backoff(1000, 800, rng); !o.Paused(1000+most/2-1) || o.Paused(1000+most) {
			t.Errorf("rejection %d: paused until %d, want %d to %d", i, o.State().PausedUntil, 1000+most/2, 1000+most)
		}
	}
	if o.RecordTimelyStart(); o.Rejections() != 0 {
		t.Errorf("Rejections() = %d after a timely start, want 0", o.Rejections())
	}
	o.Backoff(0, 800, rng)
	if o.Reset(); o.State() != (OutlierState{ConsecutiveRejections: 1}) {
		t.Errorf("after Reset(): %+v, want only one rejection", o.State())
	}
}

// A worker where the last job started at once costs less than an unknown one, and that costs less than one that had
// no free slot. The advantage of a prompt start shrinks with its age.
func TestCost(t *testing.T) {
	var unknown, prompt, old, full Outlier
	prompt.RecordStart(10*second, true)
	old.RecordStart(second, true)
	full.RecordStart(10*second, false)
	costs := []float64{prompt.Cost(10 * second), old.Cost(10 * second), unknown.Cost(10 * second), full.Cost(10 * second)}
	for i := 1; i < len(costs); i++ {
		if costs[i-1] >= costs[i] {
			t.Errorf("Cost() = %v for a recent prompt start, an old one, no job, no free slot, want ascending costs", costs)
		}
	}
}

func newTestSlowStart(rate WorkerRate) SlowStart {
	return NewSlowStart(SlowStartConfig{
		Capacity: 0.2, Duration: 20 * second, OverloadMultiple: 3, MinObjective: float64(second / 10),
		Slots: slowstart.NewSlots(2*second, 2, 0, 1),
	}, rate)
}

// The weight grows linearly from the capacity at the start to 1, and the end of slow start does not overflow.
func TestSlowStartWeight(t *testing.T) {
	s := newTestSlowStart(NewWorkerRate(1))
	w := NewWarmup(0)
	w.Restart(100 * second)
	for at, want := range map[int64]float64{99: 0.2, 100: 0.2, 110: 0.6, 120: 1} {
		if got := s.Weight(&w, at*second); math.Abs(got-want) > 1e-9 {
			t.Errorf("Weight() = %v at %d s, want %v", got, at, want)
		}
	}
	if s.EndsAt(&w) != 120*second || s.Active(&w, 120*second) || !s.Active(&w, 120*second-1) {
		t.Errorf("EndsAt() = %d, or Active() does not end there, want %d", s.EndsAt(&w), 120*second)
	}
	w.Restart(0)
	if s.Active(&w, 0) || s.EndsAt(&w) != math.MinInt64 {
		t.Errorf("started long ago: Active() = %v, EndsAt() = %d, want false, the minimum", s.Active(&w, 0), s.EndsAt(&w))
	}
	w.Restart(math.MaxInt64)
	if s.EndsAt(&w) != math.MaxInt64 {
		t.Errorf("EndsAt() = %d overflows, want the maximum", s.EndsAt(&w))
	}
}

// While no rate is known, a worker gets one light job in a time slot of this scheduler, and no job in other slots.
func TestSlowStartSlots(t *testing.T) {
	s := newTestSlowStart(NewWorkerRate(1))
	w := NewWarmup(0)
	w.Restart(100 * second)
	light := s.EstimatedWork(1, second/10)
	if light != float64(second/10) {
		t.Fatalf("EstimatedWork() = %v for a light job, want %v", light, float64(second/10))
	}
	own := 100 * second // this scheduler owns every second slot of two seconds, from 0
	if !s.NeedsSlot(&w, own) || !s.Ready(&w, own) || !s.Admits(&w, own, light) || s.Ready(&w, own+2*second) {
		t.Error("the worker is not ready in a slot of this scheduler, or is ready in a slot of another")
	}
	s.RecordSend(&w, own, Job{1, second, second / 10}, newRand())
	if s.Ready(&w, own+second) || !s.Ready(&w, own+4*second) {
		t.Error("Ready() is true again in the same slot, or false in the next own slot")
	}
}

// If a rate is known, a worker is ready when it has had time for the work that it was sent.
func TestSlowStartByRate(t *testing.T) {
	rate := NewWorkerRate(1)
	rate.RecordServed(1, second)
	rate.Update(1, 1)
	if rate.Peak() != 1 {
		t.Fatalf("Peak() = %v after a slot in use for a second, want 1", rate.Peak())
	}
	s := newTestSlowStart(rate)
	w := NewWarmup(0)
	w.Restart(100 * second)
	s.RecordSend(&w, 100*second, Job{1, second, second / 10}, newRand())
	_, work := w.LastSend()
	if work < 0.75*float64(second) || work > 1.25*float64(second) {
		t.Errorf("LastSend() work = %v for a job of 1 s, want 0.75 s to 1.25 s", work)
	}
	if s.NeedsSlot(&w, 100*second) || s.Ready(&w, 102*second) || !s.Ready(&w, 105*second) {
		t.Error("NeedsSlot() is true with a known rate, or Ready() is true after 2 s or false after 5 s")
	}
	w.Restart(200 * second)
	s.DelayFirstSend(&w, 200*second, second, newRand())
	if at, work := w.LastSend(); at != 200*second || work <= 0 || work >= float64(second) {
		t.Errorf("after DelayFirstSend(): work %v at %d, want 0 to %d at %d", work, at, second, 200*second)
	}
}

// The peak decays slowly while the recent rate falls. Without a warm worker the rate does not change.
func TestWorkerRate(t *testing.T) {
	r := NewWorkerRate(1)
	r.RecordServed(4, second)
	r.Update(2, 1)
	if r.Peak() != 2 || r.Recent() != 2 {
		t.Fatalf("Peak() = %v, Recent() = %v, want 2, 2", r.Peak(), r.Recent())
	}
	r.Update(2, 2)
	if math.Abs(r.Peak()-1.96) > 1e-9 || r.Recent() != 1 {
		t.Errorf("after an idle second: Peak() = %v, Recent() = %v, want 1.96, 1", r.Peak(), r.Recent())
	}
	r.RecordServed(100, second)
	r.Update(0, 3)
	if r.Recent() != 1 || r.servedSlots != 0 {
		t.Errorf("without a warm worker: Recent() = %v, servedSlots %v, want 1, 0", r.Recent(), r.servedSlots)
	}
}
