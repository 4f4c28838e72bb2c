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
var errBroken = errors.New("a rule was broken")

// shortSoak is the length of one run with --short.
const shortSoak = 10 * time.Second

// soakCommand plays random faults that overlap in time, and judges by what others recorded.
func soakCommand() *cobra.Command {
	o := soak.Default
	var seeds int
	var short, build, mutants bool
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Play random faults that overlap in time against many processes, and judge by what others recorded",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if short {
				o.For, seeds = shortSoak, 1
			}
			if build {
				program, remove, err := fleet.BuildAside(cmd.Context())
				if err != nil {
					return err
				}
				defer remove()
				o.Program = program
			}
			if mutants {
				caught, err := soak.CheckMutants(cmd.Context(), cmd.OutOrStdout(), o)
				fmt.Fprintf(cmd.OutOrStdout(), "soak: caught %d of %d mutants\n", caught, len(soak.Mutants))
				return err
			}
			return runSoak(cmd, o, seeds)
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "the first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "how many seeds, one after another")
	cmd.Flags().DurationVar(&o.For, "for", o.For, "how long faults begin, for each seed")
	cmd.Flags().IntVar(&o.Schedulers, "schedulers", o.Schedulers, "processes, 10 to 40")
	cmd.Flags().StringVar(&o.Program, "build", o.Program, "the scheduler's binary")
	cmd.Flags().BoolVar(&build, "fresh", false, "build the binary aside, in place of --build")
	cmd.Flags().BoolVar(&mutants, "mutants", false,
		"play builds with one fault put in each, from the source in this folder")
	cmd.Flags().BoolVar(&short, "short", false, "one short seed")
	return cmd
}

// runSoak runs so many seeds one after another and prints their sum.
func runSoak(cmd *cobra.Command, o soak.Options, seeds int) error {
	var sum soak.Result
	for range seeds {
		r, err := o.Run(cmd.OutOrStdout())
		if err != nil {
			return fmt.Errorf("seed %d: %w", o.Seed, err)
		}
		sum.Add(r)
		o.Seed++
	}
	fmt.Fprintln(cmd.OutOrStdout(), sum.Line())
	if sum.Violations.Sum() > 0 {
		return errBroken
	}
	return nil
}
