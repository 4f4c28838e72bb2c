package admission

const (
	// RateGain is the weight of the newest second in rates that are followed.
	RateGain = 0.3

	headroom            = 2.0 // the greatest admission rate over the offered load
	unthrottledFraction = 0.7 // of an unthrottled rate, that the peers' mean may fall to
)

// A RateController sets the admission rate of the whole fleet once a second, from the load that is offered
// here and from what the classes' loops ask for.
type RateController struct {
	dispatchers, index int
	arrivals           int
	state              RateState
}

// A RateState is what a RateController has learned.
type RateState struct {
	Periods       int64   // number of the last period
	AdmissionRate float64 // of the whole fleet, jobs a second
	Unthrottled   bool    // the rate is at its greatest: the loops do not throttle
	OfferedRate   float64 // jobs a second that arrive here
}

// NewRateController returns the controller of one dispatcher, by its index, of so many.
func NewRateController(dispatchers, index int) RateController {
	return RateController{dispatchers: dispatchers, index: index, state: RateState{Unthrottled: true}}
}

// State returns what the controller has learned.
func (c *RateController) State() RateState { return c.state }

// Restore takes over what another controller has learned.
func (c *RateController) Restore(s RateState) { c.state = s }

// AdmissionRate returns the admission rate of the whole fleet, jobs a second.
func (c *RateController) AdmissionRate() float64 { return c.state.AdmissionRate }

// Unthrottled reports whether the rate is at its greatest: the loops do not throttle.
func (c *RateController) Unthrottled() bool { return c.state.Unthrottled }

// OfferedRate returns the jobs a second that arrive here.
func (c *RateController) OfferedRate() float64 { return c.state.OfferedRate }

// Periods returns the number of the last period.
func (c *RateController) Periods() int64 { return c.state.Periods }

// RecordArrival notes a job that came.
func (c *RateController) RecordArrival() { c.arrivals++ }

// BeginPeriod takes the second's arrivals into the offered rate. It reports whether this is the period in
// which this dispatcher, one after another, runs its loops however few jobs they saw.
func (c *RateController) BeginPeriod() (turn bool) {
	c.state.OfferedRate += (float64(c.arrivals) - c.state.OfferedRate) * RateGain
	c.state.OfferedRate = max(c.state.OfferedRate, float64(c.arrivals)/headroom)
	c.arrivals = 0
	c.state.Periods++
	return int(c.state.Periods%int64(c.dispatchers)) == c.index
}

// SetInput sets the rate to a fraction of the greatest: the lowest that the classes' loops ask for.
func (c *RateController) SetInput(v float64) {
	c.state.Unthrottled = v >= 1
	c.state.AdmissionRate = v * (headroom * c.state.OfferedRate * float64(c.dispatchers))
}

// ApplyMean takes the mean of all dispatchers' rates if that is lower: each follows few jobs, and the
// lowest of several is lowest by chance.
func (c *RateController) ApplyMean(mean float64) {
	if mean < c.state.AdmissionRate {
		c.state.Unthrottled = c.state.Unthrottled && mean >= unthrottledFraction*c.state.AdmissionRate
		c.state.AdmissionRate = mean
	}
}
