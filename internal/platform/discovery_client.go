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

// errInvalidEndpoints is the error for a response that is not an endpoint list, or not the kind that was requested. A
// list over the limit of bytes is an oversizedError instead; one over the limit of entries is both.
var errInvalidEndpoints = errors.New("response is not a valid endpoint list")

// statusError is the HTTP status of a response that is not 200.
type statusError int

// Error implements error.
func (e statusError) Error() string { return fmt.Sprintf("discovery returned status %d", int(e)) }

// callOutcome returns the outcome of a failed call to discovery for the pacer. An error of an unknown kind is
// Unreachable.
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

// responseError is a failure to read, decode or use the body of a response with status 200, so discovery is reachable.
// A list that is rejected only for its Content-Length is not a responseError.
type responseError struct{ error }

// Unwrap returns the cause.
func (e responseError) Unwrap() error { return e.error }

// pollFailure returns the kind of failure that is reported to the module for a failed call, from its error and its
// duration. The module uses it to judge the age of the endpoint list. A responseError is FailureInvalid, a refused
// connection is FailureDown, and a 503 after a wait of at least pollpacing.MinQueueWait is FailureBusy: discovery may
// be down or have too many callers. Any other error, such as a timeout or an earlier 503, is FailureUnanswered.
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

// discoveryClient makes calls to discovery, one at a time. It keeps one connection across calls.
type discoveryClient struct {
	addr   string
	conn   net.Conn // nil before connect and after close
	buf    readBuffer
	detach func() bool // stops the closing of conn when the context of connect is done

	dialTimeout time.Duration
	deadline    callDeadline // deadline of the call in flight
	onReading   func(bool)   // called before each read: true if input has arrived, false if the read has to wait for it
}

// close closes the connection. Without one it does nothing.
func (c *discoveryClient) close() {
	if c.conn != nil {
		c.detach()
		c.conn.Close()
		c.conn = nil
	}
}

// connect dials discovery unless the connection of an earlier call is open. The connection is closed when ctx is done.
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
	c.conn, c.buf = conn, readBuffer{conn: conn, data: make([]byte, maxRetainedBufferSize)}
	c.detach = context.AfterFunc(ctx, func() { conn.Close() })
	return nil
}

// send writes a call for target, a path with a query. The response has to arrive within timeout; extendDeadline extends
// that for a long list. connect must have succeeded before.
func (c *discoveryClient) send(target string, timeout time.Duration) error {
	c.deadline = callDeadline{timeout: time.Now().Add(timeout)}
	c.conn.SetDeadline(c.deadline.timeout)
	_, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, c.addr)
	return err
}

// receive reads the response to a call and decodes the endpoint list as it arrives. The error is a statusError if the
// status is not 200, wraps an oversizedError for a list over bound, and otherwise is a responseError if the body cannot
// be read or decoded. After an error the connection cannot be used for another call.
func (c *discoveryClient) receive(bound responseBound) (*endpointsResponse, error) {
	msg := c.buf.newMessage(maxHeadBytes)
	msg.releaseEarly = true // decoded bytes are not needed any more
	defer msg.close()
	resp, err := msg.readResponse()
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeadBytes)); err != nil {
			return nil, err
		}
		return nil, statusError(resp.StatusCode)
	}
	if resp.ContentLength > bound.bytes {
		return nil, oversizedError{"bytes", bound.bytes}
	}
	msg.limit += 2 * int(bound.bytes) // the factor leaves room for chunked framing
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

// extendDeadline records that bytes more bytes of the list were read and sets the deadline for the next part.
func (c *discoveryClient) extendDeadline(bytes int) {
	c.deadline.addReceived(bytes)
	c.conn.SetReadDeadline(c.deadline.next(time.Now()))
}

// boundedBody reads a body of at most maxBytes bytes and calls onRead after each read. It keeps an error that ended
// the reading before the end of the body, because a decoder may report that error as malformed input.
type boundedBody struct {
	body      io.Reader
	maxBytes  int64 // a longer body is rejected with an oversizedError
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

// observedConn calls onReading before each read. Without that call, a goroutine that checks the connection between the
// read and the update of the endpoint table would see neither unread input nor the new entries.
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
	// raw.Read fails, for example, after the deadline has passed. The error is ignored because the read below
	// returns it again.
	_ = raw.Read(func(fd uintptr) bool {
		ready := readable(int(fd))
		c.onReading(ready)
		return ready
	})
	c.onReading(true)
	return c.TCPConn.Read(p)
}
