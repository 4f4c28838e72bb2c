package core

import (
	"context"
	"errors"
)

// Calls by which an operator queries and changes a running scheduler. Each call is one event of the event loop,
// so that it runs as a whole between two steps of the dispatchers. A caller that stops waiting does not block
// the loop.

// ErrNoCells means that the scheduler runs without cells.
var ErrNoCells = errors.New("this scheduler has no cells: its operator file configures none")

// ErrShuttingDown is returned by calls on a scheduler that has stopped, and by changes of the placement during a
// shutdown.
var ErrShuttingDown = errors.New("the scheduler is shutting down")

// callOnEventLoop runs fn on the event loop's goroutine and returns its result. It returns the error of ctx if
// ctx ends first, and ErrShuttingDown if the core stops first; fn may still run then, and its result is dropped.
// Before Start it waits.
func callOnEventLoop[T any](ctx context.Context, c *Core, fn func(*Core) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1) // buffered, so that the event loop does not wait for the caller
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
