package platform

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A drain must fail health checks at once, close idle connections and those whose job has been answered, lose no job
// and keep the listener open. Resume must undo it.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	serve := func(c net.Conn, r *http.Request, id string) bool {
		if id == "slow" {
			<-release
		}
		return serveJob(c, r, id)
	}
	p, set := start(t, "", newTestWorker(t, serve), newTestWorker(t, serve))
	idle, busy := connect(t, p), connect(t, p)
	idle.send(t, jobText("reading", "before", "5000m", ""))
	idle.answer(t)
	busy.send(t, jobText("ratify", "slow", "20000m", ""))
	await(t, "second job sent to a worker", func() bool { return set.Get("claims.written") == 2 })

	p.Quiesce()
	p.Quiesce()
	check(t, "ready", p.Ready(), false)
	check(t, "status of a health check", healthStatus(t, p), http.StatusServiceUnavailable)
	idle.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("read on the idle connection returned error %v, want %v", err, io.EOF)
	}
	lateClient := connect(t, p)
	lateClient.send(t, jobText("reading", "late", "5000m", ""))
	r, _ := lateClient.answer(t)
	check(t, "status of a job sent during the drain", r.StatusCode, http.StatusOK)
	check(t, "its connection closes", r.Close, true)
	close(release)
	r, body := busy.answer(t)
	check(t, "status of the job in flight", r.StatusCode, http.StatusOK)
	check(t, "its result", body, "for slow")
	check(t, "its connection closes", r.Close, true)
	await(t, "all connections closed", func() bool {
		p.clients.mu.Lock()
		defer p.clients.mu.Unlock()
		return len(p.clients.conns) == 0
	})

	p.Resume()
	p.Resume()
	check(t, "ready after resume", p.Ready(), true)
	check(t, "status of a health check after resume", healthStatus(t, p), http.StatusOK)
	newClient := connect(t, p)
	newClient.send(t, jobText("reading", "again", "5000m", ""))
	r, _ = newClient.answer(t)
	check(t, "connection closes after resume", r.Close, false)
	check(t, "counter drains.begun", set.Get("drains.begun"), int64(1))
	check(t, "counter drains.ended", set.Get("drains.ended"), int64(1))
}

// Resume right after quiesce must keep open the connections that have not been closed yet.
func TestResumeRightAfterQuiesce(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	s := connect(t, p)
	s.send(t, jobText("reading", "a", "5000m", ""))
	s.answer(t)
	p.Quiesce()
	p.Resume()
	s.send(t, jobText("reading", "b", "5000m", ""))
	r, _ := s.answer(t)
	check(t, "status", r.StatusCode, http.StatusOK)
	check(t, "connection closes", r.Close, false)
}

// Resume during a shutdown must not make the scheduler ready again.
func TestResumeDuringShutdown(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	p.Quiesce()
	done := make(chan struct{})
	go func() {
		p.ShutDown()
		close(done)
	}()
	await(t, "shutdown begun", p.clients.unready.Load)
	p.Resume()
	check(t, "ready", p.Ready(), false)
	<-done
}

// A request that is incomplete when the drain's read timeout expires must be rejected with 503: it was not accepted, so
// the client can safely retry it.
func TestHalfRequestInDrain(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	s := connect(t, p)
	text := jobText("reading", "half", "5000m", "body")
	s.send(t, text[:len(text)-1])
	await(t, "first bytes of the request read", func() bool {
		p.clients.mu.Lock()
		defer p.clients.mu.Unlock()
		for c := range p.clients.conns {
			return !c.idle
		}
		return false
	})
	p.Quiesce()
	r, _ := s.answer(t)
	check(t, "status", r.StatusCode, http.StatusServiceUnavailable)
	check(t, "its connection closes", r.Close, true)
}

// healthStatus returns the status of a health check on a new connection.
func healthStatus(t *testing.T, p *Platform) int {
	t.Helper()
	r, _ := connect(t, p).request(t, "GET "+pathHealth+" HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
	return r.StatusCode
}
