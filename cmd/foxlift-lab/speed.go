package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab"
)

// speedCommand returns the command that measures the throughput and latency of one scheduler process.
func speedCommand() *cobra.Command {
	var program string
	var connections []int
	var each time.Duration
	cmd := &cobra.Command{
		Use:   "speed",
		Short: "Measure the throughput and latency of one scheduler process",
		Args:  cobra.NoArgs,
		Long: `speed starts one scheduler process with stand-in workers that answer at once, and sends jobs over each
number of connections in turn. Each connection sends its next job when it has the response to the last
one. It prints jobs a second, latency quantiles and the number of jobs that were not served in time. It
checks no limit: it exits with code 1 only if the process cannot be started or does not listen.`,
		Example: "  foxlift-lab speed --program bin/foxlift --connections 1,16,64",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return lab.MeasureSpeed(cmd.Context(), cmd.OutOrStdout(), program, connections, each)
		},
	}
	cmd.Flags().StringVar(&program, "program", "bin/foxlift", "path of the scheduler's binary")
	cmd.Flags().IntSliceVar(&connections, "connections", []int{1, 16, 64},
		"numbers of connections to measure, separated by commas")
	cmd.Flags().DurationVar(&each, "each", 5*time.Second,
		"duration of the measurement with each number of connections")
	return cmd
}
