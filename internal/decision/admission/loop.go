// Package admission decides how much of the offered load is admitted, and whose. It owns
//
//   - the latency loops (LatencyLoop), one self-tuning regulator for each class (paper, section 4),
//   - the admission rate that follows from them (RateController),
//   - its division among the tenants by bands and token buckets (Allocator; paper, section 2), and
//   - the quantiles of recent running times (Runtimes).
//
// Times are in nanoseconds on the dispatcher's clock and are passed in; rates are in jobs a second.
package admission

const (
	minSamples = 6   // finished jobs that make a second count (paper, 4.2)
	lateRatio  = 2.0 // failed and late attempts enter w as this
)

// A LatencyLoop is the regulator of one class. Its input v is the admission rate as a fraction of the
// greatest, so that model and reset law do not depend on the size of the fleet; its output w is the mean
// of the jobs' times over their objectives.
type LatencyLoop struct {
	ratios               []float64 // job time over objective, of the jobs that no period has used yet
	fit                  model
	input, previousInput float64 // v(k-1) and v(k-2)
	previousOutput       float64 // w(k-1)
}

// A LoopState is what a LatencyLoop has learned, the ratios of its last jobs aside.
type LoopState struct {
	Parameters    [3]float64
	Covariance    [3][3]float64
	Input         float64 // v(k-1)
	PreviousInput float64 // v(k-2)
	Output        float64 // w(k-1)
}

// NewLatencyLoop returns the loop of a class of which nothing is known: it does not throttle.
func NewLatencyLoop() LatencyLoop { return LatencyLoop{fit: newModel(), input: 1} }

// Input returns the admission rate that the loop asks for, as a fraction of the greatest.
func (l *LatencyLoop) Input() float64 { return l.input }

// Sample notes a finished job's time over its objective.
func (l *LatencyLoop) Sample(ratio float64) { l.ratios = append(l.ratios, min(ratio, lateRatio)) }

// SampleLate notes a job that failed or that is late.
func (l *LatencyLoop) SampleLate() { l.Sample(lateRatio) }

// Run runs one period if enough jobs were sampled since the last, or in any case if it is forced.
func (l *LatencyLoop) Run(force bool) {
	if len(l.ratios) >= minSamples || force {
		l.step(l.meanRatio())
		l.ratios = l.ratios[:0]
	}
}

// meanRatio is w(k): the mean over the sampled jobs, 0 if there were none.
func (l *LatencyLoop) meanRatio() float64 {
	sum := 0.0
	for _, r := range l.ratios {
		sum += r
	}
	return sum / max(1, float64(len(l.ratios)))
}

// step runs one period with the measured w and returns the new input.
func (l *LatencyLoop) step(w float64) float64 {
	next := l.fit.update([3]float64{l.previousOutput, l.input, l.previousInput}, w)
	input := 1.0
	if next.differsFrom(l.fit) {
		l.fit = newModel()
	} else {
		if next.parameters[1] > 0 {
			l.fit = next
		}
		input = (1 - l.fit.parameters[0]*w - l.fit.parameters[2]*l.input) / l.fit.parameters[1]
		input = min(max(input, 0), 1)
	}
	l.previousOutput, l.previousInput, l.input = w, l.input, input
	return input
}

// State returns what the loop has learned.
func (l *LatencyLoop) State() LoopState {
	return LoopState{
		Parameters: l.fit.parameters, Covariance: l.fit.covariance,
		Input: l.input, PreviousInput: l.previousInput, Output: l.previousOutput,
	}
}

// Ratios returns the ratios of the jobs that no period has used yet. They are valid until the next call.
func (l *LatencyLoop) Ratios() []float64 { return l.ratios }

// Restore takes over what another loop has learned, and its jobs' ratios.
func (l *LatencyLoop) Restore(s LoopState, ratios []float64) {
	l.fit = model{parameters: s.Parameters, covariance: s.Covariance}
	l.input, l.previousInput, l.previousOutput = s.Input, s.PreviousInput, s.Output
	l.ratios = ratios
}
