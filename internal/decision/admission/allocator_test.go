package admission

import (
	"math"
	"testing"
)

// The rates are those of Table 1 of the Triage paper.
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
			t.Errorf("splitRate(%v) = %v and excess %v, want [%v %v] and %v", c.u, got, past, c.w1, c.w2, c.past)
		}
	}
}

// The measured fraction is an even share for a dispatcher with little traffic and follows the traffic of all
// tenants. A tenant that sends more than its quota, for long or in a burst, must not raise it.
func TestMeasuredFractionOfTraffic(t *testing.T) {
	quotas := []float64{300, 100, 100, 100, 100}
	a := NewAllocator(QuotaBand(quotas), 6, 3, 10, true)
	setOffered := func(offered ...float64) {
		for i, o := range offered {
			a.tenants[i].offeredRate = o
		}
	}
	setOffered(20, 5, 5, 5, 5)
	if p := a.measuredFraction(); p != 0.1 {
		t.Errorf("measuredFraction() = %v with little traffic, want an even share of 0.1", p)
	}
	setOffered(180, 20, 20, 20, 20) // twice an even share of the traffic; the first tenant is at 3 times its part of that
	if p := a.measuredFraction(); p != 0.2 {
		t.Errorf("measuredFraction() = %v with twice an even share of the traffic, want 0.2", p)
	}
	setOffered(180, 20, 20, 20, 120) // a burst of one more tenant, which is not more traffic of all tenants
	if p := a.measuredFraction(); p != 0.2 {
		t.Errorf("measuredFraction() = %v in a burst of one tenant, want 0.2", p)
	}
}

// A burst of all tenants at once looks like a larger fraction of the fleet's traffic. It must not raise the
// tenants' rates so far that all jobs of the burst count as within the bands (scenario western big-2).
func TestBurstDoesNotRaiseTrafficFraction(t *testing.T) {
	a := NewAllocator(QuotaBand([]float64{100, 100}), 3, 3, 10, true)
	a.trafficFraction = 0.1
	for i := range 2 {
		a.tenants[i].offeredRate, a.tenants[i].arrivals = 30, 30
	}
	a.Update(0, true, 100, 1)
	if rate := a.tenants[0].rate; rate > 100*0.12 {
		t.Errorf("rate %v after the first second of a burst, want at most 12", rate)
	}
}
