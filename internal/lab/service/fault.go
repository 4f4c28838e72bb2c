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

const (
	NoFault          Fault = "none"
	KillSuccessor    Fault = "kill-new" // a new process is killed before its yes, and another one started
	SuspendSuccessor Fault = "stop-new" // a new process stands still before its yes, is killed, and another one started
	KillPredecessor  Fault = "kill-old" // the old process is killed at any moment of the upgrade
)

// Faults are all that a trial knows.
var Faults = []Fault{NoFault, KillSuccessor, SuspendSuccessor, KillPredecessor}

// The times of faults are drawn up to these.
const (
	maxStop    = 400 * time.Millisecond // of a new process, until it is killed
	latestKill = 300 * time.Millisecond // of an old process, after a step of the upgrade
)

// An Outage is a time in which a process was killed and jobs may be lost with it.
type Outage struct{ From, To time.Time }

// covers reports whether a send was under way in the outage.
func (o Outage) covers(s Send) bool { return !s.StartedAt.After(o.To) && !s.Ended.Before(o.From) }

// pause waits for a drawn time.
func waitOrDone(ctx context.Context, drawn time.Duration) error {
	select {
	case <-time.After(drawn):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// DisturbSuccessor starts a next process, stops it at a moment after its start and kills it, after a time
// in which it stands still. A process that listens by then was too fast: it goes on, and is
// returned.
func (d *Deployment) DisturbSuccessor(ctx context.Context, moment, still time.Duration) (tooFast *fleet.Process, err error) {
	next, err := d.StartNext()
	if err != nil {
		return nil, err
	}
	if err := waitOrDone(ctx, moment); err != nil {
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
	if err := waitOrDone(ctx, still); err != nil {
		return nil, err
	}
	next.Kill()
	return nil, nil
}

// suspend stops a process, and waits until all of it has: a signal may come later than its
// sending returns.
func suspend(process *fleet.Process) error {
	id := process.ID()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return &EndedError{process.Name, process.Log()}
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

const (
	SuccessorStarted Step = iota
	SuccessorReady
	PredecessorTerminated
	steps
)

// String names the step in reports.
func (s Step) String() string {
	return [...]string{"the new process's start", "the new process's yes", "SIGTERM to the old process"}[s]
}

// UpgradeKillingPredecessor upgrades while the old process is killed at a drawn time after a step.
func (d *Deployment) UpgradeKillingPredecessor(ctx context.Context, step Step, after time.Duration) (h Handover, o Outage, err error) {
	old := d.Current
	h.StartedAt, h.Predecessor = time.Now(), old
	next, err := d.StartNext()
	if err != nil {
		return h, o, err
	}
	kill := func() error {
		err := waitOrDone(ctx, after)
		o.From = time.Now()
		old.Kill()
		o.To = time.Now()
		return err
	}
	if step == SuccessorStarted {
		if err := kill(); err != nil {
			return h, o, err
		}
	}
	if h.ReadyAfter, err = AwaitReady(ctx, next); err != nil {
		return h, o, err
	}
	h.ReadyAfter = time.Since(h.StartedAt)
	d.Current = next
	switch step {
	case SuccessorStarted: // nobody served until now
		o.To = time.Now()
		return h, o, nil
	case PredecessorTerminated:
		h.TerminatedAt = time.Now()
		if err := old.Signal(syscall.SIGTERM); err != nil {
			return h, o, fmt.Errorf("%s was gone before its SIGTERM: %w", old.Name, err)
		}
	}
	err = kill()
	return h, o, err
}

// errUnknownFault is the answer to a fault that no trial knows.
var errUnknownFault = errors.New("the fault is none of none, kill-new, stop-new and kill-old")
