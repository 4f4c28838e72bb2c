package platform

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
)

// errConnEnded is returned if a connection ended within a request, which was not accepted.
var errConnEnded = errors.New("connection ended within a request")

// readRequest reads a complete request and its body. Its error is an *inputError or errConnEnded.
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
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // the read of the body reports a failure
	}
	msg.releaseEarly = true
	msg.limit = msg.read + 2*maxBodyBytes // including the framing of chunks
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes+1))
	if err != nil {
		return nil, nil, c.classifyReadError(msg, err, "length")
	}
	if len(body) > maxBodyBytes {
		return nil, nil, errBodyTooLong()
	}
	return req, body, nil
}

// errBodyTooLong returns the *inputError of a body with more than maxBodyBytes.
func errBodyTooLong() error {
	return newInputError(http.StatusRequestEntityTooLarge, "body", "a body holds %d bytes at most", maxBodyBytes)
}

// classifyReadError distinguishes invalid input, for which it returns an *inputError, from a connection that has ended,
// for which it returns errConnEnded. It decides by the connection's error msg.err, since a parser's error can look like
// a connection error (a url.Error is a net.Error).
func (c *clientConn) classifyReadError(msg *message, err error, counter string) error {
	switch {
	case msg.err == nil:
		return newInputError(http.StatusBadRequest, counter, "malformed request: %v", err)
	case errors.Is(msg.err, errMessageTooLong):
		return newInputError(http.StatusRequestHeaderFieldsTooLarge, counter, "the request is too long")
	case errors.Is(msg.err, errTooManyHeaderLines):
		return newInputError(http.StatusRequestHeaderFieldsTooLarge, counter, "the request has too many header lines")
	case errors.Is(msg.err, os.ErrDeadlineExceeded) && c.server.operatorDrain.Load() != nil:
		return newInputError(http.StatusServiceUnavailable, "drained", "another scheduler takes jobs")
	case errors.Is(msg.err, os.ErrDeadlineExceeded):
		return newInputError(http.StatusRequestTimeout, "slow", "the request did not come to its end")
	}
	return errConnEnded
}

// An inputError describes invalid input, which must not reach a worker: the status and text of its reply, and the
// counter that counts it.
type inputError struct {
	status  int
	counter string
	text    string
}

// Error implements error.
func (e *inputError) Error() string { return e.text }

// newInputError returns an inputError that is answered with the status and the formatted text, and counted as
// bad.<counter>.
func newInputError(status int, counter, format string, args ...any) *inputError {
	return &inputError{status, "bad." + counter, fmt.Sprintf(format, args...)}
}
