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

// workerConn is a connection to a worker. It transfers one request at a time.
type workerConn struct {
	net.Conn
	addr      string
	buf       readBuffer
	idleTimer *time.Timer // closes the connection after idleTimeout, unless it is reused before
	idleSince time.Time   // when it last became idle; zero for a connection that has served no request yet
	openedAt  time.Time

	anonymousAnswerAt time.Time // when it received the last answer that names no job; zero if none
	mayLag            bool      // an answer may have been a copy of the one before, so that its job's own may still come
}

// duplicateAnswerGrace is how long after an answer that names no job a worker may send it again. As the answer to the
// next job on the connection it could prove that a job never ran which has run.
const duplicateAnswerGrace = 100 * time.Millisecond

// recordAnonymousAnswer records that the connection has received an answer that names no job.
func (c *workerConn) recordAnonymousAnswer() {
	now := time.Now()
	c.mayLag = c.mayLag || now.Sub(c.anonymousAnswerAt) < duplicateAnswerGrace
	c.anonymousAnswerAt = now
}

// answersAreCertain reports whether an answer that names no job can only be that of the next request.
func (c *workerConn) answersAreCertain() bool {
	return !c.mayLag && time.Since(c.anonymousAnswerAt) >= duplicateAnswerGrace
}

// reused reports whether the connection has served an earlier request.
func (c *workerConn) reused() bool { return !c.idleSince.IsZero() }

// reset closes the connection with a TCP reset, which discards bytes that are not delivered yet.
func (c *workerConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a connection that is closed already
	}
	c.Close()
}

// sendError is the reason why a request was not delivered.
type sendError struct {
	code  foxlift.Code // reported to the core
	cause error
}

// Error implements error.
func (e *sendError) Error() string {
	return fmt.Sprintf("request not delivered (%v): %v", e.code, e.cause)
}

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// sendCode returns the code that is reported to the core for an error of acquire or deliver.
func sendCode(err error) foxlift.Code {
	var failure *sendError
	if errors.As(err, &failure) {
		return failure.code
	}
	return foxlift.Reset // no proof that the job never ran
}

var (
	errConnBroken          = errors.New("connection was closed or received unexpected bytes before the last byte")
	errNotPermitted        = errors.New("attempt is no longer permitted")
	errWriteDeadlinePassed = errors.New("attempt's write deadline passed before the last byte of the request was written")
)

// deliver writes a request of a head and a body, which may be empty. A worker starts the job when it receives the last
// byte of the request, so deliver holds that byte back for hold and checks that the worker has not closed the
// connection. A connection that the worker has closed, or closes now, answers the first bytes with a reset, and a job
// whose last byte was not written never ran. The endpoint list may change or the client disconnect during the hold, so
// proceed is called after it; if it returns false, or deadline (unless zero) has passed, the last byte is not written.
// The error is a *sendError: its code is NotSent or Unreachable if the last byte was not written, and Reset if it may
// have been. After an error the connection cannot be used for another request.
func (c *workerConn) deliver(
	head, body []byte, hold time.Duration, deadline time.Time, proceed func() bool,
) error {
	end := head
	if len(body) > 0 {
		if _, err := c.Write(head); err != nil {
			return c.brokenError(err)
		}
		end = body
	}
	last := len(end) - 1
	if _, err := c.Write(end[:last]); err != nil {
		return c.brokenError(err)
	}
	if !c.confirmOpen(hold) {
		return c.brokenError(errConnBroken)
	}
	if !proceed() {
		return &sendError{foxlift.NotSent, errNotPermitted}
	}
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		// The workers may no longer recognize the request as a repeat of an earlier one.
		return &sendError{foxlift.NotSent, errWriteDeadlinePassed}
	}
	n, err := c.Write(end[last:])
	switch {
	case n == 0:
		return c.brokenError(err)
	case err != nil:
		return &sendError{foxlift.Reset, err}
	}
	return nil
}

// brokenError returns the error for a connection that breaks before the last byte of a request. A new connection that
// breaks means that the worker is unreachable; a reused one proves nothing about the worker.
func (c *workerConn) brokenError(cause error) error {
	if c.reused() {
		return &sendError{foxlift.NotSent, cause}
	}
	return &sendError{foxlift.Unreachable, cause}
}

// Parameters of lastByteHold. On loopback the reset of a closed connection arrived within 0.3 ms of the first bytes;
// between machines it takes a round trip. The Go runtime's timers are not finer than minLastByteHold.
const (
	minLastByteHold = time.Millisecond
	maxLastByteHold = 3 * time.Millisecond
	holdRoundTrips  = 2                    // the hold is this many round trips, within the two limits
	maxRecentIdle   = 5 * time.Millisecond // a connection idle for less counts as in use recently
)

// lastByteHold returns how long the last byte of the next request on a connection is held back. It is 0 if the
// connection was in use recently and jobs of the class may run twice: a check without a wait is enough then.
func (p *workerPool) lastByteHold(c *workerConn, class string) time.Duration {
	if p.repeatable[class] && c.reused() && time.Since(c.idleSince) < maxRecentIdle {
		return 0
	}
	return min(maxLastByteHold, max(minLastByteHold, holdRoundTrips*roundTrip(c.Conn)))
}

// confirmOpen reports whether the connection is still open after wait, and has received nothing. A wait of 0 checks
// without blocking. Bytes that arrive before the request is complete cannot be its answer, so they also make the
// connection unusable for it.
func (c *workerConn) confirmOpen(wait time.Duration) bool {
	if wait == 0 {
		return c.buf.fillAvailable() && c.buf.buffered() == 0
	}
	c.SetReadDeadline(time.Now().Add(wait))
	err := c.buf.fill()
	c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// roundTrip returns the minimum round-trip time that the kernel has measured on a connection; 0 if it is unknown.
func roundTrip(conn net.Conn) (rtt time.Duration) {
	withDescriptor(conn, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Min_rtt) * time.Microsecond // the mean includes delayed acknowledgements
		}
	})
	return rtt
}
