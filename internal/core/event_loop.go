package core

import (
	"sync"
	"time"
)

// An event is something that the event loop learns of. apply is called on its goroutine.
type event interface{ apply(*Core) }

// An eventFunc is a function that is called as an event.
type eventFunc func(*Core)

func (f eventFunc) apply(c *Core) { f(c) }

const inboxSize = 1024 // events that wait before their senders do

// An eventLoop brings events from any goroutine to the one that owns the core's state.
type eventLoop struct {
	inbox   chan event
	stopped chan struct{} // closed by stop

	mu      sync.Mutex // orders start and stop
	running sync.WaitGroup
}

func newEventLoop() eventLoop {
	return eventLoop{inbox: make(chan event, inboxSize), stopped: make(chan struct{})}
}

// start runs the loop's goroutine, unless the loop has been stopped.
func (l *eventLoop) start(run func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isStopped() {
		l.running.Go(run)
	}
}

// stop ends the loop and waits for its goroutine, if it has one.
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

// post hands an event to the loop's goroutine.
func (l *eventLoop) post(e event) {
	select {
	case l.inbox <- e:
	case <-l.stopped:
	}
}

// after posts an event when a delay is over.
func (l *eventLoop) postAfter(delay time.Duration, e event) *time.Timer {
	return time.AfterFunc(delay, func() { l.post(e) })
}
