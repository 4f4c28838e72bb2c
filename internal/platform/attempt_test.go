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

// Guards against a retry of an at-most-once job that may have run. A 503 tells the client that a retry is harmless, so
// such a job is answered with 502 and not sent again. A job that provably never ran, or that may run twice, is retried
// at the other workers and answered with 503 if all attempts fail.
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
		"ratify, connection closed":  {"ratify", closeWithoutAnswer, 502, 1},
		"ratify, job lost":           {"ratify", loseJob, 502, 1},
		"ratify, answer truncated":   {"ratify", truncateAnswer, 502, 1},
		"ratify, job rejected":       {"ratify", reject, 503, 3},
		"ratify, job returned":       {"ratify", returnJob, 503, 3},
		"reading, connection closed": {"reading", closeWithoutAnswer, 503, 3},
		"reading, answer truncated":  {"reading", truncateAnswer, 503, 3},
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
				requests += worker.RequestCount.Load()
			}
			check(t, "status", r.StatusCode, tc.status)
			check(t, "requests at workers", requests, tc.requests)
		})
	}
}

// Guards against a retry by the pool itself, which is the decision module's choice. After a worker has closed a
// connection without an answer, the job goes to the worker that the module chooses.
func TestPoolDoesNotRetry(t *testing.T) {
	failing, healthy := newTestWorker(t, closeWithoutAnswer), newTestWorker(t, serveJob)
	p, set := start(t, "", failing, healthy)
	client := connect(t, p)
	for i := range 6 {
		r, _ := client.request(t, jobText("reading", fmt.Sprint("j", i), "15000m", ""))
		check(t, "status", r.StatusCode, 200)
	}
	check(t, "counter claims.sent", set.Get("claims.sent"), failing.RequestCount.Load()+healthy.RequestCount.Load())
	check(t, "counter claims.reset", set.Get("claims.reset"), failing.RequestCount.Load())
}

// Guards against a send to a worker that begins to drain after the module has chosen it: first during the dial, then
// before it.
func TestDrainingWorkerGetsNoBytes(t *testing.T) {
	worker := newTestWorker(t, serveJob)
	lookups := 0
	findLive := func(string) (endpoint, bool) {
		lookups++
		return endpoint{address: worker.Addr().String()}, lookups == 1 // the list changes after the first lookup
	}
	pool := &workerPool{
		findLive: findLive, counters: &counters.Set{}, dialTimeout: waitTimeout, idleTimeout: time.Hour, budget: 9,
		idle: map[string][]*workerConn{},
	}
	job := &core.Job{ID: "j", Payload: &payload{method: "POST", target: "/reading"}}
	reports := make(chan core.Report, 9)
	for range 2 { // the list changes during the dial, then before it
		pool.Send("n", job, core.AttemptLimits{Remaining: waitTimeout}, func(r core.Report) { reports <- r })
		check(t, "reported code", (<-reports).Code, foxlift.NotSent)
	}
	await(t, "one connection at the worker", func() bool { return worker.ConnCount.Load() == 1 }) // of the first attempt
	check(t, "requests at the worker", worker.RequestCount.Load(), int64(0))
}

// Guards against requests to workers that may drain: the endpoint list becomes stale after the module has chosen the
// worker, first during the dial, then before the last byte, and then before an attempt or a health check looks it up.
func TestNothingIsSentByAStaleList(t *testing.T) {
	worker := newTestWorker(t, serveJob)
	for _, freshLookups := range []int{1, 2, 0} {
		lookups := 0
		pool := &workerPool{
			findLive:       func(string) (endpoint, bool) { return endpoint{address: worker.Addr().String()}, true },
			endpointsFresh: func() bool { lookups++; return lookups <= freshLookups },
			counters:       &counters.Set{}, dialTimeout: waitTimeout, idleTimeout: time.Hour, budget: 9,
			idle: map[string][]*workerConn{},
		}
		job := &core.Job{ID: "j", Payload: &payload{method: "POST", target: "/reading"}}
		reports := make(chan core.Report, 1)
		pool.Send("n", job, core.AttemptLimits{Remaining: waitTimeout}, func(r core.Report) { reports <- r })
		check(t, fmt.Sprintf("code of an attempt after %d fresh lookups", freshLookups), (<-reports).Code, foxlift.NotSent)
		check(t, "code of a health check", pool.healthCheck("n").Code, foxlift.NotSent)
	}
	check(t, "complete requests at the worker", worker.RequestCount.Load(), int64(0))
}

// Guards against a client that waits past its deadline because the worker does not answer. The remaining time is given
// in milliseconds and in microseconds.
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
			t.Errorf("%s: answered after %v, want at least 200ms", tc.class, took)
		}
		check(t, "counter jobs.overdue", set.Get("jobs.overdue"), int64(0))
	}
}

// Guards against treating a job as possibly run when the worker resets a reused connection as the next request begins.
// A worker starts a job on the last byte of its request, which is held back, so the job never ran. The reset does not
// count against the worker.
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
			if r, err := http.ReadRequest(br); err == nil { // the request has no body
				served++
				serveJob(c, r, r.Header.Get(headerID))
			}
			_, _ = br.ReadByte() // the first byte of the next request
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	p, set := start(t, "", &testWorker{Listener: l})
	client := connect(t, p)
	for i, remaining := range []string{"19000m", "300m", "19000m", "300m"} {
		r, _ := client.request(t, jobText("ratify", fmt.Sprint("j", i), remaining, ""))
		check(t, "status", r.StatusCode, 200+(i%2)*303) // there is no other worker for a retry
	}
	check(t, "counter claims.not_sent", set.Get("claims.not_sent"), int64(2))
	check(t, "requests served", served, 2)
}

// Guards against a last byte that is written without the hold to a connection that the worker may be closing. The byte
// is held back for jobs that must not run twice, and on connections that are new or were idle for a while. On a
// connection used recently there is no hold, but a close that has arrived is detected.
func TestLastByteHold(t *testing.T) {
	pool := &workerPool{repeatable: map[string]bool{"reading": true}}
	l := listen(t)
	conn := dial(t, l.Addr())
	workerSide, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &workerConn{Conn: conn, buf: readBuffer{conn: conn}}
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
			t.Errorf("%s: lastByteHold() = %v, want a hold: %t, at most %v", name, hold, tc.held, maxLastByteHold)
		}
	}
	c.idleSince = time.Now()
	permitted := func() bool { return true }
	check(t, "error of deliver", c.deliver([]byte("some "), []byte("bytes"), 0, time.Time{}, permitted), nil)
	check(t, "code of deliver after the write deadline",
		sendCode(c.deliver([]byte("more"), nil, 0, time.Now(), permitted)), foxlift.NotSent)
	got := make([]byte, 20)
	length, _ := io.ReadAtLeast(workerSide, got, len("some bytesmor"))
	check(t, "bytes at the worker", string(got[:length]), "some bytesmor")
	workerSide.Close()
	await(t, "the close by the worker has arrived", func() bool { return !c.buf.fillAvailable() })
	err = c.deliver([]byte("some "), []byte("bytes"), 0, time.Time{}, permitted)
	check(t, "code of deliver after the worker's close", sendCode(err), foxlift.NotSent)
}

// Guards against sending a request after the worker has begun to drain or the client has disconnected, during the dial
// or while the last byte is held. The request is then never completed, whether or not the settings allow cancelling
// attempts that were sent.
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
					await(t, "the client's close has arrived", func() bool { return peerClosed(near) })
				}
				return endpoint{address: worker.Addr().String()}, true
			}
			pool := &workerPool{
				findLive: findLive, counters: &counters.Set{}, dialTimeout: waitTimeout, idleTimeout: time.Hour, budget: 9,
				idle: map[string][]*workerConn{},
			}
			job := &core.Job{
				ID: "j", Payload: &payload{method: "POST", target: "/reading"},
				Client: &pendingAnswer{conn: &clientConn{conn: near}},
			}
			reports := make(chan core.Report, 9)
			pool.Send("n", job, core.AttemptLimits{Remaining: waitTimeout}, func(r core.Report) { reports <- r })
			check(t, event+": code", (<-reports).Code, foxlift.NotSent)
			check(t, event+": lookups of the worker", lookups, lookup)
			check(t, event+": complete requests at the worker", worker.RequestCount.Load(), int64(0))
		}
	}
}

// Guards against a lost or changed idempotency key. The key is forwarded unchanged, also for a class that needs none. A
// job without a key in a class that needs one is invalid input and reaches no worker.
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
		check(t, "status of a "+tc.class+" job with key "+tc.key, r.StatusCode, tc.status)
	}
	mu.Lock()
	defer mu.Unlock()
	check(t, "keys at the worker", fmt.Sprint(keys), "[5c0f6e1a k-2 ]")
	check(t, "counter bad.job", set.Get("bad.job"), int64(1))
	check(t, "counter loads.faulty", set.Get("loads.faulty"), int64(0))
}

// Guards against counting invalid jobs as failures of the worker that rejects them. The next job is sent to the worker
// as before, and the rejected job is not sent to another one.
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
		check(t, "status of a rejected job", r.StatusCode, http.StatusBadGateway)
		r, _ = client.request(t, jobText("ratify", fmt.Sprint("good", i), "5000m", "b", key))
		check(t, "status of the next job", r.StatusCode, http.StatusOK)
	}
	check(t, "counter claims.sent", set.Get("claims.sent"), int64(24))
	check(t, "counter claims.blamed", set.Get("claims.blamed"), int64(12))
	check(t, "counter loads.faulty", set.Get("loads.faulty"), int64(12))
}

// Guards against a second run of a deduplicated job: after its connection breaks, it is retried only on a worker of the
// same group, which recognizes repeats.
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
			t.Errorf("%s was sent to workers %v, want workers of one group only", id, names)
		}
		mu.Unlock()
	}
}
