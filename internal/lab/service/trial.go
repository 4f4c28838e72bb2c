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
	maxUnreadPerUpgrade = 2  // limit of Unread jobs during one upgrade
	jobsBetweenUpgrades = 10 // jobs that must end before the next upgrade starts
	faultRNGStream      = 23 // the random generator's stream for the times of faults
)

// UpgradeTrial is a trial of consecutive upgrades under load, each done as the platform does it.
type UpgradeTrial struct {
	Program  string
	Upgrades int
	Seed     uint64 // of the load and of the faults
	Fault    Fault  // injected into each upgrade
	Load     LoadOptions
}

// DefaultUpgradeTrial is the trial that the operator documentation describes.
var DefaultUpgradeTrial = UpgradeTrial{Program: "bin/foxlift", Upgrades: 20, Seed: 1, Fault: NoFault, Load: DefaultLoad}

// UpgradeTrialResult holds the observations of a trial.
type UpgradeTrialResult struct {
	StartedAt       time.Time
	Upgrades        []UpgradeReport
	PlannedUpgrades int
	FaultsInjected  int
	Outages         []Outage // caused by kills of a serving process
	Tally           Tally
	DuplicateJobs   []string // IDs of at-most-once jobs that ran more than once
}

// failedInOutage reports whether a send may have failed because its process was killed.
func (r UpgradeTrialResult) failedInOutage(s Send) bool {
	return slices.ContainsFunc(r.Outages, func(outage Outage) bool { return outage.covers(s) })
}

// Lost returns the jobs without a complete response, except those lost with a killed process.
func (r UpgradeTrialResult) Lost() (lost []JobRecord) {
	for _, record := range r.Tally.Lost {
		if !r.failedInOutage(record.lastSend()) {
			lost = append(lost, record)
		}
	}
	return lost
}

// UnreadJobs returns the number of Unread jobs and the highest number in one upgrade. A job counts for
// the upgrade that started last before the job's first send ended. Sends to a killed process do not
// count.
func (r UpgradeTrialResult) UnreadJobs() (total, maxPerUpgrade int) {
	counts := make([]int, len(r.Upgrades)+1)
	for _, record := range r.Tally.Unread {
		if !r.failedInOutage(record.Sends[0]) {
			total++
			counts[r.upgradeNumber(record)]++
		}
	}
	return total, slices.Max(counts)
}

// upgradeNumber returns the number of the upgrade that started last before a job's first send ended; 0
// if there was none.
func (r UpgradeTrialResult) upgradeNumber(record JobRecord) int {
	ended := record.Sends[0].EndedAt
	later := slices.IndexFunc(r.Upgrades, func(report UpgradeReport) bool { return report.StartedAt.After(ended) })
	if later >= 0 {
		return later
	}
	return len(r.Upgrades)
}

// SlowestStart returns the longest time that a new process took until it was ready.
func (r UpgradeTrialResult) SlowestStart() (slowest time.Duration) {
	for _, report := range r.Upgrades {
		slowest = max(slowest, report.ReadyAfter)
	}
	return slowest
}

// Line returns the result as one line.
func (r UpgradeTrialResult) Line() string {
	total, maxPerUpgrade := r.UnreadJobs()
	return fmt.Sprintf("upgrades %d, jobs %d, lost %d, ran more than once %d, "+
		"not read %d (most in one upgrade %d), slowest ready after %.2f s",
		len(r.Upgrades), r.Tally.Sent, len(r.Lost()), len(r.DuplicateJobs), total, maxPerUpgrade, r.SlowestStart().Seconds())
}

// OK reports whether the trial passed: no limit was exceeded, all planned upgrades were done, and jobs
// were served.
func (r UpgradeTrialResult) OK() bool {
	_, maxPerUpgrade := r.UnreadJobs()
	return len(r.Lost()) == 0 && len(r.DuplicateJobs) == 0 && len(r.Tally.WrongResults) == 0 &&
		maxPerUpgrade <= maxUnreadPerUpgrade && r.SlowestStart() <= ReadyLimit &&
		len(r.Upgrades) == r.PlannedUpgrades && r.Tally.Total().OK > 0
}

// Run runs the trial and writes each upgrade, each failed job and a summary to w. A result that is not OK is
// no error. If an upgrade fails, Run returns its error, and the result holds the observations until then.
// Run also fails if the fault is not in Faults or the last process exits with an error.
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
// delays from the successor's start to the fault are spread over the upgrades, up to the longest time
// until ready observed so far.
func (u UpgradeTrial) upgradeAfterFailedSuccessor(
	ctx context.Context, d *Deployment, r *UpgradeTrialResult, rng *rand.Rand,
) (report UpgradeReport, err error) {
	report.StartedAt, report.Predecessor = time.Now(), d.Current
	interval := max(d.FirstReadyAfter, r.SlowestStart()) / time.Duration(u.Upgrades)
	afterStart := time.Duration(len(r.Upgrades))*interval + randomDuration(rng, interval)
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

// randomDuration returns a random duration below a limit.
func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(limit))
}

// printFailures writes each failed job and a summary.
func (r UpgradeTrialResult) printFailures(w io.Writer) {
	for _, record := range r.Lost() {
		fmt.Fprintln(w, "lost:", record.Describe(r.StartedAt))
		if number := r.upgradeNumber(record); number > 0 {
			report := r.Upgrades[number-1]
			fmt.Fprintf(w, "  during upgrade %d with old process %s; end of its log:\n    %s\n",
				number, report.Predecessor.Name, strings.Join(report.Predecessor.Log(), "\n    "))
		}
	}
	for _, record := range r.Tally.WrongResults {
		fmt.Fprintln(w, "wrong result:", record.Describe(r.StartedAt))
	}
	for _, record := range r.Tally.Unread {
		if !r.failedInOutage(record.Sends[0]) {
			fmt.Fprintln(w, "not read:", record.Describe(r.StartedAt))
		}
	}
	for _, id := range r.DuplicateJobs {
		fmt.Fprintln(w, "ran more than once:", id)
	}
	lostInOutage := len(r.Tally.Lost) - len(r.Lost())
	fmt.Fprintf(w, "%s; faults injected %d; %d of the lost jobs died with a killed process, not by the upgrade\n",
		r.Tally.Line(), r.FaultsInjected, lostInOutage)
}
