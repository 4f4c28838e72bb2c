package admission

import (
	"math"
	"testing"
)

// The wanted values of one update are computed by hand. With x = (0, 1, 1), covariance P = 10 I and lambda 0.9,
// P x = (0, 10, 10) and the denominator is 20.9. With w = 1.5 the residual is 0.5, so that r1 and r2 change by
// 10/20.9*0.5 and s1 does not.
func TestModelUpdate(t *testing.T) {
	m := newModel().update([3]float64{0, 1, 1}, 1.5)
	r := 0.5 + 10/20.9*0.5
	if m.parameters[0] != 0 || math.Abs(m.parameters[1]-r) > 1e-12 || math.Abs(m.parameters[2]-r) > 1e-12 {
		t.Errorf("parameters %v, want 0 %v %v", m.parameters, r, r)
	}
	if want := (10 - 100/20.9) / 0.9; math.Abs(m.covariance[1][1]-want) > 1e-12 {
		t.Errorf("covariance %v, want %v", m.covariance[1][1], want)
	}
}

func TestLatencyLoopControlLaw(t *testing.T) {
	// With s1 = 0.2, r1 = 0.5, r2 = 0.3, w = 1.2 and the last input 0.8, the next input is
	// (1 - 0.2*1.2 - 0.3*0.8) / 0.5 = 1.04, which is clamped to 1. With w = 2 it is 0.72.
	loop := LatencyLoop{fit: model{parameters: [3]float64{0.2, 0.5, 0.3}}, input: 0.8}
	if v := loop.step(1.2); v != 1 {
		t.Errorf("step(1.2) = %v, want 1", v)
	}
	loop = LatencyLoop{fit: model{parameters: [3]float64{0.2, 0.5, 0.3}}, input: 0.8}
	if v := loop.step(2); math.Abs(v-0.72) > 1e-12 {
		t.Errorf("step(2) = %v, want 0.72", v)
	}
}

func TestLatencyLoopResetsModelAfterJump(t *testing.T) {
	loop := LatencyLoop{fit: newModel(), input: 0.5, previousInput: 0.5}
	loop.fit.parameters = [3]float64{0, 0.2, 0.2}
	if v := loop.step(2); v != 1 || loop.fit.parameters != newModel().parameters {
		t.Errorf("step(2) = %v and parameters %v after a jump, want 1 and %v", v, loop.fit.parameters, newModel().parameters)
	}
}

func TestLatencyLoopRejectsNonPositiveR1(t *testing.T) {
	loop := LatencyLoop{fit: newModel(), input: 1, previousInput: 0}
	loop.fit.parameters = [3]float64{0, 0.05, 0.5}
	before := loop.fit
	loop.step(0) // an update that moves r1 toward 0
	if next := before.update([3]float64{0, 1, 0}, 0); next.parameters[1] <= 0 && loop.fit != before {
		t.Errorf("step(0) set a model with r1 <= 0: %v", loop.fit.parameters)
	}
	loop.fit.covariance[1][1] = 100
	loop.fit.parameters[1] = 0.01
	kept := loop.fit
	loop.previousOutput, loop.input, loop.previousInput = 0.1, 0.1, 1
	if next := kept.update([3]float64{0.1, 0.1, 1}, 0.3); next.parameters[1] > 0 || next.differsFrom(kept) {
		t.Fatalf("test input: update() = %v, want r1 <= 0 without a reset", next.parameters)
	}
	if loop.step(0.3); loop.fit != kept {
		t.Errorf("step(0.3) set a model with r1 <= 0: %v", loop.fit.parameters)
	}
}

// While the input does not change, forgetting would let the covariance grow without bound.
func TestCovarianceStaysBounded(t *testing.T) {
	m := newModel()
	for range 500 {
		m = m.update([3]float64{0.4, 1, 1}, 0.4)
	}
	trace := m.covariance[0][0] + m.covariance[1][1] + m.covariance[2][2]
	if trace > maxCovarianceTrace*1.2 || math.IsNaN(trace) {
		t.Errorf("trace %v after 500 equal updates, want at most %v", trace, maxCovarianceTrace*1.2)
	}
}
