package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/pollpacing"
)

// errNotEndpoints says that a response is not an endpoint list, or not one that was asked for.
var errInvalidEndpoints = errors.New("not a list")

// A statusError is the status of a response that is no endpoint list.
type statusError int

// Error implements error.
func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// callOutcome says what a failed call tells of discovery.
func callOutcome(err error) pollpacing.Outcome {
	var status statusError
	var netErr net.Error
	switch {
	case errors.As(err, &oversizedError{}), errors.Is(err, errMessageTooLong):
		return pollpacing.Oversized
	case errors.As(err, &status) && status == http.StatusServiceUnavailable:
		return pollpacing.Overloaded
	case errors.As(err, &netErr) && netErr.Timeout():
		return pollpacing.Unanswered
	case errors.As(err, &status) || errors.Is(err, errInvalidEndpoints):
		return pollpacing.Invalid
	}
	return pollpacing.Unreachable
}

// An answerError is a failure after discovery had begun to answer with an endpoint list: it can be reached.
type responseError struct{ error }

// Unwrap returns the cause.
func (e responseError) Unwrap() error { return e.error }

// pollFailure says what a failed call that took so long tells of the endpoint list's age. A refusal after a
// wait may mean that discovery is down or has too many callers.
func pollFailure(err error, took time.Duration) foxlift.PollFailure {
	switch {
	case errors.As(err, new(responseError)):
		return foxlift.FailureInvalid
	case errors.Is(err, syscall.ECONNREFUSED):
		return foxlift.FailureDown
	case callOutcome(err) == pollpacing.Overloaded && took >= pollpacing.MinQueueWait:
		return foxlift.FailureBusy
	}
	return foxlift.FailureUnanswered
}

// A discoveryClient makes calls to discovery, on one connection while it lasts.
type discoveryClient struct {
	addr   string
	conn   net.Conn
	buf    buffer
	detach func() bool // conn no longer ends with ctx

	dialTimeout time.Duration
	deadline    callDeadline // of the call in flight
	onReading   func(bool)   // what has arrived is about to be read; or nothing more has
}

func (c *discoveryClient) close() {
	if c.conn != nil {
		c.detach()
		c.conn.Close()
		c.conn = nil
	}
}

// connect dials, unless the connection of an earlier call is there. The connection ends with ctx.
func (c *discoveryClient) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	d := net.Dialer{Timeout: c.dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	conn = &observedConn{conn.(*net.TCPConn), c.onReading}
	c.conn, c.buf = conn, buffer{conn: conn, data: make([]byte, maxRetainedSize)}
	c.detach = context.AfterFunc(ctx, func() { conn.Close() })
	return nil
}

// send writes a call; connect has succeeded before.
func (c *discoveryClient) send(target string, timeout time.Duration) error {
	c.deadline = callDeadline{timeout: time.Now().Add(timeout)}
	c.conn.SetDeadline(c.deadline.timeout)
	_, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, c.addr)
	return err
}

// receive reads a response and decodes the endpoint list as it arrives, within a bound.
func (c *discoveryClient) receive(bound responseBound) (*endpointsResponse, error) {
	msg := c.buf.newMessage(maxHead)
	msg.releaseEarly = true // what is decoded need not stay
	defer msg.close()
	resp, err := msg.readResponse()
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHead)); err != nil {
			return nil, err
		}
		return nil, statusError(resp.StatusCode)
	}
	if resp.ContentLength > bound.bytes {
		return nil, oversizedError{"bytes", bound.bytes}
	}
	msg.limit += 2 * int(bound.bytes) // the framing of chunks included
	body := &boundedBody{body: resp.Body, maxBytes: bound.bytes, onRead: c.extendDeadline}
	response, err := decodeResponse(body, bound.entries)
	switch {
	case body.err != nil:
		return nil, responseError{body.err}
	case err != nil:
		return nil, responseError{fmt.Errorf("%w: %w", errInvalidEndpoints, err)}
	}
	if resp.Close {
		c.close()
	}
	return response, nil
}

// extendDeadline gives a list that is arriving the time that it takes.
func (c *discoveryClient) extendDeadline(bytes int) {
	c.deadline.addReceived(bytes)
	c.conn.SetReadDeadline(c.deadline.next(time.Now()))
}

// A boundedBody reads a body of a bounded length, and reports each part. It keeps the error with which the
// reading ended before the body's end: a decoder may report it as malformed input.
type boundedBody struct {
	body      io.Reader
	maxBytes  int64 // that it may have
	onRead    func(bytes int)
	bytesRead int64
	err       error
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if b.bytesRead += int64(n); b.bytesRead > b.maxBytes {
		err = oversizedError{"bytes", b.maxBytes}
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	if n > 0 {
		b.onRead(n)
	}
	return n, err
}

// An observedConn reports what has arrived before it is read: whoever looks at the connection in between
// would else find nothing there, and nothing of it in the endpoint table.
type observedConn struct {
	*net.TCPConn
	onReading func(bool)
}

// Read implements net.Conn.
func (c *observedConn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	// After an error, such as a deadline that has passed, what has arrived is read as well, and the read below
	// returns the error again.
	_ = raw.Read(func(fd uintptr) bool {
		ready := readable(int(fd))
		c.onReading(ready)
		return ready
	})
	c.onReading(true)
	return c.TCPConn.Read(p)
}
