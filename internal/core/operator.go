package core

import (
	"context"
	"errors"
)

// What an operator may ask and do while the scheduler runs. Each call becomes one
// event on the core's goroutine, so that it is carried out whole, between two steps
// of the modules; a caller that goes away in the meantime holds up nothing.

// ErrNoCells means that the scheduler runs without cells.
var ErrNoCells = errors.New("this scheduler has no cells: its operator's file names none")

// operation is an operator's request: done on the core's goroutine.
type operatorCall struct {
	do   func(*Core)
	done chan struct{}
}

func (o operatorCall) apply(c *Core) {
	o.do(c)
	close(o.done)
}

// operate runs do on the core's goroutine and waits for it, or for ctx to end.
func (c *Core) call(ctx context.Context, do func(*Core)) error {
	o := operatorCall{do, make(chan struct{})}
	select {
	case c.inbox <- o:
	case <-c.stopped:
		return errShuttingDown
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-o.done:
		return nil
	case <-c.stopped:
		return errShuttingDown
	case <-ctx.Done():
		return ctx.Err()
	}
}

// errShuttingDown is the answer to whoever would change the map while the scheduler ends.
var errShuttingDown = errors.New("the scheduler is ending")
