// Package standin stands in for what a scheduler meets: discovery, workers and clients, on loopback, for tests,
// demonstrations and measurements. The stand-ins speak the platform's protocol from its description, with none
// of the scheduler's own code.
//
// Each stand-in owns its listener, its connections and a log of what it saw: a Worker of the jobs that it
// received and ran, Discovery of the calls and of the endpoint list's changes, a Client of its jobs' answers.
// These logs are what the scheduler's promises are held against. Times are real time.
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

// Headers of a job's request.
const (
	headerID             = "X-Txn"
	headerTenant         = "X-Org"
	headerRemaining      = "X-Remaining"
	headerIdempotencyKey = "Idempotency-Key"
)

// busyAnswer is discovery's answer to a call that it does not serve.
const unavailableResponse = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

// A Handler answers a request that was read in full, and reports whether the connection goes on.
type Handler func(c net.Conn, r *http.Request, id string) bool

// A Server answers requests one after another on each of its connections.
type Server struct {
	net.Listener
	RequestCount, ConnCount atomic.Int64 // requests and connections
	lastRequestTime         atomic.Int64 // when the first byte of the last request came, Unix time in nanoseconds

	mu   sync.Mutex
	open map[net.Conn]bool
}

// Serve answers the listener's requests with handle. Close ends the listener and Reset the connections; a call
// of handle that waits goes on until it notices.
func Serve(l net.Listener, handle Handler) *Server {
	s := &Server{Listener: l, open: map[net.Conn]bool{}}
	go s.accept(handle)
	return s
}

func (s *Server) accept(handle Handler) {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.ConnCount.Add(1)
		s.mu.Lock()
		s.open[c] = true
		s.mu.Unlock()
		go s.serve(c, handle)
	}
}

func (s *Server) serve(c net.Conn, handle Handler) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		s.lastRequestTime.Store(firstByte.UnixNano())
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.RequestCount.Add(1)
		setFirstByte(r, firstByte)
		if !handle(c, r, r.Header.Get(headerID)) {
			return
		}
	}
}

// LastBegun returns when the first byte of the last request came, also of one that was not whole.
func (s *Server) LastRequestTime() time.Time { return time.Unix(0, s.lastRequestTime.Load()) }

// Reset ends all connections as a process that dies does.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		ResetConn(c)
	}
}

// SayStates writes the head of a worker's 200 and one chunk for each state; a state may hold more fields behind
// its name. Without end the body does not end.
func WriteStates(c net.Conn, id string, end bool, states ...string) bool {
	response := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, state := range states {
		response += chunk(id, state)
	}
	if end {
		response += lastChunk
	}
	return writeText(c, response)
}

// lastChunk ends a chunked body.
const lastChunk = "0\r\n\r\n"

func chunk(id, state string) string {
	line := fmt.Sprintf(`{"id":%q,"from":"n","state":%s}`+"\n", id, state)
	return fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
}

// writeText writes a text and reports whether the connection took it.
func writeText(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// awaitClose reads until the other side ends the connection.
func awaitClose(c net.Conn) {
	_, _ = io.Copy(io.Discard, c) // any error is the end that it waits for
}
