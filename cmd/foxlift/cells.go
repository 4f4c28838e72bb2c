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

// newCellsCommand returns the command whose subcommands show and change a scheduler's cells.
func newCellsCommand() *cobra.Command {
	caller := &controlCaller{}
	cmd := &cobra.Command{
		Use:   "cells",
		Short: "Look at the cells of a running scheduler, and move tenants between them",
		Long: `The cells of one running scheduler. A change holds at that scheduler until it ends,
is restored, or reads a changed operator's file; make it at each of them, and in the
file if it is to last.`,
		Args: cobra.NoArgs,
	}
	caller.addFlags(cmd)
	cmd.AddCommand(
		newCellsShowCommand(caller),
		newCellsMigrateCommand(caller),
		newCellsEvacuateCommand(caller),
		newCellsRestoreCommand(caller),
	)
	return cmd
}

func newCellsShowCommand(caller *controlCaller) *cobra.Command {
	asJSON := false
	cmd := &cobra.Command{
		Use:     "show",
		Short:   "Print nodes, tenants and jobs of each cell",
		Args:    cobra.NoArgs,
		Example: `  foxlift cells show --socket /run/foxlift/control.sock --json`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return caller.call(cmd.Context(), func(ctx context.Context, client controlpb.ControlClient) error {
				reply, err := client.Cells(ctx, &controlpb.CellsRequest{})
				if err != nil {
					return err
				}
				if asJSON {
					return printJSON(cmd.OutOrStdout(), reply)
				}
				return printCells(cmd.OutOrStdout(), reply)
			})
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func newCellsMigrateCommand(caller *controlCaller) *cobra.Command {
	return &cobra.Command{
		Use:     "move TENANT CELL",
		Short:   "Move a tenant: new and held jobs go over, claims finish where they are",
		Args:    cobra.ExactArgs(2),
		Example: `  foxlift cells move tenant-a east`,
		RunE: func(cmd *cobra.Command, args []string) error {
			return caller.migrate(cmd, func(ctx context.Context, client controlpb.ControlClient) (*controlpb.Moved, error) {
				return client.Move(ctx, &controlpb.MoveRequest{Tenant: args[0], Cell: args[1]})
			})
		},
	}
}

func newCellsEvacuateCommand(caller *controlCaller) *cobra.Command {
	return &cobra.Command{
		Use:   "evacuate CELL",
		Short: "Move every tenant out of a cell, for a release on its nodes",
		Args:  cobra.ExactArgs(1),
		Example: `  foxlift cells evacuate isles
  foxlift cells show            # until "out" is 0
  foxlift cells restore --cell isles`,
		RunE: func(cmd *cobra.Command, args []string) error {
			return caller.migrate(cmd, func(ctx context.Context, client controlpb.ControlClient) (*controlpb.Moved, error) {
				return client.Evacuate(ctx, &controlpb.EvacuateRequest{Cell: args[0]})
			})
		},
	}
}

func newCellsRestoreCommand(caller *controlCaller) *cobra.Command {
	var tenant, cell string
	cmd := &cobra.Command{
		Use:   "restore",
		Short: "Put tenants back to where the file has them",
		Args:  cobra.NoArgs,
		Example: `  foxlift cells restore --tenant tenant-a
  foxlift cells restore             # all of them`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return caller.migrate(cmd, func(ctx context.Context, client controlpb.ControlClient) (*controlpb.Moved, error) {
				return client.Restore(ctx, &controlpb.RestoreRequest{Tenant: tenant, Cell: cell})
			})
		},
	}
	cmd.Flags().StringVar(&tenant, "tenant", "", "this tenant alone")
	cmd.Flags().StringVar(&cell, "cell", "", "the tenants of this cell alone")
	cmd.MarkFlagsMutuallyExclusive("tenant", "cell")
	return cmd
}

// migrate has the scheduler migrate tenants, and prints how many tenants and jobs that concerned.
func (c *controlCaller) migrate(
	cmd *cobra.Command, do func(context.Context, controlpb.ControlClient) (*controlpb.Moved, error),
) error {
	return c.call(cmd.Context(), func(ctx context.Context, client controlpb.ControlClient) error {
		migration, err := do(ctx, client)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "tenants %d, held jobs gone over %d, jobs that finish where they are %d\n",
			migration.Tenants, migration.Held, migration.Out)
		return nil
	})
}

// printCells prints a table of cells, one of tenants and one of workers.
func printCells(to io.Writer, reply *controlpb.CellsReply) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	printCellTable(w, reply)
	printTenantTable(w, reply)
	printWorkerTable(w, reply)
	return w.Flush()
}

func printCellTable(w io.Writer, reply *controlpb.CellsReply) {
	fmt.Fprintln(w, "CELL\tSTATE\tSHARE\tNODES\tOPEN\tBOUND\tOUT\tHELD\tSPILLED\tSERVED\tREFUSED\tFAILED\tSHUT")
	for _, cell := range reply.Cells {
		state := strings.ToLower(strings.TrimPrefix(cell.Condition.String(), "CONDITION_"))
		switch {
		case cell.Retired:
			state = "retired"
		case cell.Evacuated:
			state = "evacuated"
		}
		fmt.Fprintf(w, "%s\t%s\t%.1f %%\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			cell.Name, state, 100*cell.Share, len(cell.Nodes), cell.Open, cell.Bound, cell.Out, cell.Held,
			cell.SpillsOut, cell.Served, cell.Refused, cell.Failed, cell.Shut)
	}
}

func printTenantTable(w io.Writer, reply *controlpb.CellsReply) {
	fmt.Fprintln(w, "\nTENANT\tCELL\tQUOTA\tPLACE")
	for _, cell := range reply.Cells {
		for _, tenant := range cell.Tenants {
			placement := "as in the file"
			if tenant.Moved {
				placement = "moved"
			}
			fmt.Fprintf(w, "%s\t%s\t%.4g/s\t%s\n", tenant.Name, cell.Name, tenant.Quota, placement)
		}
	}
}

func printWorkerTable(w io.Writer, reply *controlpb.CellsReply) {
	fmt.Fprintln(w, "\nNODE\tCELL\tKIND\tZONE\tSTATE\tOUT\tOF OTHERS")
	for _, cell := range reply.Cells {
		for _, worker := range cell.Nodes {
			state := strings.ToLower(strings.TrimPrefix(worker.State.String(), "NODE_STATE_"))
			if worker.Cold {
				state += ", cold"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%g\t%g\n",
				worker.Id, cell.Name, worker.Kind, worker.Zone, state, worker.Out, worker.Others)
		}
	}
}
