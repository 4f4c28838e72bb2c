package foxlift

// The control loops: once a second each class's latency loop says how much the fleet may admit.

import (
	"github.com/vatu-meals/foxlift/internal/decision/admission"
)

// A class is a kind of job with what is learned of its jobs.
type class struct {
	*Class
	patience int64 // the longest that a client waits, as seen
	runtimes admission.Runtimes
	loop     admission.LatencyLoop
}

func newClass(c *Class) class {
	return class{Class: c, runtimes: admission.NewRuntimes(c.LatencyObjective), loop: admission.NewLatencyLoop()}
}

const peakDecay = 0.98 // of a peak, each second; less for many: their peaks add up to more than that of all

// runControlLoops runs the loops of all classes once and takes the lowest admission rate.
func (d *Dispatcher) runControlLoops() {
	turn := d.rate.BeginPeriod()
	v := 1.0
	d.pressureDecay = 1
	for i := range d.classes {
		c := &d.classes[i]
		c.loop.Run(turn && !d.exchangesUsage())
		c.runtimes.Update()
		d.pressureDecay = max(d.pressureDecay, 2*c.runtimes.Median())
		v = min(v, c.loop.Input())
	}
	d.rate.SetInput(v)
	d.exchangeAdmissionRate()
	d.updateQuotas()
	d.updateWorkerRate()
	d.forgetRemoved(d.now - removedRetention)
}

// updateWorkerRate follows the slots that each warm worker has at work. A peak is held for a while: what
// workers once served they can serve, also when traffic or a failure keeps them from it now.
func (d *Dispatcher) updateWorkerRate() {
	young, _ := d.slowStartTotals()
	if warm := len(d.liveWorkers) - young; warm > 0 {
		gain := max(admission.RateGain/min(d.fleetScale, 2), 1/float64(d.rate.Periods()))
		d.recentWorkerRate += (d.servedSlots/float64(warm) - d.recentWorkerRate) * gain
		d.peakWorkerRate = max(d.recentWorkerRate, d.peakWorkerRate*(1-(1-peakDecay)*min(d.fleetScale, 5)))
	}
	d.servedSlots = 0
}

// exchangeAdmissionRate tells peers, where that is allowed, this dispatcher's admission rate, and takes
// the mean of all if that is lower.
func (d *Dispatcher) exchangeAdmissionRate() {
	if !d.cfg.MayGossip {
		return
	}
	d.gossipAll()
	d.rate.ApplyMean(d.meanAdmissionRate())
}
