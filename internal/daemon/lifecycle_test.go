package daemon

import (
	"testing"
	"time"
)

// A start to serve does not begin after the shutdown has, and both phases are marked.
func TestNoStartAfterShutdown(t *testing.T) {
	l := newLifecycle(t.Context())
	starts := 0
	start := func() { starts++ }
	l.serveUnlessShuttingDown(start)
	l.finish(func() {
		if l.shuttingDown.Err() == nil || l.drained.Err() != nil {
			t.Error("while the platform stops the scheduler is shutting down, and not drained")
		}
	})
	l.serveUnlessShuttingDown(start)
	if starts != 1 || l.drained.Err() == nil {
		t.Errorf("%d starts, drained: %v", starts, l.drained.Err())
	}
}

// A shutdown waits for background tasks, but not for one that hangs.
func TestAwaitTasks(t *testing.T) {
	l := newLifecycle(t.Context())
	release := make(chan struct{})
	l.startTask(func() { <-release })
	if l.awaitTasks(time.Millisecond) {
		t.Error("a task that hangs counts as finished")
	}
	close(release)
	if !l.awaitTasks(testTimeout) {
		t.Error("a finished task counts as hanging")
	}
}
