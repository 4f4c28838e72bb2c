// Package service tests the operation of one scheduler: upgrades under load, quiescing, and the
// figures on its operators' address. It runs the built program among stand-ins on loopback, takes
// the part of the platform and of the clients, and judges from the outside: by what the clients
// received and what the workers ran.
//
// A Deployment owns the scheduler's processes and the stand-ins, a Load owns the clients'
// connections and the Tally of their jobs, and UpgradeTrial is the trial that brings both together.
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

// The platform's rules for an upgrade.
const (
	ReadyLimit         = 6 * time.Second        // for a new process, from its start until it is ready
	maxCountedDeadline = 3 * time.Second        // longer deadlines count as this
	killMargin         = 700 * time.Millisecond // beyond the longest deadline, between SIGTERM and SIGKILL
	pollInterval       = 5 * time.Millisecond   // between two calls to the operators' address
)

// DefaultWorld is one scheduler with eight workers, short idempotent jobs and longer at-most-once
// jobs.
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

// A Deployment is a scheduler in service: its current process, and the fleet of stand-ins that the
// process works with.
type Deployment struct {
	Fleet           *fleet.Fleet
	Current         *fleet.Process
	FirstReadyAfter time.Duration // from the first process's start until it was ready
}

// Deploy starts a world's scheduler and waits until it is ready. Close ends it.
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

// Close ends every process and stand-in.
func (d *Deployment) Close() { d.Fleet.Close() }

// Addr is where clients reach the scheduler.
func (d *Deployment) Addr() string { return d.Fleet.Processes[0].Addr }

// KillAfter is how long a process has between SIGTERM and SIGKILL.
func (d *Deployment) TerminationGrace() time.Duration {
	longest := time.Duration(0)
	for _, class := range d.Fleet.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxCountedDeadline) + killMargin
}

// An EndedError reports that a process ended that should have gone on.
type UnexpectedExitError struct {
	Process string
	Log     []string
}

// Error tells which process ended, with the last lines of its log.
func (e *UnexpectedExitError) Error() string {
	return fmt.Sprintf("%s ended by itself; its log:\n%s", e.Process, strings.Join(e.Log, "\n"))
}

// ErrNotReady reports that a process did not say in time that it is ready.
var ErrNotReady = errors.New("no yes in time")

// AwaitReady waits until a process that was just started says that it is ready, and returns how
// long that took.
func AwaitReady(ctx context.Context, process *fleet.Process) (time.Duration, error) {
	began := time.Now()
	limited, cancel := context.WithTimeout(ctx, ReadyLimit)
	defer cancel()
	operators := AdminClient{Addr: process.AdminAddr}
	var last error
	for {
		if last = operators.Health(limited); last == nil {
			return time.Since(began), nil
		}
		select {
		case <-process.Done():
			return 0, &UnexpectedExitError{process.Name, process.Log()}
		case <-limited.Done():
			if ctx.Err() != nil {
				return 0, ctx.Err()
			}
			log := strings.Join(process.Log(), "\n")
			return 0, fmt.Errorf("%s: %w: %w; its log:\n%s", process.Name, ErrNotReady, last, log)
		case <-time.After(pollInterval):
		}
	}
}
