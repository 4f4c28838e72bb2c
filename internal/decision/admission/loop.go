// Package admission decides how much of the offered load is admitted and how that is divided among the
// tenants. It contains
//
//   - the latency loops (LatencyLoop), one self-tuning regulator for each class (paper, section 4),
//   - the admission rate that follows from them (RateController),
//   - its division among the tenants by bands and token buckets (Allocator; paper, section 2), and
//   - the quantiles of recent running times (Runtimes).
//
// Times are in nanoseconds on the dispatcher's clock and are passed in; rates are in jobs a second.
package admission

const (
	minSamples = 6   // jobs that a period needs to run the loop (paper, 4.2)
	lateRatio  = 2.0 // ratio of failed and late attempts in w; larger ratios are reduced to it
)

// A LatencyLoop is the self-tuning regulator of one class. Its input v is the admission rate as a fraction of
// the highest rate, so that the model and the reset rule do not depend on the size of the fleet. Its output w
// is the mean ratio of the jobs' latencies to their objectives; the loop controls it to 1.
type LatencyLoop struct {
	ratios               []float64 // latency over objective of the jobs sampled since the last period
	fit                  model
	input, previousInput float64 // v(k-1) and v(k-2)
	previousOutput       float64 // w(k-1)
}

// A LoopState is the state of a LatencyLoop without the ratios of the jobs sampled since the last period.
type LoopState struct {
	Parameters    [3]float64
	Covariance    [3][3]float64
	Input         float64 // v(k-1)
	PreviousInput float64 // v(k-2)
	Output        float64 // w(k-1)
}

// NewLatencyLoop returns a loop without measurements, which does not throttle.
func NewLatencyLoop() LatencyLoop { return LatencyLoop{fit: newModel(), input: 1} }

// Input returns the admission rate that the loop has computed, as a fraction of the highest rate.
func (l *LatencyLoop) Input() float64 { return l.input }

// Sample records the ratio of a finished job's latency to its objective, reduced to lateRatio if it is
// larger.
func (l *LatencyLoop) Sample(ratio float64) { l.ratios = append(l.ratios, min(ratio, lateRatio)) }

// SampleLate records a job that failed or is late.
func (l *LatencyLoop) SampleLate() { l.Sample(lateRatio) }

// Run runs one period if at least minSamples jobs were sampled since the last one, or if force is set. If it
// does not run, the samples are kept for the next call.
func (l *LatencyLoop) Run(force bool) {
	if len(l.ratios) >= minSamples || force {
		l.step(l.meanRatio())
		l.ratios = l.ratios[:0]
	}
}

// meanRatio returns w(k), the mean ratio of the sampled jobs; 0 if there are none.
func (l *LatencyLoop) meanRatio() float64 {
	sum := 0.0
	for _, r := range l.ratios {
		sum += r
	}
	return sum / max(1, float64(len(l.ratios)))
}

// step updates the model with the measured output w, and sets and returns the new input, from 0 to 1, which
// the model expects to bring the output to 1. If a parameter jumps it resets the model, and the input is 1.
// It keeps the old model if the new one has r1 <= 0.
func (l *LatencyLoop) step(w float64) float64 {
	next := l.fit.update([3]float64{l.previousOutput, l.input, l.previousInput}, w)
	input := 1.0
	if next.differsFrom(l.fit) {
		l.fit = newModel()
	} else {
		if next.parameters[1] > 0 {
			l.fit = next
		}
		input = (1 - float64(l.fit.parameters[0]*w) - float64(l.fit.parameters[2]*l.input)) / l.fit.parameters[1]
		input = min(max(input, 0), 1)
	}
	l.previousOutput, l.previousInput, l.input = w, l.input, input
	return input
}

// State returns the state of the loop.
func (l *LatencyLoop) State() LoopState {
	return LoopState{
		Parameters: l.fit.parameters, Covariance: l.fit.covariance,
		Input: l.input, PreviousInput: l.previousInput, Output: l.previousOutput,
	}
}

// Ratios returns the ratios of the jobs sampled since the last period. They are valid until the next call of
// another method.
func (l *LatencyLoop) Ratios() []float64 { return l.ratios }

// Restore sets the state and the sampled ratios of another loop. It keeps the slice.
func (l *LatencyLoop) Restore(s LoopState, ratios []float64) {
	l.fit = model{parameters: s.Parameters, covariance: s.Covariance}
	l.input, l.previousInput, l.previousOutput = s.Input, s.PreviousInput, s.Output
	l.ratios = ratios
}
