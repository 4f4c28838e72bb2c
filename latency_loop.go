package foxlift

// The control loops: once a second the latency loop of each class computes an admission rate for the fleet,
// and the lowest one applies.

import (
	"github.com/vatu-meals/foxlift/internal/decision/admission"
)

// A class is one of Config.Classes with what the dispatcher has measured of its jobs.
type class struct {
	*Class
	maxClientWait int64 // longest time seen from the arrival of a request to its deadline
	runtimes      admission.Runtimes
	loop          admission.LatencyLoop
}

// newClass returns a class without measurements.
func newClass(c *Class) class {
	return class{Class: c, runtimes: admission.NewRuntimes(c.LatencyObjective), loop: admission.NewLatencyLoop()}
}

// runControlLoops runs one control period: it runs the latency loops of all classes, sets the admission rate
// to the lowest that a loop computes, and updates everything that depends on it. It also deletes the workers
// that were removed more than removedRetention ago.
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

// updateWorkerRate updates the average number of busy slots of a worker that is not in slow start.
func (d *Dispatcher) updateWorkerRate() {
	inSlowStart, _ := d.slowStartTotals()
	d.capacity.slowStart.Rate().Update(len(d.liveWorkers)-inSlowStart, d.rate.Periods())
}

// exchangeAdmissionRate sends this dispatcher's admission rate to the peers and lowers it to the mean of all
// dispatchers' rates if that is lower. It does nothing without gossip.
func (d *Dispatcher) exchangeAdmissionRate() {
	if !d.cfg.MayGossip {
		return
	}
	d.gossipAll()
	d.rate.ApplyMean(d.meanAdmissionRate())
}
