package service

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	maxUnreadPerUpgrade = 2  // Unread jobs in one upgrade
	jobsBetweenUpgrades = 10 // jobs that end before each upgrade
	faultRNGStream      = 23 // the generator's stream of the faults' times
)

// UpgradeTrial is a trial: one upgrade after another under load, each done as the platform does it.
type UpgradeTrial struct {
	Program  string
	Upgrades int
	Seed     uint64 // of the load and the faults
	Fault    Fault  // in each upgrade
	Load     LoadOptions
}

// DefaultUpgradeTrial is the trial that the operators' page speaks of.
var DefaultUpgradeTrial = UpgradeTrial{Program: "bin/foxlift", Upgrades: 20, Seed: 1, Fault: NoFault, Load: DefaultLoad}

// An UpgradeTrialResult is what a trial observed.
type UpgradeTrialResult struct {
	StartedAt       time.Time
	Upgrades        []UpgradeReport
	PlannedUpgrades int      // upgrades
	FaultsInjected  int      // faults
	Outages         []Outage // by kills of a process that served
	Tally           Tally
	DuplicateJobs   []string // identifiers of at-most-once jobs that ran more than once
}

// excused reports whether a send may have failed because its process was killed.
func (r UpgradeTrialResult) failedInOutage(s Send) bool {
	return slices.ContainsFunc(r.Outages, func(outage Outage) bool { return outage.covers(s) })
}

// Lost are the jobs without an answer, but for those that died with a killed process.
func (r UpgradeTrialResult) Lost() (lost []JobRecord) {
	for _, record := range r.Tally.Lost {
		if !r.failedInOutage(record.lastSend()) {
			lost = append(lost, record)
		}
	}
	return lost
}

// Returned counts the Unread jobs, and the most in one upgrade: each belongs to the upgrade that
// began last before it was sent. Those of a killed process do not count.
func (r UpgradeTrialResult) UnreadJobs() (all, most int) {
	counts := make([]int, len(r.Upgrades)+1)
	for _, record := range r.Tally.Unread {
		if !r.failedInOutage(record.Sends[0]) {
			all++
			counts[r.upgradeNumber(record)]++
		}
	}
	return all, slices.Max(counts)
}

// upgradeNumber is the number of the upgrade that began last before a job's first send ended, or 0 if
// there was none yet.
func (r UpgradeTrialResult) upgradeNumber(record JobRecord) int {
	ended := record.Sends[0].EndedAt
	later := slices.IndexFunc(r.Upgrades, func(report UpgradeReport) bool { return report.StartedAt.After(ended) })
	if later >= 0 {
		return later
	}
	return len(r.Upgrades)
}

// Slowest is the longest time that a new process took until it was ready.
func (r UpgradeTrialResult) SlowestStart() (slowest time.Duration) {
	for _, report := range r.Upgrades {
		slowest = max(slowest, report.ReadyAfter)
	}
	return slowest
}

// Line is the result in one line.
func (r UpgradeTrialResult) Line() string {
	all, most := r.UnreadJobs()
	return fmt.Sprintf("upgrades %d, jobs %d, lost %d, ran twice %d, "+
		"turned back unheard %d (most in one upgrade %d), slowest yes %.2f s",
		len(r.Upgrades), r.Tally.Sent, len(r.Lost()), len(r.DuplicateJobs), all, most, r.SlowestStart().Seconds())
}

// OK reports whether the trial passed: no rule was broken, each upgrade was done, and jobs were served.
func (r UpgradeTrialResult) OK() bool {
	_, most := r.UnreadJobs()
	return len(r.Lost()) == 0 && len(r.DuplicateJobs) == 0 && len(r.Tally.WrongResults) == 0 && most <= maxUnreadPerUpgrade &&
		r.SlowestStart() <= ReadyLimit && len(r.Upgrades) == r.PlannedUpgrades && r.Tally.Total().OK > 0
}

// Run runs the trial. If an upgrade fails, the result has what was observed until then.
func (u UpgradeTrial) Run(ctx context.Context, w io.Writer) (result UpgradeTrialResult, err error) {
	if !slices.Contains(Faults, u.Fault) {
		return result, errUnknownFault
	}
	d, err := Deploy(ctx, u.Program, DefaultTopology())
	if err != nil {
		return result, err
	}
	defer d.Close()
	result.StartedAt, result.PlannedUpgrades, result.Tally = time.Now(), u.Upgrades, newTally()
	u.Load.Seed = u.Seed
	load := StartLoad(d.Addr(), d.Fleet.Topology, u.Load)
	err = u.runUpgrades(ctx, w, d, load, &result)
	result.Tally, result.DuplicateJobs = load.Stop(), d.Fleet.DuplicateJobs()
	result.printFailures(w)
	if err != nil {
		return result, err
	}
	return result, d.Terminate(ctx)
}

// runUpgrades does all upgrades of the trial, each with its fault.
func (u UpgradeTrial) runUpgrades(
	ctx context.Context, w io.Writer, d *Deployment, load *Load, r *UpgradeTrialResult,
) error {
	rng := rand.New(rand.NewPCG(u.Seed, faultRNGStream))
	for number := range u.Upgrades {
		if err := load.awaitJobs(ctx, jobsBetweenUpgrades); err != nil {
			return err
		}
		report, err := u.upgradeOnce(ctx, d, r, rng)
		if err != nil {
			return fmt.Errorf("upgrade %d of %d: %w", number+1, u.Upgrades, err)
		}
		r.Upgrades = append(r.Upgrades, report)
		fmt.Fprintf(w, "upgrade %d: %s\n", number+1, report.Line(r.StartedAt))
	}
	return nil
}

// upgradeOnce does one upgrade with the trial's fault.
func (u UpgradeTrial) upgradeOnce(
	ctx context.Context, d *Deployment, r *UpgradeTrialResult, rng *rand.Rand,
) (UpgradeReport, error) {
	switch u.Fault {
	case KillSuccessor, SuspendSuccessor:
		return u.upgradeAfterFailedSuccessor(ctx, d, r, rng)
	case KillPredecessor:
		step := Step(len(r.Upgrades) % int(stepCount))
		report, outage, err := d.UpgradeKillingPredecessor(ctx, step, randomDuration(rng, maxKillDelay))
		r.Outages = append(r.Outages, outage)
		r.FaultsInjected++
		return report, err
	}
	return d.Upgrade(ctx)
}

// upgradeAfterFailedSuccessor does one upgrade after a successor that fails before it is ready. The
// faults' times after the start are spread over the upgrades, up to the longest time until ready
// observed so far.
func (u UpgradeTrial) upgradeAfterFailedSuccessor(
	ctx context.Context, d *Deployment, r *UpgradeTrialResult, rng *rand.Rand,
) (report UpgradeReport, err error) {
	report.StartedAt, report.Predecessor = time.Now(), d.Current
	each := max(d.FirstReadyAfter, r.SlowestStart()) / time.Duration(u.Upgrades)
	afterStart := time.Duration(len(r.Upgrades))*each + randomDuration(rng, each)
	stopped := time.Duration(0)
	if u.Fault == SuspendSuccessor {
		stopped = randomDuration(rng, maxSuspension)
	}
	next, err := d.FailSuccessor(ctx, afterStart, stopped)
	if err != nil {
		return report, err
	}
	if next == nil {
		r.FaultsInjected++
		return d.Upgrade(ctx)
	}
	if _, err := AwaitReady(ctx, next); err != nil {
		return report, err
	}
	report.ReadyAfter = time.Since(report.StartedAt)
	err = d.completeUpgrade(ctx, &report, next)
	return report, err
}

// randomDuration draws a time up to a limit.
func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(limit))
}

// report prints what went wrong, job by job, and a summary.
func (r UpgradeTrialResult) printFailures(w io.Writer) {
	for _, record := range r.Lost() {
		fmt.Fprintln(w, "lost:", record.Describe(r.StartedAt))
		if number := r.upgradeNumber(record); number > 0 {
			report := r.Upgrades[number-1]
			fmt.Fprintf(w, "  in upgrade %d, whose old process was %s; its log ends with\n    %s\n",
				number, report.Predecessor.Name, strings.Join(report.Predecessor.Log(), "\n    "))
		}
	}
	for _, record := range r.Tally.WrongResults {
		fmt.Fprintln(w, "wrong result:", record.Describe(r.StartedAt))
	}
	for _, record := range r.Tally.Unread {
		if !r.failedInOutage(record.Sends[0]) {
			fmt.Fprintln(w, "turned back:", record.Describe(r.StartedAt))
		}
	}
	for _, id := range r.DuplicateJobs {
		fmt.Fprintln(w, "ran twice:", id)
	}
	excused := len(r.Tally.Lost) - len(r.Lost())
	fmt.Fprintf(w, "%s; faults placed %d; %d of the lost died with a killed process, which is no fault of the upgrade\n",
		r.Tally.Line(), r.FaultsInjected, excused)
}
