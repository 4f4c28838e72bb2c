package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// errTrialFailed is what a trial that saw something forbidden ends with.
var errTrialFailed = errors.New("something happened that must not")

// A trialResult is what a trial comes to.
type trialResult interface {
	Line() string
	OK() bool
}

// printResult prints a trial's last line, and fails where the trial did.
func printResult(cmd *cobra.Command, r trialResult, err error) error {
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), r.Line())
	if !r.OK() {
		return errTrialFailed
	}
	return nil
}

// keyedCommand runs the trial of deduplicated jobs under connection faults.
func keyedCommand() *cobra.Command {
	options := fleet.DefaultKeyedTrial
	cmd := &cobra.Command{
		Use:   "keyed",
		Short: "Reset and silence connections amid keyed jobs, and see that none runs twice",
		Args:  cobra.NoArgs,
		Long: `keyed starts two scheduler processes among nodes in two pods that drop repeats of a keyed
job for a time, and resets or silences one connection after another; messages between the
schedulers are lost, doubled, garbled and late. It exits with code 1 if a keyed job ran twice, a
job is lost, none was sent again, or a scheduler does not end well. --short-window and --no-pods
make the deployment break its own promise: then it must exit with 1.`,
		Example: "  go run ./cmd/foxlift-lab keyed --build bin/foxlift",
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := options.Run(cmd.OutOrStdout())
			return printResult(cmd, r, err)
		},
	}
	cmd.Flags().StringVar(&options.Program, "build", options.Program, "the scheduler's binary")
	cmd.Flags().IntVar(&options.Faults, "faults", options.Faults, "resets and silences, about as many of each")
	cmd.Flags().Uint64Var(&options.Seed, "seed", options.Seed, "of the arrivals and the faults")
	cmd.Flags().DurationVar(&options.FaultInterval, "every", options.FaultInterval, "between two faults")
	cmd.Flags().BoolVar(&options.ShortWindow, "short-window", false, "pods drop repeats for less than the settings say")
	cmd.Flags().BoolVar(&options.NoGroups, "no-pods", false, "each node drops its own repeats only")
	return cmd
}

// simultaneousStartCommand runs the trial of many schedulers that start at once among workers in slow start.
func simultaneousStartCommand() *cobra.Command {
	options := fleet.DefaultSlowStartTrial
	cmd := &cobra.Command{
		Use:   "coldstart",
		Short: "Start many scheduler processes at once on an old list, and watch lists, nodes and service",
		Args:  cobra.NoArgs,
		Long: `coldstart starts real scheduler processes, all at once, with the machine list from before
a release, under load, against a discovery that serves one call after another and nodes that
start cold. It exits with code 1 if a node is pushed over, a job is lost, one that must not run
twice does, or a scheduler does not end well.`,
		Example: "  go run ./cmd/foxlift-lab coldstart --schedulers 30 --nodes 20 --build bin/foxlift",
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := options.Run(cmd.OutOrStdout())
			return printResult(cmd, r, err)
		},
	}
	cmd.Flags().StringVar(&options.Program, "build", options.Program, "the scheduler's binary")
	cmd.Flags().IntVar(&options.Schedulers, "schedulers", options.Schedulers, "processes")
	cmd.Flags().IntVar(&options.Workers, "nodes", options.Workers, "execute nodes")
	cmd.Flags().Uint64Var(&options.Seed, "seed", options.Seed, "of the arrivals, and of which nodes are replaced")
	cmd.Flags().DurationVar(&options.Duration, "for", options.Duration, "how long it is watched")
	cmd.Flags().Float64Var(&options.LoadFraction, "load", options.LoadFraction, "jobs, against what the warm fleet can do")
	cmd.Flags().Float64Var(&options.ReplacedFraction, "replaced", options.ReplacedFraction,
		"part of the nodes that the known list does not have")
	cmd.Flags().Float64Var(&options.RestartedFraction, "restarted", options.RestartedFraction,
		"part that started again, cold, and that the known list takes for warm")
	return cmd
}
