package capacity

import (
	"math"
	"testing"
)

// A mean follows its values slowly, from the first one on.
func TestMovingMean(t *testing.T) {
	var m MovingMean
	if m.Add(8); m != (MovingMean{8, 4}) || m.Bound(2) != 16 {
		t.Errorf("%+v after the first value", m)
	}
	if m.Add(72); m != (MovingMean{9, 4 + 60.0/64}) {
		t.Errorf("%+v after the second", m)
	}
}

// A limit falls under what did not go, and grows where it is reached.
func TestLimit(t *testing.T) {
	var l Limit
	l.Restore(4, false)
	l.Increase(2)
	if l.Slots() != 4 || l.Learned() {
		t.Errorf("%v slots, learned %v from a job far under the limit", l.Slots(), l.Learned())
	}
	if l.Increase(3); l.Slots() != 4.25 || !l.Learned() {
		t.Errorf("%v slots after a job at the limit", l.Slots())
	}
	if l.Decrease(3); l.Slots() != 2.5 {
		t.Errorf("%v slots after a rejection at 3", l.Slots())
	}
	if l.Decrease(0); l.Slots() != 1 {
		t.Errorf("%v slots, want 1 at least", l.Slots())
	}
}

// The sum holds the limits that were learned, of live workers, in any order.
func TestLimitSum(t *testing.T) {
	var s LimitSum
	limits := make([]Limit, 3)
	for i := range limits {
		limits[i].Restore(float64(i+1), i > 0)
		s.Update(&limits[i], true)
	}
	if s.Mean() != 2.5 {
		t.Errorf("mean %v of 2 and 3", s.Mean())
	}
	limits[2].Restore(1e9, true)
	if s.Update(&limits[2], true); s.Mean() != (2+maxSummedLimit)/2.0 {
		t.Errorf("mean %v with one that is bounded", s.Mean())
	}
	for i := range limits {
		s.Update(&limits[i], false)
	}
	if s != (LimitSum{}) || s.Mean() != defaultLimit {
		t.Errorf("%+v without a live worker", s)
	}
}

// At the fraction of late starts at which the window is to stay it does, about.
func TestStartWindow(t *testing.T) {
	w := NewStartWindow(1)
	w.Set(100)
	for i := range 4000 {
		if i%4 == 0 {
			w.RecordLate(100)
		} else {
			w.RecordPrompt(100)
		}
	}
	if w.Slots() < 90 || w.Slots() > 110 {
		t.Errorf("window %v", w.Slots())
	}
	before := w.Slots()
	if w.RecordPrompt(before/2 - 1); w.Slots() != before {
		t.Error("it grows though it was not filled")
	}
	if w.RecordLate(10); w.Slots() != 20*(1-windowGain) {
		t.Errorf("window %v after a late start with 10 slots in flight", w.Slots())
	}
	if w.RecordLate(0); w.Slots() != 1 {
		t.Errorf("window %v, want 1 at least", w.Slots())
	}
}

// The least delay of a way is no waiting.
func TestStartDelays(t *testing.T) {
	var s StartDelays
	for _, c := range []struct{ delay, excess int64 }{{40, 0}, {50, 10}, {30, 0}, {40, 10}} {
		if got := s.Excess(1, c.delay); got != c.excess {
			t.Errorf("excess %d of %d, want %d", got, c.delay, c.excess)
		}
	}
	if s.Excess(0, 90) != 0 || s.Min() != [NumPaths]int64{90, 30, 0, 0} {
		t.Errorf("least delays %v", s.Min())
	}
	s.Record(8)
	if s.Bound(4) != 24 {
		t.Errorf("bound %d", s.Bound(4))
	}
}

// Reports tell the slots that a worker has, and the pressure there until they fade.
func TestReports(t *testing.T) {
	p := NewReports([]Gauge{GaugeQueued, GaugeInFlight, GaugeFreeSlots})
	var r LoadReport
	if p.Pressure(&r, 1, 0) != 0 || !math.IsInf(r.MaxSlots(), 1) {
		t.Error("something is known without a report")
	}
	p.Record(&r, [MaxGauges]float64{1, 3, 0}, second)
	if r.TotalSlots() != 2 || r.MaxSlots() != 2 || !r.Valid() || r.ReceivedAt() != second {
		t.Errorf("%+v", r)
	}
	if got := p.ReportPressure(&r, 1); got != 1 {
		t.Errorf("pressure %v where no slot is free", got)
	}
	p.Restore(MovingMean{Average: 0.25}, second)
	if got := p.Pressure(&r, 1, second); got != 1 {
		t.Errorf("pressure %v when fresh", got)
	}
	if got := p.Pressure(&r, 1, 100*second); math.Abs(got-0.25) > 1e-9 {
		t.Errorf("pressure %v when old, want what is usual", got)
	}
	if !p.Fresh(&r, second+second/8-1) || p.Fresh(&r, second+second/8) {
		t.Error("recent for another time than an eighth of the decay")
	}
	p.Record(&r, [MaxGauges]float64{0, 0, 2}, second)
	if got := p.ReportPressure(&r, 1); got != 1.0/3 {
		t.Errorf("pressure %v with two free slots", got)
	}
	if r.AddSentSlots(2); p.ReportPressure(&r, 1) != 1 {
		t.Errorf("pressure %v with two free slots and two sent since", p.ReportPressure(&r, 1))
	}
	if r.Invalidate(); r.Valid() || r.TotalSlots() != 2 {
		t.Error("a worker that restarts has other slots, or its old report")
	}
	busy := NewReports([]Gauge{GaugeBusy})
	if busy.Record(&r, [MaxGauges]float64{0.5}, 0); busy.ReportPressure(&r, 1) != 0.25 {
		t.Errorf("pressure %v at half the cores", busy.ReportPressure(&r, 1))
	}
}
