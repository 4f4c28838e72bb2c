package capacity

import "context"

// measureTeams measures the time in the decision module for a job, by the number of teams with quotas.
func measureTeams(ctx context.Context, p plan) ([]Series, error) {
	return measureBySize(ctx, "teams", p.sizes(8, 16, 32, 64, TargetTeams),
		costMeasurement{"teams.job", "ns", func(teams int) ([]float64, error) {
			h, err := deployment{workers: 2000, schedulers: measuredSchedulers, teams: teams}.module()
			if err != nil {
				return nil, err
			}
			return timePerCall(p.runs, func() { h.runJob(int(h.jobs)%teams, 0) }), nil
		}},
	)
}
