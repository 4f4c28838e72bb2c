package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/upgrade"
)

// How a process takes over from another that serves the same address.
const (
	acquireTimeout          = 4 * time.Second        // for a place, where two processes are there already
	endpointsTimeout        = 4 * time.Second        // for an answer from discovery; the old list has to do after it
	startPollInterval       = 10 * time.Millisecond  // between two looks whether there is one
	takeoverPollInterval    = 100 * time.Millisecond // between two looks at the other process
	singleProcess           = 1                      // processes that share the limits
	twoProcesses            = 2
	lockDirectoryVariable   = "TMPDIR"
	readyTimeout            = 5 * time.Second          // from the start to the yes, which is due after 6 s
	minOverlap              = 500 * time.Millisecond   // from listening to the yes: until then the other's resting connections may bring jobs
	stateTimeout            = time.Second              // for the core to tell its state, or to take one
	maxStateAge             = 2 * time.Second          // a state that is older was left behind
	predecessorStateTimeout = 5 * takeoverPollInterval // for the older process to write its state
	stateRestFactor         = 9                        // so many times as long as writing a state took, none is written
)

// acquireTakeoverLock finds out whether another process serves the address. A directory in which that
// cannot be found out leaves this process alone.
func (d *Daemon) acquireTakeoverLock() error {
	if d.Config.Admin == "" {
		return nil
	}
	directory := d.options.Getenv(lockDirectoryVariable)
	if directory == "" {
		directory = os.TempDir()
	}
	place, err := upgrade.AcquireTakeover(directory, d.Config.Listen, acquireTimeout, takeoverPollInterval)
	switch {
	case errors.Is(err, upgrade.ErrTakeoverInProgress):
		return fmt.Errorf("listen (LB_LISTEN): %w", err)
	case err != nil:
		d.log.Warn("another process cannot take over without a break", zap.Error(err))
		return nil
	}
	d.takeoverLock = place
	return nil
}

// succeed takes over from the process that serves: this one listens only when it is ready.
func (d *Daemon) runSuccessor() {
	d.divideLimits(twoProcesses)
	d.platform.StartWatch()
	if !d.awaitEndpoints() || !d.awaitPredecessorState() {
		return // it is to end before it served
	}
	d.startMu.Lock()
	defer d.startMu.Unlock()
	if d.isShuttingDown() {
		return
	}
	d.restoreState()
	if err := d.serve(); err != nil {
		d.failures <- err
		return
	}
	go d.watchOtherProcess()
}

// serve listens and takes what comes, from the other process too where there is one.
func (d *Daemon) serve() error {
	if err := d.platform.Listen(); err != nil {
		return err
	}
	if d.takeoverLock != nil && d.takeoverLock.IsSuccessor() {
		d.platform.SteerConnections()
	} else {
		d.platform.StartWatch()
	}
	d.platform.Accept()
	if d.takeoverLock != nil {
		if err := d.takeoverLock.AnnounceListening(); err != nil {
			d.log.Warn("the older process does not learn of this one", zap.Error(err))
		}
	}
	d.listeningSince = time.Now()
	d.predecessorDrained.Store(d.takeoverLock == nil || !d.takeoverLock.IsSuccessor())
	d.serving.Store(true)
	d.log.Info("it listens", zap.Stringer("address", d.Addr()))
	return nil
}

// awaitEndpoints waits until the machine list is known well enough to serve; false at the end.
func (d *Daemon) awaitEndpoints() bool {
	limit := time.After(endpointsTimeout)
	ready := d.platform.HasSynced
	for look := time.NewTicker(startPollInterval); ; {
		if ready() {
			look.Stop()
			return true
		}
		select {
		case <-look.C:
		case <-limit:
			ready = d.Core.HasWorkers
		case <-d.shutdown:
			return false
		}
	}
}

// awaitPredecessorState waits until the older process, which looks for a successor now and then, has written its
// state; it may never do so. False at the end.
func (d *Daemon) awaitPredecessorState() bool {
	limit := time.After(predecessorStateTimeout)
	look := time.NewTicker(startPollInterval)
	defer look.Stop()
	for {
		var older core.Progress
		if d.loadFreshState(&older, &older) == nil {
			return true
		}
		select {
		case <-look.C:
		case <-limit:
			return true
		case <-d.shutdown:
			return false
		}
	}
}

// restoreState goes on from what the older process has learned, if that can be read.
func (d *Daemon) restoreState() {
	state := &core.State{}
	err := d.loadFreshState(state, &state.Progress)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
		defer cancel()
		err = d.Core.RestoreState(ctx, state)
	}
	if err != nil {
		d.Counters.Add("upgrades.without_state")
		d.log.Warn("it begins with nothing learned", zap.Error(err))
	}
}

// errStaleState means that a state was left by a process that is no more.
var errStaleState = errors.New("the state of the older process is old")

// loadFreshState reads the older process's state, or a part of it that holds its progress.
func (d *Daemon) loadFreshState(state any, progress *core.Progress) error {
	if err := d.takeoverLock.LoadState(state); err != nil {
		return err
	}
	if age := time.Since(time.Unix(0, progress.TakenAt)); age < -maxStateAge || age > maxStateAge {
		return errStaleState
	}
	return nil
}

// saveState writes what a successor needs.
func (d *Daemon) saveState() {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	state, err := d.Core.State(ctx)
	if err == nil {
		err = d.takeoverLock.SaveState(state)
	}
	if err != nil {
		d.Counters.Add("upgrades.not_saved")
	}
}

// watchOtherProcess shares the limits with another process while there is one: the older one, whose place
// this one takes when it has gone, or a newer one, for which it writes its state. It runs until all
// is answered.
func (d *Daemon) watchOtherProcess() {
	look := time.NewTicker(takeoverPollInterval)
	defer look.Stop()
	shared, rested := d.takeoverLock.IsSuccessor(), time.Time{}
	for {
		select {
		case <-look.C:
		case <-d.drained:
			return
		}
		another := d.checkOtherProcess()
		d.platform.YieldConnections(d.takeoverLock.SuccessorListening())
		if another != shared {
			shared = another
			d.divideLimits(processCount(another))
		}
		if began := time.Now(); another && !d.takeoverLock.IsSuccessor() && !began.Before(rested) {
			d.saveState()
			rested = time.Now().Add(stateRestFactor * time.Since(began))
		}
	}
}

// another reports whether another process is there.
func (d *Daemon) checkOtherProcess() bool {
	if !d.takeoverLock.IsSuccessor() {
		return d.takeoverLock.HasSuccessor()
	}
	first, err := d.takeoverLock.Promote()
	switch {
	case errors.Is(err, os.ErrClosed): // this process has given up its place meanwhile
	case err != nil:
		d.log.Warn("the place of the serving process cannot be taken", zap.Error(err))
	case !first:
		d.followPredecessor()
	case first:
		d.log.Info("the older process has ended")
		d.Core.SetExternalSlots(nil)
		d.takeoverLock.DiscardState()
		d.predecessorDrained.Store(true)
		if err := d.startControl(); err != nil {
			d.log.Error("no control socket", zap.Error(err))
		}
	}
	return !first
}

// followPredecessor looks at what the older process still has to do. This one says yes once that is
// nothing, since the other may then be ended without a loss; or when the yes is due.
func (d *Daemon) followPredecessor() {
	if time.Since(d.startedAt) >= readyTimeout {
		d.predecessorDrained.Store(true)
	}
	var older core.Progress // the rest is taken once, at the start
	if err := d.loadFreshState(&older, &older); err != nil {
		return
	}
	d.Core.SetExternalSlots(older.InFlight)
	if relieved := time.Unix(0, older.TakenAt).Sub(d.listeningSince); relieved > minOverlap && older.Open == 0 {
		d.predecessorDrained.Store(true)
	}
}

func processCount(another bool) int {
	if another {
		return twoProcesses
	}
	return singleProcess
}

// share keeps the scheduler to its part of the limits.
func (d *Daemon) divideLimits(processes int) {
	d.platform.DivideDescriptors(processes)
	if d.options.LimitMemory != nil {
		d.options.LimitMemory(int64(d.Config.MemoryMB) << 20 / int64(processes))
	}
}

// ShutDown ends the scheduler once everything taken is answered. Where another process has taken
// over, new connections go there already, and the health stays as it is.
func (d *Daemon) ShutDown() {
	d.finish(func() {
		switch {
		case !d.serving.Load():
			d.platform.Kill()
		case d.takeoverLock != nil && d.takeoverLock.SuccessorListening():
			d.log.Info("another process has taken over")
			d.platform.ShutDownAfterTakeover()
		default:
			d.platform.ShutDown()
		}
	})
}
