package service

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// A Fault is what goes wrong in each upgrade of a trial.
type Fault string

// The faults, by the names that the lab's flag gives them.
const (
	// NoFault leaves each upgrade alone.
	NoFault Fault = "none"
	// KillSuccessor kills a new process before it is ready, and another one is started.
	KillSuccessor Fault = "kill-new"
	// SuspendSuccessor stops a new process before it is ready, kills it later, and another one is started.
	SuspendSuccessor Fault = "stop-new"
	// KillPredecessor kills the old process at any moment of the upgrade.
	KillPredecessor Fault = "kill-old"
)

// Faults are all faults that a trial can inject.
var Faults = []Fault{NoFault, KillSuccessor, SuspendSuccessor, KillPredecessor}

// The upper limits of the random times of faults.
const (
	maxSuspension = 400 * time.Millisecond // for which a new process is stopped before it is killed
	maxKillDelay  = 300 * time.Millisecond // of an old process, after a step of the upgrade
)

// An Outage is a time in which a process was killed and jobs may be lost with it.
type Outage struct{ From, To time.Time }

// covers reports whether a send was under way in the outage.
func (o Outage) covers(s Send) bool { return !s.StartedAt.After(o.To) && !s.EndedAt.Before(o.From) }

// waitOrDone waits for a time, and returns the context's error if that is done first.
func sleepContext(ctx context.Context, delay time.Duration) error {
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// DisturbSuccessor starts a successor, stops it some time after its start, and kills it once it has
// been stopped for another time. A successor that listens when it is stopped was too fast: it goes
// on, and is returned.
func (d *Deployment) FailSuccessor(
	ctx context.Context, afterStart, stopped time.Duration,
) (tooFast *fleet.Process, err error) {
	next, err := d.StartNext()
	if err != nil {
		return nil, err
	}
	if err := sleepContext(ctx, afterStart); err != nil {
		return nil, err
	}
	if err := suspend(next); err != nil {
		return nil, err
	}
	listens, err := Listens(next.ID(), d.Addr())
	if err != nil {
		return nil, err
	}
	if listens {
		return next, next.Signal(syscall.SIGCONT)
	}
	if err := sleepContext(ctx, stopped); err != nil {
		return nil, err
	}
	next.Kill()
	return nil, nil
}

// suspend stops a process with SIGSTOP, and waits until it has stopped: the signal may arrive after
// the call that sends it has returned.
func suspend(process *fleet.Process) error {
	id := process.ID()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return &UnexpectedExitError{process.Name, process.Log()}
	}
	var info unix.Siginfo
	for {
		err := unix.Waitid(unix.P_PID, id, &info, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// A Step is a step of an upgrade, after which the old process is killed.
type Step int

// The steps of an upgrade, in their order.
const (
	// SuccessorStarted is the start of the new process.
	SuccessorStarted Step = iota
	// SuccessorReady is the new process's first answer that it is ready.
	SuccessorReady
	// PredecessorTerminated is SIGTERM to the old process.
	PredecessorTerminated
	stepCount
)

// String names the step in reports.
func (s Step) String() string {
	return [...]string{"the new process's start", "the new process's yes", "SIGTERM to the old process"}[s]
}

// UpgradeKillingPredecessor upgrades while the old process is killed at a given time after a
// step.
func (d *Deployment) UpgradeKillingPredecessor(
	ctx context.Context, step Step, after time.Duration,
) (report UpgradeReport, outage Outage, err error) {
	old := d.Current
	report.StartedAt, report.Predecessor = time.Now(), old
	next, err := d.StartNext()
	if err != nil {
		return report, outage, err
	}
	kill := func() error {
		err := sleepContext(ctx, after)
		outage.From = time.Now()
		old.Kill()
		outage.To = time.Now()
		return err
	}
	if step == SuccessorStarted {
		if err := kill(); err != nil {
			return report, outage, err
		}
	}
	if report.ReadyAfter, err = AwaitReady(ctx, next); err != nil {
		return report, outage, err
	}
	report.ReadyAfter = time.Since(report.StartedAt)
	d.Current = next
	switch step {
	case SuccessorStarted: // nobody served until now
		outage.To = time.Now()
		return report, outage, nil
	case PredecessorTerminated:
		report.TerminatedAt = time.Now()
		if err := old.Signal(syscall.SIGTERM); err != nil {
			return report, outage, fmt.Errorf("%s was gone before its SIGTERM: %w", old.Name, err)
		}
	}
	err = kill()
	return report, outage, err
}

// errUnknownFault reports a fault that is not among Faults.
var errUnknownFault = errors.New("the fault is none of none, kill-new, stop-new and kill-old")
