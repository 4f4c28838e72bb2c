package core

import (
	"context"

	"github.com/vatu-meals/foxlift"
)

// A WorkerPool counts the workers at one moment.
type WorkerPool struct {
	Size    int // number of workers in the endpoint list, including draining ones
	Ejected int // number of live workers that get no job, or one trial job at most, because attempts failed there
}

// WorkerPool returns the counts of the workers. It returns the error of ctx if ctx ends before the event loop has
// handled the call, and ErrShuttingDown if the core has stopped.
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
