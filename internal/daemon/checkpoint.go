package daemon

import (
	"errors"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/checkpoint"
)

// loadCheckpoint starts from the machine list that was kept, where the operator's file asks for that and it
// can be used. Its changes are asked for as those of a list that the configuration has as last known.
func (d *Daemon) loadCheckpoint() {
	path := d.operator.EndpointCheckpoint
	if path == "" {
		return
	}
	d.checkpointWriter = checkpoint.New(path, d.Counters)
	list, err := d.checkpointWriter.Load(d.Config.Discovery, time.Now())
	switch {
	case err == nil:
		d.Config.Known = list
		d.Counters.Add("checkpoint.used")
	case !errors.Is(err, os.ErrNotExist):
		d.Counters.Add("checkpoint.refused")
		d.log.Warn("the kept machine list is not used", zap.String("path", path), zap.Error(err))
	}
}

// finalCheckpointTimeout is how long the end waits for the list to be kept: a disk that stands still must not
// hold it up to the kill.
const finalCheckpointTimeout = 300 * time.Millisecond

// awaitCheckpoint waits, at the end, until the list has been kept for the last time.
func (d *Daemon) awaitCheckpoint() {
	if d.checkpointDone == nil {
		return
	}
	select {
	case <-d.checkpointDone:
	case <-time.After(finalCheckpointTimeout):
		d.log.Warn("the machine list may not have been kept at the end")
	}
}

// writeCheckpoints keeps the machine list, on a goroutine of its own: a disk that stands still holds up nothing
// else. It ends, with a last look, when the scheduler does.
func (d *Daemon) writeCheckpoints() {
	defer close(d.checkpointDone)
	look := time.NewTicker(checkpoint.PollInterval)
	defer look.Stop()
	for {
		keep := d.checkpointWriter.WriteIfDue
		select {
		case <-look.C:
		case <-d.shutdown:
			keep = d.checkpointWriter.Flush
		}
		if err := keep(d.platform, time.Now()); err != nil {
			d.log.Warn("the machine list is not kept", zap.Error(err))
		}
		if d.isShuttingDown() {
			return
		}
	}
}
