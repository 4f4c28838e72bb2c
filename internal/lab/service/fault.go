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

// Fault is the failure that a trial injects into each upgrade.
type Fault string

// The faults. Their values are the names that the lab's command-line flag accepts.
const (
	// NoFault injects nothing.
	NoFault Fault = "none"
	// KillSuccessor kills a new process before it is ready; another one is started after it.
	KillSuccessor Fault = "kill-new"
	// SuspendSuccessor stops a new process with SIGSTOP before it is ready and kills it later; another
	// one is started after it.
	SuspendSuccessor Fault = "stop-new"
	// KillPredecessor kills the old process at a random moment of the upgrade.
	KillPredecessor Fault = "kill-old"
)

// Faults lists all faults that a trial can inject.
var Faults = []Fault{NoFault, KillSuccessor, SuspendSuccessor, KillPredecessor}

// Upper limits of the random times of faults.
const (
	maxSuspension = 400 * time.Millisecond // for which a new process is stopped before it is killed
	maxKillDelay  = 300 * time.Millisecond // from a step of the upgrade until the old process is killed
)

// Outage is an interval in which the serving process was killed; jobs of that process may be lost.
type Outage struct{ From, To time.Time }

// covers reports whether a send was in progress during the outage.
func (o Outage) covers(s Send) bool { return !s.StartedAt.After(o.To) && !s.EndedAt.Before(o.From) }

// sleepContext waits for a delay. It returns the context's error if the context is done first.
func sleepContext(ctx context.Context, delay time.Duration) error {
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// FailSuccessor starts a successor, stops it with SIGSTOP afterStart after its start, and kills it
// once it has been stopped for the time stopped. A successor that already listens when it is stopped
// continues and is returned as tooFast; tooFast is nil if the successor was killed. If FailSuccessor fails,
// the successor may still run, and be stopped, until the deployment is closed.
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

// suspend stops a process with SIGSTOP and waits until it has stopped, because the signal may take
// effect after the call that sends it returns.
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

// Step is a step of an upgrade after which the old process can be killed.
type Step int

// The steps of an upgrade, in order.
const (
	// SuccessorStarted is the start of the new process.
	SuccessorStarted Step = iota
	// SuccessorReady is the new process's first successful health check.
	SuccessorReady
	// PredecessorTerminated is SIGTERM to the old process.
	PredecessorTerminated
	stepCount
)

// String returns the step's description for reports.
func (s Step) String() string {
	return [...]string{"start of the new process", "new process ready", "SIGTERM to the old process"}[s]
}

// UpgradeKillingPredecessor upgrades the deployment and kills the old process at a given time after a
// step. The outage lasts from the kill until the old process has exited, or until the successor is
// ready if the old one was killed before that. The report's Took stays 0, and its TerminatedAt is set only
// if the kill comes after PredecessorTerminated.
func (d *Deployment) UpgradeKillingPredecessor(
	ctx context.Context, step Step, delay time.Duration,
) (report UpgradeReport, outage Outage, err error) {
	predecessor := d.Current
	report.StartedAt, report.Predecessor = time.Now(), predecessor
	next, err := d.StartNext()
	if err != nil {
		return report, outage, err
	}
	kill := func() error {
		err := sleepContext(ctx, delay)
		outage.From = time.Now()
		predecessor.Kill()
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
	case SuccessorStarted: // no process served between the kill and this moment
		outage.To = time.Now()
		return report, outage, nil
	case PredecessorTerminated:
		report.TerminatedAt = time.Now()
		if err := predecessor.Signal(syscall.SIGTERM); err != nil {
			return report, outage, fmt.Errorf("%s exited before SIGTERM: %w", predecessor.Name, err)
		}
	}
	err = kill()
	return report, outage, err
}

// errUnknownFault reports a fault that is not in Faults.
var errUnknownFault = errors.New("unknown fault: must be none, kill-new, stop-new or kill-old")
