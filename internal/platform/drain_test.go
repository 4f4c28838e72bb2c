package platform

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A drain turns the health at once, ends idle connections and those whose job is answered, loses no job, and
// leaves the listener open; resume undoes it.
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
	await(t, "a claim", func() bool { return set.Get("claims.written") == 2 })

	p.Quiesce()
	p.Quiesce()
	check(t, "ready", p.Ready(), false)
	check(t, "health", healthStatus(t, p), http.StatusServiceUnavailable)
	idle.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Errorf("the resting connection: %v, want its end", err)
	}
	late := connect(t, p)
	late.send(t, jobText("reading", "late", "5000m", ""))
	r, _ := late.answer(t)
	check(t, "status of a job in the drain", r.StatusCode, http.StatusOK)
	check(t, "its connection ends", r.Close, true)
	close(release)
	r, body := busy.answer(t)
	check(t, "status of the job at work", r.StatusCode, http.StatusOK)
	check(t, "its result", body, "for slow")
	check(t, "its connection ends", r.Close, true)
	await(t, "no connection", func() bool {
		p.clients.mu.Lock()
		defer p.clients.mu.Unlock()
		return len(p.clients.conns) == 0
	})

	p.Resume()
	p.Resume()
	check(t, "ready again", p.Ready(), true)
	check(t, "health again", healthStatus(t, p), http.StatusOK)
	again := connect(t, p)
	again.send(t, jobText("reading", "again", "5000m", ""))
	r, _ = again.answer(t)
	check(t, "the connection goes on", r.Close, false)
	check(t, "drains begun", set.Get("drains.begun"), int64(1))
	check(t, "drains ended", set.Get("drains.ended"), int64(1))
}

// Resume right after quiesce keeps the connections that have not been closed yet.
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
	check(t, "the connection goes on", r.Close, false)
}

// A resume does not undo a shutdown.
func TestResumeDuringShutdown(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	p.Quiesce()
	done := make(chan struct{})
	go func() {
		p.ShutDown()
		close(done)
	}()
	await(t, "ending", p.clients.unready.Load)
	p.Resume()
	check(t, "ready", p.Ready(), false)
	<-done
}

// A request that stops half way in a drain is rejected: it was never accepted.
func TestHalfRequestInDrain(t *testing.T) {
	p, _ := start(t, "", newTestWorker(t, serveJob))
	s := connect(t, p)
	text := jobText("reading", "half", "5000m", "body")
	s.send(t, text[:len(text)-1])
	await(t, "the request has begun", func() bool {
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
	check(t, "its connection ends", r.Close, true)
}

func healthStatus(t *testing.T, p *Platform) int {
	t.Helper()
	r, _ := connect(t, p).request(t, "GET "+pathHealth+" HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
	return r.StatusCode
}
