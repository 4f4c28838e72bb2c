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
	placeLimit   = 4 * time.Second        // for a place, where two processes are there already
	informLimit  = 4 * time.Second        // for an answer from discovery; the old list has to do after it
	informPause  = 10 * time.Millisecond  // between two looks whether there is one
	placePause   = 100 * time.Millisecond // between two looks at the other process
	alone        = 1                      // processes that share the limits
	withAnother  = 2
	directoryKey = "TMPDIR"
	settleLimit  = 5 * time.Second        // from the start to the yes, which is due after 6 s
	settleLeast  = 500 * time.Millisecond // from listening to the yes: until then the other's resting connections may bring jobs
	stateLimit   = time.Second            // for the core to tell its state, or to take one
	stateAge     = 2 * time.Second        // a state that is older was left behind
	stateWait    = 5 * placePause         // for the older process to write its state
	stateShare   = 9                      // so many times as long as writing a state took, none is written
)

// takePlace finds out whether another process serves the address. A directory in which that
// cannot be found out leaves this process alone.
func (d *Daemon) takePlace() error {
	if d.Config.Admin == "" {
		return nil
	}
	directory := d.options.Getenv(directoryKey)
	if directory == "" {
		directory = os.TempDir()
	}
	place, err := upgrade.AcquireTakeover(directory, d.Config.Listen, placeLimit, placePause)
	switch {
	case errors.Is(err, upgrade.ErrTakeoverInProgress):
		return fmt.Errorf("listen (LB_LISTEN): %w", err)
	case err != nil:
		d.log.Warn("another process cannot take over without a break", zap.Error(err))
		return nil
	}
	d.place = place
	return nil
}

// succeed takes over from the process that serves: this one listens only when it is ready.
func (d *Daemon) succeed() {
	d.share(withAnother)
	d.platform.StartWatch()
	if !d.awaitInformed() || !d.awaitState() {
		return // it is to end before it served
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isEnding() {
		return
	}
	d.loadState()
	if err := d.serve(); err != nil {
		d.failed <- err
		return
	}
	go d.watchOther()
}

// serve listens and takes what comes, from the other process too where there is one.
func (d *Daemon) serve() error {
	if err := d.platform.Listen(); err != nil {
		return err
	}
	if d.place != nil && d.place.Successor() {
		d.platform.SteerConnections()
	} else {
		d.platform.StartWatch()
	}
	d.platform.Accept()
	if d.place != nil {
		if err := d.place.Announce(); err != nil {
			d.log.Warn("the older process does not learn of this one", zap.Error(err))
		}
	}
	d.listened = time.Now()
	d.settled.Store(d.place == nil || !d.place.Successor())
	d.serving.Store(true)
	d.log.Info("it listens", zap.Stringer("address", d.Addr()))
	return nil
}

// awaitInformed waits until the machine list is known well enough to serve; false at the end.
func (d *Daemon) awaitInformed() bool {
	limit := time.After(informLimit)
	ready := d.platform.HasSynced
	for look := time.NewTicker(informPause); ; {
		if ready() {
			look.Stop()
			return true
		}
		select {
		case <-look.C:
		case <-limit:
			ready = d.Core.HasWorkers
		case <-d.ending:
			return false
		}
	}
}

// awaitState waits until the older process, which looks for a successor now and then, has written its
// state; it may never do so. False at the end.
func (d *Daemon) awaitState() bool {
	limit := time.After(stateWait)
	look := time.NewTicker(informPause)
	defer look.Stop()
	for {
		var older core.Progress
		if d.loadFresh(&older, &older) == nil {
			return true
		}
		select {
		case <-look.C:
		case <-limit:
			return true
		case <-d.ending:
			return false
		}
	}
}

// loadState goes on from what the older process has learned, if that can be read.
func (d *Daemon) loadState() {
	state := &core.State{}
	err := d.loadFresh(state, &state.Progress)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), stateLimit)
		defer cancel()
		err = d.Core.RestoreState(ctx, state)
	}
	if err != nil {
		d.Counters.Add("upgrades.without_state")
		d.log.Warn("it begins with nothing learned", zap.Error(err))
	}
}

// errOld means that a state was left by a process that is no more.
var errOld = errors.New("the state of the older process is old")

// loadFresh reads the older process's state, or a part of it that holds its progress.
func (d *Daemon) loadFresh(state any, progress *core.Progress) error {
	if err := d.place.Load(state); err != nil {
		return err
	}
	if age := time.Since(time.Unix(0, progress.TakenAt)); age < -stateAge || age > stateAge {
		return errOld
	}
	return nil
}

// saveState writes what a successor needs.
func (d *Daemon) saveState() {
	ctx, cancel := context.WithTimeout(context.Background(), stateLimit)
	defer cancel()
	state, err := d.Core.State(ctx)
	if err == nil {
		err = d.place.Save(state)
	}
	if err != nil {
		d.Counters.Add("upgrades.not_saved")
	}
}

// watchOther shares the limits with another process while there is one: the older one, whose place
// this one takes when it has gone, or a newer one, for which it writes its state. It runs until all
// is answered.
func (d *Daemon) watchOther() {
	look := time.NewTicker(placePause)
	defer look.Stop()
	shared, rested := d.place.Successor(), time.Time{}
	for {
		select {
		case <-look.C:
		case <-d.gone:
			return
		}
		another := d.another()
		d.platform.YieldConnections(d.place.Succeeded())
		if another != shared {
			shared = another
			d.share(processes(another))
		}
		if began := time.Now(); another && !d.place.Successor() && !began.Before(rested) {
			d.saveState()
			rested = time.Now().Add(stateShare * time.Since(began))
		}
	}
}

// another reports whether another process is there.
func (d *Daemon) another() bool {
	if !d.place.Successor() {
		return d.place.Succeeding()
	}
	first, err := d.place.Promote()
	switch {
	case errors.Is(err, os.ErrClosed): // this process has given up its place meanwhile
	case err != nil:
		d.log.Warn("the place of the serving process cannot be taken", zap.Error(err))
	case !first:
		d.followOlder()
	case first:
		d.log.Info("the older process has ended")
		d.Core.SetExternalSlots(nil)
		d.place.Discard()
		d.settled.Store(true)
		if err := d.startControl(); err != nil {
			d.log.Error("no control socket", zap.Error(err))
		}
	}
	return !first
}

// followOlder looks at what the older process still has to do. This one says yes once that is
// nothing, since the other may then be ended without a loss; or when the yes is due.
func (d *Daemon) followOlder() {
	if time.Since(d.started) >= settleLimit {
		d.settled.Store(true)
	}
	var older core.Progress // the rest is taken once, at the start
	if err := d.loadFresh(&older, &older); err != nil {
		return
	}
	d.Core.SetExternalSlots(older.InFlight)
	if relieved := time.Unix(0, older.TakenAt).Sub(d.listened); relieved > settleLeast && older.Open == 0 {
		d.settled.Store(true)
	}
}

func processes(another bool) int {
	if another {
		return withAnother
	}
	return alone
}

// share keeps the scheduler to its part of the limits.
func (d *Daemon) share(processes int) {
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
		case d.place != nil && d.place.Succeeded():
			d.log.Info("another process has taken over")
			d.platform.ShutDownAfterTakeover()
		default:
			d.platform.ShutDown()
		}
	})
}
