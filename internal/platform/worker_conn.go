package platform

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vatu-meals/foxlift"
)

// A workerConn is a connection to a worker. It carries one request at a time.
type workerConn struct {
	net.Conn
	addr      string
	buf       buffer
	idleTimer *time.Timer // closes the connection, while it is idle
	idleSince time.Time   // when it last became idle; zero: it has not carried a request yet
	openedAt  time.Time
}

// reused reports whether the connection has carried an earlier request.
func (c *workerConn) reused() bool { return !c.idleSince.IsZero() }

// reset ends a connection at once: what it has not delivered is discarded.
func (c *workerConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a connection that is closed already
	}
	c.Close()
}

// A sendError is why a request was not delivered.
type sendError struct {
	code  foxlift.Code // what the core is told
	cause error
}

// Error implements error.
func (e *sendError) Error() string {
	return fmt.Sprintf("request not delivered (%v): %v", e.code, e.cause)
}

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// sendCode returns the code that the core is told of a request that was not delivered.
func sendCode(err error) foxlift.Code {
	var failure *sendError
	if errors.As(err, &failure) {
		return failure.code
	}
	return foxlift.Reset // no proof that the job never ran
}

var (
	errConnBroken          = errors.New("the connection has ended")
	errNotPermitted        = errors.New("the attempt is no longer permitted")
	errWriteDeadlinePassed = errors.New("the write deadline has passed")
)

// deliver writes a request. A worker starts on a request's last byte, so that byte is held back until it is
// known, as far as can be, that the other side has not refused the rest: a connection that the worker has
// dropped, or drops now, answers the first bytes with a reset, and where the last byte was not written the
// job never ran. In that time too the list may change or the client disconnect: proceed is asked last.
func (c *workerConn) deliver(request []byte, hold time.Duration, deadline time.Time, proceed func() bool) error {
	last := len(request) - 1
	if _, err := c.Write(request[:last]); err != nil {
		return c.brokenError(err)
	}
	if !c.confirmOpen(hold) {
		return c.brokenError(errConnBroken)
	}
	if !proceed() {
		return &sendError{foxlift.NotSent, errNotPermitted}
	}
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		// The workers that would have recognized it as a repeat may have forgotten it.
		return &sendError{foxlift.NotSent, errWriteDeadlinePassed}
	}
	n, err := c.Write(request[last:])
	switch {
	case n == 0:
		return c.brokenError(err)
	case err != nil:
		return &sendError{foxlift.Reset, err}
	}
	return nil
}

// brokenError is the error of a connection that breaks before a request's last byte. A new one says that the
// worker cannot be reached; one that was kept from an earlier request says nothing.
func (c *workerConn) brokenError(cause error) error {
	if c.reused() {
		return &sendError{foxlift.NotSent, cause}
	}
	return &sendError{foxlift.Unreachable, cause}
}

// How long a last byte is held back. Resets of dropped connections were seen to come within 0.3 ms of the
// first bytes on loopback; between machines one takes a round trip. The runtime's timers are no finer than
// the minimum.
const (
	minLastByteHold = time.Millisecond
	maxLastByteHold = 3 * time.Millisecond
	holdRoundTrips  = 2
	maxRecentIdle   = 5 * time.Millisecond
)

// lastByteHold is how long the next last byte on a connection is held back; 0 where it was in use a moment
// ago and a job of the class may run twice, so that a look without a wait will do.
func (p *workerPool) lastByteHold(c *workerConn, class string) time.Duration {
	if p.repeatable[class] && c.reused() && time.Since(c.idleSince) < maxRecentIdle {
		return 0
	}
	return min(maxLastByteHold, max(minLastByteHold, holdRoundTrips*roundTrip(c.Conn)))
}

// confirmOpen reports whether, by the end of a wait, nothing has come on the connection and it has not
// ended. An answer to half a request is of no use either.
func (c *workerConn) confirmOpen(wait time.Duration) bool {
	if wait == 0 {
		return c.buf.fillAvailable() && c.buf.buffered() == 0
	}
	c.SetReadDeadline(time.Now().Add(wait))
	err := c.buf.fill()
	c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// roundTrip is the round-trip time that the kernel has measured of a connection; 0 if it cannot tell.
func roundTrip(conn net.Conn) (rtt time.Duration) {
	withDescriptor(conn, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Min_rtt) * time.Microsecond // the mean includes delayed acknowledgements
		}
	})
	return rtt
}
