package service

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// A Leaving is a process that the platform has told to end.
type Leaving struct {
	Process *fleet.Process
	limit   time.Duration
	told    time.Time
	Took    time.Duration // from SIGTERM to its end
	Forced  bool          // it was still there at the limit
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
func (d *Deployment) TakeOver(next *fleet.Process) (*Leaving, error) {
	old := d.Current
	d.Current = next
	leaving := &Leaving{Process: old, limit: d.KillAfter(), told: time.Now()}
	return leaving, old.Signal(syscall.SIGTERM)
}

// Await waits for the end of the process, and kills it at the limit.
func (l *Leaving) Await(ctx context.Context) error {
	select {
	case <-l.Process.Done():
	case <-time.After(time.Until(l.told.Add(l.limit))):
		l.Forced = true
		l.Process.Kill()
	case <-ctx.Done():
		return ctx.Err()
	}
	l.Took = time.Since(l.told)
	if err := l.Process.Wait(); err != nil {
		return fmt.Errorf("%s ended with %w after SIGTERM", l.Process.Name, err)
	}
	return nil
}

// A Handover is one whole upgrade.
type Handover struct {
	Began  time.Time
	Yes    time.Duration // from the new process's start to its yes
	Told   time.Time     // when the old one had SIGTERM; zero: never, it was killed
	Took   time.Duration // from SIGTERM to the old one's end
	Forced bool          // it was killed at the limit
	Old    *fleet.Process
}

// Line tells the upgrade's steps, with times since a moment.
func (h Handover) Line(since time.Time) string {
	text := fmt.Sprintf("new process started at %.3f s, yes after %.3f s", h.Began.Sub(since).Seconds(), h.Yes.Seconds())
	if h.Told.IsZero() {
		return text + ", old one killed"
	}
	text += fmt.Sprintf(", old one told at %.3f s, ended after %.3f s", h.Told.Sub(since).Seconds(), h.Took.Seconds())
	if h.Forced {
		text += " by SIGKILL at the limit"
	}
	return text
}

// Upgrade replaces the current process as the platform does, and waits for the old one's end.
func (d *Deployment) Upgrade(ctx context.Context) (h Handover, err error) {
	h.Began, h.Old = time.Now(), d.Current
	next, err := d.StartNext()
	if err != nil {
		return h, err
	}
	if h.Yes, err = AwaitYes(ctx, next); err != nil {
		return h, err
	}
	err = d.finish(ctx, &h, next)
	return h, err
}

// finish carries an upgrade on from the new process's yes.
func (d *Deployment) finish(ctx context.Context, h *Handover, next *fleet.Process) error {
	h.Told = time.Now()
	leaving, err := d.TakeOver(next)
	if err != nil {
		return fmt.Errorf("%s was gone before its SIGTERM: %w", leaving.Process.Name, err)
	}
	err = leaving.Await(ctx)
	h.Took, h.Forced = leaving.Took, leaving.Forced
	return err
}
