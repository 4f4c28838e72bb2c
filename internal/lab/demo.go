package lab

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/vatu-meals/foxlift/internal/control/controlpb"
)

// The demonstration's course, in seconds.
const (
	demoPrintEvery   = 2
	demoFloodAt      = 6
	demoFloodStopsAt = 14
	demoMigrateAt    = 16
	demoDuration     = 20
)

// Demo floods one tenant of a deployment with cells and prints a table as it goes.
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
			if err := deployment.migrateFlooder(ctx, w); err != nil {
				return err
			}
		}
		fmt.Fprintln(w)
	}
	return printDemoResult(w, load.Stop())
}

// printDemoHead prints what the deployment is, what will happen, and the table's head.
func (r *Deployment) printDemoHeader(w io.Writer) {
	fmt.Fprintf(w, "%d schedulers, %d execute nodes, %d tenants in 4 cells; ",
		len(r.Schedulers), len(r.Workers), len(r.Tenants))
	fmt.Fprintf(w, "%.0f jobs a second is all that the nodes can do.\n", r.Capacity())
	fmt.Fprintf(w, "Every tenant asks %.0f %% of its share. ", 100*normalLoad)
	fmt.Fprintf(w, "After %d s %s asks %d times its share, for %d s;\nthen it is moved to another cell, live.\n\n",
		demoFloodAt, floodingTenant, floodFactor, demoFloodStopsAt-demoFloodAt)
	fmt.Fprint(w, "  time")
	for _, tenant := range r.Tenants {
		fmt.Fprintf(w, "%10s", tenant.Name)
	}
	fmt.Fprintln(w, "   served in time, %")
}

// migrateFlooder moves the flooding tenant to another cell at every scheduler.
func (r *Deployment) migrateFlooder(ctx context.Context, w io.Writer) error {
	for _, client := range r.Clients {
		reply, err := client.Move(ctx, &controlpb.MoveRequest{Tenant: floodingTenant, Cell: "west"})
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "   moved: %d held, %d out", reply.Held, reply.Out)
	}
	return nil
}

// printDemoVerdict prints what became of all jobs, and fails if a promise was broken.
func printDemoResult(w io.Writer, result LoadResult) error {
	total := result.Total
	fmt.Fprintf(w, "\n%d jobs: %d served in time, %d late, %d refused, %d failed; ",
		total.Sent, total.Served, total.Late, total.Shed, total.Failed)
	fmt.Fprintf(w, "without an answer %d, run twice that must not %d\n", total.Lost, result.RanTwice)
	if total.Lost+result.RanTwice+result.ServedWithoutRun > 0 {
		return fmt.Errorf("a promise was broken: lost %d, twice %d, served but never run %d",
			total.Lost, result.RanTwice, result.ServedWithoutRun)
	}
	return nil
}
