package capacity

import (
	"context"

	"github.com/vatu-meals/foxlift/internal/config"
)

// measureConfiguration measures the size and the parsing time of the settings document by the number of teams. A
// reload parses the whole document, whatever has changed in it.
func measureConfiguration(ctx context.Context, p plan) ([]Series, error) {
	document := func(teams int) ([]byte, error) {
		return deployment{schedulers: measuredSchedulers, teams: teams}.settingsDocument()
	}
	return measureBySize(ctx, "teams", p.sizes(8, 16, 32, 64, TargetTeams, 800),
		costMeasurement{"configuration.bytes", "bytes", func(teams int) ([]float64, error) {
			text, err := document(teams)
			return []float64{float64(len(text))}, err
		}},
		costMeasurement{"configuration.read", "ns", func(teams int) ([]float64, error) {
			text, err := document(teams)
			if err != nil {
				return nil, err
			}
			if _, err := config.ParseSettings(text); err != nil {
				return nil, err
			}
			return timePerCall(p.runs, func() { _, _ = config.ParseSettings(text) }), nil // valid: parsed above
		}},
	)
}
