// Command foxlift is a job scheduler on the platform's protocol. See the README for its configuration.
//
// SIGUSR1 prints its counters, SIGHUP reloads its files, and SIGTERM and SIGINT shut it down once all
// accepted jobs are answered. Its other commands check a configuration, and show and change a running
// scheduler over its control socket.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newRootCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "foxlift:", err)
		os.Exit(1)
	}
}

// newRootCommand returns the command line.
func newRootCommand() *cobra.Command {
	var options serveOptions
	cmd := &cobra.Command{
		Use:   "foxlift",
		Short: "A job scheduler around a decision module",
		Long: `foxlift takes jobs from submitters, decides for each whether to hold it, to send it
to an execute node or to refuse it, and answers the submitter once.

Without a command it serves with no operator's file, as "foxlift serve" does. The
platform's configuration is in the file that LB_CONFIG names.`,
		Example: `  LB_CONFIG=examples/config.json foxlift
  LB_CONFIG=examples/config.json foxlift serve --operator deploy/operator.example.sexp
  LB_CONFIG=examples/config.json foxlift check --operator deploy/operator.example.sexp
  foxlift cells show --socket /tmp/foxlift-control.sock`,
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return options.serve(cmd.Context()) },
	}
	options.addFlags(cmd)
	serve := &cobra.Command{
		Use:     "serve",
		Short:   "Serve until SIGTERM",
		Example: `  LB_CONFIG=config.json foxlift serve --operator operator.sexp --log-format json`,
		Args:    cobra.NoArgs,
		RunE:    cmd.RunE,
	}
	options.addFlags(serve)
	serve.Flags().StringVar(&options.operator, "operator", "", "the operator's file")
	cmd.AddCommand(serve, newCheckCommand(), newCellsCommand(), newStatusCommand(), newVersionCommand())
	return cmd
}
