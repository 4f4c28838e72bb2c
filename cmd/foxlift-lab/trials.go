package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// errTrialFailed is the error of a trial whose result is not OK.
var errTrialFailed = errors.New("the trial failed: its result, printed above, violates a condition")

// A trialResult is the result of a trial: a summary line, and whether the trial passed.
type trialResult interface {
	Line() string
	OK() bool
}

// printResult prints the summary line of a trial and returns errTrialFailed if the trial did not pass. It returns err,
// and prints nothing, if err is not nil.
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

// keyedCommand returns the command that tests deduplicated jobs under connection faults.
func keyedCommand() *cobra.Command {
	options := fleet.DefaultKeyedTrial
	cmd := &cobra.Command{
		Use:   "keyed",
		Short: "Reset and block links under load, and check that no deduplicated job runs more than once",
		Args:  cobra.NoArgs,
		Long: `keyed tests jobs with an idempotency key. It starts two scheduler processes with workers in two
deduplication groups (pods). A group drops repeats of a key for a limited time. keyed resets or blocks one
link between a scheduler and a worker after another, and loses, duplicates, corrupts and delays messages
between the schedulers.

It exits with code 1 if a job with a key ran more than once, a job was lost, there were not more attempts
than jobs, no message between the schedulers was received, or a scheduler did not exit with code 0 after
SIGTERM. --short-window and --no-pods make the workers break the guarantee on which the scheduler relies;
keyed must then exit with code 1, which shows that it detects jobs that ran more than once.`,
		Example: "  go run ./cmd/foxlift-lab keyed --build bin/foxlift",
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := options.Run(cmd.OutOrStdout())
			return printResult(cmd, r, err)
		},
	}
	cmd.Flags().StringVar(&options.Program, "build", options.Program, "path of the scheduler's binary")
	cmd.Flags().IntVar(&options.Faults, "faults", options.Faults,
		"number of faults, about half of them resets and half blocked links")
	cmd.Flags().Uint64Var(&options.Seed, "seed", options.Seed, "seed of the arrivals and the faults")
	cmd.Flags().DurationVar(&options.FaultInterval, "every", options.FaultInterval, "time between two faults")
	cmd.Flags().BoolVar(&options.ShortWindow, "short-window", false,
		"groups drop repeats for a shorter time than the settings state")
	cmd.Flags().BoolVar(&options.NoGroups, "no-pods", false,
		"each worker drops only the repeats that reach itself")
	return cmd
}

// simultaneousStartCommand returns the command that tests many schedulers that start at once with workers in slow
// start.
func simultaneousStartCommand() *cobra.Command {
	options := fleet.DefaultSlowStartTrial
	cmd := &cobra.Command{
		Use:   "coldstart",
		Short: "Start many scheduler processes at once with an outdated endpoint list, and check jobs and workers",
		Args:  cobra.NoArgs,
		Long: `coldstart simulates a release. It starts many scheduler processes at once, under load, with the endpoint
list from before the release, a discovery that serves one call at a time, and workers in slow start. It
prints how fast the schedulers get the current list and how many jobs are served in time. It exits with
code 1 if a worker in slow start is overloaded, a job is lost, an at-most-once job runs more than once, a
scheduler does not exit with code 0 after SIGTERM, or no job was sent.`,
		Example: "  go run ./cmd/foxlift-lab coldstart --schedulers 30 --nodes 20 --build bin/foxlift",
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := options.Run(cmd.OutOrStdout())
			return printResult(cmd, r, err)
		},
	}
	cmd.Flags().StringVar(&options.Program, "build", options.Program, "path of the scheduler's binary")
	cmd.Flags().IntVar(&options.Schedulers, "schedulers", options.Schedulers, "scheduler processes")
	cmd.Flags().IntVar(&options.Workers, "nodes", options.Workers, "workers")
	cmd.Flags().Uint64Var(&options.Seed, "seed", options.Seed,
		"seed of the arrivals and of the choice of replaced workers")
	cmd.Flags().DurationVar(&options.Duration, "for", options.Duration, "duration of the load")
	cmd.Flags().Float64Var(&options.LoadFraction, "load", options.LoadFraction,
		"load, as a fraction of the capacity of the fleet after slow start")
	cmd.Flags().Float64Var(&options.ReplacedFraction, "replaced", options.ReplacedFraction,
		"fraction of the workers that are not in the outdated list")
	cmd.Flags().Float64Var(&options.RestartedFraction, "restarted", options.RestartedFraction,
		"fraction of the workers that have restarted and are in slow start, unlike in the outdated list")
	return cmd
}
