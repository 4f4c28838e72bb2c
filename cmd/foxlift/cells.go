package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/control/controlpb"
)

func newCellsCommand() *cobra.Command {
	c := &controlCaller{}
	cmd := &cobra.Command{
		Use:   "cells",
		Short: "Look at the cells of a running scheduler, and move tenants between them",
		Long: `The cells of one running scheduler. A change holds at that scheduler until it ends,
is restored, or reads a changed operator's file; make it at each of them, and in the
file if it is to last.`,
		Args: cobra.NoArgs,
	}
	c.flags(cmd)
	changed := func(cmd *cobra.Command, m *controlpb.Moved) error {
		fmt.Fprintf(cmd.OutOrStdout(), "tenants %d, held jobs gone over %d, jobs that finish where they are %d\n", m.Tenants, m.Held, m.Out)
		return nil
	}
	asJSON := false
	show := &cobra.Command{
		Use: "show", Short: "Print nodes, tenants and jobs of each cell", Args: cobra.NoArgs,
		Example: `  foxlift cells show --socket /run/foxlift/control.sock --json`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.call(func(ctx context.Context, client controlpb.ControlClient) error {
				r, err := client.Cells(ctx, &controlpb.CellsRequest{})
				if err != nil {
					return err
				}
				if asJSON {
					return printJSON(cmd.OutOrStdout(), r)
				}
				return printCells(cmd.OutOrStdout(), r)
			})
		},
	}
	show.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	move := &cobra.Command{
		Use: "move TENANT CELL", Short: "Move a tenant: new and held jobs go over, claims finish where they are", Args: cobra.ExactArgs(2),
		Example: `  foxlift cells move tenant-a east`,
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.call(func(ctx context.Context, client controlpb.ControlClient) error {
				m, err := client.Move(ctx, &controlpb.MoveRequest{Tenant: args[0], Cell: args[1]})
				if err != nil {
					return err
				}
				return changed(cmd, m)
			})
		},
	}
	evacuate := &cobra.Command{
		Use: "evacuate CELL", Short: "Move every tenant out of a cell, for a release on its nodes", Args: cobra.ExactArgs(1),
		Example: `  foxlift cells evacuate isles
  foxlift cells show            # until "out" is 0
  foxlift cells restore --cell isles`,
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.call(func(ctx context.Context, client controlpb.ControlClient) error {
				m, err := client.Evacuate(ctx, &controlpb.EvacuateRequest{Cell: args[0]})
				if err != nil {
					return err
				}
				return changed(cmd, m)
			})
		},
	}
	var tenant, cell string
	restore := &cobra.Command{
		Use: "restore", Short: "Put tenants back to where the file has them", Args: cobra.NoArgs,
		Example: `  foxlift cells restore --tenant tenant-a
  foxlift cells restore             # all of them`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.call(func(ctx context.Context, client controlpb.ControlClient) error {
				m, err := client.Restore(ctx, &controlpb.RestoreRequest{Tenant: tenant, Cell: cell})
				if err != nil {
					return err
				}
				return changed(cmd, m)
			})
		},
	}
	restore.Flags().StringVar(&tenant, "tenant", "", "this tenant alone")
	restore.Flags().StringVar(&cell, "cell", "", "the tenants of this cell alone")
	restore.MarkFlagsMutuallyExclusive("tenant", "cell")
	cmd.AddCommand(show, move, evacuate, restore)
	return cmd
}

// printCells prints a table of cells, one of nodes and one of tenants.
func printCells(to io.Writer, r *controlpb.CellsReply) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CELL\tSTATE\tSHARE\tNODES\tOPEN\tBOUND\tOUT\tHELD\tSPILLED\tSERVED\tREFUSED\tFAILED\tSHUT")
	for _, c := range r.Cells {
		state := strings.ToLower(strings.TrimPrefix(c.Condition.String(), "CONDITION_"))
		switch {
		case c.Retired:
			state = "retired"
		case c.Evacuated:
			state = "evacuated"
		}
		fmt.Fprintf(w, "%s\t%s\t%.1f %%\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", c.Name, state, 100*c.Share, len(c.Nodes),
			c.Open, c.Bound, c.Out, c.Held, c.SpillsOut, c.Served, c.Refused, c.Failed, c.Shut)
	}
	fmt.Fprintln(w, "\nTENANT\tCELL\tQUOTA\tPLACE")
	for _, c := range r.Cells {
		for _, t := range c.Tenants {
			place := "as in the file"
			if t.Moved {
				place = "moved"
			}
			fmt.Fprintf(w, "%s\t%s\t%.4g/s\t%s\n", t.Name, c.Name, t.Quota, place)
		}
	}
	fmt.Fprintln(w, "\nNODE\tCELL\tKIND\tZONE\tSTATE\tOUT\tOF OTHERS")
	for _, c := range r.Cells {
		for _, n := range c.Nodes {
			state := strings.ToLower(strings.TrimPrefix(n.State.String(), "NODE_STATE_"))
			if n.Cold {
				state += ", cold"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%g\t%g\n", n.Id, c.Name, n.Kind, n.Zone, state, n.Out, n.Others)
		}
	}
	return w.Flush()
}
