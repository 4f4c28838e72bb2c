package foxlift

// The regulator: one self-tuning loop for each class sets how much is admitted (paper, section 4).

import "math"

const (
	minJobs    = 6    // finished jobs that make a second count (paper, 4.2)
	forgetting = 0.9  // lambda: a model remembers about ten seconds
	resetShare = 0.3  // a parameter moving further resets the model (paper, 4.2)
	lateRatio  = 2.0  // failed and late attempts enter w as this
	covStart   = 10.0 // covariance of a new model: little trust in it
	covMax     = 100.0
	headroom   = 2.0 // u_max over the offered load
	stillOpen  = 0.7 // share of an open u that the mean may fall to
)

func (c *classLoop) sample(ratio float64) { c.ratios = append(c.ratios, min(ratio, lateRatio)) }

func newModel() model {
	m := model{p: [3]float64{0, 0.5, 0.5}}
	for i := range m.cov {
		m.cov[i][i] = covStart
	}
	return m
}

// moved reports whether a parameter differs by more than the reset share, of
// itself or, near zero, of the target (which is 1, as is the largest input).
func (m model) moved(old model) bool {
	for i := range m.p {
		if math.Abs(m.p[i]-old.p[i]) > resetShare*max(math.Abs(old.p[i]), 1) {
			return true
		}
	}
	return false
}

// step runs one period with the measured w and returns the new u/u_max.
func (c *classLoop) step(w float64) float64 {
	next := c.fit.update([3]float64{c.w1, c.v, c.v1}, w, forgetting, covMax)
	v := 1.0
	if next.moved(c.fit) {
		c.fit = newModel()
	} else {
		if next.p[1] > 0 {
			c.fit = next
		}
		v = (1 - c.fit.p[0]*w - c.fit.p[2]*c.v) / c.fit.p[1]
		v = min(max(v, 0), 1)
	}
	c.w1, c.v1, c.v = w, c.v, v
	return v
}

// regulate runs the loops of all classes once and takes the lowest u.
func (d *Dispatcher) regulate() {
	d.offered += (float64(d.arrived) - d.offered) * rateGain
	d.offered = max(d.offered, float64(d.arrived)/headroom)
	d.arrived = 0
	d.period++
	turn := int(d.period%int64(d.cfg.Dispatchers)) == d.cfg.Index
	v := 1.0
	d.fade = 1
	for i := range d.classes {
		c := &d.classes[i]
		if len(c.ratios) >= minJobs || turn && !d.shares() {
			c.step(c.measured())
			c.ratios = c.ratios[:0]
		}
		c.median, c.quick = quantile(c.runs, 0.5, c.median), quantile(c.runs, 0.25, c.quick)
		d.fade = max(d.fade, 2*c.median)
		v = min(v, c.v)
	}
	d.open = v >= 1
	d.u = v * d.uMax()
	d.agree()
	d.refillRates()
	young, _ := d.youngLive()
	if warm := len(d.live) - young; warm > 0 {
		// A peak is held for a while: what workers once served they can serve, also
		// when traffic or a failure keeps them from it now.
		d.warmNow += (d.served/float64(warm) - d.warmNow) * max(rateGain/min(d.fleetScale, 2), 1/float64(d.period))
		d.warmRate = max(d.warmNow, d.warmRate*(1-(1-peakKept)*min(d.fleetScale, 5)))
	}
	d.served = 0
	d.forgetGone(d.now - keepGone)
}

func (d *Dispatcher) uMax() float64 { return headroom * d.offered * float64(d.cfg.Dispatchers) }

// agree tells peers, where that is allowed, this dispatcher's u, and takes the mean of all
// if that is lower: each follows few jobs, and the lowest of several is lowest by chance.
func (d *Dispatcher) agree() {
	if !d.cfg.MayMessage {
		return
	}
	d.tellAll()
	if u := d.heardU(); u < d.u {
		d.open, d.u = d.open && u >= stillOpen*d.u, u
	}
}
