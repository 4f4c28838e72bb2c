package daemon

import (
	"context"
	"errors"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/checkpoint"
)

// A checkpointer writes checkpoints of the endpoint list to a file in the background.
type checkpointer struct {
	writer *checkpoint.Writer
	log    *zap.Logger
}

// loadCheckpoint does nothing unless the operator's file names a checkpoint. Then it creates the checkpointer and
// replaces the configuration's cached endpoint list by the list in the checkpoint. Without a usable checkpoint the
// configured list stays; unless the file does not exist, that is counted and logged.
func (d *Daemon) loadCheckpoint() {
	path := d.operator.settings.EndpointCheckpoint
	if path == "" {
		return
	}
	writer := checkpoint.New(path, d.Counters)
	d.checkpoints = &checkpointer{writer: writer, log: d.log}
	endpoints, err := writer.Load(d.Config.Discovery, time.Now())
	switch {
	case err == nil:
		d.Config.CachedEndpoints = endpoints
		d.Counters.Add("checkpoint.used")
	case !errors.Is(err, os.ErrNotExist):
		d.Counters.Add("checkpoint.refused")
		d.log.Warn("checkpoint: cannot be used, keeping the configured endpoint list",
			zap.String("path", path), zap.Error(err))
	}
}

// run writes checkpoints as they become due. When shuttingDown is done it writes the last checkpoint and
// returns. It runs on its own goroutine, so that a disk that hangs delays nothing else.
func (c *checkpointer) run(shuttingDown context.Context, source checkpoint.Source) {
	ticker := time.NewTicker(checkpoint.PollInterval)
	defer ticker.Stop()
	for shuttingDown.Err() == nil {
		select {
		case <-ticker.C:
			c.logFailure(c.writer.WriteIfDue(source, time.Now()))
		case <-shuttingDown.Done():
		}
	}
	c.logFailure(c.writer.Flush(source, time.Now()))
}

// logFailure logs a failed write; it does nothing if err is nil.
func (c *checkpointer) logFailure(err error) {
	if err != nil {
		c.log.Warn("checkpoint: write failed", zap.Error(err))
	}
}
