package capacity

// A target is what measurements come to at the size designed for.
type assessment struct {
	*figures
	limits       []scalingLimit
	requirements []requirement
}

// newAssessment carries measurements to the target; it fails where a series is missing.
func newAssessment(m *Measured) (*assessment, error) {
	fs, err := newFigures(m)
	if err != nil {
		return nil, err
	}
	t := &assessment{figures: fs}
	t.findLimits()
	t.judgeRequirements()
	return t, nil
}
