package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab"
)

// errObjectiveMissed is what a cells measurement ends with that misses an objective of the product.
var errObjectiveMissed = errors.New("an aim is missed")

// demoCommand floods one tenant of a deployment with cells, and prints what the others get.
func demoCommand() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Flood one tenant of a small deployment with cells, and watch the others (25 s)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return lab.RunDemo(cmd.Context(), cmd.OutOrStdout(), seed)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the arrivals")
	return cmd
}

// cellsCommand measures what a flood costs the others, without and with cells.
func cellsCommand() *cobra.Command {
	options := lab.DefaultCells
	cmd := &cobra.Command{
		Use:   "cells",
		Short: "Measure what a flood costs the others without and with cells, lending, and live moves",
		Args:  cobra.NoArgs,
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
	cmd.Flags().Uint64Var(&options.Seed, "seed", options.Seed, "of the arrivals")
	cmd.Flags().DurationVar(&options.Normal, "normal", options.Normal, "how long the load is normal first")
	cmd.Flags().DurationVar(&options.Flood, "flood", options.Flood, "how long one tenant floods")
	cmd.Flags().DurationVar(&options.Lending, "lending", options.Lending,
		"how long a lone tenant asks for more than its share")
	cmd.Flags().IntVar(&options.Migrations, "moves", options.Migrations, "moves under load")
	return cmd
}

// loopsCommand measures what many cells cost the latency loops.
func loopsCommand() *cobra.Command {
	var seed uint64
	var seconds int
	cmd := &cobra.Command{
		Use:   "loops",
		Short: "Measure what many cells cost the regulator's loops, in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return lab.MeasureLoops(cmd.OutOrStdout(), seed, seconds)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the arrivals")
	cmd.Flags().IntVar(&seconds, "seconds", 120, "virtual seconds of each run")
	return cmd
}
