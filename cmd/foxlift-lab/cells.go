package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab"
)

// errObjectiveMissed is the error of a cells measurement that misses an objective of the product.
var errObjectiveMissed = errors.New("cells: the measurement misses an objective")

// demoCommand returns the command that shows what a flood of one tenant costs the other tenants of a deployment with
// cells.
func demoCommand() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Show how cells protect tenants while another one exceeds its quota (25 s)",
		Args:  cobra.NoArgs,
		Long: `demo runs two schedulers with twelve workers, eight tenants and four cells. One tenant sends ten times
its share of the capacity for 8 s and is then migrated to another cell. demo prints the percentage of each
tenant's jobs that were served in time, every 2 s. It exits with code 1 if a job got no response, an
at-most-once job ran twice or a job was answered but never run, or if the deployment cannot be started.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return lab.RunDemo(cmd.Context(), cmd.OutOrStdout(), seed)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the arrivals")
	return cmd
}

// cellsCommand returns the command that measures what a flood of one tenant costs the others, without and with cells.
func cellsCommand() *cobra.Command {
	options := lab.DefaultCells
	cmd := &cobra.Command{
		Use:   "cells",
		Short: "Measure a flood of one tenant without and with cells, lending, and migrations under load",
		Args:  cobra.NoArgs,
		Long: `cells measures three things on a deployment with two schedulers and twelve workers: how many percentage
points of jobs served in time the other tenants lose while one tenant sends ten times its share of the
capacity, without and with cells; what percentage of a lone tenant's jobs are served in time at 30 times
its quota; and whether migrations of tenants between cells under load lose or repeat jobs.

It exits with code 1 if with cells another tenant loses more than 5 points, if less than 95 % of the lone
tenant's jobs are served in time, if not all migrations are made, if a job is lost or answered but never
run, if an at-most-once job runs twice, or if the deployment cannot be started.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := lab.MeasureCells(cmd.Context(), cmd.OutOrStdout(), options)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), r.Line())
			if !r.OK(options.Migrations) {
				return errObjectiveMissed
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&options.Seed, "seed", options.Seed, "seed of the arrivals")
	cmd.Flags().DurationVar(&options.Normal, "normal", options.Normal, "normal load before the flood")
	cmd.Flags().DurationVar(&options.Flood, "flood", options.Flood, "duration of the flood of one tenant")
	cmd.Flags().DurationVar(&options.Lending, "lending", options.Lending,
		"duration of the load of a lone tenant above its quota")
	cmd.Flags().IntVar(&options.Migrations, "moves", options.Migrations, "number of migrations under load")
	return cmd
}

// loopsCommand returns the command that measures how many small cells affect the latency loops.
func loopsCommand() *cobra.Command {
	var seed uint64
	var seconds int
	cmd := &cobra.Command{
		Use:   "loops",
		Short: "Measure how splitting a fleet into cells affects the latency loops, in virtual time",
		Args:  cobra.NoArgs,
		Long: `loops simulates the same load and workers, split evenly over 1, 2, 4, 8 and 16 cells with a dispatcher
each, in virtual time. It prints the percentage of class-seconds in which at least 6 jobs finished, the
minimum with which a latency loop runs in that second, and the percentage of jobs that were served in
time. It checks no limit: it exits with code 1 only if a simulation cannot be started.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return lab.MeasureLoops(cmd.OutOrStdout(), seed, seconds)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the arrivals")
	cmd.Flags().IntVar(&seconds, "seconds", 120, "virtual seconds of each simulation")
	return cmd
}
