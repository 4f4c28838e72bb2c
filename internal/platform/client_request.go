package platform

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
)

// errConnEnded says that a connection ended within a request, nothing of which was taken.
var errConnEnded = errors.New("the connection has ended")

// readRequest reads a whole request. Its error is an *inputError, or errConnEnded.
func (c *clientConn) readRequest() (*http.Request, []byte, error) {
	limit := c.server.readDeadline(c)
	c.conn.SetReadDeadline(limit)
	m := c.buf.newMessage(maxHead)
	defer m.close()
	req, err := http.ReadRequest(m.Reader)
	if err != nil {
		return nil, nil, c.readError(m, err, "head")
	}
	if err := checkFraming(m.consumed(), req); err != nil {
		return nil, nil, err
	}
	if req.ContentLength > maxBody {
		return nil, nil, errBodyTooLong()
	}
	if req.Header.Get("Expect") == "100-continue" {
		c.conn.SetWriteDeadline(limit)
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // the read of the body tells
	}
	m.releaseEarly = true
	m.limit = m.read + 2*maxBody // with the framing of chunks
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	if err != nil {
		return nil, nil, c.readError(m, err, "length")
	}
	if len(body) > maxBody {
		return nil, nil, errBodyTooLong()
	}
	return req, body, nil
}

func errBodyTooLong() error {
	return newInputError(http.StatusRequestEntityTooLarge, "body", "a body holds %d bytes at most", maxBody)
}

// readError tells invalid input from a connection that has ended. Only the connection's own error says that:
// a parser's may look like one (a url.Error is a net.Error).
func (c *clientConn) readError(m *message, err error, counter string) error {
	switch {
	case m.err == nil:
		return newInputError(http.StatusBadRequest, counter, "malformed request: %v", err)
	case errors.Is(m.err, errMessageTooLong):
		return newInputError(http.StatusRequestHeaderFieldsTooLarge, counter, "the request is too long")
	case errors.Is(m.err, os.ErrDeadlineExceeded) && c.server.operatorDrain.Load() != nil:
		return newInputError(http.StatusServiceUnavailable, "drained", "another scheduler takes jobs")
	case errors.Is(m.err, os.ErrDeadlineExceeded):
		return newInputError(http.StatusRequestTimeout, "slow", "the request did not come to its end")
	}
	return errConnEnded
}

// An inputError is invalid input, which no worker may see: the status of its answer and the counter that it
// falls under.
type inputError struct {
	status  int
	counter string
	text    string
}

// Error implements error.
func (e *inputError) Error() string { return e.text }

// newInputError returns the error of input that is answered with a status and counted as bad.<counter>.
func newInputError(status int, counter, format string, args ...any) *inputError {
	return &inputError{status, "bad." + counter, fmt.Sprintf(format, args...)}
}
