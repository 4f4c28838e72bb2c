package capacity

import (
	"math"
	"testing"
)

// The first value sets the average, and later ones move it by 1/64 of their difference.
func TestMovingMean(t *testing.T) {
	var m MovingMean
	if m.Add(8); m != (MovingMean{8, 4}) || m.Bound(2) != 16 {
		t.Errorf("after 8: %+v with Bound(2) = %d, want {8 4} with 16", m, m.Bound(2))
	}
	if m.Add(72); m != (MovingMean{9, 4 + 60.0/64}) {
		t.Errorf("after 8 and 72: %+v, want {9 4.9375}", m)
	}
}

// A late start lowers the limit below the slots in use. A prompt start raises it only close to the limit.
func TestLimit(t *testing.T) {
	var l Limit
	l.Restore(4, false)
	l.Increase(2)
	if l.Slots() != 4 || l.Learned() {
		t.Errorf("after Increase(2): %v slots, learned %v, want 4, false", l.Slots(), l.Learned())
	}
	if l.Increase(3); l.Slots() != 4.25 || !l.Learned() {
		t.Errorf("after Increase(3): %v slots, learned %v, want 4.25, true", l.Slots(), l.Learned())
	}
	if l.Decrease(3); l.Slots() != 2.5 {
		t.Errorf("after Decrease(3): %v slots, want 2.5", l.Slots())
	}
	if l.Decrease(0); l.Slots() != 1 {
		t.Errorf("after Decrease(0): %v slots, want 1", l.Slots())
	}
}

// The sum contains the learned limits of live workers only, bounded by maxSummedLimit, and is empty after all of
// them are removed.
func TestLimitSum(t *testing.T) {
	var s LimitSum
	limits := make([]Limit, 3)
	for i := range limits {
		limits[i].Restore(float64(i+1), i > 0)
		s.Update(&limits[i], true)
	}
	if s.Mean() != 2.5 {
		t.Errorf("Mean() = %v with limits 2 and 3, want 2.5", s.Mean())
	}
	limits[2].Restore(1e9, true)
	if s.Update(&limits[2], true); s.Mean() != (2+maxSummedLimit)/2.0 {
		t.Errorf("Mean() = %v with limits 2 and 1e9, want %v", s.Mean(), (2+maxSummedLimit)/2.0)
	}
	for i := range limits {
		s.Update(&limits[i], false)
	}
	if s != (LimitSum{}) || s.Mean() != defaultLimit {
		t.Errorf("sum %+v with Mean() = %v without a live worker, want an empty sum and %d", s, s.Mean(), defaultLimit)
	}
}

// The window stays about the same at the targeted fraction of late starts. It grows only if it is used, and one
// late start shrinks it to about twice the slots in flight.
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
		t.Errorf("window %v after 4000 starts, a quarter of them late, want 90 to 110", w.Slots())
	}
	before := w.Slots()
	if w.RecordPrompt(before/2 - 1); w.Slots() != before {
		t.Errorf("window %v after a start with less than half of it in flight, want %v", w.Slots(), before)
	}
	if w.RecordLate(10); w.Slots() != 20*(1-windowGain) {
		t.Errorf("window %v after a late start with 10 slots in flight, want %v", w.Slots(), 20*(1-windowGain))
	}
	if w.RecordLate(0); w.Slots() != 1 {
		t.Errorf("window %v after a late start with no slot in flight, want 1", w.Slots())
	}
}

// Excess subtracts the shortest delay of the same path: that delay contains no waiting for a slot.
func TestStartDelays(t *testing.T) {
	var s StartDelays
	for _, c := range []struct{ delay, excess int64 }{{40, 0}, {50, 10}, {30, 0}, {40, 10}} {
		if got := s.Excess(1, c.delay); got != c.excess {
			t.Errorf("Excess(1, %d) = %d, want %d", c.delay, got, c.excess)
		}
	}
	if s.Excess(0, 90) != 0 || s.Min() != [NumPaths]int64{90, 30, 0, 0} {
		t.Errorf("Min() = %v, want [90 30 0 0]", s.Min())
	}
	s.Record(8)
	if s.Bound(4) != 24 {
		t.Errorf("Bound(4) = %d after a delay of 8, want 24", s.Bound(4))
	}
}

// Load reports yield a worker's total slots and its pressure. The pressure decays to the fleet's average with the
// age of the report.
func TestReports(t *testing.T) {
	p := NewReports([]Gauge{GaugeQueued, GaugeInFlight, GaugeFreeSlots})
	var r LoadReport
	if p.Pressure(&r, 1, 0) != 0 || !math.IsInf(r.MaxSlots(), 1) {
		t.Errorf("without a report: Pressure() = %v, MaxSlots() = %v, want 0, +Inf", p.Pressure(&r, 1, 0), r.MaxSlots())
	}
	p.Record(&r, [MaxGauges]float64{1, 3, 0}, second)
	if r.TotalSlots() != 2 || r.MaxSlots() != 2 || !r.Valid() || r.ReceivedAt() != second {
		t.Errorf("after Record(): %+v, want 2 slots in total, valid, received at %d", r, second)
	}
	if got := p.ReportPressure(&r, 1); got != 1 {
		t.Errorf("ReportPressure() = %v with no free slot, want 1", got)
	}
	p.Restore(MovingMean{Average: 0.25}, second)
	if got := p.Pressure(&r, 1, second); got != 1 {
		t.Errorf("Pressure() = %v with a report of age 0, want 1", got)
	}
	if got := p.Pressure(&r, 1, 100*second); math.Abs(got-0.25) > 1e-9 {
		t.Errorf("Pressure() = %v with a report 99 s old, want the average of 0.25", got)
	}
	if !p.Fresh(&r, second+second/8-1) || p.Fresh(&r, second+second/8) {
		t.Errorf("Fresh() does not end at an eighth of the decay time, %d ns", second/8)
	}
	p.Record(&r, [MaxGauges]float64{0, 0, 2}, second)
	if got := p.ReportPressure(&r, 1); got != 1.0/3 {
		t.Errorf("ReportPressure() = %v with two free slots, want 1/3", got)
	}
	if r.AddSentSlots(2); p.ReportPressure(&r, 1) != 1 {
		t.Errorf("ReportPressure() = %v with two free slots and two sent since, want 1", p.ReportPressure(&r, 1))
	}
	if r.Invalidate(); r.Valid() || r.TotalSlots() != 2 {
		t.Errorf("after Invalidate(): valid %v, %v slots in total, want false, 2", r.Valid(), r.TotalSlots())
	}
	busy := NewReports([]Gauge{GaugeBusy})
	if busy.Record(&r, [MaxGauges]float64{0.5}, 0); busy.ReportPressure(&r, 1) != 0.25 {
		t.Errorf("ReportPressure() = %v with half of the cores busy, want 0.25", busy.ReportPressure(&r, 1))
	}
}
