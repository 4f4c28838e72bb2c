// Command foxlift-lab demonstrates and measures foxlift on loopback, among stand-ins for
// discovery, the workers and the clients. The scheduler never links it.
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

// rootCommand is foxlift-lab with all its commands.
func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "foxlift-lab",
		Short:         "Demonstrations and measurements of foxlift on loopback",
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
