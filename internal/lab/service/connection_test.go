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

// serveOnce accepts one connection, treats it, and closes treated. The test ends only after that.
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

// readRequest reads one whole request.
func readRequest(c net.Conn) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body) // the client may go away
	}
}

// readBytes reads so many bytes of the request, or less where the client goes away.
func readBytes(c net.Conn, count int) {
	_, _ = io.ReadFull(c, make([]byte, count))
}

// answerWith reads the request and writes an answer, of which the client may read less.
func answerWith(c net.Conn, answer string) {
	readRequest(c)
	_, _ = io.WriteString(c, answer)
}

// How a server may treat a connection.

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

// The lab tells a job that was read from one that cannot have been.
func TestExchangeOutcome(t *testing.T) {
	request := requestText("a/north/reading/1", DefaultTopology().Classes[0], "north")
	for name, c := range map[string]struct {
		first   bool // the server is done with the connection before the request is sent
		treat   func(net.Conn)
		outcome Outcome
	}{
		"a whole answer":               {treat: answerCompletely, outcome: Answered},
		"read and closed":              {treat: closeAfterRequest, outcome: Interrupted},
		"half an answer":               {treat: answerPartOfHead, outcome: Interrupted},
		"an answer without all of it":  {treat: answerPartOfBody, outcome: Interrupted},
		"half of it read and closed":   {treat: closeHalfRead, outcome: Unread},
		"closed before it came":        {first: true, treat: closeAtOnce, outcome: Unread},
		"reset before it came":         {first: true, treat: resetAtOnce, outcome: Unread},
		"half-closed and read, unsaid": {treat: halfCloseAndRead, outcome: Interrupted},
		"nothing":                      {treat: readRequest, outcome: DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			connected := make(chan struct{})
			addr, treated := serveOnce(t, func(conn net.Conn) {
				<-connected
				c.treat(conn)
			})
			client, err := dial(addr, time.Now().Add(testTimeout))
			must(t, err)
			defer client.conn.Close()
			close(connected)
			if c.first {
				<-treated
			}
			limit := testTimeout
			if c.outcome == DeadlineExceeded {
				limit = 100 * time.Millisecond
			}
			if _, outcome, err := client.exchange(request, time.Now().Add(limit)); outcome != c.outcome {
				t.Errorf("%v (%v), should be %v", outcome, err, c.outcome)
			}
		})
	}
}

// A kept connection that the server has closed is not used again.
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
		t.Error("an open connection is not usable")
	}
	close(end)
	await(t, "the end is seen", testTimeout, func() bool { return !client.usable() })
}

// A job that was not read is sent once more; where that fails too, it is lost. One
// that was read is not sent again.
func TestUnreadJobIsSentOnceMore(t *testing.T) {
	for name, c := range map[string]struct {
		treat            []func(net.Conn) // the connections in turn
		lost, turnedBack int
	}{
		"answered then": {[]func(net.Conn){closeUnread, answerCompletely}, 0, 1},
		"and again":     {[]func(net.Conn){closeUnread, closeUnread}, 1, 1},
		"read":          {[]func(net.Conn){closeAfterRequest}, 1, 0},
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
				for _, treat := range c.treat {
					if conn, err := l.Accept(); err == nil {
						treat(conn)
					}
				}
			})
			load := &Load{LoadOptions: DefaultLoad, addr: l.Addr().String(), tally: newTally()}
			load.submit("a/north/reading/1", DefaultTopology().Classes[0], "north", true)
			if n := len(load.tally.Lost); n != c.lost {
				t.Errorf("lost %d, should be %d", n, c.lost)
			}
			if n := len(load.tally.Unread); n != c.turnedBack {
				t.Errorf("turned back %d, should be %d", n, c.turnedBack)
			}
		})
	}
}

// The kernel's table tells who listens where.
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
			t.Errorf("listens: %v (%v), should be %v", got, err, open)
		}
	}
	if _, err := Listens(syscall.Getpid(), "nowhere"); err == nil || errors.Is(err, syscall.ENOENT) {
		t.Errorf("an address without a port: %v", err)
	}
}
