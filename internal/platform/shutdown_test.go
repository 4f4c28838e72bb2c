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

// During the shutdown the health is 503, what comes in is still served, answers end their connections, and what
// runs is finished, the backlog too.
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
	slow, kept, idle, half := connect(t, p), connect(t, p), connect(t, p), connect(t, p)
	half.send(t, jobText("reading", "half", "9000m", "abc")[:60])
	slow.send(t, jobText("ratify", "slow", "19000m", ""))
	for _, s := range []*testClient{kept, idle} {
		r, _ := s.request(t, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		check(t, "health before", r.StatusCode, 200)
	}
	await(t, "at a worker", func() bool { return worker.RequestCount.Load()+other.RequestCount.Load() == 1 })
	ended := make(chan bool)
	go func() { p.ShutDown(); close(ended) }()
	await(t, "ending", p.clients.unready.Load)
	r, _ := connect(t, p).request(t, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	check(t, "health", r.StatusCode, 503)
	for i, s := range []*testClient{kept, connect(t, p)} {
		r, _ := s.request(t, jobText("reading", fmt.Sprint("j", i), "9000m", ""))
		check(t, "status while ending", r.StatusCode, 200)
		check(t, "stays open", r.Close, false)
	}
	half.send(t, jobText("reading", "half", "9000m", "abc")[60:])
	r, _ = half.answer(t)
	check(t, "read in two parts", r.StatusCode, 200)
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	select {
	case <-ended:
		t.Error("ended before what runs was answered")
	default:
	}
	close(release)
	r, _ = slow.answer(t)
	check(t, "slow", r.StatusCode, 200)
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Error("does not end")
	}
}

// A lateRequestConn calls a test's hook as a client's connection begins to end.
type lateRequestConn struct {
	*net.TCPConn
	onClose func() // once, as the connection begins to end
}

func (c *lateRequestConn) hook() {
	if onClose := c.onClose; onClose != nil {
		c.onClose = nil
		onClose()
	}
}

func (c *lateRequestConn) CloseWrite() error { c.hook(); return c.TCPConn.CloseWrite() }

func (c *lateRequestConn) Close() error { c.hook(); return c.TCPConn.Close() }

// A request that comes at the moment at which a connection ends is not accepted; nor is the answer before it
// lost, which is still on its way.
func TestRequestDuringShutdown(t *testing.T) {
	big := strings.Repeat("x", 60<<10)
	worker := newTestWorker(t, func(c net.Conn, _ *http.Request, id string) bool {
		return writeStates(c, id, true, `"started"`, `"done","result":"`+big+`"`)
	})
	for _, ending := range []string{"a last answer", "an idle one", "bad input"} {
		p, set := start(t, "", worker)
		near, far := pipe(t)
		if err := far.SetReadBuffer(4 << 10); err != nil { // most of the answer is still with the scheduler as it ends
			t.Fatal(err)
		}
		if err := far.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
			t.Fatal(err)
		}
		hookDone := make(chan bool)
		p.clients.serveConn(&lateRequestConn{near, func() {
			writeText(t, far, jobText("reading", "late", "9000m", "")+strings.Repeat("y", 2<<10))
			await(t, "arrived", func() bool { return hasInput(near) })
			close(hookDone)
		}})
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
			await(t, "served", func() bool { return set.Get("jobs.served") == 1 })
			await(t, "idle", func() bool { p.clients.mu.Lock(); defer p.clients.mu.Unlock(); return p.clients.idle.Len() == 1 })
			p.clients.freeOneConn()
		}
		<-hookDone
		br := bufio.NewReader(far)
		r, body, err := readAnswer(br)
		if err != nil {
			t.Fatal(ending, ": ", err)
		}
		if status == 200 && len(body) != len(big) {
			t.Errorf("%s: %d bytes of the answer", ending, len(body))
		}
		check(t, ending+": status", r.StatusCode, status)
		if _, err := br.ReadByte(); err != io.EOF {
			t.Errorf("%s: %v behind the answer", ending, err)
		}
		check(t, ending+": sent on", worker.RequestCount.Load(), requestsBefore+1)
	}
}

// A stalledListener's deadlines have passed when they are set, some times: the process stood still.
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

// The backlog at the shutdown is served, though the process stands still past the time for that.
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
	server.stopAccepting.Store(true) // before the first accept: all of them are backlog
	go server.accept()
	server.shutDown(0, 0)
	for _, s := range waiting {
		r, _ := s.answer(t)
		check(t, "status", r.StatusCode, 200)
	}
}

// Whatever the deadlines of the classes, everything is answered, and the answers are read, before the process
// may be killed; what comes in the first 0.7 s finds its connection open.
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
			t.Errorf("deadline %v: connections stay %v, answered by %v, killed at %v",
				deadline, closeIdleAfter, answerBy, killedAt)
		}
	}
}
