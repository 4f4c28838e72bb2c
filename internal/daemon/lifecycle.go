package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// backgroundTasksTimeout is how long a shutdown waits for the background tasks. A write of a checkpoint to a
// disk that hangs must not delay the exit until the process is killed.
const backgroundTasksTimeout = 300 * time.Millisecond

// A lifecycle tracks the phases of a scheduler process and owns its background tasks.
type lifecycle struct {
	startedAt time.Time
	serving   atomic.Bool // whether the scheduler accepts clients' connections

	shuttingDown  context.Context // done once the shutdown has begun
	beginShutdown context.CancelFunc
	drained       context.Context // done once the platform has stopped: all accepted jobs are answered, or it was killed
	markDrained   context.CancelFunc

	tasks    sync.WaitGroup
	failures chan error // buffers the one error with which a takeover can fail

	serveMu sync.Mutex // held while the platform starts to serve and while it stops
}

// newLifecycle returns the lifecycle of a process that starts now. Its contexts are derived from ctx.
func newLifecycle(ctx context.Context) *lifecycle {
	l := &lifecycle{startedAt: time.Now(), failures: make(chan error, 1)}
	l.drained, l.markDrained = context.WithCancel(ctx)
	l.shuttingDown, l.beginShutdown = context.WithCancel(l.drained)
	return l
}

// startTask runs a background task on its own goroutine. awaitTasks waits for it.
func (l *lifecycle) startTask(task func()) { l.tasks.Go(task) }

// serveUnlessShuttingDown calls start, unless the shutdown has begun. A finish that begins meanwhile waits
// until start has returned.
func (l *lifecycle) serveUnlessShuttingDown(start func()) {
	l.serveMu.Lock()
	defer l.serveMu.Unlock()
	if l.shuttingDown.Err() == nil {
		start()
	}
}

// finish begins the shutdown, calls stop to stop the platform, and then marks the scheduler as drained.
func (l *lifecycle) finish(stop func()) {
	l.beginShutdown()
	l.serveMu.Lock()
	defer l.serveMu.Unlock()
	stop()
	l.markDrained()
}

// awaitTasks waits up to timeout for the background tasks, and returns whether all of them have finished.
func (l *lifecycle) awaitTasks(timeout time.Duration) bool {
	finished := make(chan struct{})
	go func() {
		l.tasks.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return true
	case <-time.After(timeout):
		return false
	}
}
