package service

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A Fate is how one send of a job ended.
type Outcome int

const (
	Answered    Outcome = iota // a whole answer came
	Unread                     // the scheduler cannot have read the whole request: it may be sent again
	Interrupted                // the request arrived and the connection ended without a whole answer
	TimedOut                   // nothing came until the time was up
)

// String names a fate in reports.
func (f Outcome) String() string {
	return [...]string{"answered", "turned back unheard", "cut off", "without an answer in time"}[f]
}

// synBytes is by how much the kernel's count of acknowledged bytes is ahead of what was written:
// it counts the beginning of the connection as one byte.
const synBytes = 1

// An answer is a scheduler's whole answer to one request.
type answer struct {
	Status int
	Body   string
}

// A connection is one submitter's connection to the scheduler.
type connection struct {
	*net.TCPConn
	reader  *bufio.Reader
	written uint64 // bytes of all requests
	closes  bool   // the scheduler has said that this was its last answer
}

func dial(addr string, until time.Time) (*connection, error) {
	dialer := net.Dialer{Deadline: until}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &connection{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}, nil
}

// usable reports whether an idle connection is still open: submitters send nothing on one
// whose end they have seen.
func (c *connection) usable() bool {
	raw, err := c.SyscallConn()
	if err != nil || c.closes {
		return false
	}
	open := false
	raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN) // neither its end nor a word that nobody asked for
	})
	return open
}

// ask sends a request and waits for the answer. The error says in words what happened where
// there is none.
func (c *connection) exchange(request string, until time.Time) (answer, Outcome, error) {
	c.SetDeadline(until)
	n, err := io.WriteString(c, request)
	c.written += uint64(n)
	if err != nil {
		return answer{}, Unread, fmt.Errorf("writing: %w", err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return answer{}, c.outcome(err), fmt.Errorf("awaiting the answer: %w", err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, Interrupted, fmt.Errorf("within the answer's head: %w", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, Interrupted, fmt.Errorf("within the answer's body: %w", err)
	}
	c.closes = response.Close
	return answer{response.StatusCode, string(body)}, Answered, nil
}

// fate tells what became of a request that was written whole, when reading for the first byte
// of its answer ended so. The kernel resets a connection that is closed with unread bytes, and
// it acknowledges none that come after the close.
func (c *connection) outcome(err error) Outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Unread
	case c.acknowledged() < c.written:
		return Unread
	}
	return Interrupted
}

// acknowledged is how many of the written bytes the scheduler's side has taken in.
func (c *connection) acknowledged() (bytes uint64) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.Bytes_acked > synBytes {
			bytes = info.Bytes_acked - synBytes
		}
	})
	return bytes
}

// port is the connection's own port, by which logs tell it from others.
func (c *connection) port() string {
	return strconv.Itoa(c.LocalAddr().(*net.TCPAddr).Port)
}
