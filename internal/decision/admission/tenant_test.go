package admission

import (
	"math"
	"testing"
)

// A bucket is filled at its rate, to its burst; what it does not hold is for any tenant.
func TestAllocatorRefill(t *testing.T) {
	a := NewAllocator(QuotaBand([]float64{10, 10}), 3, 1, 1, false)
	a.Update(0, true, 0, 1) // the bands are full
	a.FillBuckets()
	a.Start(100 * second)
	if tenant := a.Tenant(0); tenant.FillLevel() != 1 || !tenant.HasToken() {
		t.Fatalf("fill level %v of a full bucket", tenant.FillLevel())
	}
	for range 10 {
		a.Tenant(0).ConsumeToken()
	}
	if a.Tenant(0).HasToken() || a.HasBurstToken() {
		t.Error("a token is left")
	}
	a.burstRate = 0 // which is without bound while the loops do not throttle
	a.Refill(100*second+second/2, 100)
	if s := a.Tenant(0).State(); s.Tokens != 5 {
		t.Errorf("%v tokens after half a second at 10 a second", s.Tokens)
	}
	if s := a.Tenant(1).State(); s.Tokens != 10 || a.BurstTokens() != 5 {
		t.Errorf("%v tokens in a full bucket, %v past it", s.Tokens, a.BurstTokens())
	}
	a.ConsumeBurstToken()
	if a.Refill(100*second+second/2, 3); a.BurstTokens() != 3 {
		t.Errorf("%v tokens, want the bound 3", a.BurstTokens())
	}
}

// New quotas take the place of the bands at once, and leave the tokens.
func TestAllocatorSetQuotas(t *testing.T) {
	a := NewAllocator(QuotaBand([]float64{10, 30}), 3, 1, 4, true)
	a.Update(0, true, 0, 1)
	a.Restore(0.5, 2)
	a.SetQuotas([]float64{40, 0})
	first, second := a.Tenant(0).State(), a.Tenant(1).State()
	if first.Rate != 20 || second.Rate != 0 || first.Tokens != 0 {
		t.Errorf("rates %v and %v of half the traffic, %v tokens", first.Rate, second.Rate, first.Tokens)
	}
	if a.TrafficFraction() != 0.5 || a.BurstTokens() != 2 {
		t.Errorf("fraction %v, %v tokens are restored", a.TrafficFraction(), a.BurstTokens())
	}
}

// A tenant exceeds its quota by what it lately offered; the sends of its classes are followed.
func TestTenantTracksOfferedRateAndSends(t *testing.T) {
	tenant := newTenant(2)
	tenant.setRate(5, false)
	for range 100 {
		tenant.RecordArrival(1)
	}
	tenant.RecordSend(1)
	tenant.RecordExcessSend()
	if tenant.ExceedsQuota() {
		t.Error("the second is not over yet")
	}
	if got := tenant.SentFraction(1); got != 2.0/101 || tenant.SentFraction(0) != 1 {
		t.Errorf("fractions %v and %v sent", got, tenant.SentFraction(0))
	}
	tenant.closePeriod()
	if s := tenant.State(); s.OfferedRate != 100*RateGain || math.Abs(s.Arrivals[1]-90) > 1e-9 || !tenant.ExceedsQuota() {
		t.Errorf("%+v", s)
	}
	if got := tenant.ExcessSends(); got != 1-RateGain {
		t.Errorf("%v excess sends a second later", got)
	}
	if tenant.setRate(1, true); tenant.State().Margin != 3*math.Sqrt(RateGain/(2-RateGain)) {
		t.Errorf("margin %v in a large fleet", tenant.State().Margin)
	}
	other := newTenant(3) // with a class more
	if other.Restore(tenant.State()); other.State().Rate != 1 || other.SentFraction(1) != tenant.SentFraction(1) {
		t.Errorf("restored %+v", other.State())
	}
}

// The offered rate is followed, and not under half of a second's jobs; the dispatchers take turns.
func TestRateController(t *testing.T) {
	c := NewRateController(3, 1)
	turns := []bool{true, false, false, true}
	for i, want := range turns {
		if turn := c.BeginPeriod(); turn != want {
			t.Errorf("period %d is this dispatcher's turn: %v", i+1, turn)
		}
	}
	for range 60 {
		c.RecordArrival()
	}
	if c.BeginPeriod(); c.OfferedRate() != 30 || c.Periods() != 5 {
		t.Errorf("offered rate %v after a second of 60 jobs", c.OfferedRate())
	}
	c.SetInput(1)
	if c.AdmissionRate() != 180 || !c.Unthrottled() {
		t.Errorf("rate %v, unthrottled %v", c.AdmissionRate(), c.Unthrottled())
	}
	c.ApplyMean(200)
	if c.AdmissionRate() != 180 {
		t.Errorf("rate %v from a greater mean", c.AdmissionRate())
	}
	if c.ApplyMean(150); c.AdmissionRate() != 150 || !c.Unthrottled() {
		t.Errorf("rate %v, unthrottled %v from a mean a little lower", c.AdmissionRate(), c.Unthrottled())
	}
	if c.ApplyMean(50); c.AdmissionRate() != 50 || c.Unthrottled() {
		t.Errorf("rate %v, unthrottled %v from a mean much lower", c.AdmissionRate(), c.Unthrottled())
	}
	var restored RateController
	if restored.Restore(c.State()); restored.State() != c.State() {
		t.Errorf("restored %+v", restored.State())
	}
}

// The quantiles are those of the last running times, once there are enough.
func TestRuntimes(t *testing.T) {
	r := NewRuntimes(100)
	for range minSamples - 1 {
		r.Record(5)
	}
	if r.Update(); r.Median() != 100 || r.LowerQuartile() != 100 {
		t.Errorf("median %d, quartile %d of too few", r.Median(), r.LowerQuartile())
	}
	for i := range int64(maxRuntimes) {
		r.Record(i)
	}
	if r.Update(); r.Median() != 32 || r.LowerQuartile() != 16 || len(r.Recent()) != maxRuntimes || r.Recent()[0] != 0 {
		t.Errorf("median %d, quartile %d of %v", r.Median(), r.LowerQuartile(), r.Recent())
	}
	if r.Restore(0, 0, nil); r.Median() != 1 || r.LowerQuartile() != 1 {
		t.Errorf("median %d, quartile %d restored, want 1 at least", r.Median(), r.LowerQuartile())
	}
}

// A loop runs when it has seen enough jobs, or when it must; its state is restored.
func TestLatencyLoopRuns(t *testing.T) {
	l := NewLatencyLoop()
	for range minSamples - 1 {
		l.Sample(1.5)
	}
	if l.Run(false); l.State().Output != 0 || len(l.Ratios()) != minSamples-1 {
		t.Error("it ran on too few jobs")
	}
	l.SampleLate()
	if l.Run(false); math.Abs(l.State().Output-(1.5*(minSamples-1)+lateRatio)/minSamples) > 1e-12 || len(l.Ratios()) != 0 {
		t.Errorf("output %v", l.State().Output)
	}
	if l.Run(true); l.State().Output != 0 {
		t.Errorf("output %v of no job", l.State().Output)
	}
	l.Sample(9)
	if got := l.Ratios(); got[0] != lateRatio {
		t.Errorf("a ratio of %v counts", got[0])
	}
	var restored LatencyLoop
	restored.Restore(l.State(), l.Ratios())
	if restored.State() != l.State() || restored.Input() != l.Input() {
		t.Errorf("restored %+v", restored.State())
	}
}
