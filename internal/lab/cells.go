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

// twelveWorkerTopology returns a deployment of two schedulers, twelve workers of three kinds, eight tenants and two
// classes, with this operator's file ("": none).
func twelveWorkerTopology(operatorText string) Topology {
	return Topology{
		Schedulers: 2,
		Zones:      []string{"east", "west"},
		Operator:   operatorText,
		Sockets:    256, // fewest that the platform grants
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

// readingClass returns a class of short idempotent jobs.
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

// Operator's files, with %q for the path of the control socket.
const (
	fourCellsOperator = `(foxlift (control (socket %q)) (cells
 (kind large (weight 9)) (kind medium (weight 5)) (kind old (weight 3.6))
 (cell north (tenants harbour skerry)) (cell south (tenants valley glen))
 (cell east (tenants coast firth)) (cell west (tenants moor ridge))))`
	lendingOperator = `(foxlift (control (socket %q)) (cells (cell all (share 0.99) (tenants lone away)) (cell rest)))`
)

// cellNames are the cells of fourCellsOperator.
var cellNames = []string{"north", "south", "east", "west"}

const (
	floodingTenant        = "glen"
	floodingTenantQuota   = 0.1 // its Tenant.QuotaFraction
	normalLoad            = 0.6 // rate of a tenant without a flood, as a multiple of QuotaFraction of the capacity
	floodFactor           = 10  // the same of the flooding tenant during its flood
	lendingQuota          = 2   // jobs a second
	lendingRate           = 60  // jobs a second, 30 times lendingQuota
	maxServiceLoss        = 5   // percentage points of jobs served in time, at most, that a flood may cost another tenant
	minServedUnderLending = 95  // least percentage of the lone tenant's jobs that must be served in time
)

// CellsOptions are the parameters of MeasureCells.
type CellsOptions struct {
	Seed              uint64        // of the arrivals
	Normal            time.Duration // normal load before the flood
	Flood             time.Duration // flood of one tenant
	Lending           time.Duration // load of a lone tenant above its quota
	Migrations        int           // under load
	MigrationInterval time.Duration // between two migrations
}

// DefaultCells are the options of the measurement whose results the documentation quotes.
var DefaultCells = CellsOptions{
	Seed:              1,
	Normal:            10 * time.Second,
	Flood:             20 * time.Second,
	Lending:           15 * time.Second,
	Migrations:        200,
	MigrationInterval: 50 * time.Millisecond,
}

// A CellsReport is the result of MeasureCells.
type CellsReport struct {
	WorstLoss             float64 // percentage points of jobs in time that the most affected other tenant loses; 0: none
	WorstLossWithoutCells float64 // the same, without cells
	ServedUnderLending    float64 // percent of the jobs served in time of a lone tenant at 30 times its quota
	Migrations            int
	Lost                  int // jobs without a response, or answered with 200 though no worker ran them
	RanTwice              int // at-most-once jobs that ran more than once
}

// Line returns the summary that the command prints as its last line.
func (r CellsReport) Line() string {
	return fmt.Sprintf(
		"cells: worst other tenant -%.1f points (without -%.1f), served under lending %.1f %%, moves %d, lost %d, twice %d",
		r.WorstLoss, r.WorstLossWithoutCells, r.ServedUnderLending, r.Migrations, r.Lost, r.RanTwice)
}

// OK reports whether the result meets the product's objectives and this number of migrations was made.
func (r CellsReport) OK(migrations int) bool {
	return r.WorstLoss <= maxServiceLoss && r.ServedUnderLending >= minServedUnderLending && r.Migrations == migrations &&
		r.Lost == 0 && r.RanTwice == 0
}

// add adds the violations of a finished load to the report.
func (r *CellsReport) add(result LoadResult) {
	r.Lost += result.Total.Lost + result.ServedWithoutRun
	r.RanTwice += result.RanTwice
}

// MeasureCells measures how many jobs of the other tenants are no longer served in time during a flood of one tenant,
// without and with cells; what percentage of its jobs a lone tenant gets served in time at a rate above its quota, from
// idle capacity that is lent to it; and whether migrations under load lose or repeat jobs. It prints tables to w. A
// missed objective is no error: CellsReport.OK reports it. MeasureCells returns an error if a deployment cannot be
// started or a migration fails.
func MeasureCells(ctx context.Context, w io.Writer, options CellsOptions) (report CellsReport, err error) {
	if report.WorstLossWithoutCells, err = report.measureFlood(ctx, w, options, ""); err != nil {
		return report, err
	}
	if report.WorstLoss, err = report.measureFlood(ctx, w, options, fourCellsOperator); err != nil {
		return report, err
	}
	served, result, err := measureLending(options)
	if err != nil {
		return report, err
	}
	report.add(result)
	report.ServedUnderLending = served
	return report, nil
}

// measureFlood lets one tenant send floodFactor times its share of the capacity. It returns how many percentage points
// of jobs served in time the most affected other tenant loses. With an operator's file, which has cells, it then
// migrates tenants under load.
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
	<-time.After(options.Normal / 2) // warm-up, in which the dispatchers collect their estimates
	load.TakeTallies()
	<-time.After(options.Normal)
	normal := load.TakeTallies()
	load.SetRate(floodingTenant, floodFactor*floodingTenantQuota*deployment.Capacity())
	<-time.After(options.Flood)
	flood := load.TakeTallies()
	load.SetRate(floodingTenant, normalLoad*floodingTenantQuota*deployment.Capacity())
	worst, err := printFloodTable(w, title, deployment.Tenants, normal, flood)
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

// measureMigrations migrates tenants under load and prints how many jobs were served in time meanwhile.
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

// printFloodTable prints the percentage of each tenant's jobs served in time before and during the flood. It returns
// how many percentage points the most affected tenant other than the flooding one loses.
func printFloodTable(
	out io.Writer, title string, tenants []Tenant, normal, flood map[string]standin.Tally,
) (worst float64, err error) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s\tjobs before\tin time\tjobs in flood\tin time\tshed\tpoints\t\n", title)
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

// migrateTenants migrates each tenant in turn to its next cell, at every scheduler, through the control sockets. It
// returns the number of migrations made. At the end it restores the configured cells.
func (r *Deployment) migrateTenants(ctx context.Context, options CellsOptions) (migrated int, err error) {
	cellOf, err := r.tenantCells(ctx)
	if err != nil {
		return 0, err
	}
	for i := range options.Migrations {
		tenant := r.Tenants[i%len(r.Tenants)].Name
		cellOf[tenant] = (cellOf[tenant] + 1) % len(cellNames)
		cell := cellNames[cellOf[tenant]]
		for _, client := range r.Clients {
			if _, err := client.Move(ctx, &controlpb.MoveRequest{Tenant: tenant, Cell: cell}); err != nil {
				return migrated, fmt.Errorf("migration %d of tenant %s to cell %s: %w", i, tenant, cell, err)
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

// tenantCells returns the cell of each tenant at the first scheduler, as an index of cellNames.
func (r *Deployment) tenantCells(ctx context.Context) (map[string]int, error) {
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

// lendingTopology returns a deployment in which a lone tenant has an otherwise idle cell of fast workers, and a quota
// far below the capacity of that cell.
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

// measureLending sends a lone tenant's jobs at 30 times its quota to an otherwise idle cell, and returns the percentage
// that was served in time in the last third of the measurement.
func measureLending(options CellsOptions) (served float64, result LoadResult, err error) {
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
