package core

import (
	"context"
	"errors"
)

// What an operator may ask for and change while the scheduler runs. Each call becomes one event on the
// event loop, so that it is executed whole, between two steps of the dispatchers; a caller that goes away
// in the meantime holds up nothing.

// ErrNoCells means that the scheduler runs without cells.
var ErrNoCells = errors.New("this scheduler has no cells: its operator's file names none")

// ErrShuttingDown is the answer to whoever asks a scheduler that has stopped, or would change the
// placement while it shuts down.
var ErrShuttingDown = errors.New("the scheduler is ending")

// call runs do on the event loop's goroutine and returns its result. It fails when ctx ends or the core
// stops first; do may run nevertheless then, and its result is dropped.
func callOnEventLoop[T any](ctx context.Context, c *Core, fn func(*Core) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1) // the event loop does not wait for the caller
	request := eventFunc(func(c *Core) {
		value, err := fn(c)
		results <- result{value, err}
	})
	var zero T
	select {
	case c.loop.inbox <- request:
	case <-c.loop.stopped:
		return zero, ErrShuttingDown
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case r := <-results:
		return r.value, r.err
	case <-c.loop.stopped:
		return zero, ErrShuttingDown
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
