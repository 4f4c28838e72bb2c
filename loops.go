package foxlift

// The regulators' state and the fit of their models. Nothing is decided here.

// A latencyLoop is a class with its regulator. v is u as a share of u_max, so that
// model and reset law do not depend on the size of the fleet.
type latencyLoop struct {
	*Class
	patience             int64 // the longest that a client waits, as seen
	median               int64 // of recent running times
	lowerQuartile        int64 // their lower quartile
	runtimes             []int64
	ratios               []float64 // job time over wanted time, this second
	fit                  model
	input, previousInput float64 // u(k-1) and u(k-2)
	previousOutput       float64 // w(k-1)
}

// ran keeps the running times of the last jobs.
func (c *latencyLoop) recordRuntime(took int64) {
	if len(c.runtimes) < 64 {
		c.runtimes = append(c.runtimes, took)
		return
	}
	copy(c.runtimes, c.runtimes[1:])
	c.runtimes[63] = took
}

// A model is w(k) = s1 w(k-1) + r1 u(k-1) + r2 u(k-2), fitted by recursive least
// squares with forgetting.
type model struct {
	parameters [3]float64 // s1, r1, r2
	covariance [3][3]float64
}

// measured is w(k): the mean over the second's jobs, 0 if there were none.
func (c *latencyLoop) meanRatio() float64 {
	sum := 0.0
	for _, r := range c.ratios {
		sum += r
	}
	return sum / max(1, float64(len(c.ratios)))
}

// update returns the model after one more observation.
func (m model) update(x [3]float64, w, forgetting, covMax float64) model {
	var px [3]float64
	den, err := forgetting, w
	for i := range px {
		for k := range x {
			px[i] += m.covariance[i][k] * x[k]
		}
		den += x[i] * px[i]
		err -= m.parameters[i] * x[i]
	}
	trace := 0.0
	for i := range px {
		m.parameters[i] += px[i] / den * err
		for k := range px {
			m.covariance[i][k] -= px[i] * px[k] / den
		}
		trace += m.covariance[i][i]
	}
	// Without excitation forgetting would let the covariance grow for ever; then
	// noise alone would move the parameters far enough to reset them.
	if trace < covMax*forgetting {
		for i := range m.covariance {
			for k := range m.covariance {
				m.covariance[i][k] /= forgetting
			}
		}
	}
	return m
}
