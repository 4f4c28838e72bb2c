// Package standin stands in for what a scheduler meets: discovery, execute nodes and
// submitters, on loopback, for tests, demonstrations and measurements. They speak the
// platform's protocol from its description, with none of the scheduler's own code,
// and their logs and tallies are what its promises are held against.
package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// A Handler answers a request that was read in full, and returns whether the
// connection goes on.
type Handler func(c net.Conn, r *http.Request, id string) bool

// A Server answers requests one after another on each of its connections.
type Server struct {
	net.Listener
	Got, Conns atomic.Int64 // requests and connections
	lastBegun  atomic.Int64 // when the first byte of the last request came, Unix time in nanoseconds

	mu   sync.Mutex
	open map[net.Conn]bool
}

// Serve answers with handle on a listener, until Close.
func Serve(l net.Listener, handle Handler) *Server {
	s := &Server{Listener: l, open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.Conns.Add(1)
			s.mu.Lock()
			s.open[c] = true
			s.mu.Unlock()
			go s.serve(c, handle)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn, handle Handler) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	for br := bufio.NewReader(c); ; {
		if _, err := br.Peek(1); err != nil {
			return
		}
		begun := time.Now()
		s.lastBegun.Store(begun.UnixNano())
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.Got.Add(1)
		stamp(r, begun)
		if !handle(c, r, r.Header.Get("X-Txn")) {
			return
		}
	}
}

// LastBegun returns when the first byte of the last request came, also of one that was not whole.
func (s *Server) LastBegun() time.Time { return time.Unix(0, s.lastBegun.Load()) }

// Reset ends all connections as a process that dies does.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// Listen listens on a free port of loopback.
func Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// SayStates writes the head of a node's 200 and one chunk for each state; a state may
// hold more fields behind its name. Without end the body does not end.
func SayStates(c net.Conn, id string, end bool, states ...string) bool {
	b := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, s := range states {
		b += chunk(id, s)
	}
	if end {
		b += "0\r\n\r\n"
	}
	_, err := io.WriteString(c, b)
	return err == nil
}

func chunk(id, state string) string {
	line := fmt.Sprintf(`{"id":%q,"from":"n","state":%s}`+"\n", id, state)
	return fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
}
