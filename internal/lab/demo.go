package lab

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/vatu-meals/foxlift/internal/control/controlpb"
)

// The schedule of the demonstration, in seconds from its start.
const (
	demoPrintEvery   = 2
	demoFloodAt      = 6
	demoFloodStopsAt = 14
	demoMigrateAt    = 16
	demoDuration     = 20
)

// RunDemo runs a deployment with cells under load, lets one tenant exceed its quota for a while and then migrates it.
// It prints the share of each tenant's jobs served in time every demoPrintEvery seconds. It returns an error
// if a job was lost, an at-most-once job ran more than once or a job was answered with 200 though no worker ran it, and
// if the deployment cannot be started or the migration fails.
func RunDemo(ctx context.Context, w io.Writer, seed uint64) error {
	deployment, err := StartDeployment(twelveWorkerTopology(fourCellsOperator))
	if err != nil {
		return err
	}
	defer deployment.Close()
	deployment.printDemoHeader(w)
	load := deployment.StartLoad(normalLoad, seed)
	for second := demoPrintEvery; second <= demoDuration; second += demoPrintEvery {
		<-time.After(demoPrintEvery * time.Second)
		fmt.Fprintf(w, "%4d s", second)
		tallies := load.TakeTallies()
		for _, tenant := range deployment.Tenants {
			fmt.Fprintf(w, "%10.1f", tallies[tenant.Name].ServedPercent())
		}
		switch second {
		case demoFloodAt:
			load.SetRate(floodingTenant, floodFactor*floodingTenantQuota*deployment.Capacity())
			fmt.Fprintf(w, "   %s floods", floodingTenant)
		case demoFloodStopsAt:
			load.SetRate(floodingTenant, normalLoad*floodingTenantQuota*deployment.Capacity())
			fmt.Fprint(w, "   the flood ends")
		case demoMigrateAt:
			if err := deployment.migrateFloodingTenant(ctx, w); err != nil {
				return err
			}
		}
		fmt.Fprintln(w)
	}
	return printDemoResult(w, load.Stop())
}

// printDemoHeader prints the deployment, the schedule and the header of the table.
func (r *Deployment) printDemoHeader(w io.Writer) {
	fmt.Fprintf(w, "%d schedulers, %d workers, %d tenants in 4 cells; ",
		len(r.Schedulers), len(r.Workers), len(r.Tenants))
	fmt.Fprintf(w, "the workers can run %.0f jobs a second.\n", r.Capacity())
	fmt.Fprintf(w, "Every tenant sends %.0f %% of its share of that. ", 100*normalLoad)
	fmt.Fprintf(w, "After %d s %s sends %d times its share, for %d s;\nthen it migrates to another cell under load.\n\n",
		demoFloodAt, floodingTenant, floodFactor, demoFloodStopsAt-demoFloodAt)
	fmt.Fprint(w, "  time")
	for _, tenant := range r.Tenants {
		fmt.Fprintf(w, "%10s", tenant.Name)
	}
	fmt.Fprintln(w, "   served in time, %")
}

// migrateFloodingTenant migrates the flooding tenant to another cell at every scheduler.
func (r *Deployment) migrateFloodingTenant(ctx context.Context, w io.Writer) error {
	for _, client := range r.Clients {
		reply, err := client.Move(ctx, &controlpb.MoveRequest{Tenant: floodingTenant, Cell: "west"})
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "   migrated: %d queued, %d in flight", reply.Held, reply.Out)
	}
	return nil
}

// printDemoResult prints the outcomes of all jobs. It returns an error if a job was lost, an at-most-once job ran more
// than once, or a job was answered with 200 though no worker ran it.
func printDemoResult(w io.Writer, result LoadResult) error {
	total := result.Total
	fmt.Fprintf(w, "\n%d jobs: %d served in time, %d late, %d shed, %d failed; ",
		total.Sent, total.Served, total.Late, total.Shed, total.Failed)
	fmt.Fprintf(w, "%d without a response, %d at-most-once jobs run twice\n", total.Lost, result.RanTwice)
	if total.Lost+result.RanTwice+result.ServedWithoutRun > 0 {
		return fmt.Errorf("guarantee violated: %d jobs lost, %d at-most-once jobs run twice, %d answered but never run",
			total.Lost, result.RanTwice, result.ServedWithoutRun)
	}
	return nil
}
