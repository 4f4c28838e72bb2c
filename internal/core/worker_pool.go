package core

import (
	"context"

	"github.com/vatu-meals/foxlift"
)

// A Pool is what the scheduler knows of its execute nodes at one moment.
type WorkerPool struct {
	Size    int // nodes in the machine list, draining ones included
	Ejected int // of these, the live ones that the decision module avoids for their faults
}

// Pool returns the state of the pool. It fails when ctx ends before the core's goroutine has come
// to it, or when the core has stopped.
func (c *Core) WorkerPool(ctx context.Context) (p WorkerPool, err error) {
	err = c.call(ctx, func(c *Core) {
		for _, n := range c.byID {
			if n.State != foxlift.Removed {
				p.Size++
			}
		}
		for _, cl := range c.cells {
			p.Ejected += cl.module.Ejected()
		}
	})
	if err != nil {
		return WorkerPool{}, err
	}
	return p, nil
}

// Active returns how many jobs are taken and not answered yet. Any goroutine may call it.
func (c *Core) Active() int { return int(c.active.Load()) }
