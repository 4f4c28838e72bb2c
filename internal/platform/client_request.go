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
	deadline := c.server.readDeadline(c)
	c.conn.SetReadDeadline(deadline)
	msg := c.buf.newMessage(maxHeadBytes)
	defer msg.close()
	req, err := http.ReadRequest(msg.Reader)
	if err != nil {
		return nil, nil, c.classifyReadError(msg, err, "head")
	}
	if err := checkFraming(msg.consumed(), req); err != nil {
		return nil, nil, err
	}
	if req.ContentLength > maxBodyBytes {
		return nil, nil, errBodyTooLong()
	}
	if req.Header.Get("Expect") == "100-continue" {
		c.conn.SetWriteDeadline(deadline)
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // the read of the body tells
	}
	msg.releaseEarly = true
	msg.limit = msg.read + 2*maxBodyBytes // with the framing of chunks
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes+1))
	if err != nil {
		return nil, nil, c.classifyReadError(msg, err, "length")
	}
	if len(body) > maxBodyBytes {
		return nil, nil, errBodyTooLong()
	}
	return req, body, nil
}

func errBodyTooLong() error {
	return newInputError(http.StatusRequestEntityTooLarge, "body", "a body holds %d bytes at most", maxBodyBytes)
}

// readError tells invalid input from a connection that has ended. Only the connection's own error says that:
// a parser's may look like one (a url.Error is a net.Error).
func (c *clientConn) classifyReadError(msg *message, err error, counter string) error {
	switch {
	case msg.err == nil:
		return newInputError(http.StatusBadRequest, counter, "malformed request: %v", err)
	case errors.Is(msg.err, errMessageTooLong):
		return newInputError(http.StatusRequestHeaderFieldsTooLarge, counter, "the request is too long")
	case errors.Is(msg.err, os.ErrDeadlineExceeded) && c.server.operatorDrain.Load() != nil:
		return newInputError(http.StatusServiceUnavailable, "drained", "another scheduler takes jobs")
	case errors.Is(msg.err, os.ErrDeadlineExceeded):
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
