package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
)

// call is a call that the test's discovery has received. The test writes the response.
type call struct {
	target string
	conn   net.Conn
}

func (c call) answer(body string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// newDiscovery starts a discovery and returns its address and the calls that it receives.
func newDiscovery(t *testing.T) (string, chan call) {
	l, calls := listen(t), make(chan call)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for br := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					calls <- call{r.RequestURI, c}
				}
			}()
		}
	}()
	return l.Addr().String(), calls
}

// next returns the next call to discovery.
func next(t *testing.T, calls chan call) call {
	t.Helper()
	select {
	case c := <-calls:
		return c
	case <-time.After(waitTimeout):
		t.Fatal("no call to discovery")
		return call{}
	}
}

// checkWatch checks that target requests the changes since version, with a hold of 2.55 to 3.4 s.
func checkWatch(t *testing.T, what, target string, version int) {
	t.Helper()
	var wait int
	n, err := fmt.Sscanf(target, pathMembers+fmt.Sprintf("?index=%d&wait=%%d", version), &wait)
	if n != 1 || err != nil || wait < 2550 || wait > 3400 {
		t.Errorf("%s: target %s, want a watch from version %d held for 2550 to 3400 ms", what, target, version)
	}
}

// Guards against calls for the complete list where the changes suffice: the complete list costs discovery many times as
// much. The watch requests the changes since the known version, and makes the next call at once. After a failure or an
// invalid response it requests the changes since the last valid version, whose list stays in force. It requests the
// complete list only after discovery has returned a lower version.
func TestWatch(t *testing.T) {
	first, second := newTestWorker(t, serveJob), newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	// On a slow machine jobs start late, after which the module holds jobs for a shorter time: a long aim avoids it.
	settings := strings.Replace(testSettings, `"aim":500000000`, `"aim":10000000000`, 1)
	p, set := startWithSettings(t, settings, 256, addr, first)
	client := connect(t, p)
	serve := func(id string, by *testWorker) {
		t.Helper()
		before := by.RequestCount.Load()
		r, _ := client.request(t, jobText("reading", id, "9000m", ""))
		check(t, "status of job "+id, r.StatusCode, 200)
		check(t, "requests at the worker after job "+id, by.RequestCount.Load(), before+1)
	}
	awaitUpdates := func(n int64) {
		t.Helper()
		await(t, fmt.Sprint("counter machines.told is ", n), func() bool { return set.Get("machines.told") == n })
	}
	c := next(t, calls)
	check(t, "target of the first call", c.target, pathMembers+"?index=1&wait=1")
	serve("known", first)
	c.answer(endpointsJSON(7, true, first))
	c = next(t, calls)
	checkWatch(t, "watch", c.target, 7)
	awaitUpdates(2)
	c.answer(`{"seq":8,"whole":false,"hosts":[` + endpointJSON(0, first, healthLeaving) + `,` +
		endpointJSON(1, second, healthActive) + `]}`)
	c = next(t, calls)
	checkWatch(t, "watch after a change", c.target, 8)
	awaitUpdates(3)
	serve("changed", second)
	for i, invalid := range []string{`{"seq":9,"whole":tr`, `{"seq":9,"hosts":[{"host":"x","health":"?"}]}`} {
		c.answer(invalid)
		c = next(t, calls)
		checkWatch(t, "watch after an invalid response", c.target, 8+i)
		serve(fmt.Sprint("old", i), second)
		c.answer(endpointsJSON(9, true, first, second))
		c = next(t, calls)
		checkWatch(t, "watch", c.target, 9)
		awaitUpdates(int64(4 + i))
	}
	c.answer(endpointsJSON(3, false, first)) // the version has decreased
	c = next(t, calls)
	check(t, "target after a lower version", c.target, pathMembers)
	c.answer(endpointsJSON(9, true, first))
	next(t, calls).conn.Close()
	c = next(t, calls)
	checkWatch(t, "watch after a closed connection", c.target, 9)
	c.answer(`{"seq":12,"whole":true,"hosts":[]}`)
	next(t, calls)
	awaitUpdates(7)
	await(t, "the list without workers is applied", func() bool { return !p.Ready() })
	r, _ := client.request(t, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	check(t, "health status without workers", r.StatusCode, 503)
}

// Guards against sends by no list or a wrong list at a switch to another discovery. The call to the old discovery ends
// at once, the last list stays in force until the new discovery's list has arrived, and a late response of the old
// discovery is ignored. An invalid configuration changes nothing.
func TestReload(t *testing.T) {
	first, second := newTestWorker(t, serveJob), newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	p, set := start(t, addr, first)
	next(t, calls).answer(endpointsJSON(7, true, first))
	old := next(t, calls)
	newAddr, _ := newDiscovery(t)
	cfg := &config.Scheduler{Discovery: newAddr, CachedEndpoints: []byte(`{"seq":"x"}`)}
	if err := p.Reload(cfg); err == nil {
		t.Error("Reload() accepted an invalid cached list")
	}
	newDiscoveryListener := listen(t)
	cfg.Discovery, cfg.CachedEndpoints = newDiscoveryListener.Addr().String(), nil
	if err := p.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	old.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := old.conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read on the old call's connection: error %v, want a closed connection", err)
	}
	for i := range 3 { // the new discovery closes the connection, and is called again
		c, err := newDiscoveryListener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		r, _ := connect(t, p).request(t, jobText("reading", fmt.Sprint("j", i), "9000m", ""))
		check(t, "status of a job before the new list", r.StatusCode, 200)
		c.Close()
	}
	check(t, "counter machines.failed", set.Get("machines.failed"), int64(0))
	c, err := newDiscoveryListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err != nil || r.RequestURI != pathMembers {
		t.Fatalf("request %v, error %v, want a call for the complete list", r, err)
	}
	call{"", c}.answer(endpointsJSON(2, true, second))
	await(t, "the new discovery's list is applied", func() bool {
		_, ok := p.endpoints.findLive("n0")
		return ok && set.Get("machines.told") == 3
	})
	before := second.RequestCount.Load()
	r, _ := connect(t, p).request(t, jobText("reading", "after", "9000m", ""))
	check(t, "status of a job after the new list", r.StatusCode, 200)
	check(t, "requests at the new list's worker", second.RequestCount.Load(), before+1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.endpoints.applyResponse(ctx, &endpointsResponse{Complete: true}); err == nil {
		t.Error("applyResponse() accepted a late response of the old discovery")
	}
}

// Guards against watches that all end at the same time: the pacer varies the hold, whatever the number of schedulers.
// A watch without a list requests the complete one.
func TestWatchHold(t *testing.T) {
	for _, dispatchers := range []int{1, 80, 300, 1000} {
		watch := newEndpointWatch(
			t.Context(), "", &config.Settings{Module: foxlift.Config{Dispatchers: dispatchers}}, nil, nil)
		low, high := time.Hour, time.Duration(0)
		for range 200 {
			low, high = min(low, watch.pacer.WatchHold()), max(high, watch.pacer.WatchHold())
		}
		if low < 2550*time.Millisecond || high > 3400*time.Millisecond || high-low < 400*time.Millisecond {
			t.Errorf("%d schedulers: WatchHold() from %v to %v, want a spread of at least 400ms within 2.55s to 3.4s",
				dispatchers, low, high)
		}
		check(t, "complete list needed without a list", watch.needComplete, true)
		if _, err := watch.loadCached([]byte(`{"seq":4,"whole":true,"hosts":[]}`)); err != nil {
			t.Fatal(err)
		}
		check(t, "complete list needed with a cached list", watch.needComplete, false)
	}
}

// Guards against a delay of the first call where an agent receives pushed endpoint lists: it is made at once, whatever
// the number of schedulers. Calls to a shared discovery are spread.
func TestPushedEndpointsArePolledAtOnce(t *testing.T) {
	for mode, delayed := range map[string]bool{"subscribe": true, "automatic": false} {
		settings := strings.NewReplacer(`"balancers":1`, `"balancers":900`, `"subscribe"`, `"`+mode+`"`).Replace(testSettings)
		s, err := config.ParseSettings([]byte(settings))
		if err != nil {
			t.Fatal(err)
		}
		s.Module.MaxPollInterval = int64(time.Minute)
		longest := time.Duration(0)
		for range 20 {
			longest = max(longest, newEndpointWatch(t.Context(), "", s, nil, zap.NewNop()).pacer.InitialDelay())
		}
		if longest > 0 != delayed {
			t.Errorf("discovery mode %s: longest InitialDelay() = %v, want a delay: %t", mode, longest, delayed)
		}
	}
}

// Guards against a watch without a response that delays changes for long. One of 300 schedulers repeats such a call
// within seconds, on a new connection and from the version that it has.
func TestSilentWatchIsRepeated(t *testing.T) {
	t.Parallel()
	worker := newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	settings := strings.Replace(testSettings, `"balancers":1`, `"balancers":300`, 1)
	_, set := startWithSettings(t, settings, 256, addr, worker)
	first := next(t, calls)
	first.answer(endpointsJSON(7, true, worker))
	silent := next(t, calls)
	repeated := next(t, calls) // next fails after 20 s; the repeated call once took 56 s
	if repeated.conn == silent.conn || !strings.HasPrefix(repeated.target, pathMembers+"?index=7&wait=") {
		t.Errorf("repeated call has target %s, want a watch from version 7 on a new connection", repeated.target)
	}
	check(t, "counter machines.failed", set.Get("machines.failed"), int64(1))
}
