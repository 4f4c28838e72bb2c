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

// Two events that cross, each pair forced into its bad order (docs/design/moments.md).

// What discovery has written is binding, read or not: an attempt waits for it to be in the table, and is not
// sent where it does not get there.
func TestUnreadResponseHoldsAttempts(t *testing.T) {
	t.Parallel()
	watch := newEndpointWatch(t.Context(), "", &config.Settings{}, nil, nil)
	watch.table.entries["n"] = endpoint{}
	near, far := pipe(t)
	conn := &observedConn{near, watch.setReading}
	watch.unread.conn = conn
	if _, ok := watch.findLive("n"); !ok {
		t.Error("nothing unread, and yet the worker is not to be had")
	}
	writeText(t, far, "HTTP/1.1 200 OK")
	await(t, "arrived", func() bool { return hasInput(conn) })
	if _, ok := watch.findLive("n"); ok {
		t.Error("sent on the old list, with an answer unread")
	}
	// Read, and not in the list yet: nothing is left in the kernel that find could see.
	if _, err := conn.Read(make([]byte, 100)); err != nil || hasInput(conn) {
		t.Fatalf("%v: not all of it is read", err)
	}
	found := make(chan bool)
	go func() { _, ok := watch.findLive("n"); found <- ok }()
	watch.mu.Lock()
	check(t, "reading", watch.unread.reading, true)
	watch.table.entries["n"], watch.unread.conn, watch.unread.reading = endpoint{state: foxlift.Draining}, nil, false
	watch.mu.Unlock()
	check(t, "found", <-found, false)
	// What has come is a part: until the rest does, the list holds.
	watch.table.entries["n"], watch.unread.conn = endpoint{}, conn
	writeText(t, far, "half a")
	_, _ = conn.Read(make([]byte, 100))
	go func() { _, _ = conn.Read(make([]byte, 100)) }()
	await(t, "the rest is awaited", func() bool { watch.mu.Lock(); defer watch.mu.Unlock(); return !watch.unread.reading })
	if _, ok := watch.findLive("n"); !ok {
		t.Error("half an answer counts as told")
	}
}

// A blockedObserver is a core that is busy until free is closed or the test ends.
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

// startBusyCore watches a discovery with a core that is busy: it takes no update until free is closed, and by
// then discovery has answered the next call with a drain, which nobody has read.
func startBusyCore(t *testing.T) (watch *endpointWatch, release chan bool) {
	addr, calls := newDiscovery(t)
	settings, err := config.ParseSettings([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	worker := newTestWorker(t, serveJob)
	release = make(chan bool)
	watch = newEndpointWatch(t.Context(), addr, settings, &blockedObserver{release, t.Context()}, zap.NewNop())
	watch.finalReadTimeout = patience
	t.Cleanup(watch.stop)
	watch.Watch()
	next(t, calls).answer(endpointsJSON(7, true, worker))
	next(t, calls).answer(`{"seq":8,"whole":false,"hosts":[` + endpointJSON(0, worker, healthLeaving) + `]}`)
	await(t, "it has arrived where claims look", func() bool {
		watch.mu.Lock()
		defer watch.mu.Unlock()
		return watch.unread.exists()
	})
	return watch, release
}

// A response that comes while the core is busy with the one before is binding at once.
func TestResponseWhileTheCoreIsBusy(t *testing.T) {
	t.Parallel()
	watch, release := startBusyCore(t)
	if _, ok := watch.findLive("n0"); ok {
		t.Error("sent on the old list, with an answer unread")
	}
	close(release)
	await(t, "the drain is in the list", func() bool {
		watch.mu.Lock()
		defer watch.mu.Unlock()
		return watch.table.entries["n0"].state == foxlift.Draining
	})
}

// What the old discovery has written when a reload replaces it is binding: it is read before its call ends. The
// new one's list is asked for complete all the same.
func TestUnreadDrainAtReload(t *testing.T) {
	t.Parallel()
	watch, release := startBusyCore(t)
	newAddr, calls := newDiscovery(t)
	watch.switchTo(newAddr)
	close(release)
	c := next(t, calls)
	check(t, "the new discovery's first call", c.target, pathMembers)
	watch.mu.Lock()
	check(t, "the worker", watch.table.entries["n0"].state, foxlift.Draining)
	check(t, "asked for at once until it has come", watch.switchRetryUntil.IsZero(), false)
	watch.mu.Unlock()
}

// A pushed list is binding once the agent has it, outage or not: an agent that is down for long is polled again
// and again within the shortest grace for drains, whatever the number of schedulers.
func TestUnreachableAgentIsPolledOften(t *testing.T) {
	t.Parallel()
	l := listen(t).(*net.TCPListener)
	if err := l.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	settings := strings.NewReplacer(
		`"balancers":1`, `"balancers":300`, `"subscribe"`, `"automatic"`, `400000000}`, `60000000000}`,
	).Replace(testSettings)
	startText(t, settings, 256, l.Addr().String(), newTestWorker(t, serveJob))
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
	if longest > time.Second { // 3 s and more where it is paced as a discovery that all share
		t.Errorf("asked again after %v", longest)
	}
}
