package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// Guards against a request on an idle connection that the worker has closed: an at-most-once job sent on it would count
// as one that may have run.
func TestStaleIdleConnection(t *testing.T) {
	closed := make(chan bool)
	worker := newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
		serveJob(c, r, id)
		c.Close()
		closed <- true
		return false
	})
	p, _ := start(t, "", worker)
	client := connect(t, p)
	for i := range 3 {
		r, _ := client.request(t, jobText("ratify", fmt.Sprint("j", i), "9000m", ""))
		check(t, "status", r.StatusCode, 200)
		<-closed
	}
	check(t, "connections at the worker", worker.ConnCount.Load(), int64(3))
}

// Guards against a pool that exceeds its budget or reuses unusable connections. The most recently used idle connection
// is reused first. Idle connections are closed for new ones when the budget is used up, after the idle timeout, and if
// the worker has restarted since they were opened.
func TestIdleConnections(t *testing.T) {
	worker := newTestWorker(t, serveJob)
	pool := &workerPool{
		counters: &counters.Set{}, dialTimeout: waitTimeout, idleTimeout: time.Hour, budget: 2,
		idle: map[string][]*workerConn{},
	}
	addr, target := worker.Addr().String(), endpoint{address: worker.Addr().String()}
	dial := func() *workerConn {
		c, err := pool.dial(t.Context(), addr)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	a, b := dial(), dial()
	if _, err := pool.dial(t.Context(), addr); !errors.Is(err, errNoDescriptor) {
		t.Errorf("dial() over the budget: error %v, want %v", err, errNoDescriptor)
	}
	if c, err := pool.acquire(t.Context(), target, false); c != nil || sendCode(err) != foxlift.NotSent {
		t.Errorf("acquire() over the budget: error %v, want one with code %v", err, foxlift.NotSent)
	}
	pool.release(a)
	pool.release(b)
	check(t, "reused connection", pool.reuse(target, false), b)
	c := dial() // closes a, which is idle
	check(t, "addresses with idle connections", len(pool.idle), 0)
	pool.release(b)
	pool.idleTimeout = time.Millisecond
	pool.release(c)
	await(t, "c is closed after the idle timeout", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return pool.open == 1
	})
	check(t, "reused connection after the idle timeout of c", pool.reuse(target, false), b)
	pool.idleTimeout = time.Hour
	pool.release(b)
	target.startedAt = time.Now() // the worker has restarted: the connection was opened to its former process
	if c := pool.reuse(target, false); c != nil {
		t.Error("reuse() returned a connection to a former process of the worker")
	}
	check(t, "open connections", pool.open, 0)
}

// Guards against treating a job as possibly run after a dial that is refused or times out, which proves that the job
// never ran.
func TestUnreachableWorker(t *testing.T) {
	closed := newTestWorker(t, nil)
	closed.Close()
	pool := &workerPool{counters: &counters.Set{}, dialTimeout: waitTimeout, budget: 1, idle: map[string][]*workerConn{}}
	c, err := pool.acquire(t.Context(), endpoint{address: closed.Addr().String()}, false)
	if c != nil || sendCode(err) != foxlift.Unreachable {
		t.Errorf("acquire() with a refused dial: error %v, want one with code %v", err, foxlift.Unreachable)
	}
	pool.dialTimeout = time.Nanosecond
	c, err = pool.acquire(t.Context(), endpoint{address: listen(t).Addr().String()}, false)
	if c != nil || sendCode(err) != foxlift.Unreachable {
		t.Errorf("acquire() with a dial timeout: error %v, want one with code %v", err, foxlift.Unreachable)
	}
	check(t, "open connections", pool.open, 0)
}

// answerTwice serves a connection and repeats the answer to its first request, before or after the last byte of the
// second request as when says. It sends the ID of each request that it has received in full to complete.
func answerTwice(c net.Conn, when string, complete chan<- string) {
	br := bufio.NewReader(c)
	for request := 0; ; request++ {
		if request == 1 && when == "before the last byte" {
			_, _ = br.Peek(1) // the next request has begun
			writeStates(c, "j0", true, `"done","result":"again"`)
		}
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(headerID)
		complete <- id
		if request == 1 && when == "after the last byte" {
			writeStates(c, "j0", true, `"done","result":"again"`)
		}
		writeStates(c, id, true, `"started"`, `"done","result":"for `+id+`"`)
	}
}

// Guards against reading late bytes of an earlier answer on a reused connection as the answer to the next job. If the
// bytes arrive before the last byte of the next request, the job is sent to another worker. If they arrive after it,
// the job may have run and is not sent again.
func TestLateBytesOfAnEarlierAnswer(t *testing.T) {
	for _, when := range []string{"before the last byte", "after the last byte"} {
		complete := make(chan string, 9)
		l := listen(t)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go answerTwice(c, when, complete)
			}
		}()
		entry := `{"host":"n%d","dial":%q,"site":"a","class":"k","block":0,"health":"active","born_ms":0}`
		cached := fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[`+entry+","+entry+`]}`, 0, l.Addr(), 1, l.Addr())
		p, _ := startWithCachedList(t, testSettings, 256, "", cached)
		client := connect(t, p)
		r, _ := client.request(t, jobText("reading", "j0", "9000m", ""))
		check(t, "status of the first job", r.StatusCode, 200)
		check(t, "first complete request", <-complete, "j0")
		r, body := client.request(t, jobText("ratify", "j1", "9000m", ""))
		if when == "before the last byte" {
			check(t, when+": status and body", fmt.Sprint(r.StatusCode, body), "200for j1")
		} else {
			check(t, when+": status", r.StatusCode, 502)
		}
		check(t, when+": complete requests of the second job", len(complete), 1)
	}
}

// Guards against a second copy of a turned-away answer that is taken for the answer to an at-most-once job which was
// written on the connection meanwhile: the job would run twice. The connection rests before it carries such a job.
func TestConnectionRestsAfterAnonymousAnswer(t *testing.T) {
	worker := newTestWorker(t, func(c net.Conn, _ *http.Request, _ string) bool {
		_, err := io.WriteString(c, "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	target := endpoint{address: worker.Addr().String()}
	pool := &workerPool{
		findLive: func(string) (endpoint, bool) { return target, true }, counters: &counters.Set{},
		dialTimeout: waitTimeout, idleTimeout: time.Hour, budget: 9, idle: map[string][]*workerConn{},
		repeatable: map[string]bool{"reading": true},
	}
	reports := make(chan core.Report, 9)
	job := &core.Job{ID: "j", Class: "ratify", Payload: &payload{method: "POST", target: "/ratify"}}
	pool.Send("n", job, core.AttemptLimits{Remaining: waitTimeout}, func(r core.Report) { reports <- r })
	check(t, "code", (<-reports).Code, foxlift.Saturated)
	c := pool.idle[target.address][0]
	if c.anonymousAnswerAt.IsZero() {
		t.Error("the time of the answer is not recorded")
	}
	c.anonymousAnswerAt = time.Now().Add(time.Hour) // the test may stall for longer than the grace
	if c := pool.reuse(target, true); c != nil {
		t.Error("reuse() for a job that must not run twice returned the connection right after the answer, want none")
	}
	check(t, "reused connection for another job", pool.reuse(target, false), c)
	c.anonymousAnswerAt = time.Now().Add(-duplicateAnswerGrace)
	pool.release(c)
	check(t, "reused connection after the grace", pool.reuse(target, true), c)
	// The second of two answers in a row may have been a copy: then the second job's own answer is still to come.
	c.anonymousAnswerAt = time.Now().Add(time.Hour)
	pool.release(c)
	job.Class = "reading"
	pool.Send("n", job, core.AttemptLimits{Remaining: waitTimeout}, func(r core.Report) { reports <- r })
	check(t, "code", (<-reports).Code, foxlift.Saturated)
	c.anonymousAnswerAt = time.Now().Add(-duplicateAnswerGrace)
	if c := pool.reuse(target, true); c != nil {
		t.Error("reuse() for a job that must not run twice returned a connection that may lag, want none")
	}
}
