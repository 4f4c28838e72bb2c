package lab

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/vatu-meals/foxlift/internal/control/controlpb"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// twelveWorkers is a deployment of twelve uneven workers, eight tenants and two classes.
func twelveWorkerTopology(operatorText string) Topology {
	return Topology{
		Schedulers: 2,
		Zones:      []string{"east", "west"},
		Operator:   operatorText,
		Sockets:    256, // the least that the platform gives
		Kinds: []WorkerKind{
			{Name: "large", Count: 4, Slots: 6, Speed: 1.5},
			{Name: "medium", Count: 4, Slots: 5, Speed: 1},
			{Name: "old", Count: 4, Slots: 6, Speed: 0.6},
		},
		Tenants: []Tenant{
			{"harbour", .15},
			{"valley", .14},
			{"coast", .14},
			{"moor", .13},
			{"ridge", .12},
			{"firth", .12},
			{"glen", .10},
			{"skerry", .10},
		},
		Classes: []Class{
			readingClass(120*time.Millisecond, 0.75),
			{
				Name:             "ratify",
				Effect:           effectAtMostOnce,
				ServiceTime:      400 * time.Millisecond,
				JobFraction:      0.25,
				LatencyObjective: 2 * time.Second,
				Deadline:         10 * time.Second,
			},
		},
	}
}

// readingClass is the class of short jobs that may run again.
func readingClass(serviceTime time.Duration, fraction float64) Class {
	return Class{
		Name:             "reading",
		Effect:           effectIdempotent,
		ServiceTime:      serviceTime,
		JobFraction:      fraction,
		LatencyObjective: 500 * time.Millisecond,
		Deadline:         5 * time.Second,
	}
}

const (
	fourCellsOperator = `(foxlift (control (socket %q)) (cells
 (kind large (weight 9)) (kind medium (weight 5)) (kind old (weight 3.6))
 (cell north (tenants harbour skerry)) (cell south (tenants valley glen))
 (cell east (tenants coast firth)) (cell west (tenants moor ridge))))`
	lendingOperator = `(foxlift (control (socket %q)) (cells (cell all (share 0.99) (tenants lone away)) (cell rest)))`
)

// cellNames are the cells of fourCells.
var cellNames = []string{"north", "south", "east", "west"}

const (
	floodingTenant        = "glen"
	floodingTenantQuota   = 0.1 // its fraction of what the fleet can do
	normalLoad            = 0.6
	floodFactor           = 10 // times its quota that a flooding tenant asks for
	lendingQuota          = 2  // jobs a second
	lendingRate           = 60
	maxServiceLoss        = 5  // points of service that a flood may take from another tenant
	minServedUnderLending = 95 // percent
)

// A CellsOptions is how long the parts of the cells measurement take.
type CellsOptions struct {
	Seed              uint64
	Normal            time.Duration // before the flood
	Flood             time.Duration
	Lending           time.Duration // of a lone tenant that asks for more than its quota
	Migrations        int
	MigrationInterval time.Duration // between two migrations
}

// DefaultCells is the measurement as it is quoted.
var DefaultCells = CellsOptions{
	Seed:              1,
	Normal:            10 * time.Second,
	Flood:             20 * time.Second,
	Lending:           15 * time.Second,
	Migrations:        200,
	MigrationInterval: 50 * time.Millisecond,
}

// A CellsReport is what the cells measurement found.
type CellsReport struct {
	WorstLoss             float64 // points of service that the flood takes from the worst other tenant
	WorstLossWithoutCells float64
	ServedUnderLending    float64 // percent served of a tenant at 30 times its quota
	Migrations            int
	Lost                  int // jobs without an answer, or answered as served without a run
	RanTwice              int
}

// Line is the measurement's last line.
func (r CellsReport) Line() string {
	return fmt.Sprintf(
		"cells: worst other tenant -%.1f points (without -%.1f), served under lending %.1f %%, moves %d, lost %d, twice %d",
		r.WorstLoss, r.WorstLossWithoutCells, r.ServedUnderLending, r.Migrations, r.Lost, r.RanTwice)
}

// OK reports whether the product's objectives are met.
func (r CellsReport) OK(migrations int) bool {
	return r.WorstLoss <= maxServiceLoss && r.ServedUnderLending >= minServedUnderLending && r.Migrations == migrations &&
		r.Lost == 0 && r.RanTwice == 0
}

// add takes in what a load's end has shown.
func (r *CellsReport) add(result LoadResult) {
	r.Lost += result.Total.Lost + result.ServedWithoutRun
	r.RanTwice += result.RanTwice
}

// Cells measures what a flood of one tenant costs the others, without and with cells,
// what a lone tenant is lent, and migrations under load.
func MeasureCells(ctx context.Context, w io.Writer, options CellsOptions) (report CellsReport, err error) {
	if report.WorstLossWithoutCells, err = report.measureFlood(ctx, w, options, ""); err != nil {
		return report, err
	}
	if report.WorstLoss, err = report.measureFlood(ctx, w, options, fourCellsOperator); err != nil {
		return report, err
	}
	served, verdict, err := measureLending(options)
	if err != nil {
		return report, err
	}
	report.add(verdict)
	report.ServedUnderLending = served
	return report, nil
}

// measureFlood floods one tenant and returns what the worst of the others loses. Where the
// operator's file has cells it then migrates tenants under load.
func (r *CellsReport) measureFlood(
	ctx context.Context, w io.Writer, options CellsOptions, operatorText string,
) (float64, error) {
	title := "without cells"
	if operatorText != "" {
		title = "with cells"
	}
	deployment, err := StartDeployment(twelveWorkerTopology(operatorText))
	if err != nil {
		return 0, err
	}
	defer deployment.Close()
	load := deployment.StartLoad(normalLoad, options.Seed)
	<-time.After(options.Normal / 2) // modules learn
	load.TakeTallies()
	<-time.After(options.Normal)
	normal := load.TakeTallies()
	load.SetRate(floodingTenant, floodFactor*floodingTenantQuota*deployment.Capacity())
	<-time.After(options.Flood)
	flood := load.TakeTallies()
	load.SetRate(floodingTenant, normalLoad*floodingTenantQuota*deployment.Capacity())
	worst, err := printFlood(w, title, deployment.Tenants, normal, flood)
	if err != nil {
		return 0, err
	}
	if operatorText != "" {
		if err := r.measureMigrations(ctx, w, options, deployment, load); err != nil {
			return 0, err
		}
	}
	r.add(load.Stop())
	return worst, nil
}

// measureMigrations migrates tenants under load and prints what was served meanwhile.
func (r *CellsReport) measureMigrations(
	ctx context.Context, w io.Writer, options CellsOptions, deployment *Deployment, load *Load,
) (err error) {
	<-time.After(options.Normal / 2)
	load.TakeTallies()
	if r.Migrations, err = deployment.migrateTenants(ctx, options); err != nil {
		return err
	}
	total := standin.Tally{}
	for _, tally := range load.TakeTallies() {
		total = standin.Total(total, tally)
	}
	fmt.Fprintf(w, "%d migrations under load: %d jobs, %.1f %% served in time\n",
		r.Migrations, total.Sent, total.ServedPercent())
	return nil
}

// printFlood prints each tenant's service and returns what the worst of the others
// loses.
func printFlood(
	out io.Writer, title string, tenants []Tenant, normal, flood map[string]standin.Tally,
) (worst float64, err error) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s\tnormal asked\tin time\tflood asked\tin time\trefused\tpoints\t\n", title)
	for _, tenant := range tenants {
		before, during := normal[tenant.Name], flood[tenant.Name]
		loss := before.ServedPercent() - during.ServedPercent()
		name := tenant.Name
		if name == floodingTenant {
			name += " (floods)"
		} else {
			worst = max(worst, loss)
		}
		fmt.Fprintf(table, "%s\t%d\t%.1f %%\t%d\t%.1f %%\t%d\t%+.1f\t\n",
			name, before.Sent, before.ServedPercent(), during.Sent, during.ServedPercent(), during.Shed, -loss)
	}
	return worst, table.Flush()
}

// migrateTenants moves tenants round the cells at every scheduler, through the control
// sockets, and returns how many migrations were made. In the end it restores the cells.
func (r *Deployment) migrateTenants(ctx context.Context, options CellsOptions) (migrated int, err error) {
	cellOf, err := r.cellsOfTenants(ctx)
	if err != nil {
		return 0, err
	}
	for i := range options.Migrations {
		tenant := r.Tenants[i%len(r.Tenants)].Name
		cellOf[tenant] = (cellOf[tenant] + 1) % len(cellNames)
		cell := cellNames[cellOf[tenant]]
		for _, client := range r.Clients {
			if _, err := client.Move(ctx, &controlpb.MoveRequest{Tenant: tenant, Cell: cell}); err != nil {
				return migrated, fmt.Errorf("move %d, %s to %s: %w", i, tenant, cell, err)
			}
		}
		migrated++
		<-time.After(options.MigrationInterval)
	}
	for _, client := range r.Clients {
		if _, err := client.Restore(ctx, &controlpb.RestoreRequest{}); err != nil {
			return migrated, err
		}
	}
	return migrated, nil
}

// cellsOfTenants returns each tenant's cell, as an index of cellNames.
func (r *Deployment) cellsOfTenants(ctx context.Context) (map[string]int, error) {
	reply, err := r.Clients[0].Cells(ctx, &controlpb.CellsRequest{})
	if err != nil {
		return nil, err
	}
	cellOf := map[string]int{}
	for _, cell := range reply.Cells {
		for _, tenant := range cell.Tenants {
			for i, name := range cellNames {
				if name == cell.Name {
					cellOf[tenant.Name] = i
				}
			}
		}
	}
	return cellOf, nil
}

// lendingTopology is a lone tenant in an idle cell of fast workers, with a quota far below its capacity.
func lendingTopology() Topology {
	topology := Topology{
		Schedulers: 1,
		Sockets:    1024,
		Zones:      []string{"east"},
		Kinds:      []WorkerKind{{Name: "fast", Count: 8, Slots: 8, Speed: 10}},
		Classes:    []Class{readingClass(100*time.Millisecond, 1)},
		Operator:   lendingOperator,
	}
	fraction := lendingQuota / (assignedCapacityFraction * topology.Capacity())
	topology.Tenants = []Tenant{{"lone", fraction}, {"away", 1 - fraction}}
	return topology
}

// measureLending measures a lone tenant that asks for 30 times its quota of an idle cell of
// fast workers: which percentage of it is served in the last third of the time.
func measureLending(options CellsOptions) (served float64, verdict LoadResult, err error) {
	deployment, err := StartDeployment(lendingTopology())
	if err != nil {
		return 0, LoadResult{}, err
	}
	defer deployment.Close()
	load := deployment.StartLoad(0, options.Seed)
	load.SetRate("lone", lendingRate)
	<-time.After(options.Lending * 2 / 3)
	load.TakeTallies()
	<-time.After(options.Lending / 3)
	tally := load.TakeTallies()["lone"]
	return tally.ServedPercent(), load.Stop(), nil
}
