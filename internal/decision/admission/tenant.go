package admission

import "math"

// A Tenant is one tenant's token bucket, with what it lately offered and was sent.
type Tenant struct {
	rate         float64 // its part of the admission rate here, within the bands, jobs a second
	tokens       float64
	arrivals     int     // in this second
	offeredRate  float64 // jobs a second that it sends here
	margin       float64 // that the offered rate may be over the rate by chance
	excessSends  float64 // jobs lately sent past its bands
	classArrived []float64
	classSent    []float64
}

// A TenantState is what is known of a tenant.
type TenantState struct {
	Rate, Tokens, OfferedRate, Margin, ExcessSends float64
	Arrivals, Sends                                []float64 // lately, by class
}

// newTenant returns a tenant without tokens.
func newTenant(classes int) Tenant {
	return Tenant{classArrived: make([]float64, classes), classSent: make([]float64, classes)}
}

// RecordArrival notes a job that came.
func (t *Tenant) RecordArrival(class int) {
	t.arrivals++
	t.classArrived[class]++
}

// RecordSend notes a job that is sent for the first time.
func (t *Tenant) RecordSend(class int) { t.classSent[class]++ }

// SentFraction returns the fraction of a class's jobs that was lately sent; of a class without jobs all.
func (t *Tenant) SentFraction(class int) float64 {
	return (t.classSent[class] + 1) / (t.classArrived[class] + 1)
}

// ExceedsQuota reports whether the tenant sends more here than its bands give it.
func (t *Tenant) ExceedsQuota() bool { return t.offeredRate > t.rate+t.margin }

// HasToken reports whether a job may be sent within the bands.
func (t *Tenant) HasToken() bool { return t.tokens >= 1 }

// ConsumeToken counts a job that is sent within the bands.
func (t *Tenant) ConsumeToken() { t.tokens-- }

// FillLevel returns how full the bucket is.
func (t *Tenant) FillLevel() float64 { return t.tokens / t.maxTokens() }

// ExcessSends returns how many jobs were lately sent past the bands.
func (t *Tenant) ExcessSends() float64 { return t.excessSends }

// RecordExcessSend counts a job that is sent past the bands.
func (t *Tenant) RecordExcessSend() { t.excessSends++ }

// burst is the most tokens that the bucket holds.
func (t *Tenant) maxTokens() float64 { return max(2, t.rate) }

// closePeriod takes the second's arrivals into what is followed.
func (t *Tenant) closePeriod() {
	t.offeredRate += (float64(t.arrivals) - t.offeredRate) * RateGain
	t.arrivals = 0
	t.excessSends *= 1 - RateGain
	for k := range t.classArrived {
		t.classArrived[k] *= 1 - RateGain/3
		t.classSent[k] *= 1 - RateGain/3
	}
}

// setRate sets the tenant's rate. Where many dispatchers share the fleet a single job is over a rate of
// one in ten seconds, by chance: the offered rate strays by the margin from the rate of a tenant within
// its quota.
func (t *Tenant) setRate(rate float64, manyDispatchers bool) {
	t.rate = rate
	if t.margin = 0; manyDispatchers {
		t.margin = 3 * math.Sqrt(t.rate*RateGain/(2-RateGain))
	}
}

// refill adds the tokens of a time in seconds and returns those that the bucket does not hold.
func (t *Tenant) refill(seconds float64) (excess float64) {
	t.tokens += t.rate * seconds
	if excess = t.tokens - t.maxTokens(); excess > 0 {
		t.tokens -= excess
		return excess
	}
	return 0
}

// State returns what is known of the tenant. The slices are valid until the next call.
func (t *Tenant) State() TenantState {
	return TenantState{
		Rate: t.rate, Tokens: t.tokens, OfferedRate: t.offeredRate, Margin: t.margin, ExcessSends: t.excessSends,
		Arrivals: t.classArrived, Sends: t.classSent,
	}
}

// Restore takes over what was known of a tenant. Classes that are not known here are left out.
func (t *Tenant) Restore(s TenantState) {
	t.rate, t.tokens = s.Rate, s.Tokens
	t.offeredRate, t.margin, t.excessSends = s.OfferedRate, s.Margin, s.ExcessSends
	n := min(len(s.Arrivals), len(s.Sends))
	copy(t.classArrived, s.Arrivals[:n])
	copy(t.classSent, s.Sends[:n])
}
