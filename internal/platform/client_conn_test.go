package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/guard"
)

// A job must reach the worker unchanged and be answered with the worker's result. Both connections must serve a second
// job.
func TestJobServed(t *testing.T) {
	var requests [2]string
	worker := newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
		body, _ := io.ReadAll(r.Body)
		remaining, err := parseRemaining(r.Header.Get(headerRemaining))
		requests[r.ContentLength%2] = fmt.Sprintf("%s %s %s %s %s %v", r.Method, r.RequestURI, id, body,
			r.Header.Get(headerClass), err == nil && remaining > 0 && remaining <= 5*time.Second)
		return serveJob(c, r, id)
	})
	p, set := start(t, "", worker)
	client := connect(t, p)
	for i, text := range []string{
		jobText("reading", "j0", "5000m", "ab"),
		jobText("reading", "j1", "5000000u", "", "-Content-Length", "Transfer-Encoding: chunked", "Expect: 100-continue") +
			"3\r\nabc\r\n0\r\n\r\n",
	} {
		client.send(t, text)
		if i == 1 {
			if r, _, err := readAnswer(client.reader); err != nil || r.StatusCode != http.StatusContinue {
				t.Fatalf("answer to Expect: 100-continue: %+v, error %v; want status 100", r, err)
			}
		}
		r, body := client.answer(t)
		check(t, "status", r.StatusCode, http.StatusOK)
		check(t, "result", body, fmt.Sprintf("for j%d", i))
	}
	check(t, "first request at the worker", requests[0], "POST /reading?user=7f3a9c21e0b4d655 j0 ab reading true")
	check(t, "second request at the worker", requests[1], "POST /reading?user=7f3a9c21e0b4d655 j1 abc reading true")
	check(t, "connections to the worker", worker.ConnCount.Load(), int64(1))
	check(t, "counter jobs.taken", set.Get("jobs.taken"), int64(2))
	check(t, "counter jobs.served", set.Get("jobs.served"), int64(2))
}

// Invalid input must be answered with a 4xx status, never a 503, must be counted, and must not reach a worker. The
// connection stays open only if the end of the request is known.
func TestInvalidInput(t *testing.T) {
	worker := newTestWorker(t, serveJob)
	p, set := start(t, "", worker)
	const r, m = "reading", "5000m"
	chunked := jobText(r, "j", m, "", "-Content-Length", "Transfer-Encoding: chunked")
	for name, c := range map[string]struct {
		text      string
		status    int
		counter   string
		keepsOpen bool
	}{
		"no HTTP":         {"hello\r\n\r\n", 400, "bad.head", false},
		"bad header":      {jobText(r, "j", m, "", "no colon"), 400, "bad.head", false},
		"long head":       {jobText(r, "j", m, "", "X-Long: "+strings.Repeat("x", maxHeadBytes)), 431, "bad.head", false},
		"many headers":    {jobText(r, "j", m, "", strings.Repeat("A:\r\n", maxHeaderLines)+"B:"), 431, "bad.head", false},
		"bad length":      {jobText(r, "j", m, "", "-Content-Length", "Content-Length: 1x"), 400, "bad.head", false},
		"two lengths":     {jobText(r, "j", m, "a", "Content-Length: 2"), 400, "bad.head", false},
		"length, chunked": {jobText(r, "j", m, "0\r\n\r\n", "Transfer-Encoding: chunked"), 400, "bad.framing", false},
		"length twice":    {jobText(r, "j", m, "a", "Content-Length: 1"), 400, "bad.framing", false},
		"signed length":   {jobText(r, "j", m, "", "-Content-Length", "Content-Length: +1"), 400, "bad.head", false},
		"huge length": {
			jobText(r, "j", m, "", "-Content-Length", "Content-Length: 99999999999999999999"), 400,
			"bad.head", false,
		},
		"chunked in 1.0":   {strings.Replace(chunked, "1.1", "1.0", 1), 400, "bad.framing", false},
		"folded header":    {jobText(r, "j", m, "", "X-A: b\r\n c"), 400, "bad.head", false},
		"name with space":  {jobText(r, "j", m, "", "X A: b"), 400, "bad.head", false},
		"space at colon":   {strings.Replace(chunked, "Encoding:", "Encoding :", 1) + "0\r\n\r\n", 400, "bad.head", false},
		"target unread":    {"POST reading HTTP/1.1\r\nHost: x\r\n\r\n", 400, "bad.head", false},
		"bare CR":          {jobText(r, "j", m, "", "X-A: b\rc"), 400, "bad.head", false},
		"bad chunk":        {chunked + "x\r\n", 400, "bad.length", false},
		"long body":        {jobText(r, "j", m, strings.Repeat("b", maxBodyBytes+1)), 413, "bad.body", false},
		"long chunks":      {chunked + "10001\r\n" + strings.Repeat("b", 65537) + "\r\n0\r\n\r\n", 413, "bad.body", false},
		"no id":            {jobText(r, "j", m, "", "-"+headerID), 400, "bad.id", true},
		"two ids":          {jobText(r, "j", m, "", headerID+": k"), 400, "bad.id", true},
		"long id":          {jobText(r, strings.Repeat("j", maxIDBytes+1), m, ""), 400, "bad.id", true},
		"id not ASCII":     {jobText(r, "j\xc3\xa4", m, ""), 400, "bad.id", true},
		"two tenants":      {jobText(r, "j", m, "", headerTenant+": k"), 400, "bad.head", true},
		"path in disguise": {strings.Replace(jobText(r, "j", m, ""), "/reading", "/%72eading", 1), 400, "bad.class", true},
		"absolute target":  {strings.Replace(jobText(r, "j", m, ""), " /", " http://h/", 1), 400, "bad.class", true},
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
		check(t, name+": closes the connection", resp.Close, !c.keepsOpen)
		if c.counter != "" {
			check(t, name+": counter "+c.counter, set.Get(c.counter), before+1)
		}
		if c.keepsOpen {
			resp, _ = s.request(t, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
			check(t, name+": status of the next request", resp.StatusCode, 200)
		}
	}
	check(t, "requests at the worker", worker.RequestCount.Load(), int64(0))
}

// A job with the ID of a job in flight must be rejected as invalid input, and the job in flight must be served.
func TestRepeatedID(t *testing.T) {
	release := make(chan bool)
	worker := newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool { <-release; return serveJob(c, r, id) })
	p, _ := start(t, "", worker)
	first, second := connect(t, p), connect(t, p)
	first.send(t, jobText("ratify", "j", "9000m", ""))
	await(t, "job at the worker", func() bool { return worker.RequestCount.Load() == 1 })
	r, _ := second.request(t, jobText("ratify", "j", "9000m", ""))
	check(t, "status of the repeated ID", r.StatusCode, 400)
	second.Close()
	close(release)
	r, _ = first.answer(t)
	check(t, "status of the first job", r.StatusCode, 200)
	check(t, "requests at the worker", worker.RequestCount.Load(), int64(1))
}

// When a client disconnects, its job must be cancelled by closing the connection to the worker. Otherwise the worker
// goes on with a job that nobody waits for.
func TestClientDisconnects(t *testing.T) {
	closed := make(chan bool, 1)
	worker := newTestWorker(t, func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.Copy(io.Discard, c)
		closed <- true
		return false
	})
	p, set := start(t, "", worker)
	s := connect(t, p)
	s.send(t, jobText("ratify", "j", "19000m", ""))
	await(t, "at the worker", func() bool { return worker.RequestCount.Load() == 1 })
	s.Close()
	select {
	case <-closed:
	case <-time.After(waitTimeout):
		t.Fatalf("connection to the worker is still open %v after the client disconnected", waitTimeout)
	}
	await(t, "counters jobs.left and claims.cancelled are 1", func() bool {
		return set.Get("jobs.left") == 1 && set.Get("claims.cancelled") == 1
	})
}

// Retry-After must be formatted as decimal seconds.
func TestRetryAfterFormat(t *testing.T) {
	for d, want := range map[time.Duration]string{1500 * time.Millisecond: "1.500", 50 * time.Millisecond: "0.050"} {
		check(t, "Retry-After", formatRetryAfter(d), want)
	}
}

// A client that sends half a request must be answered with 408 after requestTimeout, and the connection of a client
// that sends nothing must be closed. Otherwise such clients occupy descriptors.
func TestIncompleteRequests(t *testing.T) {
	p, set := start(t, "", newTestWorker(t, serveJob))
	silent, incomplete := connect(t, p), connect(t, p)
	incomplete.send(t, jobText("reading", "j0", "9000m", "abc")[:60])
	r, _ := incomplete.answer(t)
	check(t, "status of half a request", r.StatusCode, http.StatusRequestTimeout)
	if _, err := silent.reader.ReadByte(); err != io.EOF {
		t.Errorf("read on the silent connection returned error %v, want %v", err, io.EOF)
	}
	check(t, "counter bad.silent", set.Get("bad.silent"), int64(1))
	check(t, "counter jobs.taken", set.Get("jobs.taken"), int64(0))
}

// A request with a too long body must be rejected before the body has arrived. The answer must reach the client
// although part of the body is unread, which would reset the connection if it were closed at once.
func TestLongBodyRejectedUnread(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	s := connect(t, p)
	text := jobText("reading", "j", "9000m", "", "-Content-Length", "Content-Length: 60000000")
	r, _ := s.request(t, text+strings.Repeat("b", maxLingerBytes/2))
	check(t, "status", r.StatusCode, 413)
}

// A request that the client sends while the scheduler closes the idle connection must be read and answered.
func TestRequestCrossesIdleClose(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	p.clients.lateRequestGrace = waitTimeout
	s := connect(t, p)
	s.request(t, jobText("reading", "j0", "9000m", ""))
	await(t, "one idle connection", func() bool {
		p.clients.mu.Lock()
		defer p.clients.mu.Unlock()
		return p.clients.idle.Len() == 1
	})
	p.clients.freeOneConn()
	r, _ := s.request(t, jobText("reading", "j1", "9000m", ""))
	check(t, "status", r.StatusCode, 200)
	check(t, "closes the connection", r.Close, true)
}

// The disconnect of a client must be detected even if the client has sent a flood of requests before it. The flood must
// not be accepted.
func TestFloodThenDisconnect(t *testing.T) {
	worker := newTestWorker(t, neverAnswers)
	p, set := start(t, "", worker)
	s := connect(t, p)
	s.send(t, jobText("ratify", "j", "19000m", ""))
	await(t, "at the worker", func() bool { return worker.RequestCount.Load() == 1 })
	s.send(t, strings.Repeat(jobText("ratify", "more", "19000m", ""), 3000)) // more than all buffers between them hold
	s.Close()
	await(t, "counters jobs.left and claims.cancelled are 1", func() bool {
		return set.Get("jobs.left") == 1 && set.Get("claims.cancelled") == 1
	})
	check(t, "counter jobs.taken", set.Get("jobs.taken"), int64(1))
}

// A client sends many requests at once and leaves: once it has left, none of them may be sent to a worker, whether they
// are unread in the buffer or in the socket, and whether or not the first one was sent before. Otherwise workers run
// jobs that nobody waits for, and an id can run again when its client comes back.
func TestRequestsOfLeftClientAreNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		requests  int
		firstSent bool
	}{
		"in the buffer, before the first is sent": {8, false},
		"in the socket, before the first is sent": {400, false},
		"in the buffer, after the first is sent":  {8, true},
		"in the socket, after the first is sent":  {400, true},
	} {
		t.Run(name, func(t *testing.T) {
			answerFirst := make(chan bool)
			worker := newTestWorker(t, func(c net.Conn, r *http.Request, id string) bool {
				<-answerFirst
				return serveJob(c, r, id)
			})
			p, set := start(t, "", worker)
			s := connect(t, p)
			var text strings.Builder
			for i := range c.requests {
				text.WriteString(jobText("ratify", fmt.Sprintf("j%d", i), "19000m", ""))
			}
			sent := int64(0)
			if c.firstSent {
				s.send(t, jobText("ratify", "first", "19000m", ""))
				await(t, "the first job is at the worker", func() bool { return worker.RequestCount.Load() == 1 })
				sent = 1
			}
			s.send(t, text.String())
			s.Close()
			close(answerFirst)
			await(t, "the connection has ended", func() bool {
				p.clients.mu.Lock()
				defer p.clients.mu.Unlock()
				return len(p.clients.conns) == 0
			})
			// Without a first job, one request may be read before the close arrives.
			if got := worker.RequestCount.Load(); got > max(sent, 1) {
				t.Errorf("requests at the worker: %d, want at most %d", got, max(sent, 1))
			}
			check(t, "counter "+guard.ClientDisconnected.Counter(), set.Get(guard.ClientDisconnected.Counter()), int64(0))
		})
	}
}
