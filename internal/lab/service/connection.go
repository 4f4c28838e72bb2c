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

// Outcome is the result of one transmission of a job.
type Outcome int

// The outcomes of a send.
const (
	// Answered means that the client received a complete response.
	Answered Outcome = iota
	// Unread means that the scheduler cannot have read the complete request, so the client may send it
	// again.
	Unread
	// Interrupted means that the scheduler received the request, and the connection ended before a
	// complete response.
	Interrupted
	// DeadlineExceeded means that the client received no response before the deadline.
	DeadlineExceeded
)

// String returns the outcome's description for reports.
func (o Outcome) String() string {
	return [...]string{"answered", "not read", "interrupted", "without a response in time"}[o]
}

// synBytes is the difference between the kernel's count of acknowledged bytes and the bytes of data
// acknowledged: the kernel counts the connection's SYN as one byte.
const synBytes = 1

// answer is a scheduler's complete response to one request.
type answer struct {
	Status int
	Body   string
}

// connection is one client's connection to the scheduler. It is not safe for concurrent use.
type connection struct {
	conn           net.Conn
	reader         *bufio.Reader
	writtenBytes   uint64 // total of all requests
	closeAnnounced bool   // the last response said that the scheduler closes the connection after it
}

// dial connects to the scheduler and gives up at the time until.
func dial(addr string, until time.Time) (*connection, error) {
	dialer := net.Dialer{Deadline: until}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &connection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// usable reports whether an idle connection is still open. As real clients do, the load sends no
// request on a connection that the scheduler has closed.
func (c *connection) usable() bool { return !c.closeAnnounced && isOpenAndSilent(c.conn) }

// isOpenAndSilent reports whether the other side has neither closed a connection nor sent data that is unread.
func isOpenAndSilent(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN) // neither end of file nor unexpected data
	})
	return err == nil && open
}

// exchange sends a request and waits for the response until the time until. If the outcome is not
// Answered, the error says why.
func (c *connection) exchange(request string, until time.Time) (answer, Outcome, error) {
	c.conn.SetDeadline(until)
	n, err := io.WriteString(c.conn, request)
	c.writtenBytes += uint64(n)
	if err != nil {
		return answer{}, Unread, fmt.Errorf("write request: %w", err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return answer{}, c.classifyReadError(err), fmt.Errorf("wait for response: %w", err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, Interrupted, fmt.Errorf("read response head: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, Interrupted, fmt.Errorf("read response body: %w", err)
	}
	c.closeAnnounced = response.Close
	return answer{response.StatusCode, string(body)}, Answered, nil
}

// classifyReadError returns the outcome of a request that was written completely, from the error of
// reading the first byte of the response. It relies on the kernel, which resets a connection that is
// closed with unread bytes, and acknowledges no bytes that arrive after the close.
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

// acknowledgedBytes returns how many of the written bytes the scheduler's kernel has acknowledged; 0
// if the kernel does not report it.
func (c *connection) acknowledgedBytes() (bytes uint64) {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { // an error leaves bytes at 0
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Bytes_acked > synBytes {
			bytes = info.Bytes_acked - synBytes
		}
	})
	return bytes
}

// localPort returns the connection's local port, which identifies the connection in logs.
func (c *connection) localPort() string {
	return strconv.Itoa(c.conn.LocalAddr().(*net.TCPAddr).Port)
}
