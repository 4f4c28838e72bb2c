// Command foxlift-lab shows and measures foxlift on loopback, among stand-ins. The
// scheduler never links it.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "foxlift-lab:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use: "foxlift-lab", Short: "Demonstrations and measurements of foxlift on loopback",
		SilenceErrors: true, SilenceUsage: true,
	}
	cmd.AddCommand(demo(), cells(), loops(), speed(), standIns(), fuzzRunner(), mutants(), coldStart(), keyed(), upgrade(), capacityCommand(), soakCommand())
	return cmd
}

func demo() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use: "demo", Short: "Flood one tenant of a small deployment with cells, and watch the others (25 s)", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return lab.Demo(cmd.OutOrStdout(), seed) },
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the arrivals")
	return cmd
}

func cells() *cobra.Command {
	o := lab.DefaultCells
	cmd := &cobra.Command{
		Use: "cells", Short: "Measure what a flood costs the others without and with cells, lending, and live moves", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := lab.Cells(cmd.OutOrStdout(), o)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), r.Line())
			if !r.OK(o.Migrations) {
				return errors.New("an aim is missed")
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", o.Seed, "of the arrivals")
	cmd.Flags().DurationVar(&o.Normal, "normal", o.Normal, "how long the load is normal first")
	cmd.Flags().DurationVar(&o.Flood, "flood", o.Flood, "how long one tenant floods")
	cmd.Flags().DurationVar(&o.Lending, "lending", o.Lending, "how long a lone tenant asks for more than its share")
	cmd.Flags().IntVar(&o.Migrations, "moves", o.Migrations, "moves under load")
	return cmd
}

func loops() *cobra.Command {
	var seed uint64
	var seconds int
	cmd := &cobra.Command{
		Use: "loops", Short: "Measure what many cells cost the regulator's loops, in virtual time", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return lab.Loops(cmd.OutOrStdout(), seed, seconds) },
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the arrivals")
	cmd.Flags().IntVar(&seconds, "seconds", 120, "virtual seconds of each run")
	return cmd
}

func speed() *cobra.Command {
	var program string
	var connections []int
	var each time.Duration
	cmd := &cobra.Command{
		Use: "speed", Short: "Measure one scheduler process: jobs a second and latency", Args: cobra.NoArgs,
		Example: "  foxlift-lab speed --program bin/foxlift --connections 1,16,64",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return lab.Speed(cmd.OutOrStdout(), program, connections, each)
		},
	}
	cmd.Flags().StringVar(&program, "program", "bin/foxlift", "the scheduler's binary")
	cmd.Flags().IntSliceVar(&connections, "connections", []int{1, 16, 64}, "numbers of connections")
	cmd.Flags().DurationVar(&each, "each", 5*time.Second, "how long each is measured")
	return cmd
}

func fuzzRunner() *cobra.Command {
	var o lab.FuzzOptions
	cmd := &cobra.Command{
		Use: "fuzz", Short: "Go through all fuzz targets by turns, and store what they find", Args: cobra.NoArgs,
		Long: `fuzz runs in the module's folder and needs the go command. It gives more time to targets
that still find new coverage. Findings and summary.json go to --dir. SIGINT ends it with
what it has. It exits with code 1 if there is a finding.`,
		Example: "  go run ./cmd/foxlift-lab fuzz --for 1h --workers 4 --keep",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			s, err := lab.Fuzz(ctx, cmd.OutOrStdout(), o)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), s.Line())
			if len(s.Findings) > 0 {
				return errors.New("a rule is broken")
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&o.Duration, "for", time.Minute, "how long")
	cmd.Flags().IntVar(&o.Workers, "workers", 4, "processes that fuzz at a time")
	cmd.Flags().StringVar(&o.Dir, "dir", "found", "where findings and the summary go")
	cmd.Flags().BoolVar(&o.Persist, "keep", false, "take new inputs into the repository's corpus (2 MB at most)")
	cmd.Flags().StringVar(&o.Match, "match", "", "regular expression for the targets' names")
	return cmd
}

func mutants() *cobra.Command {
	var match string
	var workers int
	cmd := &cobra.Command{
		Use: "mutants", Short: "Prove that the fuzzers see: put faults into a copy of the source, one by one", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			caught, all, err := lab.CheckMutants(cmd.Context(), cmd.OutOrStdout(), match, workers)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "mutants caught: %d of %d\n", caught, all)
			if caught < all {
				return errors.New("a fault is not seen")
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&match, "match", "", "part of the names of those to try")
	cmd.Flags().IntVar(&workers, "workers", 0, "how many at a time; 0: one a core")
	return cmd
}

func standIns() *cobra.Command {
	return &cobra.Command{
		Use: "standin", Short: "Stand in for a deployment that fits examples/config.json, until SIGINT", Args: cobra.NoArgs,
		Long: `standin runs discovery on 127.0.0.1:8500 and two execute nodes on 127.0.0.1:3101 and
3102, of two slots each. A reading takes 0.3 s, a ratify 1.5 s. SIGUSR1 makes the second
node drain, and SIGUSR1 again brings it back.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, lab.StandInSignals...)
			return lab.StandIns(cmd.OutOrStdout(), signals)
		},
	}
}

// judged prints a trial's last line, and fails where the trial did.
func judged(cmd *cobra.Command, r interface {
	Line() string
	OK() bool
}, err error) error {
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), r.Line())
	if !r.OK() {
		return errors.New("something happened that must not")
	}
	return nil
}

func keyed() *cobra.Command {
	o := fleet.DefaultKeyed
	cmd := &cobra.Command{
		Use: "keyed", Short: "Reset and silence connections amid keyed jobs, and see that none runs twice", Args: cobra.NoArgs,
		Long: `keyed starts two scheduler processes among nodes in two pods that drop repeats of a keyed
job for a time, and resets or silences one connection after another; messages between the
schedulers are lost, doubled, garbled and late. It exits with code 1 if a keyed job ran twice, a
job is lost, none was sent again, or a scheduler does not end well. --short-window and --no-pods
make the deployment break its own promise: then it must exit with 1.`,
		Example: "  go run ./cmd/foxlift-lab keyed --build bin/foxlift",
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := o.Run(cmd.OutOrStdout())
			return judged(cmd, r, err)
		},
	}
	cmd.Flags().StringVar(&o.Program, "build", o.Program, "the scheduler's binary")
	cmd.Flags().IntVar(&o.Faults, "faults", o.Faults, "resets and silences, about as many of each")
	cmd.Flags().Uint64Var(&o.Seed, "seed", o.Seed, "of the arrivals and the faults")
	cmd.Flags().DurationVar(&o.Every, "every", o.Every, "between two faults")
	cmd.Flags().BoolVar(&o.ShortWindow, "short-window", false, "pods drop repeats for less than the settings say")
	cmd.Flags().BoolVar(&o.NoPods, "no-pods", false, "each node drops its own repeats only")
	return cmd
}

func coldStart() *cobra.Command {
	o := fleet.DefaultColdStart
	cmd := &cobra.Command{
		Use: "coldstart", Short: "Start many scheduler processes at once on an old list, and watch lists, nodes and service", Args: cobra.NoArgs,
		Long: `coldstart starts real scheduler processes, all at once, with the machine list from before
a release, under load, against a discovery that serves one call after another and nodes that
start cold. It exits with code 1 if a node is pushed over, a job is lost, one that must not run
twice does, or a scheduler does not end well.`,
		Example: "  go run ./cmd/foxlift-lab coldstart --schedulers 30 --nodes 20 --build bin/foxlift",
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := o.Run(cmd.OutOrStdout())
			return judged(cmd, r, err)
		},
	}
	cmd.Flags().StringVar(&o.Program, "build", o.Program, "the scheduler's binary")
	cmd.Flags().IntVar(&o.Schedulers, "schedulers", o.Schedulers, "processes")
	cmd.Flags().IntVar(&o.Nodes, "nodes", o.Nodes, "execute nodes")
	cmd.Flags().Uint64Var(&o.Seed, "seed", o.Seed, "of the arrivals, and of which nodes are replaced")
	cmd.Flags().DurationVar(&o.For, "for", o.For, "how long it is watched")
	cmd.Flags().Float64Var(&o.Load, "load", o.Load, "jobs, against what the warm fleet can do")
	cmd.Flags().Float64Var(&o.Replaced, "replaced", o.Replaced, "part of the nodes that the known list does not have")
	cmd.Flags().Float64Var(&o.Restarted, "restarted", o.Restarted, "part that started again, cold, and that the known list takes for warm")
	return cmd
}
