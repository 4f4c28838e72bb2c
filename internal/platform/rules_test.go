package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

func check(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// A job reaches the node unchanged, is answered with what the node made for it,
// and both connections serve the next.
func TestJobIsServed(t *testing.T) {
	var seen [2]string
	node := newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
		body, _ := io.ReadAll(r.Body)
		left, err := parseRemaining(r.Header.Get(headerRemaining))
		seen[r.ContentLength%2] = fmt.Sprintf("%s %s %s %s %s %v", r.Method, r.RequestURI, id, body,
			r.Header.Get(headerClass), err == nil && left > 0 && left <= 5*time.Second)
		return serveJob(c, r, id)
	})
	p, set := start(t, "", node)
	s := connect(t, p)
	for i, text := range []string{
		jobText("reading", "j0", "5000m", "ab"),
		jobText("reading", "j1", "5000000u", "", "-Content-Length", "Transfer-Encoding: chunked", "Expect: 100-continue") + "3\r\nabc\r\n0\r\n\r\n",
	} {
		s.send(t, text)
		if i == 1 {
			if r, _ := http.ReadResponse(s.br, nil); r == nil || r.StatusCode != http.StatusContinue {
				t.Fatal("no word to go on")
			}
		}
		r, body := s.answer(t)
		check(t, "status", r.StatusCode, http.StatusOK)
		check(t, "result", body, fmt.Sprintf("for j%d", i))
	}
	check(t, "first", seen[0], "POST /reading?user=7f3a9c21e0b4d655 j0 ab reading true")
	check(t, "second", seen[1], "POST /reading?user=7f3a9c21e0b4d655 j1 abc reading true")
	check(t, "connections to the node", node.Conns.Load(), int64(1))
	check(t, "jobs taken", set.Get("jobs.taken"), int64(2))
	check(t, "jobs served", set.Get("jobs.served"), int64(2))
}

// Bad input gets a plain 4xx, never a refusal, is counted, and reaches no node.
func TestInvalidInput(t *testing.T) {
	node := newTestWorker(t, serveJob)
	p, set := start(t, "", node)
	const r, m = "reading", "5000m"
	for name, c := range map[string]struct {
		text    string
		status  int
		counter string
		goesOn  bool
	}{
		"no HTTP":          {"hello\r\n\r\n", 400, "bad.head", false},
		"bad header":       {jobText(r, "j", m, "", "no colon"), 400, "bad.head", false},
		"long head":        {jobText(r, "j", m, "", "X-Long: "+strings.Repeat("x", maxHead)), 431, "bad.head", false},
		"bad length":       {jobText(r, "j", m, "", "-Content-Length", "Content-Length: 1x"), 400, "bad.head", false},
		"two lengths":      {jobText(r, "j", m, "a", "Content-Length: 2"), 400, "bad.head", false},
		"length, chunked":  {jobText(r, "j", m, "0\r\n\r\n", "Transfer-Encoding: chunked"), 400, "bad.framing", false},
		"length twice":     {jobText(r, "j", m, "a", "Content-Length: 1"), 400, "bad.framing", false},
		"signed length":    {jobText(r, "j", m, "", "-Content-Length", "Content-Length: +1"), 400, "bad.head", false},
		"huge length":      {jobText(r, "j", m, "", "-Content-Length", "Content-Length: 99999999999999999999"), 400, "bad.head", false},
		"chunked in 1.0":   {strings.Replace(jobText(r, "j", m, "", "-Content-Length", "Transfer-Encoding: chunked"), "1.1", "1.0", 1), 400, "bad.framing", false},
		"folded header":    {jobText(r, "j", m, "", "X-A: b\r\n c"), 400, "bad.head", false},
		"name with space":  {jobText(r, "j", m, "", "X A: b"), 400, "bad.head", false},
		"space at colon":   {jobText(r, "j", m, "", "-Content-Length", "Transfer-Encoding : chunked") + "0\r\n\r\n", 400, "bad.head", false},
		"target unread":    {"POST reading HTTP/1.1\r\nHost: x\r\n\r\n", 400, "bad.head", false},
		"bare CR":          {jobText(r, "j", m, "", "X-A: b\rc"), 400, "bad.head", false},
		"bad chunk":        {jobText(r, "j", m, "", "-Content-Length", "Transfer-Encoding: chunked") + "x\r\n", 400, "bad.length", false},
		"long body":        {jobText(r, "j", m, strings.Repeat("b", maxBody+1)), 413, "bad.body", false},
		"long chunks":      {jobText(r, "j", m, "", "-Content-Length", "Transfer-Encoding: chunked") + "10001\r\n" + strings.Repeat("b", 65537) + "\r\n0\r\n\r\n", 413, "bad.body", false},
		"no id":            {jobText(r, "j", m, "", "-"+headerID), 400, "bad.id", true},
		"two ids":          {jobText(r, "j", m, "", headerID+": k"), 400, "bad.id", true},
		"id not ASCII":     {jobText(r, "j\xc3\xa4", m, ""), 400, "bad.id", true},
		"two tenants":      {jobText(r, "j", m, "", headerTenant+": k"), 400, "bad.head", true},
		"path in disguise": {strings.Replace(jobText(r, "j", m, ""), "/reading", "/%72eading", 1), 400, "bad.class", true},
		"absolute target":  {strings.Replace(jobText(r, "j", m, ""), "/reading", "http://h/reading", 1), 400, "bad.class", true},
		"unknown class":    {jobText("other", "j", m, ""), 400, "bad.job", true},
		"unknown tenant":   {jobText(r, "j", m, "", "-"+headerTenant, headerTenant+": nobody"), 400, "bad.job", true},
		"no tenant":        {jobText(r, "j", m, "", "-"+headerTenant), 400, "bad.job", true},
		"bad remaining":    {jobText(r, "j", "5", ""), 400, "bad.remaining", true},
		"not by POST":      {strings.Replace(jobText(r, "j", m, ""), "POST", "PUT", 1), 405, "bad.method", true},
		"bad health call":  {"DELETE /_health HTTP/1.1\r\nHost: x\r\n\r\n", 405, "", true},
	} {
		s, before := connect(t, p), set.Get(c.counter)
		resp, _ := s.request(t, c.text)
		check(t, name+": status", resp.StatusCode, c.status)
		check(t, name+": ends", resp.Close, !c.goesOn)
		if c.counter != "" {
			check(t, name+": counted", set.Get(c.counter), before+1)
		}
		if c.goesOn {
			resp, _ = s.request(t, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
			check(t, name+": next", resp.StatusCode, 200)
		}
	}
	check(t, "requests at the node", node.Got.Load(), int64(0))
}

// An id that is in use is bad input; the job that has it goes on.
func TestRepeatedID(t *testing.T) {
	release := make(chan bool)
	node := newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool { <-release; return serveJob(c, r, id) })
	p, _ := start(t, "", node)
	first, second := connect(t, p), connect(t, p)
	first.send(t, jobText("ratify", "j", "9000m", ""))
	await(t, "at the node", func() bool { return node.Got.Load() == 1 })
	r, _ := second.request(t, jobText("ratify", "j", "9000m", ""))
	check(t, "repeat", r.StatusCode, 400)
	second.Close()
	close(release)
	r, _ = first.answer(t)
	check(t, "first", r.StatusCode, 200)
	check(t, "requests at the node", node.Got.Load(), int64(1))
}

// What follows from how a claim ended. A 503 promises that a retry is harmless: it
// may not follow an at-most-once job that may have run; such a job is never sent
// again, while one that proves never to have run, or may be repeated, is.
func TestRetriesByEffect(t *testing.T) {
	turnAway := func(c net.Conn, _ *http.Request, _ string) bool {
		_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	giveBack := func(c net.Conn, _ *http.Request, id string) bool { return writeStates(c, id, true, `"returned"`) }
	lose := func(c net.Conn, _ *http.Request, id string) bool {
		return writeStates(c, id, true, `"started"`, `"lost"`)
	}
	cutShort := func(c net.Conn, _ *http.Request, id string) bool {
		writeStates(c, id, false, `"started"`, `"done","result":"x"`)
		return false
	}
	for name, c := range map[string]struct {
		class  string
		handle func(net.Conn, *http.Request, string) bool
		status int
		sent   int64
	}{
		"ratify, broken off":  {"ratify", closeUnanswered, 502, 1},
		"ratify, lost":        {"ratify", lose, 502, 1},
		"ratify, cut short":   {"ratify", cutShort, 502, 1},
		"ratify, turned away": {"ratify", turnAway, 503, 3},
		"ratify, given back":  {"ratify", giveBack, 503, 3},
		"reading, broken off": {"reading", closeUnanswered, 503, 3},
		"reading, cut short":  {"reading", cutShort, 503, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes := []*testWorker{newTestWorker(t, c.handle), newTestWorker(t, c.handle), newTestWorker(t, c.handle), newTestWorker(t, c.handle)}
			p, _ := start(t, "", nodes...)
			r, _ := connect(t, p).request(t, jobText(c.class, "j", "15000m", ""))
			got := int64(0)
			for _, n := range nodes {
				got += n.Got.Load()
			}
			check(t, "status", r.StatusCode, c.status)
			check(t, "requests at nodes", got, c.sent)
		})
	}
}

// A node that breaks off once is not asked twice by the network code: the job goes
// to the other node, where the module sends it.
func TestRetriesAreTheModulesDecision(t *testing.T) {
	bad, good := newTestWorker(t, closeUnanswered), newTestWorker(t, serveJob)
	p, set := start(t, "", bad, good)
	s := connect(t, p)
	for i := range 6 {
		r, _ := s.request(t, jobText("reading", fmt.Sprint("j", i), "15000m", ""))
		check(t, "status", r.StatusCode, 200)
	}
	check(t, "claims", set.Get("claims.sent"), bad.Got.Load()+good.Got.Load())
	check(t, "resets", set.Get("claims.reset"), bad.Got.Load())
}

// An idle connection that the node has closed is not written to: an at-most-once
// job on it would look as if it may have run.
func TestStaleIdleConnection(t *testing.T) {
	closed := make(chan bool)
	node := newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
		serveJob(c, r, id)
		c.Close()
		closed <- true
		return false
	})
	p, _ := start(t, "", node)
	s := connect(t, p)
	for i := range 3 {
		r, _ := s.request(t, jobText("ratify", fmt.Sprint("j", i), "9000m", ""))
		check(t, "status", r.StatusCode, 200)
		<-closed
	}
	check(t, "connections", node.Conns.Load(), int64(3))
}

// Idle connections are reused newest first, make way for others past the budget,
// and are dropped in time.
func TestIdleConnections(t *testing.T) {
	node := newTestWorker(t, serveJob)
	n := &workerPool{counters: &counters.Set{}, dialTimeout: patience, idleTimeout: time.Hour, budget: 2, idle: map[string][]*workerConn{}}
	addr, to := node.Addr().String(), endpoint{address: node.Addr().String()}
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
	if c, code := n.acquire(t.Context(), to); c != nil || code != foxlift.NotSent {
		t.Errorf("without a descriptor: code %d", code)
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
	to.at = time.Now() // the node has restarted since: the connection led to its former process
	if c := n.reuse(to); c != nil {
		t.Error("a connection to a former process was reused")
	}
	check(t, "open", n.open, 0)
}

// A connection that never comes up, or is refused, proves that the job never ran.
func TestUnreachable(t *testing.T) {
	dead := newTestWorker(t, nil)
	dead.Close()
	n := &workerPool{counters: &counters.Set{}, dialTimeout: patience, budget: 1, idle: map[string][]*workerConn{}}
	if c, code := n.acquire(t.Context(), endpoint{address: dead.Addr().String()}); c != nil || code != foxlift.Unreachable {
		t.Errorf("refused: code %d", code)
	}
	n.dialTimeout = time.Nanosecond
	if c, code := n.acquire(t.Context(), endpoint{address: listen(t).Addr().String()}); c != nil || code != foxlift.Unreachable {
		t.Errorf("too late: code %d", code)
	}
	check(t, "open", n.open, 0)
}

// Nothing goes to a node that has begun to drain after the module chose it, even
// during the dial.
func TestDrainingWorkerGetsNoFirstByte(t *testing.T) {
	node := newTestWorker(t, serveJob)
	looks := 0
	find := func(string) (endpoint, bool) {
		looks++
		return endpoint{address: node.Addr().String()}, looks == 1 // the list changes after the first look
	}
	n := &workerPool{find: find, counters: &counters.Set{}, dialTimeout: patience, idleTimeout: time.Hour, budget: 9, idle: map[string][]*workerConn{}}
	job := &core.Job{ID: "j", Payload: &payload{method: "POST", target: "/reading"}}
	reports := make(chan core.Report, 9)
	for range 2 { // then before it
		n.Send("n", job, core.AttemptLimits{Remaining: patience}, func(r core.Report) { reports <- r })
		check(t, "code", (<-reports).Code, foxlift.NotSent)
	}
	await(t, "dialed", func() bool { return node.Conns.Load() == 1 }) // the first time only
	check(t, "requests", node.Got.Load(), int64(0))
}

// When a submitter leaves, its job is withdrawn: the node's connection closes.
func TestClientDisconnects(t *testing.T) {
	closed := make(chan bool, 1)
	node := newTestWorker(t, func(c net.Conn, _ *http.Request, _ string) bool {
		io.Copy(io.Discard, c)
		closed <- true
		return false
	})
	p, set := start(t, "", node)
	s := connect(t, p)
	s.send(t, jobText("ratify", "j", "19000m", ""))
	await(t, "at the node", func() bool { return node.Got.Load() == 1 })
	s.Close()
	select {
	case <-closed:
	case <-time.After(patience):
		t.Fatal("the claim goes on")
	}
	await(t, "counted", func() bool { return set.Get("jobs.left") == 1 && set.Get("claims.cancelled") == 1 })
}

// A silent node does not keep a submitter past its patience, however it words it.
func TestSilentWorker(t *testing.T) {
	for i, c := range []struct {
		class, remaining string
		status           int
	}{{"ratify", "400m", 502}, {"reading", "400000u", 503}} {
		p, set := start(t, "", newTestWorker(t, neverAnswers))
		began := time.Now()
		r, _ := connect(t, p).request(t, jobText(c.class, fmt.Sprint("j", i), c.remaining, ""))
		check(t, "status", r.StatusCode, c.status)
		if took := time.Since(began); took < 200*time.Millisecond {
			t.Errorf("%s was given up after %v", c.class, took)
		}
		check(t, "overdue", set.Get("jobs.overdue"), int64(0))
	}
}

// A refusal says when to come back.
func TestRetryAfterFormat(t *testing.T) {
	for d, want := range map[time.Duration]string{1500 * time.Millisecond: "1.500", 50 * time.Millisecond: "0.050"} {
		check(t, "Retry-After", retryAfter(d), want)
	}
}

// A flaky listener fails as one does that is out of descriptors.
type failingListener struct {
	*net.TCPListener
	fails int
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.fails--; f.fails >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.TCPListener.Accept()
}

// Running out of descriptors does not end accepting.
func TestAcceptSurvivesErrors(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	set := &counters.Set{}
	l := &failingListener{listen(t).(*net.TCPListener), 3}
	f := newClientServer(p.core, core.NewClock(), set, zap.NewNop(), l, 9)
	go f.accept()
	r, _ := connect(t, &Platform{clients: f}).request(t, jobText("reading", "j", "9000m", ""))
	check(t, "status", r.StatusCode, 200)
	check(t, "failed accepts", set.Get("accept.failed"), int64(3))
}

// Past the budget the longest idle connection makes way, a busy one does not.
func TestClientConnBudget(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	f := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), 2)
	go f.accept()
	q := &Platform{clients: f}
	busy := connect(t, q)
	busy.send(t, jobText("reading", "j0", "9000m", "abc")[:60])
	idle := connect(t, q)
	idle.request(t, jobText("reading", "j1", "9000m", ""))
	r, _ := connect(t, q).request(t, jobText("reading", "j2", "9000m", ""))
	check(t, "third", r.StatusCode, 200)
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	busy.send(t, jobText("reading", "j0", "9000m", "abc")[60:])
	r, _ = busy.answer(t)
	check(t, "busy", r.StatusCode, 200)
}

// Whoever sends nothing, or half a request, is told so or cut off before long.
func TestIncompleteRequestsAreAnswered(t *testing.T) {
	p, set := start(t, "", newTestWorker(t, serveJob))
	silent, half := connect(t, p), connect(t, p)
	half.send(t, jobText("reading", "j0", "9000m", "abc")[:60])
	r, _ := half.answer(t)
	check(t, "half a request", r.StatusCode, http.StatusRequestTimeout)
	if _, err := silent.br.ReadByte(); err != io.EOF {
		t.Errorf("the silent connection: %v", err)
	}
	check(t, "silent", set.Get("bad.silent"), int64(1))
	check(t, "taken", set.Get("jobs.taken"), int64(0))
}

// A body that is too long is refused before it has come, and the answer arrives
// though the other side has sent some of it.
func TestLongBodyIsRejectedUnread(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	s := connect(t, p)
	text := jobText("reading", "j", "9000m", "", "-Content-Length", "Content-Length: 60000000")
	r, _ := s.request(t, text+strings.Repeat("b", lingerBytes/2))
	check(t, "status", r.StatusCode, 413)
}

// A flood of connections that bring no job does not cost others theirs.
func TestFloodOfConnections(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	f := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), 20)
	go f.accept()
	q := &Platform{clients: f}
	usual := connect(t, q)
	usual.request(t, jobText("reading", "u0", "9000m", ""))
	usual.request(t, jobText("reading", "u1", "9000m", ""))
	var flood []*testClient
	for i := range 60 {
		s := connect(t, q)
		switch i % 3 {
		case 0:
			s.send(t, "POST /reading HTTP/1.1\r\n")
		case 1: // asks once and stays
			s.send(t, jobText("reading", fmt.Sprint("f", i), "9000m", ""))
		}
		flood = append(flood, s)
	}
	r, _ := connect(t, q).request(t, jobText("reading", "j1", "9000m", ""))
	check(t, "a new connection", r.StatusCode, 200)
	r, _ = usual.request(t, jobText("reading", "j2", "9000m", ""))
	check(t, "the kept connection", r.StatusCode, 200)
	check(t, "goes on", r.Close, false)
	for _, s := range flood {
		s.Close()
	}
}

// A flood of connections that brought one job each and stay makes way all at once: whoever waits
// behind it must not wait for one batch of ends after the other.
func TestFloodFreesCapacityAtOnce(t *testing.T) {
	const budget = 20
	p, _ := start(t, "", newTestWorker(t, serveJob))
	f := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), budget)
	f.lateRequestGrace = patience // none of them is gone before the count
	go f.accept()
	q := &Platform{clients: f}
	usual := connect(t, q)
	usual.request(t, jobText("reading", "u0", "9000m", ""))
	usual.request(t, jobText("reading", "u1", "9000m", ""))
	const flood = budget - budget/headroomDivisor - 2
	for i := range flood {
		connect(t, q).request(t, jobText("reading", fmt.Sprint("f", i), "9000m", ""))
	}
	retired := func() (once, more int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for s := range f.conns {
			switch {
			case s.retire.Load() && s.jobs > 1:
				more++
			case s.retire.Load():
				once++
			}
		}
		return once, more
	}
	await(t, "all idle", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.idle.Len() == flood+1 })
	f.freeCapacity(1)
	once, more := retired()
	check(t, "connections of one job that make way", once, flood)
	check(t, "connections of more jobs that make way", more, 0)
}

// A request that crosses the end of an idle connection is read and answered.
func TestRequestCrossesIdleClose(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	p.clients.lateRequestGrace = patience
	s := connect(t, p)
	s.request(t, jobText("reading", "j0", "9000m", ""))
	await(t, "idle", func() bool { p.clients.mu.Lock(); defer p.clients.mu.Unlock(); return p.clients.idle.Len() == 1 })
	p.clients.freeCapacity(1)
	r, _ := s.request(t, jobText("reading", "j1", "9000m", ""))
	check(t, "status", r.StatusCode, 200)
	check(t, "ends its connection", r.Close, true)
}

// What waits unaccepted when the scheduler ends is served: the kernel has accepted
// it.
func TestBacklogIsServed(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	f := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), 1)
	q := &Platform{clients: f}
	busy := connect(t, q)
	busy.send(t, jobText("reading", "j0", "9000m", "abc")[:60])
	go f.accept()
	await(t, "accepted", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.conns) == 1 && f.idle.Len() == 0 })
	var waiting []*testClient
	for i := range 5 {
		s := connect(t, q)
		s.send(t, jobText("reading", fmt.Sprint("w", i), "9000m", ""))
		waiting = append(waiting, s)
	}
	ended := make(chan bool)
	go func() { f.shutDown(0, 0); close(ended) }()
	for _, s := range waiting {
		r, _ := s.answer(t)
		check(t, "status", r.StatusCode, 200)
	}
	busy.send(t, jobText("reading", "j0", "9000m", "abc")[60:])
	r, _ := busy.answer(t)
	check(t, "busy", r.StatusCode, 200)
	<-ended
}

// More submitters than there are descriptors for: what cannot be held is refused at
// once, and none waits unread until its submitter gives up.
func TestMoreJobsThanDescriptors(t *testing.T) {
	release := make(chan bool)
	var atNodes atomic.Int64
	handle := func(c net.Conn, r *http.Request, id string) bool {
		writeStates(c, id, false, `"started"`)
		atNodes.Add(1)
		<-release
		return false
	}
	var nodes []*testWorker
	for range 12 { // enough for none to be held
		nodes = append(nodes, newTestWorker(t, handle))
	}
	p, set := startWith(t, 80, "", nodes...)
	var held []*testClient
	for i := 0; len(held) < maxOpenJobs(p.clients.budget); i++ {
		s := connect(t, p)
		s.send(t, jobText("ratify", fmt.Sprint("h", i), "19000m", ""))
		// At a node a job that must not run twice stays open. One that the module
		// still holds, where starts are heard late, may be refused: it never ran.
		before := set.Get("jobs.refused")
		await(t, "at a node or refused", func() bool {
			return atNodes.Load() == int64(len(held)+1) || set.Get("jobs.refused") > before
		})
		if atNodes.Load() == int64(len(held)+1) {
			held = append(held, s)
			continue
		}
		r, _ := s.answer(t)
		check(t, "held, then refused", r.StatusCode, 503)
	}
	refused, early := 0, set.Get("jobs.refused")
	for i := range p.clients.budget + 20 - len(held) {
		s := connect(t, p)
		s.send(t, jobText("ratify", fmt.Sprint("j", i), "19000m", ""))
		r, _ := s.answer(t)
		check(t, "status", r.StatusCode, 503)
		check(t, "Retry-After", r.Header.Get("Retry-After"), "1.000")
		refused++
	}
	check(t, "refused", set.Get("jobs.too_many"), int64(refused))
	check(t, "all of them", set.Get("jobs.refused")-early, int64(refused))
	close(release)
	for _, s := range held {
		s.answer(t)
	}
}

// The end: health turns 503, what comes in is still served, answers end their
// connections, and what runs is finished, the backlog too.
func TestShutDown(t *testing.T) {
	release := make(chan bool)
	handle := func(c net.Conn, r *http.Request, id string) bool {
		if id == "slow" {
			<-release
		}
		return serveJob(c, r, id)
	}
	node, other := newTestWorker(t, handle), newTestWorker(t, handle)
	p, _ := start(t, "", node, other)
	slow, kept, idle, half := connect(t, p), connect(t, p), connect(t, p), connect(t, p)
	half.send(t, jobText("reading", "half", "9000m", "abc")[:60])
	slow.send(t, jobText("ratify", "slow", "19000m", ""))
	for _, s := range []*testClient{kept, idle} {
		r, _ := s.request(t, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		check(t, "health before", r.StatusCode, 200)
	}
	await(t, "at a node", func() bool { return node.Got.Load()+other.Got.Load() == 1 })
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
	case <-time.After(patience):
		t.Error("does not end")
	}
}

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

// checkWatch checks a call for the changes since a version, which waits for 2.5 to 3.4 s.
func checkWatch(t *testing.T, what, target string, version int) {
	t.Helper()
	var wait int
	if n, err := fmt.Sscanf(target, pathMembers+fmt.Sprintf("?index=%d&wait=%%d", version), &wait); n != 1 || err != nil || wait < 2550 || wait > 3400 {
		t.Errorf("%s: %s, want a watch from version %d", what, target, version)
	}
}

// The watch: the changes since the list that is known, with the next call out at once;
// after any failure or faulty answer those since the last good one, which holds. The
// whole list costs discovery many times as much: it is asked for only where no version
// is known that changes could go on from.
func TestWatch(t *testing.T) {
	first, second := newTestWorker(t, serveJob), newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	// A start that the machine delays is a late one, and the module then holds jobs for a shorter time.
	patient := strings.Replace(testSettings, `"aim":500000000`, `"aim":10000000000`, 1)
	p, set := startText(t, patient, 256, addr, first)
	s := connect(t, p)
	serve := func(id string, by *testWorker) {
		t.Helper()
		before := by.Got.Load()
		r, _ := s.request(t, jobText("reading", id, "9000m", ""))
		check(t, id, r.StatusCode, 200)
		check(t, id+" is the node's", by.Got.Load(), before+1)
	}
	told := func(n int64) {
		t.Helper()
		await(t, "told", func() bool { return set.Get("machines.told") == n })
	}
	c := next(t, calls)
	check(t, "first call", c.target, pathMembers+"?index=1&wait=1")
	serve("known", first)
	c.answer(endpointsJSON(7, true, first))
	c = next(t, calls)
	checkWatch(t, "watch", c.target, 7)
	told(2)
	c.answer(`{"seq":8,"whole":false,"hosts":[` + endpointJSON(0, first, healthLeaving) + `,` + endpointJSON(1, second, healthActive) + `]}`)
	c = next(t, calls)
	checkWatch(t, "next", c.target, 8)
	told(3)
	serve("changed", second)
	for i, faulty := range []string{`{"seq":9,"whole":tr`, `{"seq":9,"hosts":[{"host":"x","health":"?"}]}`} {
		c.answer(faulty)
		c = next(t, calls)
		checkWatch(t, "after a faulty answer", c.target, 8+i)
		serve(fmt.Sprint("old", i), second)
		c.answer(endpointsJSON(9, true, first, second))
		c = next(t, calls)
		checkWatch(t, "watch", c.target, 9)
		told(int64(4 + i))
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
	told(7)
	r, _ := s.request(t, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	check(t, "health without machines", r.StatusCode, 503)
}

// At a switch to another discovery the call to the old one ends at once, the last
// list holds while the new one cannot be had, and what the old one says late does
// not count. A faulty configuration changes nothing.
func TestReload(t *testing.T) {
	first, second := newTestWorker(t, serveJob), newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	p, set := start(t, addr, first)
	next(t, calls).answer(endpointsJSON(7, true, first))
	old := next(t, calls)
	later, _ := newDiscovery(t)
	cfg := &config.Scheduler{Discovery: later, Known: []byte(`{"seq":"x"}`)}
	if err := p.Reload(cfg); err == nil {
		t.Error("a faulty list is taken")
	}
	l := listen(t)
	cfg.Discovery, cfg.Known = l.Addr().String(), nil
	if err := p.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	old.conn.SetReadDeadline(time.Now().Add(patience))
	if _, err := old.conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the old call goes on: %v", err)
	}
	for i := range 3 { // it breaks off, and is asked again at once
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		r, _ := connect(t, p).request(t, jobText("reading", fmt.Sprint("j", i), "9000m", ""))
		check(t, "meanwhile", r.StatusCode, 200)
		c.Close()
	}
	check(t, "the module hears of failures", set.Get("machines.failed"), int64(0))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err != nil || r.RequestURI != pathMembers {
		t.Fatalf("%v, %v: not the whole list", r, err)
	}
	call{"", c}.answer(endpointsJSON(2, true, second))
	await(t, "the new list", func() bool { _, ok := p.endpoints.find("n0"); return ok && set.Get("machines.told") == 3 })
	got := second.Got.Load()
	r, _ := connect(t, p).request(t, jobText("reading", "after", "9000m", ""))
	check(t, "after", r.StatusCode, 200)
	check(t, "at the new list's node", second.Got.Load(), got+1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.endpoints.applyResponse(ctx, &endpointsResponse{Complete: true}); err == nil {
		t.Error("a late answer of the old discovery is taken")
	}
}

// What had arrived before a deadline is read after it.
func TestReadAfterDeadline(t *testing.T) {
	l := listen(t)
	other, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(other, "late")
	await(t, "arrived", func() bool { return hasInput(conn) })
	conn.SetReadDeadline(pastDeadline)
	b := &buffer{conn: conn}
	check(t, "error", b.fill(), error(nil))
	check(t, "read", string(b.data[b.r:b.w]), "late")
	if err := b.fill(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nothing there: %v", err)
	}
}

// One buffer serves any length of message, and what is behind a message stays.
func TestBuffer(t *testing.T) {
	b := &buffer{conn: scripted{text: strings.NewReader(strings.Repeat("a", 5000) + "\n" + "b\nc")}}
	for _, want := range []string{strings.Repeat("a", 5000) + "\n", "b\n"} {
		m := b.newMessage(1 << 20)
		line, err := m.ReadString('\n')
		m.close()
		if err != nil || line != want {
			t.Errorf("%d bytes, %v; want %d", len(line), err, len(want))
		}
	}
	b.conn = scripted{text: strings.NewReader(strings.Repeat("c", 2*maxRetainedSize) + "\n")}
	large := b.newMessage(1 << 20)
	large.ReadString('\n')
	large.close()
	check(t, "size once empty", len(b.data), 0)
	b.conn = scripted{text: strings.NewReader(strings.Repeat("e", 8*maxRetainedSize) + "\n")}
	long := b.newMessage(1 << 20)
	long.releaseEarly = true
	for err := error(nil); err == nil; _, err = long.Discard(initialBufferSize) {
	}
	if long.close(); len(b.data) > maxRetainedSize {
		t.Errorf("the buffer grew to %d with what was used", len(b.data))
	}
	b.conn = scripted{text: strings.NewReader("d")}
	m := b.newMessage(1)
	if _, err := m.ReadString('\n'); err != errMessageTooLong {
		t.Errorf("past the limit: %v", err)
	}
	m.close()
	check(t, "left", b.buffered(), 0)
}

// A node starts on a request's last byte. A kept connection that it drops as the
// next request comes proves that the job never ran, and nothing against the node.
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
			br.ReadByte() // of the next request
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	p, set := start(t, "", &testWorker{Listener: l})
	s := connect(t, p)
	for i, remaining := range []string{"19000m", "300m", "19000m", "300m"} {
		r, _ := s.request(t, jobText("ratify", fmt.Sprint("j", i), remaining, ""))
		check(t, "status", r.StatusCode, 200+(i%2)*303) // no other node to go to
	}
	check(t, "not sent", set.Get("claims.not_sent"), int64(2))
	check(t, "served", served, 2)
}

// The last byte is held for jobs that must not run twice, and on connections that were
// idle for a while; a connection in use a moment ago is looked at without a wait, and
// one that has been dropped by then is seen all the same.
func TestLastByteHold(t *testing.T) {
	n := &workerPool{repeatable: map[string]bool{"reading": true}}
	l := listen(t)
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &workerConn{Conn: conn, buf: buffer{conn: conn}}
	for what, w := range map[string]struct {
		class string
		since time.Time
		held  bool
	}{
		"new": {"reading", time.Time{}, true}, "recent": {"reading", time.Now().Add(time.Hour), false},
		"idle": {"reading", time.Now().Add(-time.Second), true}, "at most once": {"ratify", time.Now().Add(time.Hour), true},
	} {
		c.idleSince = w.since
		if hold := n.lastByteHold(c, w.class); (hold > 0) != w.held || hold > maxLastByteHold {
			t.Errorf("%s: held for %v", what, hold)
		}
	}
	c.idleSince = time.Now()
	check(t, "deliver", c.deliver([]byte("some bytes"), 0, time.Time{}, func() bool { return true }), foxlift.Served)
	check(t, "deliver too late", c.deliver([]byte("more"), 0, time.Now(), func() bool { return true }), foxlift.NotSent)
	got := make([]byte, 20)
	read, _ := io.ReadAtLeast(other, got, len("some bytesmor"))
	check(t, "all but the last byte", string(got[:read]), "some bytesmor")
	other.Close()
	await(t, "the end arrives", func() bool { return !c.buf.fillAvailable() })
	check(t, "deliver after the end", c.deliver([]byte("some bytes"), 0, time.Time{}, func() bool { return true }), foxlift.NotSent)
}

// A line that says a thing twice is garbled: no reading of it may be believed.
func TestRepeatedNamesInStateLine(t *testing.T) {
	for text, sound := range map[string]bool{
		`{"id":"j","state":"done","result":"r"}`:                           true,
		`{"id":"j","state":"running","share":0.5,"x":{"id":"k","id":"l"}}`: true,
		`{"id":"j","state":"done","result":"state"}`:                       true,
		`{"id":"j","a":["state","state"],"state":"done"}`:                  true,
		`{"id":"j","state":"failed","state":"done"}`:                       false,
		`{"id":"j","state":"failed","State":"done"}`:                       false,
		`{"id":"j","st\u0061te":"failed","state":"done"}`:                  false,
		`{"id":"j","ſtate":"failed","state":"done"}`:                       false,
		`{"id":"k","id":"j","state":"done"}`:                               false,
		`{"id":"j","state":"done"`:                                         false,
	} {
		if _, err := parseStateLine([]byte(text)); (err == nil) != sound {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Whatever the number of schedulers, a watch waits as the list's clock asks, not all as long;
// one that knows no list takes the whole one.
func TestWatchWait(t *testing.T) {
	for _, dispatchers := range []int{1, 80, 300, 1000} {
		m := newEndpointWatch("", &config.Settings{Module: foxlift.Config{Dispatchers: dispatchers}}, nil, nil)
		low, high := time.Hour, time.Duration(0)
		for range 200 {
			low, high = min(low, m.pacer.WatchHold()), max(high, m.pacer.WatchHold())
		}
		if low < 2550*time.Millisecond || high > 3400*time.Millisecond || high-low < 400*time.Millisecond {
			t.Errorf("%d schedulers wait %v to %v", dispatchers, low, high)
		}
		check(t, "whole without a list", m.needComplete, true)
		if _, err := m.load([]byte(`{"seq":4,"whole":true,"hosts":[]}`)); err != nil {
			t.Fatal(err)
		}
		check(t, "whole with a list", m.needComplete, false)
	}
}
