package admission

import (
	"math"
	"testing"
)

// The figures are those of Table 1 of the Triage paper.
func TestSplitMatchesTriageTable1(t *testing.T) {
	bands := []Band{{100, []float64{50, 50}}, {300, []float64{100, 0}}, {500, []float64{0, 100}}}
	for _, c := range []struct{ u, w1, w2, past float64 }{
		{60, 30, 30, 0},
		{100, 50, 50, 0},
		{250, 200, 50, 0},
		{400, 350, 50, 0},
		{500, 350, 150, 0},
		{900, 350, 550, 0},
		{1000, 350, 550, 100},
	} {
		got, past := splitRate(c.u, bands, 2)
		if math.Abs(got[0]-c.w1)+math.Abs(got[1]-c.w2)+math.Abs(past-c.past) > 1e-9 {
			t.Errorf("u %v: %v and %v past the bands, want %v %v and %v", c.u, got, past, c.w1, c.w2, c.past)
		}
	}
}

func TestMeasuredFractionOfTraffic(t *testing.T) {
	quotas := []float64{300, 100, 100, 100, 100} // the first is the big one
	a := NewAllocator(QuotaBand(quotas), 6, 3, 10, true)
	setOffered := func(offered ...float64) {
		for i, o := range offered {
			a.tenants[i].offeredRate = o
		}
	}
	setOffered(20, 5, 5, 5, 5)
	if p := a.measuredFraction(); p != 0.1 {
		t.Errorf("part %v of a quiet dispatcher, want an even 0.1", p)
	}
	setOffered(180, 20, 20, 20, 20) // twice an even part of the traffic; big sends three times its share
	if p := a.measuredFraction(); p != 0.2 {
		t.Errorf("part %v of a busy dispatcher, want 0.2", p)
	}
	setOffered(180, 20, 20, 20, 120) // one more tenant bursts: it must not count as traffic of all
	if p := a.measuredFraction(); p != 0.2 {
		t.Errorf("part %v while a tenant bursts, want 0.2", p)
	}
}

// A burst of all tenants looks like a larger part of the traffic; it must not
// let everything in as within the bands (western big-2).
func TestBurstDoesNotRaiseTrafficFraction(t *testing.T) {
	a := NewAllocator(QuotaBand([]float64{100, 100}), 3, 3, 10, true)
	a.trafficFraction = 0.1
	for i := range 2 {
		a.tenants[i].offeredRate, a.tenants[i].arrivals = 30, 30
	}
	a.Update(0, true, 100, 1)
	if rate := a.tenants[0].rate; rate > 100*0.12 {
		t.Errorf("rate %v in the first second of a burst, want about 10", rate)
	}
}
