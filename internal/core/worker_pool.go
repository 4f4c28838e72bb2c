package core

import (
	"context"

	"github.com/vatu-meals/foxlift"
)

// A WorkerPool is what the scheduler knows of its workers at one moment.
type WorkerPool struct {
	Size    int // workers in the endpoint list, draining ones included
	Ejected int // of these, the live ones that the dispatchers avoid for their failures
}

// WorkerPool returns the state of the worker pool. It fails when ctx ends before the event loop has come
// to it, or when the core has stopped.
func (c *Core) WorkerPool(ctx context.Context) (WorkerPool, error) {
	return callOnEventLoop(ctx, c, func(c *Core) (WorkerPool, error) {
		var pool WorkerPool
		for _, w := range c.workers.byID {
			if w.State != foxlift.Removed {
				pool.Size++
			}
		}
		for _, cl := range c.cells.all {
			pool.Ejected += cl.dispatcher.Ejected()
		}
		return pool, nil
	})
}
