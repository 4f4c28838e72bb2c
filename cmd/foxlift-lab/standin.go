package main

import (
	"os"
	"os/signal"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab"
)

// standInCommand returns the command that runs stand-ins for the systems that examples/config.json refers to.
func standInCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "standin",
		Short: "Run the discovery and the workers that examples/config.json refers to, until SIGINT",
		Args:  cobra.NoArgs,
		Long: `standin runs stand-ins for discovery, on 127.0.0.1:8500, and for two workers, on 127.0.0.1:3101 and
127.0.0.1:3102, with two slots each. A job of the class reading takes 0.3 s, one of the class ratify
1.5 s. SIGUSR1 switches the second worker between active and leaving (draining) in the endpoint list.
SIGINT or SIGTERM ends it with code 0. It exits with code 1 if it cannot listen on an address.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, lab.StandInSignals...)
			return lab.RunStandIns(cmd.Context(), cmd.OutOrStdout(), signals)
		},
	}
}
