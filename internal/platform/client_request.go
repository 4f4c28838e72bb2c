package platform

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
)

// readRequest reads a whole request. All nil means that the connection ended.
func (c *clientConn) readRequest() (*http.Request, []byte, *inputError) {
	limit := c.server.readDeadline(c)
	c.conn.SetReadDeadline(limit)
	m := c.buf.newMessage(maxHead)
	defer m.close()
	req, err := http.ReadRequest(m.Reader)
	if err != nil {
		return nil, nil, c.readError(m, err, "head")
	}
	if input := checkFraming(m.consumed(), req); input != nil {
		return nil, nil, input
	}
	if req.ContentLength > maxBody {
		return nil, nil, newInputError(http.StatusRequestEntityTooLarge, "body", "a body holds %d bytes at most", maxBody)
	}
	if req.Header.Get("Expect") == "100-continue" {
		c.conn.SetWriteDeadline(limit)
		c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	m.releaseEarly = true
	m.limit = m.read + 2*maxBody // chunked framing takes room too
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	if err != nil {
		return nil, nil, c.readError(m, err, "length")
	}
	if len(body) > maxBody {
		return nil, nil, newInputError(http.StatusRequestEntityTooLarge, "body", "a body holds %d bytes at most", maxBody)
	}
	return req, body, nil
}

// readError tells bad input from a connection that has ended. Only the connection's
// own error says that: a parser's may look like one (a url.Error is a net.Error).
func (c *clientConn) readError(m *message, err error, counter string) *inputError {
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
	return nil
}

// inputError is what a submitter sent and no execute node may see: the status of
// its answer and the counter it falls under.
type inputError struct {
	status  int
	counter string
	text    string
}

func (e *inputError) Error() string { return e.text }

func newInputError(status int, counter, format string, args ...any) *inputError {
	return &inputError{status, "bad." + counter, fmt.Sprintf(format, args...)}
}
