package lab

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift/internal/control/controlpb"
)

// Demo floods one tenant of a world with cells and prints a table as it goes.
func Demo(w io.Writer, seed uint64) error {
	r, err := Start(twelveWorkers(fourCells))
	if err != nil {
		return err
	}
	defer r.Close()
	fmt.Fprintf(w, "%d schedulers, %d execute nodes, %d tenants in 4 cells; %.0f jobs a second is all that the nodes can do.\n",
		len(r.Schedulers), len(r.Workers), len(r.Tenants), r.Capacity())
	fmt.Fprintf(w, "Every tenant asks %.0f %% of its share. After 6 s %s asks %d times its share, for 8 s;\nthen it is moved to another cell, live.\n\n", 100*normalLoad, flooder, floodFactor)
	l := r.StartLoad(normalLoad, seed)
	fmt.Fprint(w, "  time")
	for _, t := range r.Tenants {
		fmt.Fprintf(w, "%10s", t.Name)
	}
	fmt.Fprintln(w, "   served in time, %")
	for second := 2; second <= 20; second += 2 {
		<-time.After(2 * time.Second)
		fmt.Fprintf(w, "%4d s", second)
		tallies := l.CollectTallies()
		for _, t := range r.Tenants {
			fmt.Fprintf(w, "%10.1f", tallies[t.Name].Service())
		}
		switch second {
		case 6:
			l.Set(flooder, floodFactor*0.1*r.Capacity())
			fmt.Fprintf(w, "   %s floods", flooder)
		case 14:
			l.Set(flooder, normalLoad*0.1*r.Capacity())
			fmt.Fprint(w, "   the flood ends")
		case 16:
			for _, c := range r.Clients {
				m, err := c.Move(context.Background(), &controlpb.MoveRequest{Tenant: flooder, Cell: "west"})
				if err != nil {
					return err
				}
				fmt.Fprintf(w, "   moved: %d held, %d out", m.Held, m.Out)
			}
		}
		fmt.Fprintln(w)
	}
	v := l.Stop()
	fmt.Fprintln(w)
	fmt.Fprintln(w, strings.TrimSpace(fmt.Sprintf("%d jobs: %d served in time, %d late, %d refused, %d failed; without an answer %d, run twice that must not %d",
		v.Total.Asked, v.Total.Served, v.Total.Late, v.Total.Refused, v.Total.Failed, v.Total.Lost, v.RanTwice)))
	if v.Total.Lost+v.RanTwice+v.ServedWithoutRun > 0 {
		return fmt.Errorf("a promise was broken: lost %d, twice %d, served but never run %d", v.Total.Lost, v.RanTwice, v.ServedWithoutRun)
	}
	return nil
}
