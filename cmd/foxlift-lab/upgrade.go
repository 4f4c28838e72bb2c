package main

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab/service"
)

// upgradeCommand upgrades a scheduler under load, many times in a row.
func upgradeCommand() *cobra.Command {
	trial := service.DefaultUpgradeTrial
	fault := string(trial.Fault)
	cmd := &cobra.Command{
		Use:   "upgrade",
		Short: "Replace a scheduler process under load, many times in a row, and watch its jobs",
		Args:  cobra.NoArgs,
		Long: `upgrade starts a scheduler among stand-ins and replaces it as the platform does: a second
process starts beside it, and once it says yes on its operators' address the old one has SIGTERM,
and SIGKILL at the limit. It exits with code 1 if a job is lost, an at-most-once job ran twice,
more than two jobs were turned back unheard in one upgrade, or a yes took over 6 s.

--fault has something go wrong in each upgrade: none, kill-new (a new process is killed before its
yes), stop-new (it stands still before its yes and is killed then), kill-old (the old process is
killed amid the upgrade; what dies with it does not count as lost).`,
		Example: "  go run ./cmd/foxlift-lab upgrade --upgrades 20 --build bin/foxlift",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			trial.Fault = service.Fault(fault)
			r, err := trial.Run(ctx, cmd.OutOrStdout())
			return printResult(cmd, r, err)
		},
	}
	cmd.Flags().StringVar(&trial.Program, "build", trial.Program, "the scheduler's binary")
	cmd.Flags().IntVar(&trial.Upgrades, "upgrades", trial.Upgrades, "how many, one after another")
	cmd.Flags().Uint64Var(&trial.Seed, "seed", trial.Seed, "of the arrivals and the faults")
	cmd.Flags().StringVar(&fault, "fault", fault, "what goes wrong in each upgrade")
	cmd.Flags().Float64Var(&trial.Load.Rate, "rate", trial.Load.Rate, "jobs a second")
	return cmd
}
