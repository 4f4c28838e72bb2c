package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
	"github.com/vatu-meals/foxlift/internal/lab/soak"
)

// errBroken is what a soak that saw a broken rule ends with.
var errViolation = errors.New("a rule was broken")

// shortSoak is the length of one run with --short.
const shortSoak = 10 * time.Second

// soakCommand plays random faults that overlap in time, and judges by what others recorded.
func soakCommand() *cobra.Command {
	options := soak.DefaultOptions
	var seeds int
	var short, build, mutants bool
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Play random faults that overlap in time against many processes, and judge by what others recorded",
		Args:  cobra.NoArgs,
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
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "the first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "how many seeds, one after another")
	cmd.Flags().DurationVar(&options.Duration, "for", options.Duration, "how long faults begin, for each seed")
	cmd.Flags().IntVar(&options.Schedulers, "schedulers", options.Schedulers, "processes, 10 to 40")
	cmd.Flags().StringVar(&options.Program, "build", options.Program, "the scheduler's binary")
	cmd.Flags().BoolVar(&build, "fresh", false, "build the binary aside, in place of --build")
	cmd.Flags().BoolVar(&mutants, "mutants", false,
		"play builds with one fault put in each, from the source in this folder")
	cmd.Flags().BoolVar(&short, "short", false, "one short seed")
	return cmd
}

// runSoak runs so many seeds one after another and prints their sum.
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
