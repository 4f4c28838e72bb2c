package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/upgrade"
)

// How two processes of one scheduler agree on a takeover.
const (
	lockDirectoryVariable = "TMPDIR"
	acquireTimeout        = 4 * time.Second        // for the takeover lock, while two processes hold it
	takeoverPollInterval  = 100 * time.Millisecond // between two checks of the other process
	stateTimeout          = time.Second            // for the core to return its state, or to restore one
	saveIntervalFactor    = 9                      // after a write of the state, rest so many times as long
)

// Processes that share the limits of one scheduler.
const (
	singleProcess = 1
	twoProcesses  = 2
)

// A takeover is what a process knows of its predecessor or successor. Without a lock there is neither.
type takeover struct {
	lock           *upgrade.TakeoverLock // nil if no other process can take over
	listeningSince time.Time

	// predecessorDispensable is set once no other process has jobs that its exit would fail, or when
	// this process has to be ready in any case.
	predecessorMayExit atomic.Bool
}

func (t *takeover) isAvailable() bool { return t.lock != nil }

// isSuccessor reports whether a predecessor of this process has not exited.
func (t *takeover) isSuccessor() bool { return t.lock != nil && t.lock.IsSuccessor() }

// successorListening reports whether a successor of this process listens.
func (t *takeover) successorListening() bool { return t.lock != nil && t.lock.SuccessorListening() }

func (t *takeover) release() {
	if t.lock != nil {
		t.lock.Release()
	}
}

// acquireTakeoverLock finds out whether a predecessor serves the address. If the directory of the lock
// does not allow that, this process has neither predecessor nor successor.
func (d *Daemon) acquireTakeoverLock() error {
	if d.Config.Admin == "" {
		return nil
	}
	directory := d.options.Getenv(lockDirectoryVariable)
	if directory == "" {
		directory = os.TempDir()
	}
	lock, err := upgrade.AcquireTakeover(directory, d.Config.Listen, acquireTimeout, takeoverPollInterval)
	switch {
	case errors.Is(err, upgrade.ErrTakeoverInProgress):
		return fmt.Errorf("listen (LB_LISTEN): %w", err)
	case err != nil:
		d.log.Warn("takeover: not available to a later process", zap.Error(err))
		return nil
	}
	d.takeover.lock = lock
	return nil
}

// serve listens for clients. If a predecessor listens too, what comes from now on is steered to this
// process.
func (d *Daemon) serve() error {
	if err := d.platform.Listen(); err != nil {
		return err
	}
	isSuccessor := d.takeover.isSuccessor()
	if isSuccessor {
		d.platform.SteerConnections()
	} else {
		d.platform.StartWatch()
	}
	d.platform.Accept()
	if d.takeover.isAvailable() {
		if err := d.takeover.lock.AnnounceListening(); err != nil {
			d.log.Warn("takeover: predecessor cannot be notified", zap.Error(err))
		}
	}
	d.takeover.listeningSince = time.Now()
	d.takeover.predecessorMayExit.Store(!isSuccessor)
	d.lifecycle.serving.Store(true)
	d.log.Info("listening for clients", zap.Stringer("address", d.Addr()))
	return nil
}

// watchOtherProcess divides the limits with another process while one exists: the predecessor, whose
// part of the lock this process acquires when it has exited, or a successor, for which this process
// saves its state. It runs until the scheduler is drained.
func (d *Daemon) watchOtherProcess() {
	ticker := time.NewTicker(takeoverPollInterval)
	defer ticker.Stop()
	dividing := d.takeover.isSuccessor()
	var nextSave time.Time
	for {
		select {
		case <-ticker.C:
		case <-d.lifecycle.drained.Done():
			return
		}
		exists := d.checkOtherProcess()
		d.platform.YieldConnections(d.takeover.successorListening())
		if exists != dividing {
			dividing = exists
			d.divideLimits(processCount(exists))
		}
		if !exists || d.takeover.isSuccessor() {
			continue
		}
		if startedAt := time.Now(); !startedAt.Before(nextSave) {
			d.saveState(d.lifecycle.drained)
			nextSave = time.Now().Add(saveIntervalFactor * time.Since(startedAt))
		}
	}
}

// checkOtherProcess reports whether another process exists. When the predecessor has exited, this process
// becomes the serving one.
func (d *Daemon) checkOtherProcess() bool {
	if !d.takeover.isSuccessor() {
		return d.takeover.lock.HasSuccessor()
	}
	promoted, err := d.takeover.lock.Promote()
	switch {
	case errors.Is(err, os.ErrClosed): // this process has released the lock in the meantime
	case err != nil:
		d.log.Warn("takeover: cannot become the serving process", zap.Error(err))
	case promoted:
		d.completeTakeover()
	default:
		d.pollPredecessor()
	}
	return !promoted
}

// completeTakeover goes on alone after the predecessor has exited.
func (d *Daemon) completeTakeover() {
	d.log.Info("takeover: predecessor has exited")
	d.Core.SetExternalSlots(nil)
	d.takeover.lock.DiscardState()
	d.takeover.predecessorMayExit.Store(true)
	if err := d.startControl(); err != nil {
		d.log.Error("control socket: not served", zap.Error(err))
	}
}

// saveState saves what a successor needs.
func (d *Daemon) saveState(ctx context.Context) {
	if err := d.writeState(ctx); err != nil {
		d.Counters.Add("upgrades.not_saved")
	}
}

func (d *Daemon) writeState(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := d.Core.State(ctx)
	if err != nil {
		return err
	}
	return d.takeover.lock.SaveState(state)
}

func processCount(anotherExists bool) int {
	if anotherExists {
		return twoProcesses
	}
	return singleProcess
}

// divideLimits keeps this process to its part of the scheduler's descriptors and memory.
func (d *Daemon) divideLimits(processes int) {
	d.platform.DivideDescriptors(processes)
	if d.options.LimitMemory != nil {
		d.options.LimitMemory(int64(d.Config.MemoryMB) << 20 / int64(processes))
	}
}
