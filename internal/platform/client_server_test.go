package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// A failingListener fails as one does that is out of descriptors.
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

// Running out of descriptors does not end accepting.
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

// Past the budget the longest idle connection is closed, a busy one is not.
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
	check(t, "third", r.StatusCode, 200)
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	busy.send(t, jobText("reading", "j0", "9000m", "abc")[60:])
	r, _ = busy.answer(t)
	check(t, "busy", r.StatusCode, 200)
}

// A flood of connections that bring no job does not cost other clients theirs.
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
		case 1: // asks once and stays
			s.send(t, jobText("reading", fmt.Sprint("f", i), "9000m", ""))
		}
		flood = append(flood, s)
	}
	r, _ := connect(t, platform).request(t, jobText("reading", "j1", "9000m", ""))
	check(t, "a new connection", r.StatusCode, 200)
	r, _ = regular.request(t, jobText("reading", "j2", "9000m", ""))
	check(t, "the kept connection", r.StatusCode, 200)
	check(t, "goes on", r.Close, false)
	for _, s := range flood {
		s.Close()
	}
}

// A flood of connections that brought one job each and stay is closed all at once: a client behind it must not
// wait for one batch of closes after the other.
func TestFloodFreesCapacityAtOnce(t *testing.T) {
	const budget = 20
	p, _ := start(t, "", newTestWorker(t, serveJob))
	server := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), budget)
	server.lateRequestGrace = waitTimeout // none of them is gone before the count
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
	await(t, "all idle", func() bool { server.mu.Lock(); defer server.mu.Unlock(); return server.idle.Len() == flood+1 })
	server.freeOneConn()
	oneJob, moreJobs := retired()
	check(t, "connections of one job that make way", oneJob, flood)
	check(t, "connections of more jobs that make way", moreJobs, 0)
}

// The backlog at the shutdown is served: the kernel has accepted it.
func TestBacklogIsServed(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	server := newClientServer(p.core, core.NewClock(), &counters.Set{}, zap.NewNop(), listen(t).(*net.TCPListener), 1)
	platform := &Platform{clients: server}
	busy := connect(t, platform)
	busy.send(t, jobText("reading", "j0", "9000m", "abc")[:60])
	go server.accept()
	await(t, "accepted", func() bool {
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
	check(t, "busy", r.StatusCode, 200)
	<-ended
}

// More clients than there are descriptors for: what cannot be queued is shed at once, and no request stays
// unread until its client gives up.
func TestMoreJobsThanDescriptors(t *testing.T) {
	release := make(chan bool)
	var atWorkers sync.Map // ids; other tests' schedulers may still call at a port that was theirs
	handle := func(c net.Conn, r *http.Request, id string) bool {
		writeStates(c, id, false, `"started"`)
		atWorkers.Store(id, true)
		<-release
		return false
	}
	var workers []*testWorker
	for range 12 { // enough for none to be held
		workers = append(workers, newTestWorker(t, handle))
	}
	p, set := startWithSockets(t, 80, "", workers...)
	var held []*testClient
	for i := 0; len(held) < maxOpenJobs(p.clients.budget); i++ {
		s := connect(t, p)
		id, shed := fmt.Sprint("descriptors-", i), set.Get("jobs.refused")
		atWorker := func() bool {
			_, ok := atWorkers.Load(id)
			return ok
		}
		s.send(t, jobText("ratify", id, "19000m", ""))
		// At a worker a job that must not run twice stays open. One that is still queued, where
		// starts are reported late, may be shed: it never ran.
		await(t, "at a worker or shed", func() bool { return atWorker() || set.Get("jobs.refused") > shed })
		if atWorker() {
			held = append(held, s)
			continue
		}
		r, _ := s.answer(t)
		check(t, "held, then refused", r.StatusCode, 503)
	}
	refused, refusedBefore := 0, set.Get("jobs.refused")
	for i := range p.clients.budget + 20 - len(held) {
		s := connect(t, p)
		s.send(t, jobText("ratify", fmt.Sprint("j", i), "19000m", ""))
		r, _ := s.answer(t)
		check(t, "status", r.StatusCode, 503)
		check(t, "Retry-After", r.Header.Get("Retry-After"), "1.000")
		refused++
	}
	check(t, "refused", set.Get("jobs.too_many"), int64(refused))
	check(t, "all of them", set.Get("jobs.refused")-refusedBefore, int64(refused))
	close(release)
	for _, s := range held {
		s.answer(t)
	}
}
