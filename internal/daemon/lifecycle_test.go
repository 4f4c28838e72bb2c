package daemon

import (
	"testing"
	"time"
)

// A takeover must not start to serve after the shutdown has begun. shuttingDown is done while the platform
// stops, and drained is done only afterwards.
func TestNoStartAfterShutdown(t *testing.T) {
	l := newLifecycle(t.Context())
	starts := 0
	start := func() { starts++ }
	l.serveUnlessShuttingDown(start)
	l.finish(func() {
		if l.shuttingDown.Err() == nil || l.drained.Err() != nil {
			t.Errorf("while stop runs: shuttingDown.Err() = %v, want an error; drained.Err() = %v, want nil",
				l.shuttingDown.Err(), l.drained.Err())
		}
	})
	l.serveUnlessShuttingDown(start)
	if starts != 1 || l.drained.Err() == nil {
		t.Errorf("start was called %d times, want 1; drained.Err() = %v, want an error", starts, l.drained.Err())
	}
}

// A shutdown waits for background tasks to finish, but only for a limited time.
func TestAwaitTasks(t *testing.T) {
	l := newLifecycle(t.Context())
	release := make(chan struct{})
	l.startTask(func() { <-release })
	if l.awaitTasks(time.Millisecond) {
		t.Error("awaitTasks() = true while a task is running, want false")
	}
	close(release)
	if !l.awaitTasks(testTimeout) {
		t.Error("awaitTasks() = false after the task has finished, want true")
	}
}
