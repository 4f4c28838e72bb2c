package platform

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

var errMessageTooLong = errors.New("the message is too long")

// A buffer is the one buffer of a connection. It grows as a message needs, and
// what is left is moved to its front when room runs out.
type buffer struct {
	conn net.Conn
	data []byte
	r, w int // data[r:w] is read from the connection and not yet consumed
}

const (
	initialBufferSize = 2 << 10
	maxRetainedSize   = 16 << 10 // a larger buffer is given back once it is empty
)

func (b *buffer) buffered() int { return b.w - b.r }

// drop forgets what is buffered.
func (b *buffer) discard() { b.r, b.w = 0, 0 }

// room makes space behind what is buffered.
func (b *buffer) reserve() {
	if b.r > 0 {
		b.w = copy(b.data, b.data[b.r:b.w])
		b.r = 0
	}
	if b.w == len(b.data) {
		grown := make([]byte, max(initialBufferSize, 2*len(b.data)))
		copy(grown, b.data[:b.w])
		b.data = grown
	}
}

// fill reads from the connection once. A deadline that has passed does not hide
// what had arrived: the process may only have had no time to read it.
func (b *buffer) fill() error {
	if b.w == len(b.data) {
		b.reserve()
	}
	before := b.buffered()
	n, err := b.conn.Read(b.data[b.w:])
	b.w += n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		b.fillAvailable()
	}
	if b.buffered() > before {
		return nil // an error comes again
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// fillAvailable takes what has already arrived, without waiting. It returns false if
// the other side has ended the connection.
func (b *buffer) fillAvailable() bool {
	sc, ok := b.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	if b.w == len(b.data) {
		b.reserve()
	}
	alive := true
	err = raw.Control(func(fd uintptr) {
		n, err := syscall.Read(int(fd), b.data[b.w:])
		switch {
		case n > 0:
			b.w += n
		case err == syscall.EAGAIN || err == syscall.EINTR:
		default:
			alive = false
		}
	})
	return alive && err == nil
}

// control calls f with the descriptor of a connection or a listener, unless that has none, as in
// some tests, or is closed.
func withDescriptor(c any, f func(fd int)) {
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { f(int(fd)) })
		}
	}
}

// peek looks for a byte on a socket without taking it.
func peek(fd int) (n int, err error) {
	n, _, err = syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// readable reports whether a socket has something to read, an end or an error included.
func readable(fd int) bool {
	_, err := peek(fd)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// arrived reports whether a connection has something to read, or has ended.
func hasInput(conn net.Conn) (found bool) {
	withDescriptor(conn, func(fd int) { found = readable(fd) })
	return found
}

// peerClosed reports whether the other side has ended a connection, or its sending on it, behind
// what it has sent before: while that is unread it cannot be told.
func peerClosed(conn net.Conn) (closed bool) {
	withDescriptor(conn, func(fd int) {
		n, err := peek(fd)
		closed = n <= 0 && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return closed
}

// unsent reports whether some of what was written has not reached the other side's machine.
func hasUnsentBytes(conn net.Conn) bool {
	unsent := 0
	withDescriptor(conn, func(fd int) { unsent, _ = unix.IoctlGetInt(fd, unix.TIOCOUTQ) })
	return unsent > 0
}

// waits reports whether a listener has a connection that is not accepted.
func hasPendingConn(l net.Listener) (pending bool) {
	withDescriptor(l, func(fd int) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = err == nil && n > 0
	})
	return pending
}

// A message is the reading of one message from a buffer. Its bytes stay in the
// buffer until end, so that nothing behind it is lost to the parser's read-ahead.
type message struct {
	*bufio.Reader // for http.ReadRequest and http.ReadResponse
	b             *buffer
	read          int   // read so far, from b.r
	limit         int   // most that may be read
	err           error // how the reading ended; parsers may word it as bad input
	releaseEarly  bool  // what the parser has used need not stay until end
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

func (b *buffer) newMessage(limit int) *message {
	m := &message{b: b, limit: limit, Reader: readerPool.Get().(*bufio.Reader)}
	m.Reset(messageReader{m})
	return m
}

// response reads the head of a response; provisional ones before it say nothing.
func (m *message) readResponse() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(m.Reader, nil)
		if err != nil || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

// used is what the parser has used of the buffer.
func (m *message) consumed() []byte { return m.b.data[m.b.r : m.b.r+m.read-m.Buffered()] }

// releaseConsumed gives back what the parser has used of the buffer.
func (m *message) releaseConsumed() {
	n := m.read - m.Buffered()
	m.b.r, m.read, m.limit = m.b.r+n, m.read-n, m.limit-n
}

// end drops what the parser has used of the buffer.
func (m *message) close() {
	m.releaseConsumed()
	if m.b.buffered() == 0 && len(m.b.data) > maxRetainedSize {
		m.b.data, m.b.r, m.b.w = nil, 0, 0
	}
	m.Reset(nil)
	readerPool.Put(m.Reader)
}

// unread hands a message's bytes to the parser.
type messageReader struct{ msg *message }

func (u messageReader) Read(p []byte) (int, error) {
	m := u.msg
	if m.read >= m.limit {
		m.err = errMessageTooLong
		return 0, m.err
	}
	for m.b.buffered() == m.read {
		if m.releaseEarly {
			m.releaseConsumed()
		}
		if m.err = m.b.fill(); m.err != nil {
			return 0, m.err
		}
	}
	n := copy(p[:min(len(p), m.limit-m.read)], m.b.data[m.b.r+m.read:m.b.w])
	m.read += n
	return n, nil
}
