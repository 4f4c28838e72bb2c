package service

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// mostTurnedBack is how many jobs may be turned back unheard in one upgrade.
const mostTurnedBack = 2

// Upgrades is a trial: one upgrade after another, as the platform does them, under load.
type Upgrades struct {
	Program  string
	Upgrades int
	Seed     uint64 // of the load and the faults
	Fault    Fault  // in each upgrade
	Load     LoadOptions
}

// DefaultUpgrades is the trial that the operators' page speaks of.
var DefaultUpgrades = Upgrades{Program: "bin/foxlift", Upgrades: 20, Seed: 1, Fault: NoFault, Load: DefaultLoad}

// An UpgradesResult is what a trial saw.
type UpgradesResult struct {
	Began     time.Time
	Handovers []Handover
	Asked     int      // upgrades
	Placed    int      // faults
	Outages   []Outage // by kills of a process that served
	Tally     Tally
	Twice     []string // at-most-once jobs that ran more than once
}

// excused reports whether a send may have failed because its process was killed.
func (r UpgradesResult) excused(s Send) bool {
	return slices.ContainsFunc(r.Outages, func(o Outage) bool { return o.covers(s) })
}

// Lost are the jobs without an answer, but for those that died with a killed process.
func (r UpgradesResult) Lost() (lost []Record) {
	for _, record := range r.Tally.Lost {
		if !r.excused(record.last()) {
			lost = append(lost, record)
		}
	}
	return lost
}

// TurnedBack counts the jobs turned back unheard, and the most in one upgrade: each belongs to
// the upgrade that began last before it was sent. What a killed process turned back counts not.
func (r UpgradesResult) TurnedBack() (all, most int) {
	counts := make([]int, len(r.Handovers)+1)
	for _, record := range r.Tally.TurnedBack {
		s := record.Sends[0]
		if r.excused(s) {
			continue
		}
		all++
		later := slices.IndexFunc(r.Handovers, func(h Handover) bool { return h.Began.After(s.Ended) })
		if later < 0 {
			later = len(r.Handovers)
		}
		counts[later]++
	}
	return all, slices.Max(counts)
}

// Slowest is the longest time until a yes.
func (r UpgradesResult) Slowest() (slowest time.Duration) {
	for _, h := range r.Handovers {
		slowest = max(slowest, h.Yes)
	}
	return slowest
}

// Line is the result in one line.
func (r UpgradesResult) Line() string {
	all, most := r.TurnedBack()
	return fmt.Sprintf("upgrades %d, jobs %d, lost %d, ran twice %d, turned back unheard %d (most in one upgrade %d), slowest yes %.2f s",
		len(r.Handovers), r.Tally.Asked, len(r.Lost()), len(r.Twice), all, most, r.Slowest().Seconds())
}

// OK reports whether what must never happen did not, and there was something to see.
func (r UpgradesResult) OK() bool {
	_, most := r.TurnedBack()
	return len(r.Lost()) == 0 && len(r.Twice) == 0 && len(r.Tally.Wrong) == 0 && most <= mostTurnedBack &&
		r.Slowest() <= YesLimit && len(r.Handovers) == r.Asked && r.Tally.Total().OK > 0
}

// Run plays the trial. Where an upgrade fails, the result has what was seen until then.
func (u Upgrades) Run(ctx context.Context, w io.Writer) (r UpgradesResult, err error) {
	if !slices.Contains(Faults, u.Fault) {
		return r, errUnknownFault
	}
	d, err := Deploy(ctx, u.Program, DefaultWorld())
	if err != nil {
		return r, err
	}
	defer d.Close()
	r.Began, r.Asked, r.Tally = time.Now(), u.Upgrades, newTally()
	u.Load.Seed = u.Seed
	load := StartLoad(d.Addr(), d.Fleet.World, u.Load)
	err = u.upgrade(ctx, w, d, &r)
	r.Tally, r.Twice = load.Stop(), d.Fleet.Twice()
	r.report(w)
	if err != nil {
		return r, err
	}
	return r, d.End(ctx)
}

// End ends the current process, as the last one of its deployment.
func (d *Deployment) End(ctx context.Context) error {
	leaving := &Leaving{Process: d.Current, limit: d.KillAfter(), told: time.Now()}
	if err := d.Current.Signal(syscall.SIGTERM); err != nil {
		return &EndedError{d.Current.Name, d.Current.Log()}
	}
	return leaving.Await(ctx)
}

// upgrade does all upgrades of the trial, each with its fault.
func (u Upgrades) upgrade(ctx context.Context, w io.Writer, d *Deployment, r *UpgradesResult) error {
	rng := rand.New(rand.NewPCG(u.Seed, 23))
	for number := range u.Upgrades {
		h, err := u.one(ctx, d, r, rng)
		if err != nil {
			return fmt.Errorf("upgrade %d of %d: %w", number+1, u.Upgrades, err)
		}
		r.Handovers = append(r.Handovers, h)
		fmt.Fprintf(w, "upgrade %d: %s\n", number+1, h.Line(r.Began))
	}
	return nil
}

// one does one upgrade with the trial's fault.
func (u Upgrades) one(ctx context.Context, d *Deployment, r *UpgradesResult, rng *rand.Rand) (h Handover, err error) {
	switch u.Fault {
	case KillNew, StopNew:
		began := time.Now()
		next, err := d.SpoilNew(ctx, u.Fault, rng)
		if err != nil {
			return h, err
		}
		if next == nil {
			r.Placed++
			return d.Upgrade(ctx)
		}
		h.Began = began
		if _, err := AwaitYes(ctx, next); err != nil {
			return h, err
		}
		h.Yes = time.Since(began)
		err = d.finish(ctx, &h, next)
		return h, err
	case KillOld:
		step, after := Step(len(r.Handovers)%int(steps)), time.Duration(rng.Float64()*float64(latestKill))
		h, o, err := d.UpgradeKillingOld(ctx, step, after)
		r.Outages = append(r.Outages, o)
		r.Placed++
		return h, err
	}
	return d.Upgrade(ctx)
}

// report tells what went wrong, job by job, and sums up.
func (r UpgradesResult) report(w io.Writer) {
	for _, record := range r.Lost() {
		fmt.Fprintln(w, "lost:", record.Text(r.Began))
	}
	for _, record := range r.Tally.Wrong {
		fmt.Fprintln(w, "wrong result:", record.Text(r.Began))
	}
	for _, record := range r.Tally.TurnedBack {
		if !r.excused(record.Sends[0]) {
			fmt.Fprintln(w, "turned back:", record.Text(r.Began))
		}
	}
	for _, id := range r.Twice {
		fmt.Fprintln(w, "ran twice:", id)
	}
	fmt.Fprintf(w, "%s; faults placed %d; %d of the lost died with a killed process, which is no fault of the upgrade\n", r.Tally.Line(), r.Placed, len(r.Tally.Lost)-len(r.Lost()))
}
