package admin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

const patience = 20 * time.Second

// state is a scheduler that only notes what it is told.
type state struct {
	ready    atomic.Bool
	quiesces atomic.Int32
	resumes  atomic.Int32
}

func (s *state) Ready() bool { return s.ready.Load() }
func (s *state) Quiesce()    { s.quiesces.Add(1) }
func (s *state) Resume()     { s.resumes.Add(1) }

func start(t *testing.T, connections int) (*state, string) {
	t.Helper()
	s := &state{}
	figures := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "scheduler_active 0\n") })
	server, err := Listen("127.0.0.1:0", connections, s, figures, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return s, server.Addr().String()
}

// call writes a text on a connection of its own and returns the answer's status; 0 if there is none.
func call(t *testing.T, address, text string) (status int, closed bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	io.WriteString(conn, text)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false
	}
	io.Copy(io.Discard, response.Body)
	_, err = reader.ReadByte()
	return response.StatusCode, err == io.EOF
}

func get(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: scheduler\r\n\r\n", method, path)
}

func TestCalls(t *testing.T) {
	s, address := start(t, 8)
	for _, c := range []struct {
		text   string
		ready  bool
		status int
	}{
		{get("GET", PathHealth), false, 503},
		{get("GET", PathHealth), true, 200},
		{get("GET", PathStats), true, 200},
		{get("PUT", PathQuiesce), true, 200},
		{get("PUT", PathQuiesce), true, 200},
		{get("PUT", PathResume), true, 200},
		{get("PUT", PathHealth), true, 405},
		{get("GET", PathQuiesce), true, 405},
		{get("DELETE", PathResume), true, 405},
		{get("GET", "/admin"), true, 404},
		{get("GET", "/_health"), true, 404},
		{"hello\r\n\r\n", true, 400},
		{"GET " + PathHealth + " HTTP/1.1\r\nno colon\r\n\r\n", true, 400},
		{"GET " + PathHealth + " HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n", true, 431},
	} {
		s.ready.Store(c.ready)
		status, closed := call(t, address, c.text)
		if status != c.status || !closed {
			t.Errorf("%.40q: status %d, closed %v; want %d and closed", c.text, status, closed, c.status)
		}
	}
	if s.quiesces.Load() != 2 || s.resumes.Load() != 1 {
		t.Errorf("quiesced %d times, resumed %d times; want 2 and 1", s.quiesces.Load(), s.resumes.Load())
	}
}

// Callers that hold half a call make way for whole ones, the oldest first.
func TestIncompleteCallsAreEvicted(t *testing.T) {
	const connections = 4
	_, address := start(t, connections)
	var held []net.Conn
	for range 5 * connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "GET /admin/st")
		held = append(held, conn)
		if status, _ := call(t, address, get("GET", PathStats)); status != 200 {
			t.Fatalf("status %d beside %d half calls", status, len(held))
		}
	}
	held[0].SetDeadline(time.Now().Add(patience))
	if _, err := held[0].Read(make([]byte, 1)); err == nil {
		t.Error("the oldest half call was answered")
	}
}

func TestAddressInUse(t *testing.T) {
	_, address := start(t, 8)
	if _, err := Listen(address, 8, &state{}, http.NotFoundHandler(), zap.NewNop()); err == nil || !strings.Contains(err.Error(), "LB_ADMIN") {
		t.Errorf("error %v, want one that names the key", err)
	}
}
