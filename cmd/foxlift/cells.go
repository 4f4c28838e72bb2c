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

// newCellsCommand returns the cells command. Its subcommands show the cells of a scheduler and move tenants between
// them.
func newCellsCommand() *cobra.Command {
	caller := &controlCaller{}
	cmd := &cobra.Command{
		Use:   "cells",
		Short: "Show the cells of a running scheduler, and move tenants between them",
		Long: `Show the cells of one running scheduler, and move tenants between them. A change applies
to that scheduler only, until the scheduler exits, the change is undone by restore, or a
changed operator's file is loaded. Make a change at each scheduler, and also in the
operator's file if it is to be permanent.`,
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

// newCellsShowCommand returns the command that prints the state of the cells.
func newCellsShowCommand(caller *controlCaller) *cobra.Command {
	asJSON := false
	cmd := &cobra.Command{
		Use:     "show",
		Short:   "Print the workers, tenants and jobs of each cell",
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
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of tables")
	return cmd
}

// newCellsMigrateCommand returns the command that moves a tenant to a cell.
func newCellsMigrateCommand(caller *controlCaller) *cobra.Command {
	return &cobra.Command{
		Use:     "move TENANT CELL",
		Short:   "Move a tenant with its new and queued jobs; attempts in flight finish in the old cell",
		Args:    cobra.ExactArgs(2),
		Example: `  foxlift cells move tenant-a east`,
		RunE: func(cmd *cobra.Command, args []string) error {
			return caller.migrate(cmd, func(ctx context.Context, client controlpb.ControlClient) (*controlpb.Moved, error) {
				return client.Move(ctx, &controlpb.MoveRequest{Tenant: args[0], Cell: args[1]})
			})
		},
	}
}

// newCellsEvacuateCommand returns the command that moves all tenants out of a cell.
func newCellsEvacuateCommand(caller *controlCaller) *cobra.Command {
	return &cobra.Command{
		Use:   "evacuate CELL",
		Short: "Move all tenants out of a cell, for example before a release on its workers",
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

// newCellsRestoreCommand returns the command that undoes moves and evacuations.
func newCellsRestoreCommand(caller *controlCaller) *cobra.Command {
	var tenant, cell string
	cmd := &cobra.Command{
		Use:   "restore",
		Short: "Move tenants back to their cells in the operator's file",
		Args:  cobra.NoArgs,
		Example: `  foxlift cells restore --tenant tenant-a
  foxlift cells restore             # all tenants`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return caller.migrate(cmd, func(ctx context.Context, client controlpb.ControlClient) (*controlpb.Moved, error) {
				return client.Restore(ctx, &controlpb.RestoreRequest{Tenant: tenant, Cell: cell})
			})
		},
	}
	cmd.Flags().StringVar(&tenant, "tenant", "", "restore only this tenant")
	cmd.Flags().StringVar(&cell, "cell", "", "restore only the tenants of this cell")
	cmd.MarkFlagsMutuallyExclusive("tenant", "cell")
	return cmd
}

// migrate calls the scheduler to migrate tenants, and prints how many tenants and jobs the migration affects.
func (c *controlCaller) migrate(
	cmd *cobra.Command, do func(context.Context, controlpb.ControlClient) (*controlpb.Moved, error),
) error {
	return c.call(cmd.Context(), func(ctx context.Context, client controlpb.ControlClient) error {
		migration, err := do(ctx, client)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "tenants %d, queued jobs moved %d, in-flight jobs that finish in the old cell %d\n",
			migration.Tenants, migration.Held, migration.Out)
		return nil
	})
}

// printCells prints three tables: cells, tenants and workers.
func printCells(to io.Writer, reply *controlpb.CellsReply) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	printCellTable(w, reply)
	printTenantTable(w, reply)
	printWorkerTable(w, reply)
	return w.Flush()
}

// printCellTable prints a heading and one line for each cell, with tabs between the columns. The state of a retired or
// evacuated cell is that word instead of its condition.
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

// printTenantTable prints a heading and one line for each tenant of each cell, with whether the tenant is in the cell
// that the operator's file assigns to it.
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

// printWorkerTable prints a heading and one line for each worker. The last two columns are the slots in flight from the
// worker's cell, and from other cells and another process.
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
