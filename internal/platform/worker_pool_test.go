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
	"github.com/vatu-meals/foxlift/internal/counters"
)

// An idle connection that the worker has closed is not written to: an at-most-once job on it would look as if it
// may have run.
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
	check(t, "connections", worker.Conns.Load(), int64(3))
}

// Idle connections are reused newest first, are closed for others past the budget, and after the idle timeout.
func TestIdleConnections(t *testing.T) {
	worker := newTestWorker(t, serveJob)
	pool := &workerPool{
		counters: &counters.Set{}, dialTimeout: patience, idleTimeout: time.Hour, budget: 2,
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
		t.Errorf("a third connection: %v", err)
	}
	if c, err := pool.acquire(t.Context(), target); c != nil || sendCode(err) != foxlift.NotSent {
		t.Errorf("without a descriptor: %v", err)
	}
	pool.release(a)
	pool.release(b)
	check(t, "newest first", pool.reuse(target), b)
	c := dial() // a makes way
	check(t, "idle", len(pool.idle), 0)
	pool.release(b)
	pool.idleTimeout = time.Millisecond
	pool.release(c)
	await(t, "dropped", func() bool { pool.mu.Lock(); defer pool.mu.Unlock(); return pool.open == 1 })
	check(t, "kept", pool.reuse(target), b)
	pool.idleTimeout = time.Hour
	pool.release(b)
	target.startedAt = time.Now() // the node has restarted since: the connection led to its former process
	if c := pool.reuse(target); c != nil {
		t.Error("a connection to a former process was reused")
	}
	check(t, "open", pool.open, 0)
}

// A connection that is never established, or is refused, proves that the job never ran.
func TestUnreachableWorker(t *testing.T) {
	closed := newTestWorker(t, nil)
	closed.Close()
	pool := &workerPool{counters: &counters.Set{}, dialTimeout: patience, budget: 1, idle: map[string][]*workerConn{}}
	c, err := pool.acquire(t.Context(), endpoint{address: closed.Addr().String()})
	if c != nil || sendCode(err) != foxlift.Unreachable {
		t.Errorf("refused: %v", err)
	}
	pool.dialTimeout = time.Nanosecond
	c, err = pool.acquire(t.Context(), endpoint{address: listen(t).Addr().String()})
	if c != nil || sendCode(err) != foxlift.Unreachable {
		t.Errorf("too late: %v", err)
	}
	check(t, "open", pool.open, 0)
}

// answerTwice is a worker that answers the first request of a connection again before or behind the last byte of the
// second. It sends the id of each request that has come in full to wholes.
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
		if request == 1 && when == "behind the last byte" {
			writeStates(c, "j0", true, `"done","result":"again"`)
		}
		writeStates(c, id, true, `"started"`, `"done","result":"for `+id+`"`)
	}
}

// Bytes of an earlier answer that come late on a reused connection: before the last byte they keep the next job
// from it, which goes elsewhere; behind it the job may have run, and never runs twice.
func TestLateBytesOfAnEarlierAnswer(t *testing.T) {
	for _, when := range []string{"before the last byte", "behind the last byte"} {
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
		p, _ := startKnown(t, testSettings, 256, "", cached)
		client := connect(t, p)
		r, _ := client.request(t, jobText("reading", "j0", "9000m", ""))
		check(t, "first", r.StatusCode, 200)
		check(t, "first at the node", <-complete, "j0") // whole, or the answer would not be there
		r, body := client.request(t, jobText("ratify", "j1", "9000m", ""))
		if when == "before the last byte" {
			check(t, when, fmt.Sprint(r.StatusCode, body), "200for j1")
		} else {
			check(t, when, r.StatusCode, 502)
		}
		check(t, when+": whole requests since", len(complete), 1)
	}
}
