package daemon

import (
	"errors"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/checkpoint"
)

// loadList starts from the machine list that was kept, where the operator's file asks for that and it
// can be used. Its changes are asked for as those of a list that the configuration has as last known.
func (d *Daemon) loadList() {
	path := d.operator.EndpointCheckpoint
	if path == "" {
		return
	}
	d.keeper = checkpoint.New(path, d.Counters)
	list, err := d.keeper.Load(d.Config.Discovery, time.Now())
	switch {
	case err == nil:
		d.Config.Known = list
		d.Counters.Add("checkpoint.used")
	case !errors.Is(err, os.ErrNotExist):
		d.Counters.Add("checkpoint.refused")
		d.log.Warn("the kept machine list is not used", zap.String("path", path), zap.Error(err))
	}
}

// lastKeepLimit is how long the end waits for the list to be kept: a disk that stands still must not
// hold it up to the kill.
const lastKeepLimit = 300 * time.Millisecond

// awaitList waits, at the end, until the list has been kept for the last time.
func (d *Daemon) awaitList() {
	if d.listKept == nil {
		return
	}
	select {
	case <-d.listKept:
	case <-time.After(lastKeepLimit):
		d.log.Warn("the machine list may not have been kept at the end")
	}
}

// keepList keeps the machine list, on a goroutine of its own: a disk that stands still holds up nothing
// else. It ends, with a last look, when the scheduler does.
func (d *Daemon) keepList() {
	defer close(d.listKept)
	look := time.NewTicker(checkpoint.Look)
	defer look.Stop()
	for {
		keep := d.keeper.Keep
		select {
		case <-look.C:
		case <-d.ending:
			keep = d.keeper.Flush
		}
		if err := keep(d.platform, time.Now()); err != nil {
			d.log.Warn("the machine list is not kept", zap.Error(err))
		}
		if d.isEnding() {
			return
		}
	}
}
