// Package service proves the daily operation of one scheduler: upgrades under load, draining,
// and the figures on its operators' address. It runs the built program among stand-ins on
// loopback, plays the platform and the submitters, and judges from the outside: from what the
// submitters received and what the nodes ran.
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
	ReadyLimit = 6 * time.Second        // for a new process, from its start to its yes
	maxGrace   = 3 * time.Second        // longer deadlines count as this
	killMargin = 700 * time.Millisecond // beyond the longest deadline, between SIGTERM and SIGKILL
	pollEvery  = 5 * time.Millisecond   // between two questions to the operators' address
)

// DefaultWorld is one scheduler on eight nodes, with short idempotent and longer at-most-once
// jobs.
func DefaultWorld() lab.Topology {
	return lab.Topology{
		Schedulers: 1, Sockets: 512, Zones: []string{"east"},
		Kinds:   []lab.WorkerKind{{Name: "node", Count: 8, Slots: 4, Speed: 1}},
		Tenants: []lab.Tenant{{Name: "north", QuotaFraction: 0.6}, {Name: "south", QuotaFraction: 0.4}},
		Classes: []lab.Class{
			{Name: "reading", Effect: "idempotent", ServiceTime: 20 * time.Millisecond, JobFraction: 0.7, LatencyObjective: 300 * time.Millisecond, Deadline: 800 * time.Millisecond},
			{Name: "ratify", Effect: "at_most_once", ServiceTime: 150 * time.Millisecond, JobFraction: 0.3, LatencyObjective: 600 * time.Millisecond, Deadline: 1200 * time.Millisecond},
		},
	}
}

// A Deployment is a scheduler in service: the process that the platform takes for it, and all
// that it meets.
type Deployment struct {
	Fleet      *fleet.Fleet
	Current    *fleet.Process
	FirstReady time.Duration // of the first process, from its start
}

// Deploy starts a world's scheduler and waits for its yes. Close ends it.
func Deploy(ctx context.Context, program string, world lab.Topology) (d *Deployment, err error) {
	f, err := fleet.New(fleet.Options{Topology: world, Program: program, Price: standin.Price{Call: time.Millisecond, Patience: time.Second}, Admin: true})
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
	d.FirstReady, err = AwaitReady(ctx, d.Current)
	return d, err
}

// Close ends every process and stand-in.
func (d *Deployment) Close() { d.Fleet.Close() }

// Addr is where submitters reach the scheduler.
func (d *Deployment) Addr() string { return d.Fleet.Processes[0].Addr }

// KillAfter is how long a process has between SIGTERM and SIGKILL.
func (d *Deployment) KillAfter() time.Duration {
	longest := time.Duration(0)
	for _, class := range d.Fleet.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxGrace) + killMargin
}

// An EndedError says that a process ended that should have gone on.
type EndedError struct {
	Process string
	Log     []string
}

// Error tells which process ended, with the last lines of its log.
func (e *EndedError) Error() string {
	return fmt.Sprintf("%s ended by itself; its log:\n%s", e.Process, strings.Join(e.Log, "\n"))
}

// ErrNotReady says that a process did not say in time that it is ready.
var ErrNotReady = errors.New("no yes in time")

// AwaitReady waits until a process that was just started says that it is ready, and returns how
// long that took.
func AwaitReady(ctx context.Context, process *fleet.Process) (time.Duration, error) {
	began := time.Now()
	limited, cancel := context.WithTimeout(ctx, ReadyLimit)
	defer cancel()
	operators := Operators{Addr: process.Admin}
	var last error
	for {
		if last = operators.Health(limited); last == nil {
			return time.Since(began), nil
		}
		select {
		case <-process.Done():
			return 0, &EndedError{process.Name, process.Log()}
		case <-limited.Done():
			if ctx.Err() != nil {
				return 0, ctx.Err()
			}
			return 0, fmt.Errorf("%s: %w: %w; its log:\n%s", process.Name, ErrNotReady, last, strings.Join(process.Log(), "\n"))
		case <-time.After(pollEvery):
		}
	}
}
