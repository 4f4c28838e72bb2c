package admission

import "math"

// A Tenant is the token bucket of one tenant, with the recent rates of its arrivals and sends.
type Tenant struct {
	rate         float64   // share of the admission rate at this dispatcher, within the bands, jobs per second
	tokens       float64   // jobs that may be sent within the bands
	arrivals     int       // in the current second
	offeredRate  float64   // smoothed arrivals at this dispatcher, jobs per second
	margin       float64   // excess of offeredRate over rate that may be due to chance
	excessSends  float64   // decaying count of the jobs sent beyond the bands
	classArrived []float64 // decaying count of arrivals, by class
	classSent    []float64 // decaying count of first sends, by class
}

// A TenantState is the state of a Tenant, except the arrivals in the current second.
type TenantState struct {
	Rate, Tokens, OfferedRate, Margin, ExcessSends float64
	Arrivals, Sends                                []float64 // decaying counts, by class
}

// newTenant returns a tenant without tokens.
func newTenant(classes int) Tenant {
	return Tenant{classArrived: make([]float64, classes), classSent: make([]float64, classes)}
}

// RecordArrival counts a job that has arrived.
func (t *Tenant) RecordArrival(class int) {
	t.arrivals++
	t.classArrived[class]++
}

// RecordSend counts a job that is sent for the first time.
func (t *Tenant) RecordSend(class int) { t.classSent[class]++ }

// SentFraction returns the fraction of a class's recent jobs that was sent, with 1 added to both counts: it
// is never 0, and 1 for a class without jobs.
func (t *Tenant) SentFraction(class int) float64 {
	return (t.classSent[class] + 1) / (t.classArrived[class] + 1)
}

// ExceedsQuota reports whether more of the tenant's jobs arrive here than its bands allow, by more than the
// margin for chance.
func (t *Tenant) ExceedsQuota() bool { return t.offeredRate > t.rate+t.margin }

// HasToken reports whether there is a token for a job within the bands.
func (t *Tenant) HasToken() bool { return t.tokens >= 1 }

// ConsumeToken removes the token of a job that is sent within the bands.
func (t *Tenant) ConsumeToken() { t.tokens-- }

// FillLevel returns the fraction of the bucket that is full, more than 1 if the bucket has shrunk since
// Refill.
func (t *Tenant) FillLevel() float64 { return t.tokens / t.maxTokens() }

// ExcessSends returns the decaying count of the jobs that were sent beyond the bands.
func (t *Tenant) ExcessSends() float64 { return t.excessSends }

// RecordExcessSend counts a job that is sent beyond the bands.
func (t *Tenant) RecordExcessSend() { t.excessSends++ }

// maxTokens returns the size of the bucket: the tokens of one second, but at least 2.
func (t *Tenant) maxTokens() float64 { return max(2, t.rate) }

// closePeriod ends a period of one second: it updates the offered rate and decays the counts.
func (t *Tenant) closePeriod() {
	t.offeredRate += float64((float64(t.arrivals) - t.offeredRate) * RateGain)
	t.arrivals = 0
	t.excessSends *= 1 - RateGain
	for k := range t.classArrived {
		t.classArrived[k] *= 1 - RateGain/3
		t.classSent[k] *= 1 - RateGain/3
	}
}

// setRate sets the tenant's rate and the margin. With many dispatchers a tenant's rate at one of them may be
// as low as one job in ten seconds, and a single job would exceed it by chance. The margin is three standard
// deviations of the offered rate of a tenant that sends at its rate.
func (t *Tenant) setRate(rate float64, manyDispatchers bool) {
	t.rate = rate
	if t.margin = 0; manyDispatchers {
		t.margin = 3 * math.Sqrt(t.rate*RateGain/(2-RateGain))
	}
}

// refill adds the tokens for a time in seconds and returns those that the full bucket cannot take.
func (t *Tenant) refill(seconds float64) (excess float64) {
	t.tokens += float64(t.rate * seconds)
	if excess = t.tokens - t.maxTokens(); excess > 0 {
		t.tokens -= excess
		return excess
	}
	return 0
}

// State returns the state of the tenant. Its slices are valid until the next call of another method.
func (t *Tenant) State() TenantState {
	return TenantState{
		Rate: t.rate, Tokens: t.tokens, OfferedRate: t.offeredRate, Margin: t.margin, ExcessSends: t.excessSends,
		Arrivals: t.classArrived, Sends: t.classSent,
	}
}

// Restore sets the state of a tenant. It ignores the classes that this tenant does not have.
func (t *Tenant) Restore(s TenantState) {
	t.rate, t.tokens = s.Rate, s.Tokens
	t.offeredRate, t.margin, t.excessSends = s.OfferedRate, s.Margin, s.ExcessSends
	n := min(len(s.Arrivals), len(s.Sends))
	copy(t.classArrived, s.Arrivals[:n])
	copy(t.classSent, s.Sends[:n])
}
