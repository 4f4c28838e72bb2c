package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab"
)

// speedCommand measures one scheduler process's throughput and latency.
func speedCommand() *cobra.Command {
	var program string
	var connections []int
	var each time.Duration
	cmd := &cobra.Command{
		Use:     "speed",
		Short:   "Measure one scheduler process: jobs a second and latency",
		Args:    cobra.NoArgs,
		Example: "  foxlift-lab speed --program bin/foxlift --connections 1,16,64",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return lab.MeasureSpeed(cmd.Context(), cmd.OutOrStdout(), program, connections, each)
		},
	}
	cmd.Flags().StringVar(&program, "program", "bin/foxlift", "the scheduler's binary")
	cmd.Flags().IntSliceVar(&connections, "connections", []int{1, 16, 64}, "numbers of connections")
	cmd.Flags().DurationVar(&each, "each", 5*time.Second, "how long each is measured")
	return cmd
}
