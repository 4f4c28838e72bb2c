// Package service tests the operation of one scheduler process: upgrades under load, quiescing, and
// the metrics on its admin address. It runs the built program with stand-in workers and discovery on
// loopback, acts as the platform and as the clients, and checks only what is visible from outside:
// the responses that clients received and the jobs that workers ran.
//
// A Deployment owns the scheduler's processes and the stand-ins. A Load owns the clients'
// connections and the Tally of their jobs. An UpgradeTrial runs upgrades of a Deployment under a Load.
package service

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/lab/fleet"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// The platform's time limits for an upgrade.
const (
	ReadyLimit         = 6 * time.Second        // from the start of a new process until it is ready
	maxCountedDeadline = 3 * time.Second        // a longer deadline does not extend the time between SIGTERM and SIGKILL
	killMargin         = 700 * time.Millisecond // added to the longest deadline, between SIGTERM and SIGKILL
	pollInterval       = 5 * time.Millisecond   // between two checks while waiting for a condition
)

// DefaultTopology returns one scheduler with eight workers, a class of short idempotent jobs and a
// class of longer at-most-once jobs.
func DefaultTopology() lab.Topology {
	return lab.Topology{
		Schedulers: 1, Sockets: 512, Zones: []string{"east"},
		Kinds:   []lab.WorkerKind{{Name: "node", Count: 8, Slots: 4, Speed: 1}},
		Tenants: []lab.Tenant{{Name: "north", QuotaFraction: 0.6}, {Name: "south", QuotaFraction: 0.4}},
		Classes: []lab.Class{
			{
				Name: "reading", Effect: "idempotent", JobFraction: 0.7,
				ServiceTime:      20 * time.Millisecond,
				LatencyObjective: 300 * time.Millisecond,
				Deadline:         800 * time.Millisecond,
			},
			{
				Name: "ratify", Effect: "at_most_once", JobFraction: 0.3,
				ServiceTime:      150 * time.Millisecond,
				LatencyObjective: 600 * time.Millisecond,
				Deadline:         1200 * time.Millisecond,
			},
		},
	}
}

// Deployment is one scheduler in service: its current process and the fleet of stand-ins that the
// process works with.
type Deployment struct {
	Fleet           *fleet.Fleet
	Current         *fleet.Process
	FirstReadyAfter time.Duration // from the first process's start until it was ready
}

// Deploy starts the scheduler of a topology and waits until it is ready. Close ends it. If Deploy fails, it
// ends what it has started.
func Deploy(ctx context.Context, program string, world lab.Topology) (d *Deployment, err error) {
	f, err := fleet.New(fleet.Options{
		Topology: world,
		Program:  program,
		CallCost: standin.CallCost{PerCall: time.Millisecond, MaxWait: time.Second},
		Admin:    true,
	})
	if err != nil {
		return nil, err
	}
	d = &Deployment{Fleet: f, Current: f.Processes[0]}
	defer func() {
		if err != nil {
			d.Close()
		}
	}()
	if err := d.Current.Start(); err != nil {
		return nil, err
	}
	d.FirstReadyAfter, err = AwaitReady(ctx, d.Current)
	return d, err
}

// Close ends all processes and stand-ins.
func (d *Deployment) Close() { d.Fleet.Close() }

// Addr returns the address on which the scheduler accepts clients.
func (d *Deployment) Addr() string { return d.Fleet.Processes[0].Addr }

// TerminationGrace returns how long a process has between SIGTERM and SIGKILL: the longest deadline of
// a class, at most maxCountedDeadline, plus killMargin.
func (d *Deployment) TerminationGrace() time.Duration {
	longest := time.Duration(0)
	for _, class := range d.Fleet.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxCountedDeadline) + killMargin
}

// UnexpectedExitError reports that a process exited although nothing had told it to.
type UnexpectedExitError struct {
	Process string
	Log     []string
}

// Error returns the name of the process and the last lines of its log.
func (e *UnexpectedExitError) Error() string {
	return fmt.Sprintf("%s exited unexpectedly; end of its log:\n%s", e.Process, strings.Join(e.Log, "\n"))
}

// ErrNotReady reports that a process was not ready within ReadyLimit.
var ErrNotReady = errors.New("health check did not succeed in time")

// AwaitReady waits until the health check of a process that was just started succeeds, and returns how
// long that took. It fails with ErrNotReady after ReadyLimit, with an UnexpectedExitError if the process
// exits, and with the context's error if ctx is done first. The process needs an admin address.
func AwaitReady(ctx context.Context, process *fleet.Process) (time.Duration, error) {
	began := time.Now()
	limitedCtx, cancel := context.WithTimeout(ctx, ReadyLimit)
	defer cancel()
	admin := AdminClient{Addr: process.AdminAddr}
	var lastErr error
	for {
		if lastErr = admin.Health(limitedCtx); lastErr == nil {
			return time.Since(began), nil
		}
		select {
		case <-process.Done():
			return 0, &UnexpectedExitError{process.Name, process.Log()}
		case <-limitedCtx.Done():
			if ctx.Err() != nil {
				return 0, ctx.Err()
			}
			log := strings.Join(process.Log(), "\n")
			return 0, fmt.Errorf("%s: %w: %w; end of its log:\n%s", process.Name, ErrNotReady, lastErr, log)
		case <-time.After(pollInterval):
		}
	}
}
