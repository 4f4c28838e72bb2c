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

// An Outcome is how one send of a job ended.
type Outcome int

// The outcomes of a send.
const (
	// Answered means that a whole answer came.
	Answered Outcome = iota
	// Unread means that the scheduler cannot have read the whole request: it may be sent again.
	Unread
	// Interrupted means that the request arrived and the connection ended without a whole answer.
	Interrupted
	// DeadlineExceeded means that nothing came before the deadline.
	DeadlineExceeded
)

// String names an outcome in reports.
func (o Outcome) String() string {
	return [...]string{"answered", "turned back unheard", "cut off", "without an answer in time"}[o]
}

// synBytes is by how much the kernel's count of acknowledged bytes is ahead of what was written:
// it counts the connection's SYN as one byte.
const synBytes = 1

// answer is a scheduler's whole answer to one request.
type answer struct {
	Status int
	Body   string
}

// connection is one client's connection to the scheduler. One goroutine at a time uses it.
type connection struct {
	conn           net.Conn
	reader         *bufio.Reader
	writtenBytes   uint64 // bytes of all requests
	closeAnnounced bool   // the scheduler has said that this was its last answer
}

// dial connects to the scheduler.
func dial(addr string, until time.Time) (*connection, error) {
	dialer := net.Dialer{Deadline: until}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &connection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// usable reports whether an idle connection is still open: clients send nothing on one
// whose end they have seen.
func (c *connection) usable() bool {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil || c.closeAnnounced {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN) // neither its end nor unexpected data
	})
	return err == nil && open
}

// exchange sends a request and waits for the answer. Where there is none, the error says what
// happened.
func (c *connection) exchange(request string, until time.Time) (answer, Outcome, error) {
	c.conn.SetDeadline(until)
	n, err := io.WriteString(c.conn, request)
	c.writtenBytes += uint64(n)
	if err != nil {
		return answer{}, Unread, fmt.Errorf("writing: %w", err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return answer{}, c.classifyReadError(err), fmt.Errorf("awaiting the answer: %w", err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, Interrupted, fmt.Errorf("within the answer's head: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, Interrupted, fmt.Errorf("within the answer's body: %w", err)
	}
	c.closeAnnounced = response.Close
	return answer{response.StatusCode, string(body)}, Answered, nil
}

// outcome tells what became of a request that was written whole, from the error with which reading
// the first byte of its answer ended. The kernel resets a connection that is closed with unread
// bytes, and it acknowledges none that come after the close.
func (c *connection) classifyReadError(err error) Outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return DeadlineExceeded
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Unread
	case c.acknowledgedBytes() < c.writtenBytes:
		return Unread
	}
	return Interrupted
}

// acknowledged is how many of the written bytes the scheduler's kernel has acknowledged.
func (c *connection) acknowledgedBytes() (bytes uint64) {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { // on an error nothing is counted
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Bytes_acked > synBytes {
			bytes = info.Bytes_acked - synBytes
		}
	})
	return bytes
}

// port is the connection's own port, by which logs tell it from others.
func (c *connection) localPort() string {
	return strconv.Itoa(c.conn.LocalAddr().(*net.TCPAddr).Port)
}
