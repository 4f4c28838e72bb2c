package main

import (
	"os"
	"os/signal"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab"
)

// standInCommand runs discovery and workers for examples/config.json.
func standInCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "standin",
		Short: "Stand in for a deployment that fits examples/config.json, until SIGINT",
		Args:  cobra.NoArgs,
		Long: `standin runs discovery on 127.0.0.1:8500 and two execute nodes on 127.0.0.1:3101 and
3102, of two slots each. A reading takes 0.3 s, a ratify 1.5 s. SIGUSR1 makes the second
node drain, and SIGUSR1 again brings it back.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, lab.StandInSignals...)
			return lab.RunStandIns(cmd.Context(), cmd.OutOrStdout(), signals)
		},
	}
}
