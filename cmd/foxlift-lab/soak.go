package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
	"github.com/vatu-meals/foxlift/internal/lab/soak"
)

// errViolation is the error of a soak that found a violation.
var errViolation = errors.New("soak: a guarantee was violated")

// shortSoak is the time for which faults are injected with --short.
const shortSoak = 10 * time.Second

// soakCommand returns the command that injects random overlapping faults and checks the records of the stand-ins.
func soakCommand() *cobra.Command {
	options := soak.DefaultOptions
	var seeds int
	var short, build, mutants bool
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Inject random overlapping faults into many scheduler processes, and check for violations",
		Args:  cobra.NoArgs,
		Long: `soak starts many scheduler processes with stand-ins for workers, discovery and clients, injects random
faults that overlap in time, and checks the scheduler's guarantees against what the stand-ins recorded.
It exits with code 1 if it finds a violation or if a run fails.

--mutants builds schedulers with one deliberate fault each (mutants) and prints how many mutants were
caught. It exits with code 1 only if a build or a run fails, not if a mutant is not caught.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if short {
				options.Duration, seeds = shortSoak, 1
			}
			if build {
				program, remove, err := fleet.BuildInTempDir(cmd.Context())
				if err != nil {
					return err
				}
				defer remove()
				options.Program = program
			}
			if mutants {
				caught, err := soak.CheckMutants(cmd.Context(), cmd.OutOrStdout(), options)
				fmt.Fprintf(cmd.OutOrStdout(), "soak: caught %d of %d mutants\n", caught, len(soak.Mutants))
				return err
			}
			return runSoak(cmd, options, seeds)
		},
	}
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the first run")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of runs, one after another, with consecutive seeds")
	cmd.Flags().DurationVar(&options.Duration, "for", options.Duration,
		"time in which faults are started, for each seed")
	cmd.Flags().IntVar(&options.Schedulers, "schedulers", options.Schedulers, "scheduler processes, 10 to 40")
	cmd.Flags().StringVar(&options.Program, "build", options.Program, "path of the scheduler's binary")
	cmd.Flags().BoolVar(&build, "fresh", false, "build the scheduler in a temporary folder in place of --build")
	cmd.Flags().BoolVar(&mutants, "mutants", false,
		"run mutants, built with one deliberate fault each from the source in the current folder")
	cmd.Flags().BoolVar(&short, "short", false, "run one seed with 10 s of faults")
	return cmd
}

// runSoak runs a number of seeds one after another and prints the sum of their results. It returns errViolation if
// there was a violation.
func runSoak(cmd *cobra.Command, options soak.Options, seeds int) error {
	var sum soak.Result
	for range seeds {
		r, err := options.Run(cmd.OutOrStdout())
		if err != nil {
			return fmt.Errorf("seed %d: %w", options.Seed, err)
		}
		sum.Add(r)
		options.Seed++
	}
	fmt.Fprintln(cmd.OutOrStdout(), sum.Line())
	if sum.Violations.Sum() > 0 {
		return errViolation
	}
	return nil
}
