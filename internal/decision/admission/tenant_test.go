package admission

import (
	"math"
	"testing"
)

// A bucket is filled at its tenant's rate up to its size. Further tokens become burst tokens, which have a
// maximum.
func TestAllocatorRefill(t *testing.T) {
	a := NewAllocator(QuotaBand([]float64{10, 10}), 3, 1, 1, false)
	a.Update(0, true, 0, 1) // the bands are full
	a.FillBuckets()
	a.Start(100 * second)
	if tenant := a.Tenant(0); tenant.FillLevel() != 1 || !tenant.HasToken() {
		t.Fatalf("FillLevel() = %v, HasToken() = %v of a full bucket, want 1 and true",
			tenant.FillLevel(), tenant.HasToken())
	}
	for range 10 {
		a.Tenant(0).ConsumeToken()
	}
	if a.Tenant(0).HasToken() || a.HasBurstToken() {
		t.Errorf("%v tokens and %v burst tokens left, want fewer than 1", a.Tenant(0).State().Tokens, a.BurstTokens())
	}
	a.burstRate = 0 // unthrottled, it is practically unlimited
	a.Refill(100*second+second/2, 100)
	if s := a.Tenant(0).State(); s.Tokens != 5 {
		t.Errorf("%v tokens after half a second at 10 per second, want 5", s.Tokens)
	}
	if s := a.Tenant(1).State(); s.Tokens != 10 || a.BurstTokens() != 5 {
		t.Errorf("%v tokens in a full bucket and %v burst tokens, want 10 and 5", s.Tokens, a.BurstTokens())
	}
	a.ConsumeBurstToken()
	if a.Refill(100*second+second/2, 3); a.BurstTokens() != 3 {
		t.Errorf("%v burst tokens after Refill() with a maximum of 3, want 3", a.BurstTokens())
	}
}

// New quotas replace the bands at once and do not change the tokens.
func TestAllocatorSetQuotas(t *testing.T) {
	a := NewAllocator(QuotaBand([]float64{10, 30}), 3, 1, 4, true)
	a.Update(0, true, 0, 1)
	a.Restore(0.5, 2)
	a.SetQuotas([]float64{40, 0})
	first, second := a.Tenant(0).State(), a.Tenant(1).State()
	if first.Rate != 20 || second.Rate != 0 || first.Tokens != 0 {
		t.Errorf("rates %v and %v, %v tokens, want 20, 0 and 0", first.Rate, second.Rate, first.Tokens)
	}
	if a.TrafficFraction() != 0.5 || a.BurstTokens() != 2 {
		t.Errorf("traffic fraction %v, %v burst tokens, want 0.5 and 2", a.TrafficFraction(), a.BurstTokens())
	}
}

// A tenant exceeds its quota by its smoothed offered rate, which is updated at the end of a second. The counts
// of arrivals and sends decay, and the state can be restored.
func TestTenantTracksOfferedRateAndSends(t *testing.T) {
	tenant := newTenant(2)
	tenant.setRate(5, false)
	for range 100 {
		tenant.RecordArrival(1)
	}
	tenant.RecordSend(1)
	tenant.RecordExcessSend()
	if tenant.ExceedsQuota() {
		t.Error("ExceedsQuota() = true before the end of the second, want false")
	}
	if got := tenant.SentFraction(1); got != 2.0/101 || tenant.SentFraction(0) != 1 {
		t.Errorf("SentFraction() = %v and %v, want %v and 1", got, tenant.SentFraction(0), 2.0/101)
	}
	tenant.closePeriod()
	if s := tenant.State(); s.OfferedRate != 100*RateGain || math.Abs(s.Arrivals[1]-90) > 1e-9 || !tenant.ExceedsQuota() {
		t.Errorf("State() = %+v, ExceedsQuota() = %v, want OfferedRate %v, 90 arrivals of class 1 and true",
			s, tenant.ExceedsQuota(), 100*RateGain)
	}
	if got := tenant.ExcessSends(); got != 1-RateGain {
		t.Errorf("ExcessSends() = %v after a second, want %v", got, 1-RateGain)
	}
	if tenant.setRate(1, true); tenant.State().Margin != 3*math.Sqrt(RateGain/(2-RateGain)) {
		t.Errorf("margin %v with many dispatchers, want %v", tenant.State().Margin, 3*math.Sqrt(RateGain/(2-RateGain)))
	}
	other := newTenant(3) // with one more class
	if other.Restore(tenant.State()); other.State().Rate != 1 || other.SentFraction(1) != tenant.SentFraction(1) {
		t.Errorf("restored state %+v, want that of %+v", other.State(), tenant.State())
	}
}

// The offered rate is smoothed but at least half of the last second's arrivals. The dispatchers take turns. A
// lower mean of the peers lowers the rate, and throttles if it is much lower.
func TestRateController(t *testing.T) {
	c := NewRateController(3, 1)
	turns := []bool{true, false, false, true}
	for i, want := range turns {
		if turn := c.BeginPeriod(); turn != want {
			t.Errorf("BeginPeriod() = %v in period %d, want %v", turn, i+1, want)
		}
	}
	for range 60 {
		c.RecordArrival()
	}
	if c.BeginPeriod(); c.OfferedRate() != 30 || c.Periods() != 5 {
		t.Errorf("offered rate %v in period %d after 60 arrivals, want 30 in period 5", c.OfferedRate(), c.Periods())
	}
	c.SetInput(1)
	if c.AdmissionRate() != 180 || !c.Unthrottled() {
		t.Errorf("rate %v, unthrottled %v after SetInput(1), want 180 and true", c.AdmissionRate(), c.Unthrottled())
	}
	c.ApplyMean(200)
	if c.AdmissionRate() != 180 {
		t.Errorf("rate %v after ApplyMean(200), want 180", c.AdmissionRate())
	}
	if c.ApplyMean(150); c.AdmissionRate() != 150 || !c.Unthrottled() {
		t.Errorf("rate %v, unthrottled %v after ApplyMean(150), want 150 and true", c.AdmissionRate(), c.Unthrottled())
	}
	if c.ApplyMean(50); c.AdmissionRate() != 50 || c.Unthrottled() {
		t.Errorf("rate %v, unthrottled %v after ApplyMean(50), want 50 and false", c.AdmissionRate(), c.Unthrottled())
	}
	var restored RateController
	if restored.Restore(c.State()); restored.State() != c.State() {
		t.Errorf("restored state %+v, want %+v", restored.State(), c.State())
	}
}

// The quantiles are those of the recent running times once there are enough, and the expected time before.
func TestRuntimes(t *testing.T) {
	r := NewRuntimes(100)
	for range minSamples - 1 {
		r.Record(5)
	}
	if r.Update(); r.Median() != 100 || r.LowerQuartile() != 100 {
		t.Errorf("median %d, lower quartile %d of %d jobs, want 100 and 100", r.Median(), r.LowerQuartile(), minSamples-1)
	}
	for i := range int64(maxRuntimes) {
		r.Record(i)
	}
	if r.Update(); r.Median() != 32 || r.LowerQuartile() != 16 || len(r.Recent()) != maxRuntimes || r.Recent()[0] != 0 {
		t.Errorf("median %d, lower quartile %d of %v, want 32 and 16 of 0 to 63", r.Median(), r.LowerQuartile(), r.Recent())
	}
	if r.Restore(0, 0, nil); r.Median() != 1 || r.LowerQuartile() != 1 {
		t.Errorf("median %d, lower quartile %d after Restore(0, 0, nil), want 1 and 1", r.Median(), r.LowerQuartile())
	}
}

// A loop runs when it has enough samples or is forced. Its state can be restored.
func TestLatencyLoopRuns(t *testing.T) {
	l := NewLatencyLoop()
	for range minSamples - 1 {
		l.Sample(1.5)
	}
	if l.Run(false); l.State().Output != 0 || len(l.Ratios()) != minSamples-1 {
		t.Errorf("Run(false) with %d samples left output %v and %d samples, want 0 and all",
			minSamples-1, l.State().Output, len(l.Ratios()))
	}
	l.SampleLate()
	if l.Run(false); math.Abs(l.State().Output-(1.5*(minSamples-1)+lateRatio)/minSamples) > 1e-12 || len(l.Ratios()) != 0 {
		t.Errorf("Run(false) left output %v and %d samples, want %v and 0", l.State().Output, len(l.Ratios()),
			(1.5*(minSamples-1)+lateRatio)/minSamples)
	}
	if l.Run(true); l.State().Output != 0 {
		t.Errorf("Run(true) without samples left output %v, want 0", l.State().Output)
	}
	l.Sample(9)
	if got := l.Ratios(); got[0] != lateRatio {
		t.Errorf("Sample(9) recorded a ratio of %v, want %v", got[0], lateRatio)
	}
	var restored LatencyLoop
	restored.Restore(l.State(), l.Ratios())
	if restored.State() != l.State() || restored.Input() != l.Input() {
		t.Errorf("restored state %+v, want %+v", restored.State(), l.State())
	}
}
