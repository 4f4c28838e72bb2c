package admission

import "math"

const (
	forgettingFactor   = 0.9  // lambda: a model remembers about ten seconds
	resetFraction      = 0.3  // a parameter moving further resets the model (paper, 4.2)
	initialCovariance  = 10.0 // covariance of a new model: little trust in it
	maxCovarianceTrace = 100.0
)

// A model is w(k) = s1 w(k-1) + r1 u(k-1) + r2 u(k-2), fitted by recursive least squares with forgetting.
type model struct {
	parameters [3]float64 // s1, r1, r2
	covariance [3][3]float64
}

// newModel returns a model that knows nothing: both inputs count alike.
func newModel() model {
	m := model{parameters: [3]float64{0, 0.5, 0.5}}
	for i := range m.covariance {
		m.covariance[i][i] = initialCovariance
	}
	return m
}

// differsFrom reports whether a parameter differs by more than the reset fraction, of itself or, near zero,
// of the target (which is 1, as is the largest input).
func (m model) differsFrom(old model) bool {
	for i := range m.parameters {
		if math.Abs(m.parameters[i]-old.parameters[i]) > resetFraction*max(math.Abs(old.parameters[i]), 1) {
			return true
		}
	}
	return false
}

// update returns the model after one more observation.
func (m model) update(x [3]float64, w float64) model {
	var px [3]float64
	denominator, residual := forgettingFactor, w
	for i := range px {
		for k := range x {
			px[i] += m.covariance[i][k] * x[k]
		}
		denominator += x[i] * px[i]
		residual -= m.parameters[i] * x[i]
	}
	trace := 0.0
	for i := range px {
		m.parameters[i] += px[i] / denominator * residual
		for k := range px {
			m.covariance[i][k] -= px[i] * px[k] / denominator
		}
		trace += m.covariance[i][i]
	}
	// Without excitation forgetting would let the covariance grow for ever; then
	// noise alone would move the parameters far enough to reset them.
	if trace < maxCovarianceTrace*forgettingFactor {
		for i := range m.covariance {
			for k := range m.covariance {
				m.covariance[i][k] /= forgettingFactor
			}
		}
	}
	return m
}
