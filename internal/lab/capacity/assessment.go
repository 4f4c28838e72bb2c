package capacity

// An assessment is what measurements come to at the size designed for.
type assessment struct {
	*figures
	limits       []scalingLimit
	requirements []requirement
}

// newAssessment carries measurements to the target; it fails where a series is missing.
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
