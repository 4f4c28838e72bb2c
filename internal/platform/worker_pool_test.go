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
	s := connect(t, p)
	for i := range 3 {
		r, _ := s.request(t, jobText("ratify", fmt.Sprint("j", i), "9000m", ""))
		check(t, "status", r.StatusCode, 200)
		<-closed
	}
	check(t, "connections", worker.Conns.Load(), int64(3))
}

// Idle connections are reused newest first, are closed for others past the budget, and after the idle timeout.
func TestIdleConnections(t *testing.T) {
	worker := newTestWorker(t, serveJob)
	n := &workerPool{
		counters: &counters.Set{}, dialTimeout: patience, idleTimeout: time.Hour, budget: 2,
		idle: map[string][]*workerConn{},
	}
	addr, to := worker.Addr().String(), endpoint{address: worker.Addr().String()}
	dial := func() *workerConn {
		c, err := n.dial(t.Context(), addr)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	a, b := dial(), dial()
	if _, err := n.dial(t.Context(), addr); !errors.Is(err, errNoDescriptor) {
		t.Errorf("a third connection: %v", err)
	}
	if c, err := n.acquire(t.Context(), to); c != nil || sendCode(err) != foxlift.NotSent {
		t.Errorf("without a descriptor: %v", err)
	}
	n.release(a)
	n.release(b)
	check(t, "newest first", n.reuse(to), b)
	c := dial() // a makes way
	check(t, "idle", len(n.idle), 0)
	n.release(b)
	n.idleTimeout = time.Millisecond
	n.release(c)
	await(t, "dropped", func() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.open == 1 })
	check(t, "kept", n.reuse(to), b)
	n.idleTimeout = time.Hour
	n.release(b)
	to.startedAt = time.Now() // the node has restarted since: the connection led to its former process
	if c := n.reuse(to); c != nil {
		t.Error("a connection to a former process was reused")
	}
	check(t, "open", n.open, 0)
}

// A connection that is never established, or is refused, proves that the job never ran.
func TestUnreachable(t *testing.T) {
	dead := newTestWorker(t, nil)
	dead.Close()
	n := &workerPool{counters: &counters.Set{}, dialTimeout: patience, budget: 1, idle: map[string][]*workerConn{}}
	c, err := n.acquire(t.Context(), endpoint{address: dead.Addr().String()})
	if c != nil || sendCode(err) != foxlift.Unreachable {
		t.Errorf("refused: %v", err)
	}
	n.dialTimeout = time.Nanosecond
	c, err = n.acquire(t.Context(), endpoint{address: listen(t).Addr().String()})
	if c != nil || sendCode(err) != foxlift.Unreachable {
		t.Errorf("too late: %v", err)
	}
	check(t, "open", n.open, 0)
}

// answerTwice is a worker that answers the first request of a connection again before or behind the last byte of the
// second. It sends the id of each request that has come in full to wholes.
func answerTwice(c net.Conn, late string, complete chan<- string) {
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		if n == 1 && late == "before the last byte" {
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
		if n == 1 && late == "behind the last byte" {
			writeStates(c, "j0", true, `"done","result":"again"`)
		}
		writeStates(c, id, true, `"started"`, `"done","result":"for `+id+`"`)
	}
}

// Bytes of an earlier answer that come late on a reused connection: before the last byte they keep the next job
// from it, which goes elsewhere; behind it the job may have run, and never runs twice.
func TestLateBytesOfAnEarlierAnswer(t *testing.T) {
	for _, late := range []string{"before the last byte", "behind the last byte"} {
		complete := make(chan string, 9)
		l := listen(t)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go answerTwice(c, late, complete)
			}
		}()
		entry := `{"host":"n%d","dial":%q,"site":"a","class":"k","block":0,"health":"active","born_ms":0}`
		cached := fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[`+entry+","+entry+`]}`, 0, l.Addr(), 1, l.Addr())
		p, _ := startKnown(t, testSettings, 256, "", cached)
		s := connect(t, p)
		r, _ := s.request(t, jobText("reading", "j0", "9000m", ""))
		check(t, "first", r.StatusCode, 200)
		check(t, "first at the node", <-complete, "j0") // whole, or the answer would not be there
		r, body := s.request(t, jobText("ratify", "j1", "9000m", ""))
		if late == "before the last byte" {
			check(t, late, fmt.Sprint(r.StatusCode, body), "200for j1")
		} else {
			check(t, late, r.StatusCode, 502)
		}
		check(t, late+": whole requests since", len(complete), 1)
	}
}
