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
	errFinding        = errors.New("a rule is broken")    // the fuzz runner has a finding
	errMutantSurvived = errors.New("a fault is not seen") // by the tests that should catch it
)

// fuzzCommand runs all fuzz targets in turn.
func fuzzCommand() *cobra.Command {
	var options lab.FuzzOptions
	cmd := &cobra.Command{
		Use:   "fuzz",
		Short: "Go through all fuzz targets by turns, and store what they find",
		Args:  cobra.NoArgs,
		Long: `fuzz runs in the module's folder and needs the go command. It gives more time to targets
that still find new coverage. Findings and summary.json go to --dir. SIGINT ends it with
what it has. It exits with code 1 if there is a finding.`,
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
	cmd.Flags().DurationVar(&options.Duration, "for", time.Minute, "how long")
	cmd.Flags().IntVar(&options.Workers, "workers", 4, "processes that fuzz at a time")
	cmd.Flags().StringVar(&options.Dir, "dir", "found", "where findings and the summary go")
	cmd.Flags().BoolVar(&options.Persist, "keep", false, "take new inputs into the repository's corpus (2 MB at most)")
	cmd.Flags().StringVar(&options.Match, "match", "", "regular expression for the targets' names")
	return cmd
}

// mutantsCommand checks that the fuzz tests catch deliberate faults.
func mutantsCommand() *cobra.Command {
	var match string
	var workers int
	cmd := &cobra.Command{
		Use:   "mutants",
		Short: "Prove that the fuzzers see: put faults into a copy of the source, one by one",
		Args:  cobra.NoArgs,
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
	cmd.Flags().StringVar(&match, "match", "", "part of the names of those to try")
	cmd.Flags().IntVar(&workers, "workers", 0, "how many at a time; 0: one a core")
	return cmd
}
