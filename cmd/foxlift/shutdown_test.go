package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// serveEndpoints is a discovery service on a listener. Until up is closed it closes each connection; then it answers
// each poll with a list of one worker.
func serveEndpoints(l net.Listener, worker string, up <-chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case <-up:
			go answerPolls(c, worker)
		default:
			c.Close()
		}
	}
}

// answerPolls answers each poll on a connection with a list of one worker.
func answerPolls(c net.Conn, worker string) {
	defer c.Close()
	body := `{"seq":2,"whole":true,"hosts":[` + endpoint("h", worker) + `]}`
	for reader := bufio.NewReader(c); ; {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// While discovery is down, idle clients use all descriptors that clients may use. When discovery is back, the
// scheduler still has descriptors to poll it and to connect to the worker in its list.
func TestIdleClientsExhaustDescriptors(t *testing.T) {
	worker := standin.Serve(listen(t), func(c net.Conn, _ *http.Request, id string) bool {
		return standin.WriteStates(c, id, true, `"started"`, `"done","result":"served"`)
	})
	discovery, up := listen(t), make(chan struct{})
	go serveEndpoints(discovery, worker.Addr().String(), up)
	program := newProcess(t, `"sockets": 1024`, `"sockets": 256`)
	program.Env = append(program.Env, lowDescriptorLimit+"=1", "LB_DISCOVERY="+discovery.Addr().String())
	address := program.startServing(t)
	go program.discardLines()
	for range 400 { // more connections than descriptors
		dial(t, address)
	}
	close(up)
	request := func(text string) (status int) {
		c := dial(t, address)
		defer c.Close()
		if c.send(text) != nil {
			return 0
		}
		r, err := c.receive()
		if err != nil {
			return 0
		}
		return r.status
	}
	for deadline := time.Now().Add(testTimeout); request(healthRequest) != http.StatusOK; {
		if time.Now().After(deadline) {
			t.Fatalf("health is not %d within %v after discovery is back", http.StatusOK, testTimeout)
		}
	}
	if status := request(jobText("reading", "j", "9000m")); status != http.StatusOK {
		t.Errorf("status of a job = %d, want %d", status, http.StatusOK)
	}
}

// discardLines reads the output of the process, so that a full pipe does not block it.
func (p *process) discardLines() {
	for p.lines.Scan() {
	}
}

// Signals during a shutdown do not disturb it. The process receives SIGHUP, SIGUSR1 and further SIGTERMs while a job
// is at a worker that hangs, a client has sent half a request header, and another client keeps sending requests.
// Each complete request has a complete response or was never accepted, and the process exits with code 0.
func TestSignalsDuringShutdown(t *testing.T) {
	worker := standin.Serve(listen(t), func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.Copy(io.Discard, c) // the worker hangs until the scheduler closes the connection
		return false
	})
	program := newProcessWithEndpoints(t, endpoint("h", worker.Addr().String()))
	address := program.startServing(t)
	hanging, half, busy := dial(t, address), dial(t, address), dial(t, address)
	hanging.mustSend(t, jobText("ratify", "hangs", "1500m"))
	for worker.RequestCount.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	half.mustSend(t, jobText("reading", "half", "9000m")[:30])
	program.signal(t, syscall.SIGTERM)
	program.awaitLine(t, "shutting down")
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGUSR1} {
		program.signal(t, s)
	}
	if answered := busy.requestUntilClosed(t); answered == 0 {
		t.Error("requestUntilClosed() = 0 during the shutdown, want at least 1 answered request")
	}
	r, err := hanging.receive()
	if err != nil || r.status != http.StatusBadGateway {
		t.Errorf("response to the job at the hanging worker: %v, %v, want status %d", r, err, http.StatusBadGateway)
	}
	program.awaitExit(t)
}

// requestUntilClosed sends health requests until the connection closes, and returns how many were
// answered.
func (c *connection) requestUntilClosed(t *testing.T) (answered int) {
	t.Helper()
	for {
		if c.send(healthRequest) != nil {
			return answered
		}
		r, err := c.receive()
		if err != nil {
			return answered
		}
		if r.bodyErr != nil {
			t.Errorf("incomplete body of a health response: %v", r.bodyErr)
		}
		answered++
		if r.closes {
			return answered
		}
	}
}
