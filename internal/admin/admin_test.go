package admin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/dialtest"
)

// connTimeout is the deadline of a test's connection, also on a slow machine.
const connTimeout = 20 * time.Second

// fakeScheduler is a Scheduler that counts the calls of Quiesce and Resume.
type fakeScheduler struct {
	ready    atomic.Bool
	quiesces atomic.Int32
	resumes  atomic.Int32
}

func (s *fakeScheduler) Ready() bool { return s.ready.Load() }
func (s *fakeScheduler) Quiesce()    { s.quiesces.Add(1) }
func (s *fakeScheduler) Resume()     { s.resumes.Add(1) }

// start runs a server with at most the given number of connections, and returns its scheduler and address.
func start(t *testing.T, connections int) (*fakeScheduler, string) {
	t.Helper()
	s := &fakeScheduler{}
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "scheduler_active 0\n")
	})
	server, err := Listen(t.Context(), "127.0.0.1:0", connections, s, metrics, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return s, server.Addr().String()
}

// dial opens a connection that is closed at the end of the test, and writes text to it.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn := dialtest.Dial(t, "tcp", address)
	conn.SetDeadline(time.Now().Add(connTimeout))
	// The server may answer and close before the whole text is written.
	fmt.Fprint(conn, text)
	return conn
}

// sendRequest writes text to a new connection. It returns the status of the response, 0 if there is none, and whether
// the server closed the connection after it.
func sendRequest(t *testing.T, address, text string) (status int, closed bool) {
	t.Helper()
	conn := dial(t, address, text)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Logf("%.40q: reading the response body: %v", text, err)
	}
	_, err = reader.ReadByte()
	return response.StatusCode, errors.Is(err, io.EOF)
}

// requestText returns a request without a body.
func requestText(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: scheduler\r\n\r\n", method, path)
}

// Each request must get the right status and the end of its connection. Invalid requests must not reach the scheduler.
func TestResponseStatuses(t *testing.T) {
	s, address := start(t, 8)
	for _, c := range []struct {
		text   string
		ready  bool
		status int
	}{
		{requestText("GET", PathHealth), false, 503},
		{requestText("GET", PathHealth), true, 200},
		{requestText("GET", PathStats), true, 200},
		{requestText("PUT", PathQuiesce), true, 200},
		{requestText("PUT", PathQuiesce), true, 200},
		{requestText("PUT", PathResume), true, 200},
		{requestText("PUT", PathHealth), true, 405},
		{requestText("GET", PathQuiesce), true, 405},
		{requestText("DELETE", PathResume), true, 405},
		{requestText("GET", "/admin"), true, 404},
		{requestText("GET", "/_health"), true, 404},
		{"hello\r\n\r\n", true, 400},
		{"GET " + PathHealth + " HTTP/1.1\r\nno colon\r\n\r\n", true, 400},
		{
			"GET " + PathHealth + " HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n",
			true, 431,
		},
	} {
		s.ready.Store(c.ready)
		status, closed := sendRequest(t, address, c.text)
		if status != c.status || !closed {
			t.Errorf("%.40q: status %d, closed %v; want %d and closed", c.text, status, closed, c.status)
		}
	}
	if s.quiesces.Load() != 2 || s.resumes.Load() != 1 {
		t.Errorf("quiesced %d times, resumed %d times; want 2 and 1", s.quiesces.Load(), s.resumes.Load())
	}
}

// A connection with half a request must be closed, the oldest first, when another connection needs its place. Otherwise
// incomplete requests would lock the operators out.
func TestOldestIncompleteRequestIsClosed(t *testing.T) {
	const connections = 4
	_, address := start(t, connections)
	var incomplete []net.Conn
	for range 5 * connections {
		incomplete = append(incomplete, dial(t, address, "GET /admin/st"))
		if status, _ := sendRequest(t, address, requestText("GET", PathStats)); status != 200 {
			t.Fatalf("status is %d with %d incomplete requests open, want 200", status, len(incomplete))
		}
	}
	if _, err := incomplete[0].Read(make([]byte, 1)); err == nil {
		t.Error("read on the connection of the oldest incomplete request succeeded, want an error")
	}
}

// The error for an address in use must name the configuration key, so that an operator can find the setting.
func TestAddressInUse(t *testing.T) {
	_, address := start(t, 8)
	_, err := Listen(t.Context(), address, 8, &fakeScheduler{}, http.NotFoundHandler(), zap.NewNop())
	if err == nil || !strings.Contains(err.Error(), "LB_ADMIN") {
		t.Errorf("Listen() returned error %v, want one that names LB_ADMIN", err)
	}
}
