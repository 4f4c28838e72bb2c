package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// A failingListener's first calls of Accept fail as if the process were out of descriptors.
type failingListener struct {
	*net.TCPListener
	failures int
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures--; f.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.TCPListener.Accept()
}

// accept must go on after Accept has failed because the process was out of descriptors.
func TestAcceptSurvivesErrors(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	set := &counters.Set{}
	l := &failingListener{listen(t).(*net.TCPListener), 3}
	server := newClientServer(p.core, core.NewClock(), set, zap.NewNop(), l, 9)
	go server.accept()
	r, _ := connect(t, &Platform{clients: server}).request(t, jobText("reading", "j", "9000m", ""))
	check(t, "status", r.StatusCode, 200)
	check(t, "failed accepts", set.Get("accept.failed"), int64(3))
}

// When the budget is used up, the longest idle connection must be closed for a new one, and not a busy one.
func TestClientConnBudget(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	server := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), 2)
	go server.accept()
	platform := &Platform{clients: server}
	busy := connect(t, platform)
	busy.send(t, jobText("reading", "j0", "9000m", "abc")[:60])
	idle := connect(t, platform)
	idle.request(t, jobText("reading", "j1", "9000m", ""))
	r, _ := connect(t, platform).request(t, jobText("reading", "j2", "9000m", ""))
	check(t, "status on the third connection", r.StatusCode, 200)
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("read on the idle connection returned error %v, want %v", err, io.EOF)
	}
	busy.send(t, jobText("reading", "j0", "9000m", "abc")[60:])
	r, _ = busy.answer(t)
	check(t, "busy", r.StatusCode, 200)
}

// A flood of connections with no job, half a request or one job must not close the connections of other clients, nor
// keep new clients out.
func TestFloodOfConnections(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	server := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), 20)
	go server.accept()
	platform := &Platform{clients: server}
	regular := connect(t, platform)
	regular.request(t, jobText("reading", "u0", "9000m", ""))
	regular.request(t, jobText("reading", "u1", "9000m", ""))
	var flood []*testClient
	for i := range 60 {
		s := connect(t, platform)
		switch i % 3 {
		case 0:
			s.send(t, "POST /reading HTTP/1.1\r\n")
		case 1: // sends one job and keeps the connection open
			s.send(t, jobText("reading", fmt.Sprint("f", i), "9000m", ""))
		}
		flood = append(flood, s)
	}
	r, _ := connect(t, platform).request(t, jobText("reading", "j1", "9000m", ""))
	check(t, "status on a new connection", r.StatusCode, 200)
	r, _ = regular.request(t, jobText("reading", "j2", "9000m", ""))
	check(t, "status on the regular connection", r.StatusCode, 200)
	check(t, "regular connection closes", r.Close, false)
	for _, s := range flood {
		s.Close()
	}
}

// All idle connections of a flood that have sent one job each must be closed at once. Closed in batches, they would
// make a client behind the flood wait for one batch after another.
func TestFloodFreesCapacityAtOnce(t *testing.T) {
	const budget = 20
	p, _ := start(t, "", newTestWorker(t, serveJob))
	server := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), budget)
	server.lateRequestGrace = waitTimeout // no connection is closed before the count
	go server.accept()
	platform := &Platform{clients: server}
	regular := connect(t, platform)
	regular.request(t, jobText("reading", "u0", "9000m", ""))
	regular.request(t, jobText("reading", "u1", "9000m", ""))
	const flood = budget - budget/headroomDivisor - 2
	for i := range flood {
		connect(t, platform).request(t, jobText("reading", fmt.Sprint("f", i), "9000m", ""))
	}
	retired := func() (oneJob, moreJobs int) {
		server.mu.Lock()
		defer server.mu.Unlock()
		for s := range server.conns {
			switch {
			case s.retired.Load() && s.requests > 1:
				moreJobs++
			case s.retired.Load():
				oneJob++
			}
		}
		return oneJob, moreJobs
	}
	await(t, "all connections idle", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.idle.Len() == flood+1
	})
	server.freeOneConn()
	oneJob, moreJobs := retired()
	check(t, "retired connections with one job", oneJob, flood)
	check(t, "retired connections with more jobs", moreJobs, 0)
}

// Connections in the backlog at the shutdown must be served: the kernel has accepted them, so their requests would be
// lost.
func TestBacklogIsServed(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	server := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), 1)
	platform := &Platform{clients: server}
	busy := connect(t, platform)
	busy.send(t, jobText("reading", "j0", "9000m", "abc")[:60])
	go server.accept()
	await(t, "one accepted connection", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.conns) == 1 && server.idle.Len() == 0
	})
	var waiting []*testClient
	for i := range 5 {
		s := connect(t, platform)
		s.send(t, jobText("reading", fmt.Sprint("w", i), "9000m", ""))
		waiting = append(waiting, s)
	}
	ended := make(chan bool)
	go func() { server.shutDown(0, 0); close(ended) }()
	for _, s := range waiting {
		r, _ := s.answer(t)
		check(t, "status", r.StatusCode, 200)
	}
	busy.send(t, jobText("reading", "j0", "9000m", "abc")[60:])
	r, _ := busy.answer(t)
	check(t, "status on the busy connection", r.StatusCode, 200)
	<-ended
}

// With more clients than descriptors, jobs that cannot be queued must be shed at once. No request may stay unread until
// its client times out.
func TestMoreJobsThanDescriptors(t *testing.T) {
	release := make(chan bool)
	var atWorkers sync.Map // job IDs; schedulers of earlier tests may still send to a reused port
	handle := func(c net.Conn, r *http.Request, id string) bool {
		writeStates(c, id, false, `"started"`)
		atWorkers.Store(id, true)
		<-release
		return false
	}
	var workers []*testWorker
	for range 12 { // enough workers that no job is queued
		workers = append(workers, newTestWorker(t, handle))
	}
	p, set := startWithSockets(t, 80, "", workers...)
	var openClients []*testClient
	for i := 0; len(openClients) < maxOpenJobs(p.clients.budget); i++ {
		s := connect(t, p)
		id, shed := fmt.Sprint("descriptors-", i), set.Get("jobs.refused")
		atWorker := func() bool {
			_, ok := atWorkers.Load(id)
			return ok
		}
		s.send(t, jobText("ratify", id, "19000m", ""))
		// An at-most-once job at a worker stays open. A job that is still queued, because starts are reported late,
		// may be shed, since it has not run.
		await(t, "job at a worker or shed", func() bool { return atWorker() || set.Get("jobs.refused") > shed })
		if atWorker() {
			openClients = append(openClients, s)
			continue
		}
		r, _ := s.answer(t)
		check(t, "status of a queued and shed job", r.StatusCode, 503)
	}
	refused, refusedBefore := 0, set.Get("jobs.refused")
	for i := range p.clients.budget + 20 - len(openClients) {
		s := connect(t, p)
		s.send(t, jobText("ratify", fmt.Sprint("j", i), "19000m", ""))
		r, _ := s.answer(t)
		check(t, "status", r.StatusCode, 503)
		check(t, "Retry-After", r.Header.Get("Retry-After"), "1.000")
		refused++
	}
	check(t, "counter jobs.too_many", set.Get("jobs.too_many"), int64(refused))
	check(t, "increase of counter jobs.refused", set.Get("jobs.refused")-refusedBefore, int64(refused))
	close(release)
	for _, s := range openClients {
		s.answer(t)
	}
}

// A request behind a crowd whose requests stopped half way must be answered in its time. The crowd must not hold its
// connections for a grace each, one budget after another, while the request waits in the backlog.
func TestRequestBehindStoppedCrowd(t *testing.T) {
	const (
		crowd     = 400
		budget    = 10
		remaining = 3 * time.Second
		lateBy    = 500 * time.Millisecond // later, an answer counts as lost
	)
	p, _ := startWithSockets(t, 1024, "", newTestWorker(t, serveJob))
	server := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), budget)
	platform := &Platform{clients: server}
	for range crowd {
		connect(t, platform).send(t, "POST /reading HTTP/1.1\r\nHost: app.svc\r\n")
	}
	sound := connect(t, platform)
	sound.send(t, jobText("reading", "j", "3000m", ""))
	sentAt := time.Now()
	go server.accept()
	r, _ := sound.answer(t)
	check(t, "status", r.StatusCode, http.StatusOK)
	if took := time.Since(sentAt); took > remaining+lateBy {
		t.Errorf("answer after %v, want at most %v", took, remaining+lateBy)
	}
}

// The time that a request waits in the backlog of the listener must count: a job that is read after its deadline must
// be shed, and not be sent to a worker.
func TestDeadlineCountsFromArrival(t *testing.T) {
	worker := newTestWorker(t, serveJob)
	p, set := start(t, "", worker)
	server := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), 10)
	platform := &Platform{clients: server}
	late := connect(t, platform)
	sentAt := time.Now()
	late.send(t, jobText("reading", "late", "50m", ""))
	await(t, "the request has waited past its deadline", func() bool { return time.Since(sentAt) > 2*maxUncountedWait })
	go server.accept()
	r, _ := late.answer(t)
	check(t, "status", r.StatusCode, http.StatusServiceUnavailable)
	check(t, "counter jobs.too_late", set.Get("jobs.too_late"), int64(1))
	check(t, "requests at the worker", worker.RequestCount.Load(), int64(0))
}

// A connection that was accepted when it came has not waited in the backlog, whatever the kernel's clock shows: its
// request must not count as old. The process may have stood still, or its clock be another one than the kernel's.
func TestRequestOutsideBacklogIsNotOld(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	near, far := pipe(t)
	writeText(t, far, jobText("reading", "read-late", "50m", ""))
	await(t, "the kernel's figure is above the deadline", func() bool { return sinceLastInput(near) > 2*maxUncountedWait })
	p.clients.serveConn(near, time.Now())
	r, _, err := readAnswer(bufio.NewReader(far))
	if err != nil {
		t.Fatal(err)
	}
	check(t, "status", r.StatusCode, http.StatusOK)
}

// A request that is invalid must get its 4xx, even if its connection was to be closed for want of capacity meanwhile:
// only one that has not come to its end is closed without an answer.
func TestInvalidRequestOfEvictedConnectionIsAnswered(t *testing.T) {
	p, set := start(t, "", newTestWorker(t, serveJob))
	near, far := pipe(t)
	c := &clientConn{server: p.clients, conn: near, buf: readBuffer{conn: near}, openedAt: time.Now()}
	c.evicted.Store(true)
	writeText(t, far, "what is this\r\n\r\n")
	c.exchange()
	_ = near.Close() // so that the read below ends
	r, _, err := readAnswer(bufio.NewReader(far))
	if err != nil {
		t.Fatal(err)
	}
	check(t, "status", r.StatusCode, http.StatusBadRequest)
	check(t, "counter bad.evicted", set.Get("bad.evicted"), int64(0))
}

// After the budget was reduced below the number of open jobs, as at the start of an upgrade, a new request must be read
// and shed. It must not wait unread until some of these jobs have ended.
func TestRequestIsReadAfterBudgetWasReduced(t *testing.T) {
	const jobs, reduced = 6, 3
	worker := newTestWorker(t, neverAnswers)
	p, _ := start(t, "", worker)
	for i := range jobs {
		connect(t, p).send(t, jobText("ratify", fmt.Sprint("j", i), "19000m", ""))
	}
	await(t, "all jobs are open", func() bool { return p.core.Active() == jobs })
	p.clients.setBudget(reduced)
	p.core.SetMaxOpen(maxOpenJobs(reduced))
	for i := range reduced {
		s := connect(t, p)
		sentAt := time.Now()
		r, _ := s.request(t, jobText("reading", fmt.Sprint("new", i), "1000m", ""))
		check(t, "status", r.StatusCode, http.StatusServiceUnavailable)
		if took, limit := time.Since(sentAt), 1500*time.Millisecond; took > limit {
			t.Errorf("answer after %v, want at most %v", took, limit)
		}
	}
}
