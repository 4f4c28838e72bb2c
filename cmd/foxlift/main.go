// Command foxlift is a job scheduler on the platform's protocol. See the README
// for its configuration. SIGUSR1 prints its counters; SIGHUP reads the files again;
// SIGTERM and SIGINT end it once everything taken is answered.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/daemon"
	"github.com/vatu-meals/foxlift/internal/logging"
)

func main() {
	if err := newRootCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "foxlift:", err)
		os.Exit(1)
	}
}

// root returns the command line.
func newRootCommand() *cobra.Command {
	var s serveOptions
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
		RunE:          func(cmd *cobra.Command, _ []string) error { return s.run(cmd.Context()) },
	}
	s.flags(cmd)
	serve := &cobra.Command{
		Use:     "serve",
		Short:   "Serve until SIGTERM",
		Example: `  LB_CONFIG=config.json foxlift serve --operator operator.sexp --log-format json`,
		Args:    cobra.NoArgs,
		RunE:    cmd.RunE,
	}
	s.flags(serve)
	serve.Flags().StringVar(&s.operator, "operator", "", "the operator's file")
	cmd.AddCommand(serve, newCheckCommand(), newCellsCommand(), newStatusCommand(), newVersionCommand())
	return cmd
}

// A serving is what the flags of serve say.
type serveOptions struct{ operator, format, level string }

func (s *serveOptions) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&s.format, "log-format", "console", "how log lines are written: console or json")
	cmd.Flags().StringVar(&s.level, "log-level", "info", "which are written: debug, info, warn or error")
	words := func(of []string) cobra.CompletionFunc {
		return cobra.FixedCompletions(of, cobra.ShellCompDirectiveNoFileComp)
	}
	cmd.RegisterFlagCompletionFunc("log-format", words(logging.Formats))
	cmd.RegisterFlagCompletionFunc("log-level", words(logging.Levels))
}

// limitMemory tells the collector of half of what the process may use: the rest is for stacks, the
// kernel's part and what the collector misses.
func limitMemory(bytes int64) { debug.SetMemoryLimit(bytes / 2) }

func (s *serveOptions) run(ctx context.Context) error {
	// Each kind has its own channel: none is lost while another is being seen to. A
	// SIGHUP before the start counts after it; amid the end it does nothing.
	ends, reloads, asks := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(asks, syscall.SIGUSR1)
	log, err := logging.New(os.Stderr, s.format, s.level)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // a scheduler has one core
	d, err := daemon.Start(ctx, daemon.Options{
		Getenv: os.Getenv, Operator: s.operator, Log: log, Version: versionText(), LimitMemory: limitMemory,
	})
	if err != nil {
		return err
	}
	log = log.With(zap.String("name", d.Config.Name))
	for running := true; running; {
		select {
		case <-ends:
			running = false
		case err := <-d.Failed():
			d.Kill()
			return err
		case <-asks:
			d.Counters.Print(os.Stderr)
		case <-reloads:
			if err := d.Reload(ctx); err != nil {
				d.Counters.Add("reloads.faulty")
				log.Error("reload: configuration rejected", zap.Error(err))
				continue
			}
			d.Counters.Add("reloads.done")
			log.Info("reload: configuration applied", zap.String("discovery", d.Config.Discovery))
		}
	}
	log.Info("shutting down")
	d.ShutDown()
	d.Counters.Print(os.Stderr)
	return nil
}
