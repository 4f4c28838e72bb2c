// Package standin implements simple replacements of the systems around a scheduler: discovery, workers and clients, on
// loopback, for tests, demonstrations and measurements. The stand-ins implement the platform's protocol from its
// description and share no code with the scheduler.
//
// Each stand-in owns its listener, its connections and a log: a Worker logs the jobs that it received and ran,
// Discovery the calls and the changes of the endpoint list, a Client the responses to its jobs. Tests check the
// scheduler's guarantees against these logs. All times are real time.
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

// Headers of a job request.
const (
	headerID             = "X-Txn"
	headerTenant         = "X-Org"
	headerRemaining      = "X-Remaining"
	headerIdempotencyKey = "Idempotency-Key"
)

// unavailableResponse is the response of discovery to a call that it does not serve.
const unavailableResponse = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

// A Handler answers a request that was read completely, with its body. id is the job id, "" for a request without one.
// A Handler reports whether the connection can serve another request; Server closes it otherwise.
type Handler func(c net.Conn, r *http.Request, id string) bool

// A Server answers HTTP requests, one after another on each of its connections.
type Server struct {
	net.Listener
	RequestCount, ConnCount atomic.Int64 // complete requests read, and connections accepted
	lastRequestTime         atomic.Int64 // of the first byte of the last request, Unix time in nanoseconds

	mu   sync.Mutex
	open map[net.Conn]bool
}

// Serve answers the requests of a listener with handle. Close closes the listener, Reset the connections. Neither stops
// a call of handle that is under way; it ends when it returns by itself or when an operation on its connection fails.
func Serve(l net.Listener, handle Handler) *Server {
	s := &Server{Listener: l, open: map[net.Conn]bool{}}
	go s.accept(handle)
	return s
}

// accept serves each accepted connection in a goroutine of its own, until the listener is closed.
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

// serve answers the requests of a connection until handle, a read or a parse ends it, and closes it.
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

// LastRequestTime returns when the first byte of the last request arrived, even if the request was incomplete; the Unix
// epoch, not the zero time, if there was none.
func (s *Server) LastRequestTime() time.Time { return time.Unix(0, s.lastRequestTime.Load()) }

// Reset resets all open connections, as the kernel does when a process dies.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		ResetConn(c)
	}
}

// WriteStates writes the header of a worker's response with status 200 and one chunk for each state of a job. A state
// is the JSON value of the field "state" and may be followed by more fields. end ends the body. WriteStates reports
// whether the write succeeded.
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

// chunk returns a chunk of a chunked body with one state of a job as a line of JSON.
func chunk(id, state string) string {
	line := fmt.Sprintf(`{"id":%q,"from":"n","state":%s}`+"\n", id, state)
	return fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
}

// writeText writes a text and reports whether the write succeeded.
func writeText(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// awaitClose reads and discards until the peer closes the connection.
func awaitClose(c net.Conn) {
	_, _ = io.Copy(io.Discard, c) // any error ends the connection, too
}
