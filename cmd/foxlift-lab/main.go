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
	cmd.AddCommand(demo(), cells(), loops(), speed(), standIns())
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
			if !r.OK(o.Moves) {
				return errors.New("an aim is missed")
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", o.Seed, "of the arrivals")
	cmd.Flags().DurationVar(&o.Normal, "normal", o.Normal, "how long the load is normal first")
	cmd.Flags().DurationVar(&o.Flood, "flood", o.Flood, "how long one tenant floods")
	cmd.Flags().DurationVar(&o.Lending, "lending", o.Lending, "how long a lone tenant asks for more than its share")
	cmd.Flags().IntVar(&o.Moves, "moves", o.Moves, "moves under load")
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

func standIns() *cobra.Command {
	return &cobra.Command{
		Use: "standin", Short: "Stand in for a deployment that fits examples/config.json, until SIGINT", Args: cobra.NoArgs,
		Long: `standin runs discovery on 127.0.0.1:8500 and two execute nodes on 127.0.0.1:3101 and
3102, of two slots each. A reading takes 0.3 s, a ratify 1.5 s. SIGUSR1 makes the second
node drain, and SIGUSR1 again brings it back.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, lab.Signals...)
			return lab.StandIns(cmd.OutOrStdout(), signals)
		},
	}
}
