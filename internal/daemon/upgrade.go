package daemon

import (
	"errors"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

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
	place, err := upgrade.Take(directory, d.Config.Listen, placeLimit, placePause)
	switch {
	case errors.Is(err, upgrade.ErrTaken):
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
	d.platform.Follow()
	if !d.awaitInformed() {
		return // it is to end before it served
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
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
		d.platform.TakeOver()
	} else {
		d.platform.Follow()
	}
	d.platform.Accept()
	if d.place != nil {
		if err := d.place.Announce(); err != nil {
			d.log.Warn("the older process does not learn of this one", zap.Error(err))
		}
	}
	d.serving.Store(true)
	d.log.Info("it listens", zap.Stringer("address", d.Addr()))
	return nil
}

// awaitInformed waits until the machine list is known well enough to serve; false at the end.
func (d *Daemon) awaitInformed() bool {
	limit := time.After(informLimit)
	ready := d.platform.Informed
	for look := time.NewTicker(informPause); ; {
		if ready() {
			look.Stop()
			return true
		}
		select {
		case <-look.C:
		case <-limit:
			ready = d.Core.Ready
		case <-d.ending:
			return false
		}
	}
}

// watchOther shares the limits with another process while there is one: the older one, whose place
// this one takes when it has gone, or a newer one. It runs until the end.
func (d *Daemon) watchOther() {
	shared := d.place.Successor()
	for look := time.NewTicker(placePause); ; {
		select {
		case <-look.C:
		case <-d.ending:
			look.Stop()
			return
		}
		if another := d.another(); another != shared {
			shared = another
			d.share(processes(another))
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
	case err != nil:
		d.log.Warn("the place of the serving process cannot be taken", zap.Error(err))
	case first:
		d.log.Info("the older process has ended or handed over")
		if err := d.startControl(); err != nil {
			d.log.Error("no control socket", zap.Error(err))
		}
	}
	return !first
}

func processes(another bool) int {
	if another {
		return withAnother
	}
	return alone
}

// share keeps the scheduler to its part of the limits.
func (d *Daemon) share(processes int) {
	d.platform.Share(processes)
	if d.options.LimitMemory != nil {
		d.options.LimitMemory(int64(d.Config.MemoryMB) << 20 / int64(processes))
	}
}

// ShutDown ends the scheduler once everything taken is answered. Where another process has taken
// over, new connections go there already, and the health stays as it is.
func (d *Daemon) ShutDown() {
	d.end.Do(func() { close(d.ending) })
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	switch {
	case !d.serving.Load():
		d.platform.Kill()
	case d.place != nil && d.place.Succeeded():
		d.log.Info("another process has taken over")
		d.platform.HandOver(d.place.Leave)
	default:
		d.platform.ShutDown()
	}
	d.stopOperators()
	if d.place != nil {
		d.place.Leave()
	}
}
