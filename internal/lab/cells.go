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

// twelveWorkers is twelve uneven nodes, eight tenants and two classes.
func twelveWorkers(operator string) Topology {
	return Topology{
		Schedulers: 2, Zones: []string{"east", "west"}, Operator: operator,
		Sockets: 256, // the least that the platform gives
		Kinds:   []WorkerKind{{"large", 4, 6, 1.5}, {"medium", 4, 5, 1}, {"old", 4, 6, 0.6}},
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
			{"reading", "idempotent", 120 * time.Millisecond, 0.75, 500 * time.Millisecond, 5 * time.Second},
			{"ratify", "at_most_once", 400 * time.Millisecond, 0.25, 2 * time.Second, 10 * time.Second},
		},
	}
}

const (
	flooder   = "glen"
	fourCells = `(foxlift (control (socket %q)) (cells
 (kind large (weight 9)) (kind medium (weight 5)) (kind old (weight 3.6))
 (cell north (tenants harbour skerry)) (cell south (tenants valley glen))
 (cell east (tenants coast firth)) (cell west (tenants moor ridge))))`
	normalLoad  = 0.6
	floodFactor = 10 // a flooding tenant's share
)

// A CellsOptions is how long the parts of the cells measurement take.
type CellsOptions struct {
	Seed              uint64
	Normal, Flood     time.Duration
	Lending           time.Duration
	Migrations        int
	MigrationInterval time.Duration // moves
}

// DefaultCells is the measurement as it is quoted.
var DefaultCells = CellsOptions{Seed: 1, Normal: 10 * time.Second, Flood: 20 * time.Second, Lending: 15 * time.Second, Migrations: 200, MigrationInterval: 50 * time.Millisecond}

// A CellsReport is what the cells measurement found.
type CellsReport struct {
	WorstLoss, WorstLossWithoutCells float64 // points of service that the flood takes from the worst other tenant
	ServedUnderLending               float64 // percent served of a tenant at 30 times its share
	Migrations, Lost, RanTwice       int
}

// Line is the measurement's last line.
func (r CellsReport) Line() string {
	return fmt.Sprintf("cells: worst other tenant -%.1f points (without -%.1f), served under lending %.1f %%, moves %d, lost %d, twice %d",
		r.WorstLoss, r.WorstLossWithoutCells, r.ServedUnderLending, r.Migrations, r.Lost, r.RanTwice)
}

// OK reports whether the product's aims are met.
func (r CellsReport) OK(moves int) bool {
	return r.WorstLoss <= 5 && r.ServedUnderLending >= 95 && r.Migrations == moves && r.Lost == 0 && r.RanTwice == 0
}

// Cells measures what a flood of one tenant costs the others, without and with cells,
// what a lone tenant is lent, and moves under load.
func Cells(w io.Writer, o CellsOptions) (CellsReport, error) {
	var rep CellsReport
	count := func(v Verdict) {
		rep.Lost += v.Total.Lost + v.ServedWithoutRun
		rep.RanTwice += v.RanTwice
	}
	for _, operator := range []string{"", fourCells} {
		what := "without cells"
		if operator != "" {
			what = "with cells"
		}
		r, err := Start(twelveWorkers(operator))
		if err != nil {
			return rep, err
		}
		l := r.StartLoad(normalLoad, o.Seed)
		<-time.After(o.Normal / 2) // modules learn
		l.CollectTallies()
		<-time.After(o.Normal)
		normal := l.CollectTallies()
		l.Set(flooder, floodFactor*0.1*r.Capacity())
		<-time.After(o.Flood)
		flood := l.CollectTallies()
		l.Set(flooder, normalLoad*0.1*r.Capacity())
		worst := printFlood(w, what, r.Topology, normal, flood)
		if operator == "" {
			rep.WorstLossWithoutCells = worst
		} else {
			rep.WorstLoss = worst
			<-time.After(o.Normal / 2)
			l.CollectTallies()
			if rep.Migrations, err = migrateTenants(r, o); err != nil {
				r.Close()
				return rep, err
			}
			all := standin.Tally{}
			for _, t := range l.CollectTallies() {
				all = standin.Total(all, t)
			}
			fmt.Fprintf(w, "%d moves under load: %d jobs, %.1f %% served in time\n", rep.Migrations, all.Asked, all.Service())
		}
		count(l.Stop())
		r.Close()
	}
	served, v, err := measureLending(o)
	if err != nil {
		return rep, err
	}
	count(v)
	rep.ServedUnderLending = served
	return rep, nil
}

// printFlood prints each tenant's service and returns what the worst of the others
// loses.
func printFlood(to io.Writer, what string, world Topology, normal, flood map[string]standin.Tally) (worst float64) {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\tnormal asked\tin time\tflood asked\tin time\trefused\tpoints\t\n", what)
	for _, t := range world.Tenants {
		n, f := normal[t.Name], flood[t.Name]
		loss := n.Service() - f.Service()
		name := t.Name
		if name == flooder {
			name += " (floods)"
		} else {
			worst = max(worst, loss)
		}
		fmt.Fprintf(w, "%s\t%d\t%.1f %%\t%d\t%.1f %%\t%d\t%+.1f\t\n", name, n.Asked, n.Service(), f.Asked, f.Service(), f.Refused, -loss)
	}
	w.Flush()
	return worst
}

// moves moves tenants round the cells at every scheduler, through the control
// sockets, and returns how many moves were made.
func migrateTenants(r *Rig, o CellsOptions) (done int, err error) {
	at := map[string]int{}
	names := []string{"north", "south", "east", "west"}
	ctx := context.Background()
	reply, err := r.Clients[0].Cells(ctx, &controlpb.CellsRequest{})
	if err != nil {
		return 0, err
	}
	for _, c := range reply.Cells {
		for _, t := range c.Tenants {
			for i := range names {
				if names[i] == c.Name {
					at[t.Name] = i
				}
			}
		}
	}
	for i := range o.Migrations {
		t := r.Tenants[i%len(r.Tenants)].Name
		at[t] = (at[t] + 1) % len(names)
		for _, c := range r.Clients {
			if _, err := c.Move(ctx, &controlpb.MoveRequest{Tenant: t, Cell: names[at[t]]}); err != nil {
				return done, fmt.Errorf("move %d, %s to %s: %w", i, t, names[at[t]], err)
			}
		}
		done++
		<-time.After(o.MigrationInterval)
	}
	for _, c := range r.Clients {
		if _, err := c.Restore(ctx, &controlpb.RestoreRequest{}); err != nil {
			return done, err
		}
	}
	return done, nil
}

// lending measures a lone tenant that asks 30 times its share of an idle cell of
// fast nodes: what is served of it after two thirds of the time.
func measureLending(o CellsOptions) (float64, Verdict, error) {
	w := Topology{
		Schedulers: 1, Sockets: 1024, Zones: []string{"east"}, Kinds: []WorkerKind{{"fast", 8, 8, 10}},
		Tenants:  []Tenant{{"lone", 0}, {"away", 1}},
		Classes:  []Class{{"reading", "idempotent", 100 * time.Millisecond, 1, 500 * time.Millisecond, 5 * time.Second}},
		Operator: `(foxlift (control (socket %q)) (cells (cell all (share 0.99) (tenants lone away)) (cell rest)))`,
	}
	w.Tenants[0].QuotaFraction = 2 / (0.85 * w.Capacity()) // a quota of 2 a second
	w.Tenants[1].QuotaFraction = 1 - w.Tenants[0].QuotaFraction
	r, err := Start(w)
	if err != nil {
		return 0, Verdict{}, err
	}
	defer r.Close()
	l := r.StartLoad(0, o.Seed)
	l.Set("lone", 60)
	<-time.After(o.Lending * 2 / 3)
	l.CollectTallies()
	<-time.After(o.Lending / 3)
	t := l.CollectTallies()["lone"]
	return t.Service(), l.Stop(), nil
}
