package main

import (
	"context"
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

// serveOptions holds the values of the flags of serve.
type serveOptions struct {
	operator  string // path of the operator's file; "" if there is none
	logFormat string // one of logging.Formats
	logLevel  string // one of logging.Levels
}

// addFlags adds the flags for logging.
func (o *serveOptions) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.logFormat, "log-format", "console", "format of the log: console or json")
	cmd.Flags().StringVar(&o.logLevel, "log-level", "info", "minimum level of the log: debug, info, warn or error")
	completeFlag(cmd, "log-format", logging.Formats)
	completeFlag(cmd, "log-level", logging.Levels)
}

// completeFlag registers the values of a flag for shell completion.
func completeFlag(cmd *cobra.Command, flag string, values []string) {
	complete := cobra.FixedCompletions(values, cobra.ShellCompDirectiveNoFileComp)
	if err := cmd.RegisterFlagCompletionFunc(flag, complete); err != nil {
		panic(err) // the command has no such flag
	}
}

// signals has one channel for each kind of signal, so that no signal is lost while another one is handled.
// Signals of one kind that arrive meanwhile count as one.
type signals struct {
	shutdown, reload, print chan os.Signal
}

// receiveSignals starts to receive signals. It is called before the start of the scheduler, so that a reload that is
// requested during the start runs after it.
func receiveSignals() signals {
	s := signals{
		shutdown: make(chan os.Signal, 1),
		reload:   make(chan os.Signal, 1),
		print:    make(chan os.Signal, 1),
	}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.shutdown, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.print, syscall.SIGUSR1)
	return s
}

// limitMemory sets the memory limit of the Go runtime to half of the bytes that the process may use. The rest is for
// stacks, kernel memory and memory that the runtime does not count.
func limitMemory(bytes int64) { debug.SetMemoryLimit(bytes / 2) }

// serve runs a scheduler until a signal shuts it down, and then prints the counters. If the scheduler can no longer
// serve, it is stopped at once and the error is returned.
func (o *serveOptions) serve(ctx context.Context) error {
	received := receiveSignals()
	log, err := logging.New(os.Stderr, o.logFormat, o.logLevel)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // a scheduler runs on one core
	d, err := daemon.Start(ctx, daemon.Options{
		Getenv:       os.Getenv,
		OperatorPath: o.operator,
		Log:          log,
		Version:      versionText(),
		LimitMemory:  limitMemory,
	})
	if err != nil {
		return err
	}
	log = log.With(zap.String("name", d.Config.Name))
	if err := handleSignals(ctx, d, received, log); err != nil {
		d.Kill()
		return err
	}
	log.Info("shutting down")
	d.ShutDown()
	d.Counters.Print(os.Stderr)
	return nil
}

// handleSignals handles signals until one requests the shutdown. It returns an error if the scheduler can no longer
// serve.
func handleSignals(ctx context.Context, d *daemon.Daemon, received signals, log *zap.Logger) error {
	for {
		select {
		case <-received.shutdown:
			return nil
		case err := <-d.Failed():
			return err
		case <-received.print:
			d.Counters.Print(os.Stderr)
		case <-received.reload:
			reload(ctx, d, log)
		}
	}
}

// reload reloads the configuration, and counts and logs the result.
func reload(ctx context.Context, d *daemon.Daemon, log *zap.Logger) {
	if err := d.Reload(ctx); err != nil {
		d.Counters.Add("reloads.faulty")
		log.Error("reload: configuration rejected", zap.Error(err))
		return
	}
	d.Counters.Add("reloads.done")
	log.Info("reload: configuration applied", zap.String("discovery", d.Config.Discovery))
}
