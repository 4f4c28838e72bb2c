package platform

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
)

// The tests in this file force two concurrent events into the unfavourable order (docs/design/moments.md).

// Guards against a send by the old list while a response has arrived that is not applied. What discovery has written is
// in force, read or not: an attempt waits until it is in the table, and is not sent if that takes too long.
func TestUnreadResponseHoldsAttempts(t *testing.T) {
	t.Parallel()
	watch := newEndpointWatch(t.Context(), "", &config.Settings{}, nil, nil)
	watch.table.entries["n"] = endpoint{}
	near, far := pipe(t)
	conn := &observedConn{near, watch.setReading}
	watch.unread.conn = conn
	if _, ok := watch.findLive("n"); !ok {
		t.Error("findLive(n) = false without an unread response, want true")
	}
	writeText(t, far, "HTTP/1.1 200 OK")
	await(t, "the response has arrived", func() bool { return hasInput(conn) })
	if _, ok := watch.findLive("n"); ok {
		t.Error("findLive(n) = true by the old list with an unread response, want false")
	}
	// The response is read but not in the table yet: findLive can see no unread bytes in the kernel.
	if _, err := conn.Read(make([]byte, 100)); err != nil || hasInput(conn) {
		t.Fatalf("Read() error %v, or bytes are left unread", err)
	}
	found := make(chan bool)
	go func() { _, ok := watch.findLive("n"); found <- ok }()
	watch.mu.Lock()
	check(t, "unread.reading", watch.unread.reading, true)
	watch.table.entries["n"], watch.unread.conn, watch.unread.reading = endpoint{state: foxlift.Draining}, nil, false
	watch.mu.Unlock()
	check(t, "findLive of a worker that drains in the awaited response", <-found, false)
	// Only a part of the response has arrived: the old list stays in force until the rest arrives.
	watch.table.entries["n"], watch.unread.conn = endpoint{}, conn
	writeText(t, far, "half a")
	_, _ = conn.Read(make([]byte, 100))
	go func() { _, _ = conn.Read(make([]byte, 100)) }()
	await(t, "the rest is awaited", func() bool { watch.mu.Lock(); defer watch.mu.Unlock(); return !watch.unread.reading })
	if _, ok := watch.findLive("n"); !ok {
		t.Error("findLive(n) = false after a part of a response, want true by the old list")
	}
}

// blockedObserver represents a core that is busy until release is closed or the test ends.
type blockedObserver struct {
	release chan bool
	test    context.Context
}

func (o *blockedObserver) UpdateEndpoints(foxlift.EndpointUpdate, []foxlift.Worker) {
	select {
	case <-o.release:
	case <-o.test.Done():
	}
}

func (o *blockedObserver) ConfirmEndpoints()                     {}
func (o *blockedObserver) ChangeDiscovery()                      {}
func (o *blockedObserver) RecordPollFailure(foxlift.PollFailure) {}

// startBusyCore returns a watch whose observer blocks on the first update until release is closed. By then discovery
// has answered the next call with the drain of worker n0, and that response is unread.
func startBusyCore(t *testing.T) (watch *endpointWatch, release chan bool) {
	addr, calls := newDiscovery(t)
	settings, err := config.ParseSettings([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	worker := newTestWorker(t, serveJob)
	release = make(chan bool)
	watch = newEndpointWatch(t.Context(), addr, settings, &blockedObserver{release, t.Context()}, zap.NewNop())
	watch.finalReadTimeout = waitTimeout
	t.Cleanup(watch.stop)
	watch.Watch()
	next(t, calls).answer(endpointsJSON(7, true, worker))
	next(t, calls).answer(`{"seq":8,"whole":false,"hosts":[` + endpointJSON(0, worker, healthLeaving) + `]}`)
	await(t, "the unread response has arrived", func() bool {
		watch.mu.Lock()
		defer watch.mu.Unlock()
		return watch.unread.exists()
	})
	return watch, release
}

// Guards against a send by the old list while the core is busy with the previous response: a new response is in force
// as soon as it arrives.
func TestResponseWhileTheCoreIsBusy(t *testing.T) {
	t.Parallel()
	watch, release := startBusyCore(t)
	if _, ok := watch.findLive("n0"); ok {
		t.Error("findLive(n0) = true by the old list with an unread response, want false")
	}
	close(release)
	await(t, "the drain is in the table", func() bool {
		watch.mu.Lock()
		defer watch.mu.Unlock()
		return watch.table.entries["n0"].state == foxlift.Draining
	})
}

// Guards against losing a response that the old discovery has written before a reload replaces it: the response is read
// before its call is cancelled. The new discovery's complete list is requested all the same.
func TestUnreadDrainAtReload(t *testing.T) {
	t.Parallel()
	watch, release := startBusyCore(t)
	newAddr, calls := newDiscovery(t)
	watch.switchTo(newAddr)
	close(release)
	c := next(t, calls)
	check(t, "target of the new discovery's first call", c.target, pathMembers)
	watch.mu.Lock()
	check(t, "state of the worker", watch.table.entries["n0"].state, foxlift.Draining)
	check(t, "switchRetryUntil is zero", watch.switchRetryUntil.IsZero(), false)
	watch.mu.Unlock()
}

// Guards against backoff toward a local agent. A pushed list is in force as soon as the agent has it, so an agent that
// is unreachable for long is still polled within the shortest grace for drains, whatever the number of schedulers.
func TestUnreachableAgentIsPolledOften(t *testing.T) {
	t.Parallel()
	l := listen(t).(*net.TCPListener)
	if err := l.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	settings := strings.NewReplacer(
		`"balancers":1`, `"balancers":300`, `"subscribe"`, `"automatic"`, `400000000}`, `60000000000}`,
	).Replace(testSettings)
	startWithSettings(t, settings, 256, l.Addr().String(), newTestWorker(t, serveJob))
	last, longest := time.Time{}, time.Duration(0)
	for i := range 20 {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		if i > 0 {
			longest = max(longest, time.Since(last))
		}
		last = time.Now()
	}
	if longest > time.Second { // with the pacing for a shared discovery it is 3 s or more
		t.Errorf("longest time between two calls is %v, want at most 1s", longest)
	}
}
