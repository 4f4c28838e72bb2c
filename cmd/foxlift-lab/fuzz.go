package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab"
)

var (
	errFinding        = errors.New("fuzz: a fuzz target failed")
	errMutantSurvived = errors.New("mutants: at least one mutant was not caught")
)

// fuzzCommand returns the command that runs all fuzz targets in turn.
func fuzzCommand() *cobra.Command {
	var options lab.FuzzOptions
	cmd := &cobra.Command{
		Use:   "fuzz",
		Short: "Run all fuzz targets in turn, and store their findings",
		Args:  cobra.NoArgs,
		Long: `fuzz runs the fuzz targets of the module in the current folder in rounds and gives more time to targets
that still find new coverage. It needs the go command. It writes failing inputs and summary.json to
--dir. After SIGINT it stops early and still writes the results so far. It exits with code 1 if a target
failed, if no target matches, or if a target cannot be built.`,
		Example: "  go run ./cmd/foxlift-lab fuzz --for 1h --workers 4 --keep",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			summary, err := lab.RunFuzzTargets(ctx, cmd.OutOrStdout(), options)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), summary.Line())
			if len(summary.Findings) > 0 {
				return errFinding
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&options.Duration, "for", time.Minute, "duration of the whole run")
	cmd.Flags().IntVar(&options.Workers, "workers", 4, "processes that fuzz concurrently")
	cmd.Flags().StringVar(&options.Dir, "dir", "found", "folder for the findings and the summary")
	cmd.Flags().BoolVar(&options.Persist, "keep", false,
		"add new inputs to the corpus in the repository (2 MB at most)")
	cmd.Flags().StringVar(&options.Match, "match", "", "regular expression that the names of the targets match")
	return cmd
}

// mutantsCommand returns the command that checks that the fuzz tests catch deliberate faults.
func mutantsCommand() *cobra.Command {
	var match string
	var workers int
	cmd := &cobra.Command{
		Use:   "mutants",
		Short: "Check that the fuzz tests catch deliberate faults in copies of the source",
		Args:  cobra.NoArgs,
		Long: `mutants applies each of a list of deliberate faults (mutants) to its own copy of the module in the current
folder and runs the fuzz tests that should fail because of it, for at most 60 s. A mutant is caught if one
of these tests fails. mutants needs the go command. It exits with code 1 if a mutant is not caught, or
cannot be applied or built.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			caught, all, err := lab.CheckMutants(cmd.Context(), cmd.OutOrStdout(), match, workers)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "mutants caught: %d of %d\n", caught, all)
			if caught < all {
				return errMutantSurvived
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&match, "match", "", "check only mutants whose names contain this text")
	cmd.Flags().IntVar(&workers, "workers", 0, "mutants that are checked concurrently; 0: one for each CPU core")
	return cmd
}
