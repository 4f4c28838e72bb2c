package foxlift

// The regulator: one self-tuning loop for each class sets how much is admitted (paper, section 4).

import "math"

const (
	minJobs             = 6    // finished jobs that make a second count (paper, 4.2)
	forgettingFactor    = 0.9  // lambda: a model remembers about ten seconds
	resetFraction       = 0.3  // a parameter moving further resets the model (paper, 4.2)
	lateRatio           = 2.0  // failed and late attempts enter w as this
	covStart            = 10.0 // covariance of a new model: little trust in it
	covMax              = 100.0
	headroom            = 2.0 // u_max over the offered load
	unthrottledFraction = 0.7 // share of an open u that the mean may fall to
)

func (c *latencyLoop) sample(ratio float64) { c.ratios = append(c.ratios, min(ratio, lateRatio)) }

func newModel() model {
	m := model{parameters: [3]float64{0, 0.5, 0.5}}
	for i := range m.covariance {
		m.covariance[i][i] = covStart
	}
	return m
}

// moved reports whether a parameter differs by more than the reset share, of
// itself or, near zero, of the target (which is 1, as is the largest input).
func (m model) differsFrom(old model) bool {
	for i := range m.parameters {
		if math.Abs(m.parameters[i]-old.parameters[i]) > resetFraction*max(math.Abs(old.parameters[i]), 1) {
			return true
		}
	}
	return false
}

// step runs one period with the measured w and returns the new u/u_max.
func (c *latencyLoop) step(w float64) float64 {
	next := c.fit.update([3]float64{c.previousOutput, c.input, c.previousInput}, w, forgettingFactor, covMax)
	v := 1.0
	if next.differsFrom(c.fit) {
		c.fit = newModel()
	} else {
		if next.parameters[1] > 0 {
			c.fit = next
		}
		v = (1 - c.fit.parameters[0]*w - c.fit.parameters[2]*c.input) / c.fit.parameters[1]
		v = min(max(v, 0), 1)
	}
	c.previousOutput, c.previousInput, c.input = w, c.input, v
	return v
}

// regulate runs the loops of all classes once and takes the lowest u.
func (d *Dispatcher) runControlLoops() {
	d.offeredRate += (float64(d.arrivals) - d.offeredRate) * rateGain
	d.offeredRate = max(d.offeredRate, float64(d.arrivals)/headroom)
	d.arrivals = 0
	d.controlPeriods++
	turn := int(d.controlPeriods%int64(d.cfg.Dispatchers)) == d.cfg.Index
	v := 1.0
	d.pressureDecay = 1
	for i := range d.classes {
		c := &d.classes[i]
		if len(c.ratios) >= minJobs || turn && !d.exchangesUsage() {
			c.step(c.meanRatio())
			c.ratios = c.ratios[:0]
		}
		c.median = quantileOr(c.runtimes, 0.5, c.median)
		c.lowerQuartile = quantileOr(c.runtimes, 0.25, c.lowerQuartile)
		d.pressureDecay = max(d.pressureDecay, 2*c.median)
		v = min(v, c.input)
	}
	d.unthrottled = v >= 1
	d.admissionRate = v * d.maxAdmissionRate()
	d.exchangeAdmissionRate()
	d.updateRates()
	young, _ := d.slowStartTotals()
	if warm := len(d.liveWorkers) - young; warm > 0 {
		// A peak is held for a while: what workers once served they can serve, also
		// when traffic or a failure keeps them from it now.
		gain := max(rateGain/min(d.fleetScale, 2), 1/float64(d.controlPeriods))
		d.recentWorkerRate += (d.servedSlots/float64(warm) - d.recentWorkerRate) * gain
		d.peakWorkerRate = max(d.recentWorkerRate, d.peakWorkerRate*(1-(1-peakDecay)*min(d.fleetScale, 5)))
	}
	d.servedSlots = 0
	d.forgetRemoved(d.now - removedRetention)
}

func (d *Dispatcher) maxAdmissionRate() float64 {
	return headroom * d.offeredRate * float64(d.cfg.Dispatchers)
}

// agree tells peers, where that is allowed, this dispatcher's u, and takes the mean of all
// if that is lower: each follows few jobs, and the lowest of several is lowest by chance.
func (d *Dispatcher) exchangeAdmissionRate() {
	if !d.cfg.MayGossip {
		return
	}
	d.gossipAll()
	if u := d.meanAdmissionRate(); u < d.admissionRate {
		d.unthrottled, d.admissionRate = d.unthrottled && u >= unthrottledFraction*d.admissionRate, u
	}
}
