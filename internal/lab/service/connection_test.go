package service

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// serveOnce accepts one connection, treats it, and closes treated.
func serveOnce(t *testing.T, treat func(net.Conn)) (addr string, treated chan struct{}) {
	t.Helper()
	l, err := standin.Listen()
	must(t, err)
	t.Cleanup(func() { l.Close() })
	treated = make(chan struct{})
	go func() {
		defer close(treated)
		if c, err := l.Accept(); err == nil {
			treat(c)
		}
	}()
	return l.Addr().String(), treated
}

// readRequest reads one whole request.
func readRequest(c net.Conn) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		io.Copy(io.Discard, r.Body)
	}
}

// The rig tells a job that was read from one that cannot have been.
func TestOutcomes(t *testing.T) {
	request := requestText("a/north/reading/1", DefaultWorld().Classes[0], "north")
	for name, c := range map[string]struct {
		first bool // the server is done with the connection before the request is sent
		treat func(net.Conn)
		fate  Outcome
	}{
		"a whole answer":               {treat: func(c net.Conn) { readRequest(c); io.WriteString(c, completeAnswer) }, fate: Answered},
		"read and closed":              {treat: func(c net.Conn) { readRequest(c); c.Close() }, fate: Interrupted},
		"half an answer":               {treat: func(c net.Conn) { readRequest(c); io.WriteString(c, completeAnswer[:20]); c.Close() }, fate: Interrupted},
		"an answer without all of it":  {treat: func(c net.Conn) { readRequest(c); io.WriteString(c, completeAnswer[:len(completeAnswer)-1]); c.Close() }, fate: Interrupted},
		"half of it read and closed":   {treat: func(c net.Conn) { io.ReadFull(c, make([]byte, 10)); c.Close() }, fate: Unread},
		"closed before it came":        {first: true, treat: func(c net.Conn) { c.Close() }, fate: Unread},
		"reset before it came":         {first: true, treat: func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }, fate: Unread},
		"half-closed and read, unsaid": {treat: func(c net.Conn) { c.(*net.TCPConn).CloseWrite(); readRequest(c) }, fate: Interrupted},
		"nothing":                      {treat: readRequest, fate: TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			connected := make(chan struct{})
			addr, treated := serveOnce(t, func(conn net.Conn) { <-connected; c.treat(conn) })
			conn, err := dial(addr, time.Now().Add(patience))
			must(t, err)
			defer conn.Close()
			close(connected)
			if c.first {
				<-treated
			}
			limit := patience
			if c.fate == TimedOut {
				limit = 100 * time.Millisecond
			}
			if _, fate, err := conn.exchange(request, time.Now().Add(limit)); fate != c.fate {
				t.Errorf("%v (%v), should be %v", fate, err, c.fate)
			}
		})
	}
}

// A kept connection that the server has closed is not used again.
func TestClosedConnectionIsNotUsable(t *testing.T) {
	end := make(chan struct{})
	addr, _ := serveOnce(t, func(c net.Conn) { <-end; c.Close() })
	conn, err := dial(addr, time.Now().Add(patience))
	must(t, err)
	defer conn.Close()
	if !conn.usable() {
		t.Error("an open connection is not usable")
	}
	close(end)
	await(t, "the end is seen", patience, func() bool { return !conn.usable() })
}

// A job that was turned back unheard is sent once more; where that fails too, it is lost. One
// that was read is not sent again.
func TestReturnedJobIsSentOnceMore(t *testing.T) {
	for name, c := range map[string]struct {
		treat            []func(net.Conn) // the connections in turn
		lost, turnedBack int
	}{
		"answered then": {[]func(net.Conn){closeUnread, func(c net.Conn) { readRequest(c); io.WriteString(c, completeAnswer) }}, 0, 1},
		"and again":     {[]func(net.Conn){closeUnread, closeUnread}, 1, 1},
		"read":          {[]func(net.Conn){func(c net.Conn) { readRequest(c); c.Close() }}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := standin.Listen()
			must(t, err)
			go func() {
				defer l.Close()
				for _, treat := range c.treat {
					if conn, err := l.Accept(); err == nil {
						treat(conn)
					}
				}
			}()
			load := &Load{LoadOptions: DefaultLoad, addr: l.Addr().String(), tally: newTally()}
			load.submit("a/north/reading/1", DefaultWorld().Classes[0], "north", true)
			if n := len(load.tally.Lost); n != c.lost {
				t.Errorf("lost %d, should be %d", n, c.lost)
			}
			if n := len(load.tally.Returned); n != c.turnedBack {
				t.Errorf("turned back %d, should be %d", n, c.turnedBack)
			}
		})
	}
}

func closeUnread(c net.Conn) {
	io.ReadFull(c, make([]byte, 1))
	c.Close()
}

// The kernel's table tells who listens where.
func TestListens(t *testing.T) {
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
