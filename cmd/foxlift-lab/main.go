// Command foxlift-lab demonstrates, measures and tests foxlift on loopback, with stand-ins for discovery, the workers
// and the clients. It is not part of the scheduler's binary.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "foxlift-lab:", err)
		os.Exit(1)
	}
}

// rootCommand returns a new root command with all subcommands.
func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "foxlift-lab",
		Short:         "Demonstrate, measure and test foxlift on loopback",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.AddCommand(
		demoCommand(),
		cellsCommand(),
		loopsCommand(),
		speedCommand(),
		standInCommand(),
		fuzzCommand(),
		mutantsCommand(),
		simultaneousStartCommand(),
		keyedCommand(),
		upgradeCommand(),
		capacityCommand(),
		soakCommand(),
	)
	return cmd
}
