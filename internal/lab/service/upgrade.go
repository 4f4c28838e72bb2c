package service

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// Termination is the shutdown of a process after SIGTERM.
type Termination struct {
	Process   *fleet.Process
	limit     time.Duration // from SIGTERM to SIGKILL
	startedAt time.Time
	Took      time.Duration // from SIGTERM to the process's exit
	Forced    bool          // the process was killed because it still ran at the limit
}

// StartNext starts a successor of the current process. The successor may not be ready when StartNext
// returns.
func (d *Deployment) StartNext() (*fleet.Process, error) {
	next, err := d.Fleet.Successor(0)
	if err != nil {
		return nil, err
	}
	return next, next.Start()
}

// Promote makes a process that is ready the current one and sends SIGTERM to the old one. It fails if the
// old one has exited already; next is then the current one all the same.
func (d *Deployment) Promote(next *fleet.Process) (*Termination, error) {
	old := d.Current
	d.Current = next
	termination := &Termination{Process: old, limit: d.TerminationGrace(), startedAt: time.Now()}
	return termination, old.Signal(syscall.SIGTERM)
}

// Await waits until the process exits and kills it at the limit. It fails if the process exits with an
// error, but not if it was killed at the limit, which Forced reports. If ctx is done first, it returns the
// context's error and leaves the process running.
func (t *Termination) Await(ctx context.Context) error {
	select {
	case <-t.Process.Done():
	case <-time.After(time.Until(t.startedAt.Add(t.limit))):
		t.Forced = true
		t.Process.Kill()
	case <-ctx.Done():
		return ctx.Err()
	}
	t.Took = time.Since(t.startedAt)
	if err := t.Process.Wait(); err != nil {
		return fmt.Errorf("%s exited with %w after SIGTERM", t.Process.Name, err)
	}
	return nil
}

// Terminate ends the current process with SIGTERM when nothing replaces it, waits until it has exited and
// kills it at the limit, as Await does. It fails with an UnexpectedExitError if the process does not run.
func (d *Deployment) Terminate(ctx context.Context) error {
	termination := &Termination{Process: d.Current, limit: d.TerminationGrace(), startedAt: time.Now()}
	if err := d.Current.Signal(syscall.SIGTERM); err != nil {
		return &UnexpectedExitError{d.Current.Name, d.Current.Log()}
	}
	return termination.Await(ctx)
}

// UpgradeReport holds the times and the outcome of one upgrade.
type UpgradeReport struct {
	StartedAt    time.Time
	ReadyAfter   time.Duration // from the new process's start until it was ready
	TerminatedAt time.Time     // when the old process was sent SIGTERM; zero if it was killed without SIGTERM
	Took         time.Duration // from SIGTERM to the old process's exit; 0 if a fault killed it
	Forced       bool          // the old process was killed at the limit
	Predecessor  *fleet.Process
}

// Line returns the upgrade's steps as one line, with times relative to since.
func (r UpgradeReport) Line(since time.Time) string {
	text := fmt.Sprintf("new process started at %.3f s, ready after %.3f s",
		r.StartedAt.Sub(since).Seconds(), r.ReadyAfter.Seconds())
	if r.TerminatedAt.IsZero() {
		return text + ", old process killed"
	}
	text += fmt.Sprintf(", old process sent SIGTERM at %.3f s, exited after %.3f s",
		r.TerminatedAt.Sub(since).Seconds(), r.Took.Seconds())
	if r.Forced {
		text += " by SIGKILL at the limit"
	}
	return text
}

// Upgrade replaces the current process as the platform does: it starts a successor, waits until the
// successor is ready, and terminates the old process. If the successor is not ready in time, the old process
// stays the current one, and the successor runs until the deployment is closed.
func (d *Deployment) Upgrade(ctx context.Context) (report UpgradeReport, err error) {
	report.StartedAt, report.Predecessor = time.Now(), d.Current
	next, err := d.StartNext()
	if err != nil {
		return report, err
	}
	if report.ReadyAfter, err = AwaitReady(ctx, next); err != nil {
		return report, err
	}
	err = d.completeUpgrade(ctx, &report, next)
	return report, err
}

// completeUpgrade promotes the new process, which is ready, and waits until the old one exits.
func (d *Deployment) completeUpgrade(ctx context.Context, report *UpgradeReport, next *fleet.Process) error {
	report.TerminatedAt = time.Now()
	termination, err := d.Promote(next)
	if err != nil {
		return fmt.Errorf("%s exited before SIGTERM: %w", termination.Process.Name, err)
	}
	err = termination.Await(ctx)
	report.Took, report.Forced = termination.Took, termination.Forced
	return err
}
