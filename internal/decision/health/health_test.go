package health

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/vatu-meals/foxlift/internal/slowstart"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// An ejected worker gets nothing for a backoff that doubles, then one trial job.
func TestEject(t *testing.T) {
	var o Outlier
	rng := newRand()
	for _, want := range []int64{second, 2 * second, 4 * second, 4 * second} {
		o.Eject(0, second, 4*second, rng)
		s := o.State()
		if s.Backoff != want || s.PausedUntil < want || s.PausedUntil > want*3/2 || !o.OnTrial() {
			t.Fatalf("%+v, want a backoff of %d", s, want)
		}
		if !o.Paused(s.PausedUntil-1) || o.Paused(s.PausedUntil) {
			t.Error("it is not ejected until then")
		}
	}
	if o.RecordSuccess(); o.OnTrial() || o.State().Backoff != 0 {
		t.Error("still on trial after a success")
	}
}

// One failure is chance, a run is not; on trial one is enough, and a timely start proves nothing then.
func TestFailures(t *testing.T) {
	var o Outlier
	if o.RecordFailure(0.2) || o.Failing() {
		t.Error("one failure is no chance")
	}
	if o.RecordFailure(0.2) || !o.RecordFailure(0.2) || !o.Failing() {
		t.Error("a run of failures is taken for chance, or is too short")
	}
	o.Eject(0, second, second, newRand())
	if o.RecordTimelyStart(); !o.OnTrial() {
		t.Error("a worker that fails what it starts is off trial at the start")
	}
	for range 3 {
		o.RecordSuccess()
	}
	o.Eject(0, second, second, newRand())
	if !o.RecordFailure(0.01) {
		t.Error("a failure on trial is taken for chance")
	}
}

// The pauses after rejections in a row grow, and begin anew after a timely start.
func TestBackoff(t *testing.T) {
	var o Outlier
	rng := newRand()
	for i, most := range []int64{200, 400, 800, 800} {
		if o.Backoff(1000, 800, rng); !o.Paused(1000+most/2-1) || o.Paused(1000+most) {
			t.Errorf("rejection %d: backs off until %d", i, o.State().PausedUntil)
		}
	}
	if o.RecordTimelyStart(); o.Rejections() != 0 {
		t.Error("rejections count after a timely start")
	}
	o.Backoff(0, 800, rng)
	if o.Reset(); o.State() != (OutlierState{ConsecutiveRejections: 1}) {
		t.Errorf("%+v after a restart", o.State())
	}
}

// A worker where our last job started at once costs less than one that is unknown, and that less than one
// that had no room.
func TestCost(t *testing.T) {
	var unknown, prompt, old, full Outlier
	prompt.RecordStart(10*second, true)
	old.RecordStart(second, true)
	full.RecordStart(10*second, false)
	costs := []float64{prompt.Cost(10 * second), old.Cost(10 * second), unknown.Cost(10 * second), full.Cost(10 * second)}
	for i := 1; i < len(costs); i++ {
		if costs[i-1] >= costs[i] {
			t.Errorf("costs %v are not in order", costs)
		}
	}
}

func newTestSlowStart(rate WorkerRate) SlowStart {
	return NewSlowStart(SlowStartConfig{
		Capacity: 0.2, Duration: 20 * second, OverloadMultiple: 3, MinObjective: float64(second / 10),
		Slots: slowstart.NewSlots(2*second, 2, 0, 1),
	}, rate)
}

// The weight grows from the first capacity to the whole.
func TestSlowStartWeight(t *testing.T) {
	s := newTestSlowStart(NewWorkerRate(1))
	w := NewWarmup(0)
	w.Restart(100 * second)
	for at, want := range map[int64]float64{99: 0.2, 100: 0.2, 110: 0.6, 120: 1} {
		if got := s.Weight(&w, at*second); math.Abs(got-want) > 1e-9 {
			t.Errorf("weight %v at %d s, want %v", got, at, want)
		}
	}
	if s.EndsAt(&w) != 120*second || s.Active(&w, 120*second) || !s.Active(&w, 120*second-1) {
		t.Errorf("slow start until %d", s.EndsAt(&w))
	}
	w.Restart(0)
	if s.Active(&w, 0) || s.EndsAt(&w) != math.MinInt64 {
		t.Error("a worker that started long ago is in slow start")
	}
	w.Restart(math.MaxInt64)
	if s.EndsAt(&w) != math.MaxInt64 {
		t.Error("the end of slow start overflows")
	}
}

// Where no rate is known a worker gets a light job in a slot of this scheduler, and none more in it.
func TestSlowStartSlots(t *testing.T) {
	s := newTestSlowStart(NewWorkerRate(1))
	w := NewWarmup(0)
	w.Restart(100 * second)
	light := s.EstimatedWork(1, second/10)
	if light != float64(second/10) {
		t.Fatalf("a light job counts for %v", light)
	}
	own := 100 * second // of slots of two seconds the even ones
	if !s.NeedsSlot(&w, own) || !s.Ready(&w, own) || !s.Admits(&w, own, light) || s.Ready(&w, own+2*second) {
		t.Error("ready in another's slot, or not in its own")
	}
	s.RecordSend(&w, own, Job{1, second, second / 10}, newRand())
	if s.Ready(&w, own+second) || !s.Ready(&w, own+4*second) {
		t.Error("ready again in the same slot, or not in the next")
	}
}

// Where a rate is known a worker is ready when it has had time for the work it was sent.
func TestSlowStartByRate(t *testing.T) {
	rate := NewWorkerRate(1)
	rate.RecordServed(1, second)
	rate.Update(1, 1)
	if rate.Peak() != 1 {
		t.Fatalf("rate %v", rate.Peak())
	}
	s := newTestSlowStart(rate)
	w := NewWarmup(0)
	w.Restart(100 * second)
	s.RecordSend(&w, 100*second, Job{1, second, second / 10}, newRand())
	_, work := w.LastSend()
	if work < 0.75*float64(second) || work > 1.25*float64(second) {
		t.Errorf("work %v for a job of a second", work)
	}
	if s.NeedsSlot(&w, 100*second) || s.Ready(&w, 102*second) || !s.Ready(&w, 105*second) {
		t.Error("ready at once, or not in the end")
	}
	w.Restart(200 * second)
	s.DelayFirstSend(&w, 200*second, second, newRand())
	if at, work := w.LastSend(); at != 200*second || work <= 0 || work >= float64(second) {
		t.Errorf("the first send is put off by %v after %d", work, at)
	}
}

// A peak is held, and decays slowly; without a warm worker nothing is learned.
func TestWorkerRate(t *testing.T) {
	r := NewWorkerRate(1)
	r.RecordServed(4, second)
	r.Update(2, 1)
	if r.Peak() != 2 || r.Recent() != 2 {
		t.Fatalf("peak %v, recent %v, want 2", r.Peak(), r.Recent())
	}
	r.Update(2, 2)
	if math.Abs(r.Peak()-1.96) > 1e-9 || r.Recent() != 1 {
		t.Errorf("peak %v, recent %v after an idle second", r.Peak(), r.Recent())
	}
	r.RecordServed(100, second)
	r.Update(0, 3)
	if r.Recent() != 1 || r.servedSlots != 0 {
		t.Error("learned without a warm worker")
	}
}
