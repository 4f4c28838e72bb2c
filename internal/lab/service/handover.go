package service

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// A Termination is a process that the platform has told to end.
type Termination struct {
	Process   *fleet.Process
	limit     time.Duration
	startedAt time.Time
	Took      time.Duration // from SIGTERM to its end
	Forced    bool          // it was still there at the limit
}

// StartNext starts the process that is to be the next one. It may not be ready when StartNext
// returns.
func (d *Deployment) StartNext() (*fleet.Process, error) {
	next, err := d.Fleet.Successor(0)
	if err != nil {
		return nil, err
	}
	return next, next.Start()
}

// RestoreState makes a process that has said yes the current one, and tells the old one to end.
func (d *Deployment) Promote(next *fleet.Process) (*Termination, error) {
	old := d.Current
	d.Current = next
	leaving := &Termination{Process: old, limit: d.KillAfter(), startedAt: time.Now()}
	return leaving, old.Signal(syscall.SIGTERM)
}

// Await waits for the end of the process, and kills it at the limit.
func (l *Termination) Await(ctx context.Context) error {
	select {
	case <-l.Process.Done():
	case <-time.After(time.Until(l.startedAt.Add(l.limit))):
		l.Forced = true
		l.Process.Kill()
	case <-ctx.Done():
		return ctx.Err()
	}
	l.Took = time.Since(l.startedAt)
	if err := l.Process.Wait(); err != nil {
		return fmt.Errorf("%s ended with %w after SIGTERM", l.Process.Name, err)
	}
	return nil
}

// A Handover is one whole upgrade.
type Handover struct {
	StartedAt    time.Time
	ReadyAfter   time.Duration // from the new process's start to its yes
	TerminatedAt time.Time     // when the old one had SIGTERM; zero: never, it was killed
	Took         time.Duration // from SIGTERM to the old one's end
	Forced       bool          // it was killed at the limit
	Predecessor  *fleet.Process
}

// Line tells the upgrade's steps, with times since a moment.
func (h Handover) Line(since time.Time) string {
	text := fmt.Sprintf("new process started at %.3f s, yes after %.3f s", h.StartedAt.Sub(since).Seconds(), h.ReadyAfter.Seconds())
	if h.TerminatedAt.IsZero() {
		return text + ", old one killed"
	}
	text += fmt.Sprintf(", old one told at %.3f s, ended after %.3f s", h.TerminatedAt.Sub(since).Seconds(), h.Took.Seconds())
	if h.Forced {
		text += " by SIGKILL at the limit"
	}
	return text
}

// Upgrade replaces the current process as the platform does, and waits for the old one's end.
func (d *Deployment) Upgrade(ctx context.Context) (h Handover, err error) {
	h.StartedAt, h.Predecessor = time.Now(), d.Current
	next, err := d.StartNext()
	if err != nil {
		return h, err
	}
	if h.ReadyAfter, err = AwaitReady(ctx, next); err != nil {
		return h, err
	}
	err = d.finish(ctx, &h, next)
	return h, err
}

// finish carries an upgrade on from the new process's yes.
func (d *Deployment) finish(ctx context.Context, h *Handover, next *fleet.Process) error {
	h.TerminatedAt = time.Now()
	leaving, err := d.Promote(next)
	if err != nil {
		return fmt.Errorf("%s was gone before its SIGTERM: %w", leaving.Process.Name, err)
	}
	err = leaving.Await(ctx)
	h.Took, h.Forced = leaving.Took, leaving.Forced
	return err
}
