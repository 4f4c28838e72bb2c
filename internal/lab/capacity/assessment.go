package capacity

// An assessment is the extrapolation of measurements to the target size: figures, scaling limits and requirements.
type assessment struct {
	*figures
	limits       []scalingLimit
	requirements []requirement
}

// newAssessment extrapolates m to the target size. It fails if m lacks a series that a figure needs.
func newAssessment(m *Measured) (*assessment, error) {
	figures, err := newFigures(m)
	if err != nil {
		return nil, err
	}
	a := &assessment{figures: figures}
	a.findLimits()
	a.assessRequirements()
	return a, nil
}
