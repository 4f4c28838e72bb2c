package main

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab/service"
)

// upgradeCommand returns the command that tests upgrades of a scheduler under load.
func upgradeCommand() *cobra.Command {
	trial := service.DefaultUpgradeTrial
	fault := string(trial.Fault)
	cmd := &cobra.Command{
		Use:   "upgrade",
		Short: "Replace a scheduler process under load, many times in a row, and check its jobs",
		Args:  cobra.NoArgs,
		Long: `upgrade starts a scheduler with stand-ins and replaces it as the platform does: it starts a second
process, sends SIGTERM to the old one when the new one reports on its admin address that it is ready, and
SIGKILL when the time limit for its end is over. It exits with code 1 if a job was lost, a job got a wrong
result, an at-most-once job ran more than once, more than two jobs were not read in one upgrade, a new
process was not ready after 6 s, a process exited with an error, not all upgrades were made, or no job was
answered with status 200 (ok). A job is not read if the scheduler cannot have read its complete request;
the client then sends it once more.

--fault injects a fault into each upgrade: none; kill-new (a new process is killed before it is ready);
stop-new (a new process is suspended before it is ready, and killed later); kill-old (the old process is
killed during the upgrade; the result does not count jobs that are lost because of that).`,
		Example: "  go run ./cmd/foxlift-lab upgrade --upgrades 20 --build bin/foxlift",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			trial.Fault = service.Fault(fault)
			r, err := trial.Run(ctx, cmd.OutOrStdout())
			return printResult(cmd, r, err)
		},
	}
	cmd.Flags().StringVar(&trial.Program, "build", trial.Program, "path of the scheduler's binary")
	cmd.Flags().IntVar(&trial.Upgrades, "upgrades", trial.Upgrades, "number of upgrades, one after another")
	cmd.Flags().Uint64Var(&trial.Seed, "seed", trial.Seed, "seed of the arrivals and the faults")
	cmd.Flags().StringVar(&fault, "fault", fault, "fault in each upgrade: none, kill-new, stop-new or kill-old")
	cmd.Flags().Float64Var(&trial.Load.Rate, "rate", trial.Load.Rate, "jobs a second that the clients send")
	return cmd
}
