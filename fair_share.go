package foxlift

// Fair sharing: bands and token buckets divide what is admitted among the tenants (paper, section 2).

import (
	"cmp"
	"math"
	"slices"
)

const (
	rateGain     = 0.3  // weight of the newest second in rates that are followed
	peakDecay    = 0.98 // of a peak, each second; less for many: their peaks add up to more than that of all
	fractionGain = 0.05 // weight of the newest second in this dispatcher's part of the traffic
)

// split divides u among n tenants: whole bands first, then a part of the next by
// its ratios, then what is left past the last band, which is returned apart.
func split(u float64, bands []Band, n int) (rates []float64, past float64) {
	rates = make([]float64, n)
	for _, b := range bands {
		sum, width := 0.0, min(u, b.Width)
		for _, r := range b.Ratio {
			sum += r
		}
		if sum <= 0 || width <= 0 {
			continue
		}
		for i, r := range b.Ratio {
			rates[i] += width * r / sum
		}
		u -= width
	}
	return rates, u
}

// updateRates sets the tenants' rates from u and this dispatcher's part of the
// traffic. While the loop is open the bands are full.
func (d *Dispatcher) updateRates() {
	u := d.admissionRate
	if d.unthrottled {
		u = math.MaxFloat64
	}
	for i := range d.tenants {
		t := &d.tenants[i]
		t.offeredRate += (float64(t.arrivals) - t.offeredRate) * rateGain
		t.arrivals = 0
		t.excessSends *= 1 - rateGain
		for k := range t.flows {
			t.flows[k].arrivals *= 1 - rateGain/3
			t.flows[k].sends *= 1 - rateGain/3
		}
	}
	// Slowly: a part lasts, while a burst of all tenants looks like one and passes.
	gain := max(fractionGain, 1/float64(d.controlPeriods+1))
	d.trafficFraction += (d.measuredFraction() - d.trafficFraction) * gain
	part, standing := max(d.trafficFraction, 1/float64(d.cfg.Dispatchers)), d.remainingCapacity()
	rates, past := split(u, d.bands, len(d.tenants))
	for i := range d.tenants {
		t := &d.tenants[i]
		t.rate = rates[i] * part * standing
		if t.margin = 0; d.largeFleet() {
			// A single job is over a rate of one in ten seconds, by chance: offered
			// strays by this from the rate of a tenant within its share.
			t.margin = 3 * math.Sqrt(t.rate*rateGain/(2-rateGain))
		}
	}
	d.burstRate = past * part
}

// standing is the share of the fleet that is left after workers were lost: gone
// without a drain, or back and still cold. Tenants' rates are shares of what the
// whole fleet can do, and would admit more than the rest can bear. Workers that
// drain are taken out on purpose, as traffic falls, and count for nothing.
func (d *Dispatcher) remainingCapacity() float64 {
	young, able := d.slowStartTotals()
	warm := len(d.liveWorkers) - young
	whole := warm + d.countLost()
	if whole == 0 {
		return 1 // nothing is known yet
	}
	return min(1, (float64(warm)+able)/float64(whole))
}

// part is the share of every tenant's rate that is this dispatcher's: an even one,
// or more where more of the traffic comes here (an uneven front, a heavy client,
// dead peers). Then the tenant in the middle, by quota, is taken to be within its
// share; what tenants send against that one tells which of them are over theirs.
func (d *Dispatcher) measuredFraction() float64 {
	even := 1 / float64(d.cfg.Dispatchers)
	full, _ := split(math.MaxFloat64, d.bands, len(d.tenants))
	var ratios [][2]float64 // what is offered here over the full rate, and that rate
	sum := 0.0
	for i, f := range full {
		if f > 0 {
			ratios = append(ratios, [2]float64{d.tenants[i].offeredRate / f, f})
			sum += f
		}
	}
	slices.SortFunc(ratios, func(a, b [2]float64) int { return cmp.Compare(a[0], b[0]) })
	for _, r := range ratios {
		if sum -= 3 * r[1]; sum <= 0 {
			return max(even, r[0])
		}
	}
	return even
}

func (t *tenant) burst() float64 { return max(2, t.rate) }

// over reports whether the tenant sends more here than its bands give it.
func (t *tenant) exceedsQuota() bool { return t.offeredRate > t.rate+t.margin }

// refill adds the tokens of the time gone by. What a tenant does not use passes
// to those that wait.
func (d *Dispatcher) refillTokens() {
	dt := float64(d.now-d.refilledAt) / float64(second)
	d.refilledAt = d.now
	for i := range d.tenants {
		t := &d.tenants[i]
		t.tokens += t.rate * dt
		if over := t.tokens - t.burst(); over > 0 {
			t.tokens -= over
			d.burstTokens += over
		}
	}
	d.burstTokens += d.burstRate * dt
	d.burstTokens = min(d.burstTokens, max(1, d.offeredRate/4))
}
