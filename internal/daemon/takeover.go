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

// Parameters of the takeover protocol between two processes of one scheduler.
const (
	lockDirectoryVariable = "TMPDIR"
	acquireTimeout        = 4 * time.Second        // for the takeover lock, while two other processes hold it
	takeoverPollInterval  = 100 * time.Millisecond // between checks for the other process
	stateTimeout          = time.Second            // for the core to return its state, or to restore one
	saveIntervalFactor    = 9                      // pause between saves, as a multiple of the last save's duration
)

// Number of processes that share the memory and descriptor limits of one scheduler.
const (
	singleProcess = 1
	twoProcesses  = 2
)

// A takeover holds the state of a process towards its predecessor or successor. Without a lock it has neither.
type takeover struct {
	lock           *upgrade.TakeoverLock // nil if no other process can take over
	listeningSince time.Time             // when this process began to listen for clients

	// predecessorMayExit is set once no predecessor has open jobs that would fail if it exited, and in any
	// case readyTimeout after the start.
	predecessorMayExit atomic.Bool
}

// isAvailable reports whether this process holds a takeover lock, so that another process can take over.
func (t *takeover) isAvailable() bool { return t.lock != nil }

// isSuccessor reports whether this process has a predecessor that has not exited.
func (t *takeover) isSuccessor() bool { return t.lock != nil && t.lock.IsSuccessor() }

// successorListening reports whether a successor of this process listens for clients.
func (t *takeover) successorListening() bool { return t.lock != nil && t.lock.SuccessorListening() }

// release releases the lock, if there is one.
func (t *takeover) release() {
	if t.lock != nil {
		t.lock.Release()
	}
}

// acquireTakeoverLock acquires the takeover lock of the clients' address, which shows whether a predecessor
// serves it. It returns an error if two other processes hold the lock. If the lock cannot be used for another
// reason, such as its directory, it logs that and the process runs without predecessor and successor. The same
// holds, without a log entry, if there is no operators' address.
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
		d.log.Warn("takeover: no lock, a later process cannot take over from this one", zap.Error(err))
		return nil
	}
	d.takeover.lock = lock
	return nil
}

// serve listens for clients and accepts their connections. If a predecessor listens too, new connections are
// directed to this process; otherwise serve also starts the endpoint watch, which a successor has started before.
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
			d.log.Warn("takeover: cannot notify the predecessor that this process listens", zap.Error(err))
		}
	}
	d.takeover.listeningSince = time.Now()
	d.takeover.predecessorMayExit.Store(!isSuccessor)
	d.lifecycle.serving.Store(true)
	d.log.Info("listening for clients", zap.Stringer("address", d.Addr()))
	return nil
}

// watchOtherProcess checks regularly for another process of this scheduler, and divides the limits between
// the two while it exists. The other process is either the predecessor, whose role in the lock this process
// acquires once it has exited, or a successor, for which this process saves its state. While a successor
// listens, this process closes client connections, so that their clients connect to the successor. It is a
// background task that runs until the scheduler is drained.
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

// checkOtherProcess reports whether another process of this scheduler exists: for the serving process a
// successor, for a successor its predecessor. If the predecessor has exited, this process becomes the serving
// process and completes the takeover. If an error keeps it from getting that role, the predecessor counts as
// existing.
func (d *Daemon) checkOtherProcess() bool {
	if !d.takeover.isSuccessor() {
		return d.takeover.lock.HasSuccessor()
	}
	promoted, err := d.takeover.lock.Promote()
	switch {
	case errors.Is(err, os.ErrClosed): // this process has already released the lock
	case err != nil:
		d.log.Warn("takeover: cannot acquire the role of the serving process", zap.Error(err))
	case promoted:
		d.completeTakeover()
	default:
		d.pollPredecessor()
	}
	return !promoted
}

// completeTakeover removes the predecessor's slots and saved state after its exit, marks it as no longer needed,
// and opens the control socket. If the socket cannot be opened, it only logs the error.
func (d *Daemon) completeTakeover() {
	d.log.Info("takeover: predecessor has exited")
	d.Core.SetExternalSlots(nil)
	d.adoptLastIDs()
	d.Core.ForgetPredecessor()
	d.takeover.lock.DiscardState()
	d.takeover.predecessorMayExit.Store(true)
	if err := d.startControl(); err != nil {
		d.log.Error("takeover: cannot serve the control socket", zap.Error(err))
	}
}

// saveState saves the state that a successor restores. It counts a failure.
func (d *Daemon) saveState(ctx context.Context) {
	if err := d.writeState(ctx); err != nil {
		d.Counters.Add("upgrades.not_saved")
	}
}

// writeState requests the core's state and writes it, with the endpoint list, to the state file of the lock.
func (d *Daemon) writeState(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := d.Core.State(ctx)
	if err != nil {
		return err
	}
	freshFor, err := d.Core.EndpointsFreshFor(ctx) // before the snapshot, which may have later changes
	if err != nil {
		return err
	}
	saved := &handover{State: *state, Discovery: d.platform.Discovery()}
	if endpoints, ok := d.platform.SnapshotEndpoints(); ok {
		endpoints.FreshFor = freshFor
		saved.Endpoints = endpoints
	}
	return d.takeover.lock.SaveState(saved)
}

// processCount returns the number of processes that share the limits.
func processCount(anotherExists bool) int {
	if anotherExists {
		return twoProcesses
	}
	return singleProcess
}

// divideLimits limits this process to an equal part of the scheduler's file descriptors and memory.
func (d *Daemon) divideLimits(processes int) {
	d.platform.DivideDescriptors(processes)
	memoryLimit := int64(d.Config.MemoryMB) << 20 / int64(processes)
	d.platform.SetMemoryLimit(memoryLimit)
	if d.options.LimitMemory != nil {
		d.options.LimitMemory(memoryLimit)
	}
}
