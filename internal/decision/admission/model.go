package admission

import "math"

const (
	forgettingFactor   = 0.9   // lambda: the model averages over about ten seconds
	resetFraction      = 0.3   // change of a parameter beyond which the model is reset (paper, 4.2)
	initialCovariance  = 10.0  // variance of each parameter of a new model: its parameters are uncertain
	maxCovarianceTrace = 100.0 // trace of the covariance up to which the model forgets old observations
)

// A model predicts w(k) = s1 w(k-1) + r1 v(k-1) + r2 v(k-2). It is fitted by recursive least squares with a
// forgetting factor.
type model struct {
	parameters [3]float64 // s1, r1, r2
	covariance [3][3]float64
}

// newModel returns a model without observations, in which both inputs have the same weight.
func newModel() model {
	m := model{parameters: [3]float64{0, 0.5, 0.5}}
	for i := range m.covariance {
		m.covariance[i][i] = initialCovariance
	}
	return m
}

// differsFrom reports whether a parameter differs from that of the old model by more than resetFraction of
// its old value, or of 1 if that is larger; 1 is the target of the output and the largest input.
func (m model) differsFrom(old model) bool {
	for i := range m.parameters {
		if math.Abs(m.parameters[i]-old.parameters[i]) > resetFraction*max(math.Abs(old.parameters[i]), 1) {
			return true
		}
	}
	return false
}

// update returns the model after one more observation: the regressors x = (w(k-1), v(k-1), v(k-2)) and the
// output w(k).
func (m model) update(x [3]float64, w float64) model {
	var px [3]float64
	denominator, residual := forgettingFactor, w
	for i := range px {
		for k := range x {
			px[i] += float64(m.covariance[i][k] * x[k])
		}
		denominator += float64(x[i] * px[i])
		residual -= float64(m.parameters[i] * x[i])
	}
	trace := 0.0
	for i := range px {
		m.parameters[i] += float64(px[i] / denominator * residual)
		for k := range px {
			m.covariance[i][k] -= px[i] * px[k] / denominator
		}
		trace += m.covariance[i][i]
	}
	// While the input does not change, forgetting would let the covariance grow without bound, and then noise
	// alone would move the parameters far enough to reset the model.
	if trace < maxCovarianceTrace*forgettingFactor {
		for i := range m.covariance {
			for k := range m.covariance {
				m.covariance[i][k] /= forgettingFactor
			}
		}
	}
	return m
}
