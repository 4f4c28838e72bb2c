package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// finalTasksTimeout is how long a shutdown waits for the background tasks: a disk that hangs while a
// checkpoint is written must not delay the exit until the process is killed.
const backgroundTasksTimeout = 300 * time.Millisecond

// A lifecycle tracks the phases of a scheduler and owns its background tasks.
type lifecycle struct {
	startedAt time.Time
	serving   atomic.Bool // clients are served

	shuttingDown  context.Context // done once the shutdown has begun
	beginShutdown context.CancelFunc
	drained       context.Context // done once all accepted jobs are answered, too
	markDrained   context.CancelFunc

	tasks    sync.WaitGroup
	failures chan error // has room for the one error that ends a start under way

	serveMu sync.Mutex // held while the platform starts to serve, or stops
}

func newLifecycle(ctx context.Context) *lifecycle {
	l := &lifecycle{startedAt: time.Now(), failures: make(chan error, 1)}
	l.drained, l.markDrained = context.WithCancel(ctx)
	l.shuttingDown, l.beginShutdown = context.WithCancel(l.drained)
	return l
}

// run runs a background task on a goroutine of its own.
func (l *lifecycle) startTask(task func()) { l.tasks.Go(task) }

// startUnlessShuttingDown calls start, except once the shutdown has begun. finish waits for it.
func (l *lifecycle) serveUnlessShuttingDown(start func()) {
	l.serveMu.Lock()
	defer l.serveMu.Unlock()
	if l.shuttingDown.Err() == nil {
		start()
	}
}

// finish begins the shutdown, stops the platform by stop, and marks the scheduler as drained.
func (l *lifecycle) finish(stop func()) {
	l.beginShutdown()
	l.serveMu.Lock()
	defer l.serveMu.Unlock()
	stop()
	l.markDrained()
}

// awaitTasks waits for the background tasks to finish, and reports whether they have within a timeout.
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
