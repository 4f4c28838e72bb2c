package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// During a shutdown health checks must return 503, new jobs, including those in the backlog, must still be served, idle
// connections must be closed, and ShutDown must return only when the jobs in flight are answered.
func TestShutDown(t *testing.T) {
	release := make(chan bool)
	handle := func(c net.Conn, r *http.Request, id string) bool {
		if id == "slow" {
			<-release
		}
		return serveJob(c, r, id)
	}
	worker, other := newTestWorker(t, handle), newTestWorker(t, handle)
	p, _ := start(t, "", worker, other)
	slow, keptOpen, idle, incomplete := connect(t, p), connect(t, p), connect(t, p), connect(t, p)
	incomplete.send(t, jobText("reading", "half", "9000m", "abc")[:60])
	slow.send(t, jobText("ratify", "slow", "19000m", ""))
	for _, s := range []*testClient{keptOpen, idle} {
		r, _ := s.request(t, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		check(t, "status of a health check before the shutdown", r.StatusCode, 200)
	}
	await(t, "job at a worker", func() bool { return worker.RequestCount.Load()+other.RequestCount.Load() == 1 })
	ended := make(chan bool)
	go func() { p.ShutDown(); close(ended) }()
	await(t, "shutdown begun", p.clients.unready.Load)
	r, _ := connect(t, p).request(t, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	check(t, "status of a health check during the shutdown", r.StatusCode, 503)
	for i, s := range []*testClient{keptOpen, connect(t, p)} {
		r, _ := s.request(t, jobText("reading", fmt.Sprint("j", i), "9000m", ""))
		check(t, "status of a job during the shutdown", r.StatusCode, 200)
		check(t, "its connection closes", r.Close, false)
	}
	incomplete.send(t, jobText("reading", "half", "9000m", "abc")[60:])
	r, _ = incomplete.answer(t)
	check(t, "status of the request sent in two parts", r.StatusCode, 200)
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("read on the idle connection returned error %v, want %v", err, io.EOF)
	}
	select {
	case <-ended:
		t.Error("ShutDown() returned before the job in flight was answered")
	default:
	}
	close(release)
	r, _ = slow.answer(t)
	check(t, "status of the slow job", r.StatusCode, 200)
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Errorf("ShutDown() has not returned after %v", waitTimeout)
	}
}

// A lateRequestConn is the scheduler's side of a client connection. It calls onClose when the scheduler starts to close
// it.
type lateRequestConn struct {
	*net.TCPConn
	onClose func() // called once, before the first CloseWrite or Close
}

// hook calls onClose the first time.
func (c *lateRequestConn) hook() {
	if onClose := c.onClose; onClose != nil {
		c.onClose = nil
		onClose()
	}
}

func (c *lateRequestConn) CloseWrite() error { c.hook(); return c.TCPConn.CloseWrite() }

func (c *lateRequestConn) Close() error { c.hook(); return c.TCPConn.Close() }

// A request that arrives while the scheduler closes a connection must not be accepted, and must not destroy the answer
// before it. Closing a socket with unread data resets the connection, and the client would lose the unread answer.
func TestRequestDuringShutdown(t *testing.T) {
	big := strings.Repeat("x", 60<<10)
	worker := newTestWorker(t, func(c net.Conn, _ *http.Request, id string) bool {
		return writeStates(c, id, true, `"started"`, `"done","result":"`+big+`"`)
	})
	for _, ending := range []string{"a last answer", "an idle one", "bad input"} {
		p, set := start(t, "", worker)
		near, far := pipe(t)
		if err := far.SetReadBuffer(4 << 10); err != nil { // most of the answer is still unsent at the close
			t.Fatal(err)
		}
		if err := far.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
			t.Fatal(err)
		}
		hookDone := make(chan bool)
		p.clients.serveConn(&lateRequestConn{near, func() {
			writeText(t, far, jobText("reading", "late", "9000m", "")+strings.Repeat("y", 2<<10))
			await(t, "late request arrived", func() bool { return hasInput(near) })
			close(hookDone)
		}}, time.Now())
		requestsBefore, status := worker.RequestCount.Load(), 200
		switch ending {
		case "a last answer":
			writeText(t, far, jobText("reading", "j", "9000m", "", "Connection: close"))
		case "bad input":
			writeText(t, far, "what is this\r\n\r\n")
			status = 400
			requestsBefore--
		default:
			writeText(t, far, jobText("reading", "j", "9000m", ""))
			await(t, "job served", func() bool { return set.Get("jobs.served") == 1 })
			await(t, "one idle connection", func() bool {
				p.clients.mu.Lock()
				defer p.clients.mu.Unlock()
				return p.clients.idle.Len() == 1
			})
			p.clients.freeOneConn()
		}
		<-hookDone
		br := bufio.NewReader(far)
		r, body, err := readAnswer(br)
		if err != nil {
			t.Fatal(ending, ": ", err)
		}
		if status == 200 && len(body) != len(big) {
			t.Errorf("%s: answer has %d bytes, want %d", ending, len(body), len(big))
		}
		check(t, ending+": status", r.StatusCode, status)
		if _, err := br.ReadByte(); err != io.EOF {
			t.Errorf("%s: read after the answer returned error %v, want %v", ending, err, io.EOF)
		}
		check(t, ending+": requests at the worker", worker.RequestCount.Load(), requestsBefore+1)
	}
}

// A stalledListener simulates a stalled process: its first deadlines have passed when they are set.
type stalledListener struct {
	*net.TCPListener
	stalls int
}

func (l *stalledListener) SetDeadline(at time.Time) error {
	if l.stalls > 0 && !at.IsZero() {
		l.stalls--
		at = pastDeadline
	}
	return l.TCPListener.SetDeadline(at)
}

// Connections in the backlog at the shutdown must be served even if the process stalls past the accept deadline.
func TestBacklogAfterProcessStall(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	server := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(),
		&stalledListener{listen(t).(*net.TCPListener), 4}, 9)
	platform := &Platform{clients: server}
	var waiting []*testClient
	for i := range 5 {
		s := connect(t, platform)
		s.send(t, jobText("reading", fmt.Sprint("w", i), "9000m", ""))
		waiting = append(waiting, s)
	}
	server.stopAccepting.Store(true) // before the first accept: all connections are in the backlog
	go server.accept()
	server.shutDown(0, 0)
	for _, s := range waiting {
		r, _ := s.answer(t)
		check(t, "status", r.StatusCode, 200)
	}
}

// For any deadlines of the classes, all jobs must be answered, and the answers read, before the process may be killed,
// and idle connections must stay open at least as long as new ones are accepted.
func TestShutdownTimes(t *testing.T) {
	for _, deadline := range []time.Duration{
		300 * time.Millisecond, 800 * time.Millisecond, 2500 * time.Millisecond,
		3 * time.Second, 25 * time.Second,
	} {
		s := &config.Settings{Module: foxlift.Config{Classes: []foxlift.Class{
			{Deadline: int64(time.Millisecond)},
			{Deadline: int64(deadline)},
		}}}
		closeIdleAfter, answerBy := shutdownTimes(s)
		killedAt := min(3*time.Second, deadline) + 700*time.Millisecond
		if answerBy+lingerTimeout+100*time.Millisecond > killedAt ||
			closeIdleAfter < acceptAfterShutdown || closeIdleAfter >= answerBy {
			t.Errorf("deadline %v: idle connections close after %v, answered by %v, killed at %v",
				deadline, closeIdleAfter, answerBy, killedAt)
		}
	}
}

// Guards against a crowd in the backlog at the shutdown that takes more descriptors and memory than the scheduler may
// use. The connections without a request make way, and the requests behind them are answered.
func TestCrowdInBacklogAtShutdown(t *testing.T) {
	const crowd, requests, budget = 300, 5, 20
	p, _ := start(t, "", newTestWorker(t, serveJob))
	server := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), budget)
	platform := &Platform{clients: server}
	for range crowd {
		connect(t, platform)
	}
	var waiting []*testClient
	for i := range requests {
		s := connect(t, platform)
		s.send(t, jobText("reading", fmt.Sprint("w", i), "9000m", ""))
		waiting = append(waiting, s)
	}
	server.stopAccepting.Store(true) // before the first accept: all connections are in the backlog
	go server.accept()
	ended := make(chan bool)
	go func() { server.shutDown(0, 500*time.Millisecond); close(ended) }()
	most := 0
	await(t, "shutdown has ended", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		most = max(most, len(server.conns))
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
	if most > budget+shutdownReserve {
		t.Errorf("%d connections are open at a time, want at most %d", most, budget+shutdownReserve)
	}
	for _, s := range waiting {
		r, _ := s.answer(t)
		check(t, "status", r.StatusCode, 200)
	}
}
