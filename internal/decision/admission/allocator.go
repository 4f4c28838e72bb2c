package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	trafficFractionGain = 0.05 // weight of the newest second in Allocator.trafficFraction

	second = int64(1e9)
)

// A Band is a part of the fleet's throughput and the ratios by which tenants share it, as in Table 1 of the
// Triage paper.
type Band struct {
	Width float64   // requests per second in this band, over all dispatchers
	Ratio []float64 // one for each tenant; the sum need not be 1
}

// QuotaBand returns one band as wide as the sum of the quotas, shared in their ratio. It keeps the slice.
func QuotaBand(quotas []float64) []Band {
	b := Band{Ratio: quotas}
	for _, q := range quotas {
		b.Width += q
	}
	return []Band{b}
}

// splitRate divides a total rate among tenants by filling the bands in order and dividing what goes into each
// by its ratios. It returns the rates of the tenants and the excess over all bands. A band whose ratios sum
// to 0 takes nothing.
func splitRate(total float64, bands []Band, tenants int) (rates []float64, excess float64) {
	rates = make([]float64, tenants)
	for _, b := range bands {
		sum, width := 0.0, min(total, b.Width)
		for _, r := range b.Ratio {
			sum += r
		}
		if sum <= 0 || width <= 0 {
			continue
		}
		for i, r := range b.Ratio {
			rates[i] += width * r / sum
		}
		total -= width
	}
	return rates, total
}

// An Allocator divides the admission rate among the tenants. Each tenant has a token bucket, which is filled
// at the tenant's rate within the bands. The rate beyond the bands, and the tokens that a full bucket cannot
// take, become burst tokens, which any tenant may use.
type Allocator struct {
	bands           []Band
	dispatchers     int
	manyDispatchers bool
	tenants         []Tenant
	trafficFraction float64 // smoothed fraction of the fleet's traffic that arrives at this dispatcher
	burstTokens     float64 // jobs that may be sent beyond the bands, of any tenant
	burstRate       float64 // rate beyond the bands, burst tokens per second
	refilledAt      int64
}

// NewAllocator returns the allocator of one dispatcher for the given numbers of tenants, of classes, and of
// dispatchers that share the fleet. Set manyDispatchers if there are so many that each sees too few jobs of
// its own to measure a tenant's rate well.
func NewAllocator(bands []Band, tenants, classes, dispatchers int, manyDispatchers bool) *Allocator {
	a := &Allocator{bands: bands, dispatchers: dispatchers, manyDispatchers: manyDispatchers}
	for range tenants {
		a.tenants = append(a.tenants, newTenant(classes))
	}
	return a
}

// Tenant returns a tenant by its index. The pointer stays valid for the life of the allocator.
func (a *Allocator) Tenant(i int) *Tenant { return &a.tenants[i] }

// Start sets the time from which the first Refill adds tokens.
func (a *Allocator) Start(now int64) { a.refilledAt = now }

// FillBuckets fills all buckets.
func (a *Allocator) FillBuckets() {
	for i := range a.tenants {
		t := &a.tenants[i]
		t.tokens = t.maxTokens()
	}
}

// TrafficFraction returns the smoothed fraction of the fleet's traffic that arrives at this dispatcher.
func (a *Allocator) TrafficFraction() float64 { return a.trafficFraction }

// BurstTokens returns the number of tokens that any tenant may use.
func (a *Allocator) BurstTokens() float64 { return a.burstTokens }

// Restore sets the values that another allocator has measured, except those of its tenants.
func (a *Allocator) Restore(trafficFraction, burstTokens float64) {
	a.trafficFraction, a.burstTokens = trafficFraction, burstTokens
}

// HasBurstToken reports whether there is a token for a job beyond its tenant's bands.
func (a *Allocator) HasBurstToken() bool { return a.burstTokens >= 1 }

// ConsumeBurstToken removes the token of a job that is sent beyond its tenant's bands.
func (a *Allocator) ConsumeBurstToken() { a.burstTokens = max(0, a.burstTokens-1) }

// Update ends a period of one second and sets the tenants' rates for the next from the admission rate of the
// fleet, this dispatcher's fraction of the traffic, and the fraction of the fleet's capacity that remains
// after workers were lost. If unthrottled is set, all bands are full. periods is the number of earlier calls.
// The burst rate is not reduced by the capacity that was lost.
func (a *Allocator) Update(admissionRate float64, unthrottled bool, periods int64, remaining float64) {
	if unthrottled {
		admissionRate = math.MaxFloat64
	}
	for i := range a.tenants {
		a.tenants[i].closePeriod()
	}
	// A low gain: a dispatcher's fraction of the traffic is stable, but a short burst of all tenants looks the
	// same as a larger fraction.
	gain := max(trafficFractionGain, 1/float64(periods+1))
	a.trafficFraction += float64((a.measuredFraction() - a.trafficFraction) * gain)
	fraction := a.ownFraction()
	rates, excess := splitRate(admissionRate, a.bands, len(a.tenants))
	for i := range a.tenants {
		a.tenants[i].setRate(rates[i]*fraction*remaining, a.manyDispatchers)
	}
	a.burstRate = excess * fraction
}

// ownFraction returns the factor from the fleet's rates to those of this dispatcher: its estimated fraction
// of the traffic, but at least an even share. It can exceed 1, if tenants with more than two thirds of the
// total full rate each offer more than their full rate here.
func (a *Allocator) ownFraction() float64 { return max(a.trafficFraction, 1/float64(a.dispatchers)) }

// measuredFraction returns this dispatcher's fraction of the fleet's traffic as estimated from the current
// offered rates: an even share, or more if more of the traffic arrives here (because of an uneven load
// balancer, a client that sends much, or dead peers). It orders the tenants by offered rate over full rate
// and assumes that the tenant at a third of the total rate is within its quota, so that this tenant's ratio
// is the fraction of the traffic. Tenants with a higher ratio exceed their quotas.
func (a *Allocator) measuredFraction() float64 {
	even := 1 / float64(a.dispatchers)
	full, _ := splitRate(math.MaxFloat64, a.bands, len(a.tenants))
	var ratios [][2]float64 // offered rate over full rate, and the full rate
	sum := 0.0
	for i, f := range full {
		if f > 0 {
			ratios = append(ratios, [2]float64{a.tenants[i].offeredRate / f, f})
			sum += f
		}
	}
	slices.SortFunc(ratios, func(x, y [2]float64) int { return cmp.Compare(x[0], y[0]) })
	for _, r := range ratios {
		if sum -= float64(3 * r[1]); sum <= 0 {
			return max(even, r[0])
		}
	}
	return even
}

// Refill adds the tokens for the time since the last call, and the burst tokens of the rate beyond the bands.
// Tokens that a full bucket cannot take become burst tokens, of which there are at most maxBurst.
func (a *Allocator) Refill(now int64, maxBurst float64) {
	seconds := float64(now-a.refilledAt) / float64(second)
	a.refilledAt = now
	for i := range a.tenants {
		a.burstTokens += a.tenants[i].refill(seconds)
	}
	a.burstTokens += float64(a.burstRate * seconds)
	a.burstTokens = min(a.burstTokens, maxBurst)
}

// SetQuotas replaces the bands by one made of new quotas, one for each tenant, and keeps the slice. Until the
// next Update the tenants' rates are the full quotas times this dispatcher's fraction. The tokens stay as
// they are, so that no tenant gains tokens by a change.
func (a *Allocator) SetQuotas(quotas []float64) {
	a.bands = QuotaBand(quotas)
	full, _ := splitRate(math.MaxFloat64, a.bands, len(a.tenants))
	for i := range a.tenants {
		a.tenants[i].rate = full[i] * a.ownFraction()
	}
}
