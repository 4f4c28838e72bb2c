package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/daemon"
)

// newCheckCommand returns the command that checks a configuration.
func newCheckCommand() *cobra.Command {
	options := daemon.Options{Getenv: os.Getenv, Log: zap.NewNop()}
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Read all of the configuration and print what is wrong with it",
		Long: `check reads the file that LB_CONFIG names and the operator's file, prints a line for
each fault and exits with code 1 if there is any. It starts nothing.`,
		Example: `  LB_CONFIG=config.json foxlift check --operator operator.sexp`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			configuration, err := daemon.ReadConfiguration(options)
			if faults := config.OperatorErrors(nil); errors.As(err, &faults) {
				fmt.Fprintln(cmd.ErrOrStderr(), faults)
				return fmt.Errorf("faults: %d", len(faults))
			}
			if err != nil {
				return err
			}
			if cells := configuration.Operator.Cells; cells != nil {
				fmt.Fprintf(cmd.OutOrStdout(), "the configuration is sound: %d cells\n", cells.CellCount())
				return nil
			}
			fmt.Fprintln(cmd.OutOrStdout(), "the configuration is sound")
			return nil
		},
	}
	cmd.Flags().StringVar(&options.OperatorPath, "operator", "", "the operator's file")
	return cmd
}
