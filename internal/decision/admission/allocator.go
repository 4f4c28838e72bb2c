package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	trafficFractionGain = 0.05 // weight of the newest second in this dispatcher's fraction of the traffic

	second = int64(1e9)
)

// A Band is a slice of the fleet's throughput with the ratios by which tenants
// share it, as in Table 1 of the Triage paper.
type Band struct {
	Width float64   // requests a second in this band, over all dispatchers
	Ratio []float64 // one for each tenant; need not sum to 1
}

// QuotaBand returns the band made of the tenants' quotas.
func QuotaBand(quotas []float64) []Band {
	b := Band{Ratio: quotas}
	for _, q := range quotas {
		b.Width += q
	}
	return []Band{b}
}

// split divides u among n tenants: whole bands first, then a part of the next by
// its ratios, then what is left past the last band, which is returned apart.
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

// An Allocator divides what is admitted among the tenants: each has a token bucket, which is filled at
// its rate within the bands; what is left past the bands, or not used, is for any of them.
type Allocator struct {
	bands           []Band
	dispatchers     int
	manyDispatchers bool
	tenants         []Tenant
	trafficFraction float64 // of the fleet's traffic, that comes here; slowly followed
	burstTokens     float64 // past the bands, and unused ones, for any tenant
	burstRate       float64 // at which they come, a second
	refilledAt      int64
}

// NewAllocator returns the allocator of one of so many dispatchers, for tenants that send jobs of so many
// classes. LargeFleet says that more dispatchers share the fleet than learn enough from their own jobs.
func NewAllocator(bands []Band, tenants, classes, dispatchers int, manyDispatchers bool) *Allocator {
	a := &Allocator{bands: bands, dispatchers: dispatchers, manyDispatchers: manyDispatchers}
	for range tenants {
		a.tenants = append(a.tenants, newTenant(classes))
	}
	return a
}

// Tenant returns a tenant by its index. It stays the same.
func (a *Allocator) Tenant(i int) *Tenant { return &a.tenants[i] }

// Start notes the time of the first step, with all buckets full.
func (a *Allocator) Start(now int64) { a.refilledAt = now }

// FillBuckets fills all buckets.
func (a *Allocator) FillBuckets() {
	for i := range a.tenants {
		t := &a.tenants[i]
		t.tokens = t.maxTokens()
	}
}

// TrafficFraction returns the fraction of the fleet's traffic that comes here, slowly followed.
func (a *Allocator) TrafficFraction() float64 { return a.trafficFraction }

// BurstTokens returns the tokens that are there for any tenant.
func (a *Allocator) BurstTokens() float64 { return a.burstTokens }

// Restore takes over what another allocator has learned, its tenants aside.
func (a *Allocator) Restore(trafficFraction, burstTokens float64) {
	a.trafficFraction, a.burstTokens = trafficFraction, burstTokens
}

// HasBurstToken reports whether a job may be sent past the bands.
func (a *Allocator) HasBurstToken() bool { return a.burstTokens >= 1 }

// ConsumeBurstToken counts a job that is sent past the bands.
func (a *Allocator) ConsumeBurstToken() { a.burstTokens = max(0, a.burstTokens-1) }

// Update sets the tenants' rates at the end of a second, from the admission rate, this dispatcher's
// fraction of the traffic, and the remaining fraction of the fleet where workers were lost. While the
// loops do not throttle the bands are full. Periods counts the calls before.
func (a *Allocator) Update(admissionRate float64, unthrottled bool, periods int64, remaining float64) {
	if unthrottled {
		admissionRate = math.MaxFloat64
	}
	for i := range a.tenants {
		a.tenants[i].closePeriod()
	}
	// Slowly: a part lasts, while a burst of all tenants looks like one and passes.
	gain := max(trafficFractionGain, 1/float64(periods+1))
	a.trafficFraction += (a.measuredFraction() - a.trafficFraction) * gain
	fraction := a.ownFraction()
	rates, excess := splitRate(admissionRate, a.bands, len(a.tenants))
	for i := range a.tenants {
		a.tenants[i].setRate(rates[i]*fraction*remaining, a.manyDispatchers)
	}
	a.burstRate = excess * fraction
}

// ownFraction is the fraction of every tenant's rate that is this dispatcher's: at least an even one.
func (a *Allocator) ownFraction() float64 { return max(a.trafficFraction, 1/float64(a.dispatchers)) }

// measuredFraction is the fraction of every tenant's rate that this second's traffic would make this
// dispatcher's: an even one, or more where more of the traffic comes here (an uneven front, a heavy
// client, dead peers). Then the tenant in the middle, by quota, is taken to be within its quota; what
// tenants send against that one tells which of them are over theirs.
func (a *Allocator) measuredFraction() float64 {
	even := 1 / float64(a.dispatchers)
	full, _ := splitRate(math.MaxFloat64, a.bands, len(a.tenants))
	var ratios [][2]float64 // what is offered here over the full rate, and that rate
	sum := 0.0
	for i, f := range full {
		if f > 0 {
			ratios = append(ratios, [2]float64{a.tenants[i].offeredRate / f, f})
			sum += f
		}
	}
	slices.SortFunc(ratios, func(x, y [2]float64) int { return cmp.Compare(x[0], y[0]) })
	for _, r := range ratios {
		if sum -= 3 * r[1]; sum <= 0 {
			return max(even, r[0])
		}
	}
	return even
}

// Refill adds the tokens of the time gone by. What a tenant does not use passes to those that wait.
func (a *Allocator) Refill(now int64, maxBurst float64) {
	seconds := float64(now-a.refilledAt) / float64(second)
	a.refilledAt = now
	for i := range a.tenants {
		a.burstTokens += a.tenants[i].refill(seconds)
	}
	a.burstTokens += a.burstRate * seconds
	a.burstTokens = min(a.burstTokens, maxBurst)
}

// SetQuotas takes over new quotas, one for each tenant. Tokens stay as they are: nobody gains by a change.
func (a *Allocator) SetQuotas(quotas []float64) {
	a.bands = QuotaBand(quotas)
	full, _ := splitRate(math.MaxFloat64, a.bands, len(a.tenants))
	for i := range a.tenants {
		a.tenants[i].rate = full[i] * a.ownFraction()
	}
}
