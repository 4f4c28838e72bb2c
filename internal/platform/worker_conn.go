package platform

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vatu-meals/foxlift"
)

// deliver writes a request. A node starts on a request's last byte, so that one is
// held back until it is known, as far as can be, that the other side has not refused
// the rest: a connection that the node has dropped, or drops now, answers the first
// bytes with a reset, and where the last byte was not written the job never ran.
// In that moment too the list may change or the submitter go: may is asked last of all.
func (c *workerConn) deliver(request []byte, hold time.Duration, deadline time.Time, proceed func() bool) foxlift.Code {
	last := len(request) - 1
	if _, err := c.Write(request[:last]); err != nil {
		return c.failureCode()
	}
	if !c.confirmOpen(hold) {
		return c.failureCode()
	}
	if !proceed() {
		return foxlift.NotSent
	}
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return foxlift.NotSent // the nodes that knew it as a repeat may have forgotten it
	}
	if n, err := c.Write(request[last:]); n == 0 {
		return c.failureCode()
	} else if err != nil {
		return foxlift.Reset
	}
	return foxlift.Served
}

// How long a last byte is held back. On days of dropped connections 58 of 58 resets
// came within 0.3 ms of the first bytes, on loopback; between machines one takes a
// round trip. The runtime's timers are no finer than the least. Of 42 connections
// that had been kept 41 were idle for over 100 ms and one for 6.
const (
	minLastByteHold = time.Millisecond
	maxLastByteHold = 3 * time.Millisecond
	holdRoundTrips  = 2
	usedRecently    = 5 * time.Millisecond
)

// lastByteHold is how long the next last byte on a connection is to be held back; 0 where
// it was in use a moment ago and a job of the class may run twice, so that a look
// without a wait will do.
func (p *workerPool) lastByteHold(c *workerConn, class string) time.Duration {
	if p.repeatable[class] && !c.idleSince.IsZero() && time.Since(c.idleSince) < usedRecently {
		return 0
	}
	return min(maxLastByteHold, max(minLastByteHold, holdRoundTrips*roundTrip(c.Conn)))
}

// intact reports whether nothing has come on the connection, and it has not ended,
// by the end of a wait. An answer to half a request is of no use either.
func (c *workerConn) confirmOpen(wait time.Duration) bool {
	if wait == 0 {
		return c.buf.fillAvailable() && c.buf.buffered() == 0
	}
	c.SetReadDeadline(time.Now().Add(wait))
	err := c.buf.fill()
	c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// roundTrip is what the kernel has measured of a connection; 0 if it cannot tell.
func roundTrip(conn net.Conn) (rtt time.Duration) {
	withDescriptor(conn, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Min_rtt) * time.Microsecond // the mean has waits for late acknowledgements in it
		}
	})
	return rtt
}

// broken says what a connection that breaks before a request's last byte tells: that
// the node cannot be reached, or, if it was kept from an earlier request, nothing.
func (c *workerConn) failureCode() foxlift.Code {
	if c.idleSince.IsZero() {
		return foxlift.Unreachable
	}
	return foxlift.NotSent
}

// A workerConn is a connection to an execute node. It carries one request at a time.
type workerConn struct {
	net.Conn
	addr      string
	buf       buffer
	idleTimer *time.Timer // while idle
	idleSince time.Time   // when it became idle
	openedAt  time.Time   // when it was opened
}

// reset ends a connection at once: what it has not delivered is discarded.
func (c *workerConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
