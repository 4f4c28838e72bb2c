package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// What follows from how an attempt ended. A 503 promises that a retry is harmless: it may not follow an
// at-most-once job that may have run. Such a job is never sent again, while one that proves never to have run,
// or may be repeated, is.
func TestRetriesByEffect(t *testing.T) {
	reject := func(c net.Conn, _ *http.Request, _ string) bool {
		_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	returnJob := func(c net.Conn, _ *http.Request, id string) bool { return writeStates(c, id, true, `"returned"`) }
	loseJob := func(c net.Conn, _ *http.Request, id string) bool {
		return writeStates(c, id, true, `"started"`, `"lost"`)
	}
	truncateAnswer := func(c net.Conn, _ *http.Request, id string) bool {
		writeStates(c, id, false, `"started"`, `"done","result":"x"`)
		return false
	}
	for name, tc := range map[string]struct {
		class    string
		handle   func(net.Conn, *http.Request, string) bool
		status   int
		requests int64
	}{
		"ratify, broken off":  {"ratify", closeUnanswered, 502, 1},
		"ratify, lost":        {"ratify", loseJob, 502, 1},
		"ratify, cut short":   {"ratify", truncateAnswer, 502, 1},
		"ratify, turned away": {"ratify", reject, 503, 3},
		"ratify, given back":  {"ratify", returnJob, 503, 3},
		"reading, broken off": {"reading", closeUnanswered, 503, 3},
		"reading, cut short":  {"reading", truncateAnswer, 503, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			workers := []*testWorker{
				newTestWorker(t, tc.handle), newTestWorker(t, tc.handle), newTestWorker(t, tc.handle),
				newTestWorker(t, tc.handle),
			}
			p, _ := start(t, "", workers...)
			r, _ := connect(t, p).request(t, jobText(tc.class, "j", "15000m", ""))
			requests := int64(0)
			for _, worker := range workers {
				requests += worker.Got.Load()
			}
			check(t, "status", r.StatusCode, tc.status)
			check(t, "requests at workers", requests, tc.requests)
		})
	}
}

// A worker that closes a connection without an answer gets no second request from the pool: the job goes to the
// other worker, where the module sends it.
func TestPoolDoesNotRetry(t *testing.T) {
	failing, healthy := newTestWorker(t, closeUnanswered), newTestWorker(t, serveJob)
	p, set := start(t, "", failing, healthy)
	client := connect(t, p)
	for i := range 6 {
		r, _ := client.request(t, jobText("reading", fmt.Sprint("j", i), "15000m", ""))
		check(t, "status", r.StatusCode, 200)
	}
	check(t, "claims", set.Get("claims.sent"), failing.Got.Load()+healthy.Got.Load())
	check(t, "resets", set.Get("claims.reset"), failing.Got.Load())
}

// Nothing goes to a worker that has begun to drain after the module chose it, even during the dial.
func TestDrainingWorkerGetsNoBytes(t *testing.T) {
	worker := newTestWorker(t, serveJob)
	lookups := 0
	findLive := func(string) (endpoint, bool) {
		lookups++
		return endpoint{address: worker.Addr().String()}, lookups == 1 // the list changes after the first look
	}
	pool := &workerPool{
		findLive: findLive, counters: &counters.Set{}, dialTimeout: patience, idleTimeout: time.Hour, budget: 9,
		idle: map[string][]*workerConn{},
	}
	job := &core.Job{ID: "j", Payload: &payload{method: "POST", target: "/reading"}}
	reports := make(chan core.Report, 9)
	for range 2 { // then before it
		pool.Send("n", job, core.AttemptLimits{Remaining: patience}, func(r core.Report) { reports <- r })
		check(t, "code", (<-reports).Code, foxlift.NotSent)
	}
	await(t, "dialed", func() bool { return worker.Conns.Load() == 1 }) // the first time only
	check(t, "requests", worker.Got.Load(), int64(0))
}

// A silent worker does not make a client wait past its deadline, whichever unit that is given in.
func TestSilentWorker(t *testing.T) {
	for i, tc := range []struct {
		class, remaining string
		status           int
	}{{"ratify", "400m", 502}, {"reading", "400000u", 503}} {
		p, set := start(t, "", newTestWorker(t, neverAnswers))
		startedAt := time.Now()
		r, _ := connect(t, p).request(t, jobText(tc.class, fmt.Sprint("j", i), tc.remaining, ""))
		check(t, "status", r.StatusCode, tc.status)
		if took := time.Since(startedAt); took < 200*time.Millisecond {
			t.Errorf("%s was given up after %v", tc.class, took)
		}
		check(t, "overdue", set.Get("jobs.overdue"), int64(0))
	}
}

// A worker starts on a request's last byte. A reused connection that it drops as the next request comes proves
// that the job never ran, and nothing against the worker.
func TestResetBeforeTheLastByte(t *testing.T) {
	served := 0
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			br := bufio.NewReader(c)
			if r, err := http.ReadRequest(br); err == nil { // an empty body: read whole
				served++
				serveJob(c, r, r.Header.Get(headerID))
			}
			_, _ = br.ReadByte() // of the next request
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	p, set := start(t, "", &testWorker{Listener: l})
	client := connect(t, p)
	for i, remaining := range []string{"19000m", "300m", "19000m", "300m"} {
		r, _ := client.request(t, jobText("ratify", fmt.Sprint("j", i), remaining, ""))
		check(t, "status", r.StatusCode, 200+(i%2)*303) // no other node to go to
	}
	check(t, "not sent", set.Get("claims.not_sent"), int64(2))
	check(t, "served", served, 2)
}

// The last byte is held for jobs that must not run twice, and on connections that were idle for a while. A
// connection in use a moment ago is looked at without a wait, and one that has been dropped by then is seen all
// the same.
func TestLastByteHold(t *testing.T) {
	pool := &workerPool{repeatable: map[string]bool{"reading": true}}
	l := listen(t)
	conn := dial(t, l.Addr())
	workerSide, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &workerConn{Conn: conn, buf: buffer{conn: conn}}
	for name, tc := range map[string]struct {
		class string
		since time.Time
		held  bool
	}{
		"new": {"reading", time.Time{}, true}, "recent": {"reading", time.Now().Add(time.Hour), false},
		"idle": {"reading", time.Now().Add(-time.Second), true}, "at most once": {"ratify", time.Now().Add(time.Hour), true},
	} {
		c.idleSince = tc.since
		if hold := pool.lastByteHold(c, tc.class); (hold > 0) != tc.held || hold > maxLastByteHold {
			t.Errorf("%s: held for %v", name, hold)
		}
	}
	c.idleSince = time.Now()
	permitted := func() bool { return true }
	check(t, "deliver", c.deliver([]byte("some bytes"), 0, time.Time{}, permitted), nil)
	check(t, "deliver too late", sendCode(c.deliver([]byte("more"), 0, time.Now(), permitted)), foxlift.NotSent)
	got := make([]byte, 20)
	length, _ := io.ReadAtLeast(workerSide, got, len("some bytesmor"))
	check(t, "all but the last byte", string(got[:length]), "some bytesmor")
	workerSide.Close()
	await(t, "the end arrives", func() bool { return !c.buf.fillAvailable() })
	err = c.deliver([]byte("some bytes"), 0, time.Time{}, permitted)
	check(t, "deliver after the end", sendCode(err), foxlift.NotSent)
}

// Between an attempt's looks at the endpoint list the worker begins to drain, or the client disconnects: during
// the dial, and while the last byte is held. Nothing is sent then, whether or not the settings allow to cancel
// what was.
func TestAttemptsWithdrawnBeforeTheLastByte(t *testing.T) {
	for _, event := range []string{"drains", "leaves", "resets"} {
		for lookup := 2; lookup <= 3; lookup++ { // after the dial; after the hold
			worker := newTestWorker(t, serveJob)
			near, far := pipe(t)
			lookups := 0
			findLive := func(string) (endpoint, bool) {
				if lookups++; lookups == lookup {
					switch event {
					case "drains":
						return endpoint{address: worker.Addr().String()}, false
					case "resets":
						_ = far.SetLinger(0)
					}
					_ = far.Close()
					await(t, "gone", func() bool { return peerClosed(near) })
				}
				return endpoint{address: worker.Addr().String()}, true
			}
			pool := &workerPool{
				findLive: findLive, counters: &counters.Set{}, dialTimeout: patience, idleTimeout: time.Hour, budget: 9,
				idle: map[string][]*workerConn{},
			}
			job := &core.Job{
				ID: "j", Payload: &payload{method: "POST", target: "/reading"},
				Client: &pendingAnswer{conn: &clientConn{conn: near}},
			}
			reports := make(chan core.Report, 9)
			pool.Send("n", job, core.AttemptLimits{Remaining: patience}, func(r core.Report) { reports <- r })
			check(t, event+": code", (<-reports).Code, foxlift.NotSent)
			check(t, event+": looks", lookups, lookup)
			check(t, event+": complete requests at the worker", worker.Got.Load(), int64(0))
		}
	}
}

// A job's idempotency key reaches the worker as it came, also one of a class that needs none. Where the class
// needs one, a job without is invalid input and reaches no worker.
func TestIdempotencyKeysAreForwarded(t *testing.T) {
	var mu sync.Mutex
	var keys []string
	worker := newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
		mu.Lock()
		keys = append(keys, strings.Join(r.Header[headerKey], "+"))
		mu.Unlock()
		return writeStates(c, id, true, `"started"`, `"done","result":"r","load":{"backlog":0,"x0":1.5}`)
	})
	p, set := startKeyed(t, worker)
	client := connect(t, p)
	for i, tc := range []struct {
		class, key string
		status     int
	}{{"ratify", "5c0f6e1a", 200}, {"reading", "k-2", 200}, {"reading", "", 200}, {"ratify", "", 400}} {
		var headers []string
		if tc.key != "" {
			headers = append(headers, headerKey+": "+tc.key)
		}
		r, _ := client.request(t, jobText(tc.class, fmt.Sprint("j", i), "5000m", "b", headers...))
		check(t, tc.class+" with "+tc.key, r.StatusCode, tc.status)
	}
	mu.Lock()
	defer mu.Unlock()
	check(t, "keys at the worker", fmt.Sprint(keys), "[5c0f6e1a k-2 ]")
	check(t, "bad jobs", set.Get("bad.job"), int64(1))
	check(t, "faulty reports", set.Get("loads.faulty"), int64(0))
}

// A worker that rejects jobs as invalid is no worse for it: the next job goes there as before, and the rejected
// one is not sent elsewhere.
func TestInvalidJobsAreNotWorkerFailures(t *testing.T) {
	worker := newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
		if strings.HasPrefix(id, "bad") {
			_, err := fmt.Fprint(c, "HTTP/1.1 400 No\r\nX-Pressure: backlog=0,x0=1,x0=1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		return serveJob(c, r, id)
	})
	p, set := startKeyed(t, worker)
	client := connect(t, p)
	for i := range 12 {
		key := headerKey + ": k"
		r, _ := client.request(t, jobText("ratify", fmt.Sprint("bad", i), "5000m", "b", key))
		check(t, "blamed", r.StatusCode, http.StatusBadGateway)
		r, _ = client.request(t, jobText("ratify", fmt.Sprint("good", i), "5000m", "b", key))
		check(t, "the next", r.StatusCode, http.StatusOK)
	}
	check(t, "claims", set.Get("claims.sent"), int64(24))
	check(t, "blamed", set.Get("claims.blamed"), int64(12))
	check(t, "faulty reports", set.Get("loads.faulty"), int64(12))
}

// A deduplicated job whose connection breaks is retried only on a worker of the same group.
func TestDeduplicatedJobsAreRetriedInTheirGroup(t *testing.T) {
	var mu sync.Mutex
	ran := map[string][]string{}
	worker := func(name string) *testWorker {
		return newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
			mu.Lock()
			ran[id] = append(ran[id], name)
			first := len(ran[id]) == 1
			mu.Unlock()
			if first {
				return false
			}
			return serveJob(c, r, id)
		})
	}
	workers := []*testWorker{worker("a0"), worker("a1"), worker("b0")}
	p, _ := startKeyed(t, workers...)
	entries := []string{
		endpointJSON(0, workers[0], healthActive), endpointJSON(1, workers[1], healthActive),
		strings.Replace(endpointJSON(2, workers[2], healthActive), `"block":0`, `"block":1`, 1),
	}
	response, err := parseEndpoints([]byte(`{"seq":2,"whole":true,"hosts":[` + strings.Join(entries, ",") + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	p.endpoints.mu.Lock()
	updated := p.endpoints.applyLocked(response)
	p.endpoints.mu.Unlock()
	p.core.UpdateEndpoints(0, updated)
	client := connect(t, p)
	for i := range 30 {
		id := fmt.Sprint("j", i)
		client.request(t, jobText("ratify", id, "900m", "b", headerKey+": "+id))
		mu.Lock()
		if names := ran[id]; len(names) > 1 &&
			slices.ContainsFunc(names, func(name string) bool { return name[0] != names[0][0] }) {
			t.Errorf("%s ran on %v", id, names)
		}
		mu.Unlock()
	}
}
