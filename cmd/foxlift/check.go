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

// newCheckCommand returns the command that checks the configuration without starting a scheduler.
func newCheckCommand() *cobra.Command {
	options := daemon.Options{Getenv: os.Getenv, Log: zap.NewNop()}
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check the configuration and print its errors",
		Long: `Check the file that LB_CONFIG names and the operator's file without starting a scheduler.
The command prints a line for each error and exits with code 1 if there is any.`,
		Example: `  LB_CONFIG=config.json foxlift check --operator operator.sexp`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			configuration, err := daemon.ReadConfiguration(options)
			if operatorErrors := config.OperatorErrors(nil); errors.As(err, &operatorErrors) {
				fmt.Fprintln(cmd.ErrOrStderr(), operatorErrors)
				return fmt.Errorf("%d errors in the operator's file", len(operatorErrors))
			}
			if err != nil {
				return err
			}
			if cells := configuration.Operator.Cells; cells != nil {
				fmt.Fprintf(cmd.OutOrStdout(), "the configuration is valid: %d cells\n", cells.CellCount())
				return nil
			}
			fmt.Fprintln(cmd.OutOrStdout(), "the configuration is valid")
			return nil
		},
	}
	cmd.Flags().StringVar(&options.OperatorPath, "operator", "", "path of the operator's file")
	return cmd
}
