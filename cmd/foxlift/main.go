// Command foxlift is a job scheduler for the platform's protocol. See the README for its configuration.
//
// The serve command, which is the default, runs a scheduler. SIGUSR1 prints the counters, SIGHUP reloads the
// configuration files, and SIGTERM and SIGINT shut the scheduler down once all accepted jobs are answered. The other
// commands check a configuration, and show and change a running scheduler over its control socket.
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

// newRootCommand returns the root command with all subcommands. Without a subcommand it serves.
func newRootCommand() *cobra.Command {
	var options serveOptions
	cmd := &cobra.Command{
		Use:   "foxlift",
		Short: "A job scheduler around a decision module",
		Long: `foxlift accepts jobs from clients, decides whether to queue each job, to send it to a
worker or to refuse it, and answers the client once.

Without a command it serves like "foxlift serve" without an operator's file. The
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
		Short:   "Serve clients until SIGTERM or SIGINT",
		Example: `  LB_CONFIG=config.json foxlift serve --operator operator.sexp --log-format json`,
		Args:    cobra.NoArgs,
		RunE:    cmd.RunE,
	}
	options.addFlags(serve)
	serve.Flags().StringVar(&options.operator, "operator", "", "path of the operator's file")
	cmd.AddCommand(serve, newCheckCommand(), newCellsCommand(), newStatusCommand(), newVersionCommand())
	return cmd
}
