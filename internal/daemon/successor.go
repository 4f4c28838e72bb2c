package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/core"
)

// How a successor takes over from its predecessor.
const (
	endpointsTimeout        = 4 * time.Second       // for discovery's answer; then the cached list has to do
	startPollInterval       = 10 * time.Millisecond // between two checks of what the start waits for
	predecessorStateTimeout = 5 * takeoverPollInterval
	maxStateAge             = 2 * time.Second // an older state is of a process that has exited

	// readyTimeout is the time from the start after which a successor is ready in any case: the platform
	// allows 6 s.
	readyTimeout = 5 * time.Second

	// minOverlap is the time from listening to being ready: until then connections that rest at the
	// predecessor may bring it jobs.
	minOverlap = 500 * time.Millisecond
)

// errStaleState means that a state was saved by a process that has exited since.
var errStaleState = errors.New("the predecessor's state is old")

// runSuccessor takes over from the predecessor: this process listens once it is ready to serve.
func (d *Daemon) runSuccessor() {
	d.divideLimits(twoProcesses)
	d.platform.StartWatch()
	shuttingDown := d.lifecycle.shuttingDown
	if d.awaitEndpoints(shuttingDown) != nil || d.awaitPredecessorState(shuttingDown) != nil {
		return
	}
	d.lifecycle.serveUnlessShuttingDown(func() {
		d.restoreState(d.lifecycle.drained)
		if err := d.serve(); err != nil {
			d.lifecycle.failures <- err
			return
		}
		d.lifecycle.startTask(d.watchOtherProcess)
	})
}

// awaitEndpoints waits until the endpoint list is known well enough to serve: from discovery or, after a
// time, from the cached list. It returns the context's error if that is done before.
func (d *Daemon) awaitEndpoints(ctx context.Context) error {
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	timeout := time.After(endpointsTimeout)
	ready := d.platform.HasSynced
	for !ready() {
		select {
		case <-ticker.C:
		case <-timeout:
			ready = d.Core.HasWorkers
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// awaitPredecessorState waits until the predecessor, which checks for a successor now and then, has saved
// its state, or until the time for that is over: it may never save one. It returns the context's error if
// that is done before.
func (d *Daemon) awaitPredecessorState(ctx context.Context) error {
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	timeout := time.After(predecessorStateTimeout)
	for {
		if _, err := d.loadPredecessorProgress(); err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-timeout:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// restoreState goes on from what the predecessor has learned, if that can be used.
func (d *Daemon) restoreState(ctx context.Context) {
	if err := d.applyPredecessorState(ctx); err != nil {
		d.Counters.Add("upgrades.without_state")
		d.log.Warn("takeover: starting without the predecessor's state", zap.Error(err))
	}
}

func (d *Daemon) applyPredecessorState(ctx context.Context) error {
	state := &core.State{}
	if err := d.takeover.lock.LoadState(state); err != nil {
		return err
	}
	if err := checkStateAge(&state.DrainProgress); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return d.Core.RestoreState(ctx, state)
}

// loadPredecessorProgress loads the part of the predecessor's state that a successor polls.
func (d *Daemon) loadPredecessorProgress() (*core.DrainProgress, error) {
	progress := &core.DrainProgress{}
	if err := d.takeover.lock.LoadState(progress); err != nil {
		return nil, err
	}
	if err := checkStateAge(progress); err != nil {
		return nil, err
	}
	return progress, nil
}

// checkStateAge returns errStaleState for a state that was not taken lately.
func checkStateAge(progress *core.DrainProgress) error {
	age := time.Since(time.Unix(0, progress.TakenAt))
	if age < -maxStateAge || age > maxStateAge {
		return errStaleState
	}
	return nil
}

// followPredecessor follows what the predecessor still has to do. This process is ready once that is
// nothing, since the platform may then stop the predecessor without a loss; or after readyTimeout.
func (d *Daemon) pollPredecessor() {
	if time.Since(d.lifecycle.startedAt) >= readyTimeout {
		d.takeover.predecessorMayExit.Store(true)
	}
	progress, err := d.loadPredecessorProgress()
	if err != nil {
		return // the next poll tries again
	}
	d.Core.SetExternalSlots(progress.InFlight)
	overlap := time.Unix(0, progress.TakenAt).Sub(d.takeover.listeningSince)
	if overlap > minOverlap && progress.Open == 0 {
		d.takeover.predecessorMayExit.Store(true)
	}
}
