package core

import (
	"sync"
	"time"
)

// An event is an input of the event loop. apply is called on the loop's goroutine.
type event interface{ apply(*Core) }

// An eventFunc is an event that calls a function.
type eventFunc func(*Core)

func (f eventFunc) apply(c *Core) { f(c) }

const inboxSize = 1024 // maximum number of waiting events; beyond it post blocks

// An eventLoop passes events from any goroutine to the goroutine that owns the core's state.
type eventLoop struct {
	inbox   chan event
	stopped chan struct{} // closed by stop

	mu      sync.Mutex     // serializes start and stop
	running sync.WaitGroup // the loop's goroutine
}

func newEventLoop() eventLoop {
	return eventLoop{inbox: make(chan event, inboxSize), stopped: make(chan struct{})}
}

// start calls run on a new goroutine, unless the loop has been stopped.
func (l *eventLoop) start(run func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isStopped() {
		l.running.Go(run)
	}
}

// stop ends the loop and waits for its goroutine, if it was started.
func (l *eventLoop) stop() {
	l.mu.Lock()
	if !l.isStopped() {
		close(l.stopped)
	}
	l.mu.Unlock()
	l.running.Wait()
}

func (l *eventLoop) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// post passes an event to the loop's goroutine. It blocks while the inbox is full, and drops the event if the
// loop is stopped.
func (l *eventLoop) post(e event) {
	select {
	case l.inbox <- e:
	case <-l.stopped:
	}
}

// postAfter posts an event after a delay, unless the returned timer is stopped before it is applied. A delay of 0 or
// less posts it at once, on another goroutine.
func (l *eventLoop) postAfter(delay time.Duration, e event) *loopTimer {
	t := &loopTimer{event: e}
	t.timer = time.AfterFunc(delay, func() { l.post(t) })
	return t
}
