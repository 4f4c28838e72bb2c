package service

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// serveOnce accepts one connection, calls handle with it, and then closes handled. The test's cleanup
// waits for that.
func serveOnce(t *testing.T, handle func(net.Conn)) (addr string, handled chan struct{}) {
	t.Helper()
	l, err := standin.Listen()
	must(t, err)
	handled = make(chan struct{})
	t.Cleanup(func() {
		l.Close()
		<-handled
	})
	go func() {
		defer close(handled)
		if c, err := l.Accept(); err == nil {
			handle(c)
		}
	}()
	return l.Addr().String(), handled
}

// readRequest reads one complete request.
func readRequest(c net.Conn) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body) // the client may disconnect
	}
}

// readBytes reads count bytes of the request, or fewer if the client disconnects.
func readBytes(c net.Conn, count int) {
	_, _ = io.ReadFull(c, make([]byte, count))
}

// answerWith reads the request and writes an answer. The client may disconnect before it has read all
// of it.
func answerWith(c net.Conn, answer string) {
	readRequest(c)
	_, _ = io.WriteString(c, answer)
}

// The ways in which a server may handle a connection.

func answerCompletely(c net.Conn) {
	answerWith(c, completeAnswer)
}

func answerPartOfHead(c net.Conn) {
	answerWith(c, completeAnswer[:20])
	c.Close()
}

func answerPartOfBody(c net.Conn) {
	answerWith(c, completeAnswer[:len(completeAnswer)-1])
	c.Close()
}

func closeAfterRequest(c net.Conn) {
	readRequest(c)
	c.Close()
}

func closeAtOnce(c net.Conn) {
	c.Close()
}

func closeUnread(c net.Conn) {
	readBytes(c, 1)
	c.Close()
}

func closeHalfRead(c net.Conn) {
	readBytes(c, 10)
	c.Close()
}

func resetAtOnce(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // fails only on a connection that has ended already
	c.Close()
}

func halfCloseAndRead(c net.Conn) {
	standin.CloseWrite(c)
	readRequest(c)
}

// A load must tell a request that the scheduler may have read from one that it cannot have read. If it
// confused them, a job could be sent twice, or an upgrade could lose a job unnoticed.
func TestExchangeOutcome(t *testing.T) {
	request := requestText("a/north/reading/1", DefaultTopology().Classes[0], "north")
	for name, c := range map[string]struct {
		first   bool // the server finishes with the connection before the request is sent
		handle  func(net.Conn)
		outcome Outcome
	}{
		"complete answer":                  {handle: answerCompletely, outcome: Answered},
		"closed after the request":         {handle: closeAfterRequest, outcome: Interrupted},
		"part of the head":                 {handle: answerPartOfHead, outcome: Interrupted},
		"part of the body":                 {handle: answerPartOfBody, outcome: Interrupted},
		"closed after part of the request": {handle: closeHalfRead, outcome: Unread},
		"closed before the request":        {first: true, handle: closeAtOnce, outcome: Unread},
		"reset before the request":         {first: true, handle: resetAtOnce, outcome: Unread},
		"half-closed, then request read":   {handle: halfCloseAndRead, outcome: Interrupted},
		"no answer":                        {handle: readRequest, outcome: DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			connected := make(chan struct{})
			addr, handled := serveOnce(t, func(conn net.Conn) {
				<-connected
				c.handle(conn)
			})
			client, err := dial(addr, time.Now().Add(testTimeout))
			must(t, err)
			defer client.conn.Close()
			close(connected)
			if c.first {
				<-handled
			}
			limit := testTimeout
			if c.outcome == DeadlineExceeded {
				limit = 100 * time.Millisecond
			}
			if _, outcome, err := client.exchange(request, time.Now().Add(limit)); outcome != c.outcome {
				t.Errorf("exchange() outcome = %v (error %v), want %v", outcome, err, c.outcome)
			}
		})
	}
}

// A client must not reuse an idle connection that the server has closed: its request would fail.
func TestClosedConnectionIsNotUsable(t *testing.T) {
	end := make(chan struct{})
	addr, _ := serveOnce(t, func(c net.Conn) {
		<-end
		c.Close()
	})
	client, err := dial(addr, time.Now().Add(testTimeout))
	must(t, err)
	defer client.conn.Close()
	if !client.usable() {
		t.Error("usable() = false for an open connection, want true")
	}
	close(end)
	await(t, "the client detects the close", testTimeout, func() bool { return !client.usable() })
}

// A job that the scheduler did not read is sent a second time, and is lost if that fails too. A job
// that was read must not be sent again, because it may have run.
func TestUnreadJobIsSentOnceMore(t *testing.T) {
	for name, c := range map[string]struct {
		handlers     []func(net.Conn) // handlers of the successive connections
		lost, unread int
	}{
		"answered the second time": {[]func(net.Conn){closeUnread, answerCompletely}, 0, 1},
		"unread twice":             {[]func(net.Conn){closeUnread, closeUnread}, 1, 1},
		"read":                     {[]func(net.Conn){closeAfterRequest}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := standin.Listen()
			must(t, err)
			var server sync.WaitGroup
			t.Cleanup(func() {
				l.Close()
				server.Wait()
			})
			server.Go(func() {
				defer l.Close()
				for _, handle := range c.handlers {
					if conn, err := l.Accept(); err == nil {
						handle(conn)
					}
				}
			})
			load := &Load{LoadOptions: DefaultLoad, addr: l.Addr().String(), tally: newTally()}
			load.submit("a/north/reading/1", DefaultTopology().Classes[0], "north", true)
			if n := len(load.tally.Lost); n != c.lost {
				t.Errorf("submit() recorded %d lost jobs, want %d", n, c.lost)
			}
			if n := len(load.tally.Unread); n != c.unread {
				t.Errorf("submit() recorded %d unread jobs, want %d", n, c.unread)
			}
		})
	}
}

// Listens reports an address only while the process listens on it, and rejects an address without a
// port.
func TestListensReadsKernelTable(t *testing.T) {
	l, err := standin.Listen()
	must(t, err)
	addr := l.Addr().String()
	for _, open := range []bool{true, false} {
		if !open {
			l.Close()
		}
		got, err := Listens(syscall.Getpid(), addr)
		if err != nil || got != open {
			t.Errorf("Listens(%q) = %v (error %v), want %v", addr, got, err, open)
		}
	}
	if _, err := Listens(syscall.Getpid(), "nowhere"); err == nil || errors.Is(err, syscall.ENOENT) {
		t.Errorf("Listens of an address without a port: error %v, want one about the address", err)
	}
}
