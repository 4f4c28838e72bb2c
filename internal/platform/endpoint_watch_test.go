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

// A call is one that discovery gets; the test writes the answer.
type call struct {
	target string
	conn   net.Conn
}

func (c call) answer(body string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

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

func next(t *testing.T, calls chan call) call {
	t.Helper()
	select {
	case c := <-calls:
		return c
	case <-time.After(patience):
		t.Fatal("no call to discovery")
		return call{}
	}
}

// checkWatch checks a call for the changes since a version, which is held for 2.5 to 3.4 s.
func checkWatch(t *testing.T, what, target string, version int) {
	t.Helper()
	var wait int
	n, err := fmt.Sscanf(target, pathMembers+fmt.Sprintf("?index=%d&wait=%%d", version), &wait)
	if n != 1 || err != nil || wait < 2550 || wait > 3400 {
		t.Errorf("%s: %s, want a watch from version %d", what, target, version)
	}
}

// The watch asks for the changes since the known version, with the next call out at once. After a failure or an
// invalid response it asks for those since the last valid one, which holds. The complete list costs discovery
// many times as much: it is asked for only where no version is known that changes could go on from.
func TestWatch(t *testing.T) {
	first, second := newTestWorker(t, serveJob), newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	// A start that the machine delays is a late one, and the module then holds jobs for a shorter time.
	settings := strings.Replace(testSettings, `"aim":500000000`, `"aim":10000000000`, 1)
	p, set := startText(t, settings, 256, addr, first)
	client := connect(t, p)
	serve := func(id string, by *testWorker) {
		t.Helper()
		before := by.Got.Load()
		r, _ := client.request(t, jobText("reading", id, "9000m", ""))
		check(t, id, r.StatusCode, 200)
		check(t, id+" is the worker's", by.Got.Load(), before+1)
	}
	awaitUpdates := func(n int64) {
		t.Helper()
		await(t, "told", func() bool { return set.Get("machines.told") == n })
	}
	c := next(t, calls)
	check(t, "first call", c.target, pathMembers+"?index=1&wait=1")
	serve("known", first)
	c.answer(endpointsJSON(7, true, first))
	c = next(t, calls)
	checkWatch(t, "watch", c.target, 7)
	awaitUpdates(2)
	c.answer(`{"seq":8,"whole":false,"hosts":[` + endpointJSON(0, first, healthLeaving) + `,` +
		endpointJSON(1, second, healthActive) + `]}`)
	c = next(t, calls)
	checkWatch(t, "next", c.target, 8)
	awaitUpdates(3)
	serve("changed", second)
	for i, invalid := range []string{`{"seq":9,"whole":tr`, `{"seq":9,"hosts":[{"host":"x","health":"?"}]}`} {
		c.answer(invalid)
		c = next(t, calls)
		checkWatch(t, "after a faulty answer", c.target, 8+i)
		serve(fmt.Sprint("old", i), second)
		c.answer(endpointsJSON(9, true, first, second))
		c = next(t, calls)
		checkWatch(t, "watch", c.target, 9)
		awaitUpdates(int64(4 + i))
	}
	c.answer(endpointsJSON(3, false, first)) // discovery has lost count
	c = next(t, calls)
	check(t, "after a lower version", c.target, pathMembers)
	c.answer(endpointsJSON(9, true, first))
	next(t, calls).conn.Close()
	c = next(t, calls)
	checkWatch(t, "after a reset", c.target, 9)
	c.answer(`{"seq":12,"whole":true,"hosts":[]}`)
	next(t, calls)
	awaitUpdates(7)
	r, _ := client.request(t, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	check(t, "health without machines", r.StatusCode, 503)
}

// At a switch to another discovery the call to the old one ends at once, the last list holds while the new one
// cannot be had, and a late response of the old one does not count. An invalid configuration changes nothing.
func TestReload(t *testing.T) {
	first, second := newTestWorker(t, serveJob), newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	p, set := start(t, addr, first)
	next(t, calls).answer(endpointsJSON(7, true, first))
	old := next(t, calls)
	newAddr, _ := newDiscovery(t)
	cfg := &config.Scheduler{Discovery: newAddr, Known: []byte(`{"seq":"x"}`)}
	if err := p.Reload(cfg); err == nil {
		t.Error("a faulty list is taken")
	}
	newDiscoveryListener := listen(t)
	cfg.Discovery, cfg.Known = newDiscoveryListener.Addr().String(), nil
	if err := p.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	old.conn.SetReadDeadline(time.Now().Add(patience))
	if _, err := old.conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the old call goes on: %v", err)
	}
	for i := range 3 { // it breaks off, and is asked again at once
		c, err := newDiscoveryListener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		r, _ := connect(t, p).request(t, jobText("reading", fmt.Sprint("j", i), "9000m", ""))
		check(t, "meanwhile", r.StatusCode, 200)
		c.Close()
	}
	check(t, "the module hears of failures", set.Get("machines.failed"), int64(0))
	c, err := newDiscoveryListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err != nil || r.RequestURI != pathMembers {
		t.Fatalf("%v, %v: not the whole list", r, err)
	}
	call{"", c}.answer(endpointsJSON(2, true, second))
	await(t, "the new discovery's list is applied", func() bool {
		_, ok := p.endpoints.findLive("n0")
		return ok && set.Get("machines.told") == 3
	})
	before := second.Got.Load()
	r, _ := connect(t, p).request(t, jobText("reading", "after", "9000m", ""))
	check(t, "after", r.StatusCode, 200)
	check(t, "at the new list's worker", second.Got.Load(), before+1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.endpoints.applyResponse(ctx, &endpointsResponse{Complete: true}); err == nil {
		t.Error("a late answer of the old discovery is taken")
	}
}

// Whatever the number of schedulers, a watch is held as the pacer asks, not all for the same time; one that
// knows no list asks for the complete one.
func TestWatchHold(t *testing.T) {
	for _, dispatchers := range []int{1, 80, 300, 1000} {
		watch := newEndpointWatch(
			t.Context(), "", &config.Settings{Module: foxlift.Config{Dispatchers: dispatchers}}, nil, nil)
		low, high := time.Hour, time.Duration(0)
		for range 200 {
			low, high = min(low, watch.pacer.WatchHold()), max(high, watch.pacer.WatchHold())
		}
		if low < 2550*time.Millisecond || high > 3400*time.Millisecond || high-low < 400*time.Millisecond {
			t.Errorf("%d schedulers wait %v to %v", dispatchers, low, high)
		}
		check(t, "whole without a list", watch.needComplete, true)
		if _, err := watch.loadCached([]byte(`{"seq":4,"whole":true,"hosts":[]}`)); err != nil {
			t.Fatal(err)
		}
		check(t, "whole with a list", watch.needComplete, false)
	}
}

// Where endpoint lists are pushed the first call is made at once, whatever the number of schedulers.
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
			t.Errorf("%s: the first call waits up to %v", mode, longest)
		}
	}
}

// Of 300 schedulers one whose watch falls silent polls anew within seconds, on a new connection, and goes on
// from the version that it has.
func TestSilentWatchIsRepeated(t *testing.T) {
	t.Parallel()
	worker := newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	settings := strings.Replace(testSettings, `"balancers":1`, `"balancers":300`, 1)
	_, set := startText(t, settings, 256, addr, worker)
	first := next(t, calls)
	first.answer(endpointsJSON(7, true, worker))
	silent := next(t, calls)
	repeated := next(t, calls) // within 20 s; it was 56
	if repeated.conn == silent.conn || !strings.HasPrefix(repeated.target, pathMembers+"?index=7&wait=") {
		t.Errorf("%s on the same connection", repeated.target)
	}
	check(t, "failed", set.Get("machines.failed"), int64(1))
}
