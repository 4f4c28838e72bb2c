package admission

const (
	// RateGain is the weight of the newest second in the exponential averages of rates.
	RateGain = 0.3

	headroom            = 2.0 // ratio of the highest admission rate to the offered load
	unthrottledFraction = 0.7 // fraction of this dispatcher's rate below which the peers' mean throttles it
)

// A RateController computes the admission rate of the whole fleet once a second, from the load offered to
// this dispatcher and the inputs of the classes' latency loops.
type RateController struct {
	dispatchers, index int
	arrivals           int
	state              RateState
}

// A RateState is the state of a RateController.
type RateState struct {
	Periods       int64   // number of the last period; the first is 1
	AdmissionRate float64 // of the whole fleet, jobs per second
	Unthrottled   bool    // the loops do not throttle, and the peers' mean is near the rate or higher
	OfferedRate   float64 // smoothed arrivals at this dispatcher, jobs per second
}

// NewRateController returns the controller of the dispatcher with an index among a number of dispatchers.
func NewRateController(dispatchers, index int) RateController {
	return RateController{dispatchers: dispatchers, index: index, state: RateState{Unthrottled: true}}
}

// State returns the state of the controller.
func (c *RateController) State() RateState { return c.state }

// Restore sets the state of another controller.
func (c *RateController) Restore(s RateState) { c.state = s }

// AdmissionRate returns the admission rate of the whole fleet, in jobs per second.
func (c *RateController) AdmissionRate() float64 { return c.state.AdmissionRate }

// Unthrottled reports whether the rate is not throttled: the loops leave it at its highest, and the peers'
// mean is at least unthrottledFraction of that.
func (c *RateController) Unthrottled() bool { return c.state.Unthrottled }

// OfferedRate returns the smoothed rate of arrivals at this dispatcher, in jobs per second.
func (c *RateController) OfferedRate() float64 { return c.state.OfferedRate }

// Periods returns the number of the last period.
func (c *RateController) Periods() int64 { return c.state.Periods }

// RecordArrival counts a job that has arrived.
func (c *RateController) RecordArrival() { c.arrivals++ }

// BeginPeriod begins a period and updates the offered rate with the arrivals of the last second, to at least
// half of them. It reports whether it is this dispatcher's turn to run its loops even if they have few
// samples. The dispatchers take turns, one in each period.
func (c *RateController) BeginPeriod() (turn bool) {
	c.state.OfferedRate += float64((float64(c.arrivals) - c.state.OfferedRate) * RateGain)
	c.state.OfferedRate = max(c.state.OfferedRate, float64(c.arrivals)/headroom)
	c.arrivals = 0
	c.state.Periods++
	return int(c.state.Periods%int64(c.dispatchers)) == c.index
}

// SetInput sets the admission rate to the fraction v of the highest rate, which is headroom times the offered
// rate times the number of dispatchers. With v of at least 1 the rate is unthrottled. The caller passes the
// lowest input of the classes' loops.
func (c *RateController) SetInput(v float64) {
	c.state.Unthrottled = v >= 1
	c.state.AdmissionRate = v * (headroom * c.state.OfferedRate * float64(c.dispatchers))
}

// ApplyMean lowers the admission rate to the mean of all dispatchers' rates if that is lower. The mean is
// used, not the minimum: each dispatcher measures few jobs, so the lowest of several rates is low by chance.
func (c *RateController) ApplyMean(mean float64) {
	if mean < c.state.AdmissionRate {
		c.state.Unthrottled = c.state.Unthrottled && mean >= unthrottledFraction*c.state.AdmissionRate
		c.state.AdmissionRate = mean
	}
}
