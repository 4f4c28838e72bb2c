package foxlift

// The control loops: once a second each class's latency loop says how much the fleet may admit.

import (
	"github.com/vatu-meals/foxlift/internal/decision/admission"
)

// A class is a kind of job with what is learned of its jobs.
type class struct {
	*Class
	maxClientWait int64 // the longest that a client waits, as seen
	runtimes      admission.Runtimes
	loop          admission.LatencyLoop
}

// newClass returns a class of which nothing is known.
func newClass(c *Class) class {
	return class{Class: c, runtimes: admission.NewRuntimes(c.LatencyObjective), loop: admission.NewLatencyLoop()}
}

// runControlLoops runs the loops of all classes once and takes the lowest admission rate.
func (d *Dispatcher) runControlLoops() {
	turn := d.rate.BeginPeriod()
	input := 1.0
	decay := int64(1)
	for i := range d.classes {
		c := &d.classes[i]
		c.loop.Run(turn && !d.exchangesUsage())
		c.runtimes.Update()
		decay = max(decay, 2*c.runtimes.Median())
		input = min(input, c.loop.Input())
	}
	d.capacity.reports.SetDecayTime(decay)
	d.rate.SetInput(input)
	d.exchangeAdmissionRate()
	d.updateQuotas()
	d.updateWorkerRate()
	d.deleteRemoved(d.now - removedRetention)
}

// updateWorkerRate follows the slots that each warm worker has at work.
func (d *Dispatcher) updateWorkerRate() {
	inSlowStart, _ := d.slowStartTotals()
	d.capacity.slowStart.Rate().Update(len(d.liveWorkers)-inSlowStart, d.rate.Periods())
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
