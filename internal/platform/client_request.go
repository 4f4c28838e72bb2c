package platform

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
)

var (
	// errConnEnded is returned if a connection ended within a request, which was not accepted.
	errConnEnded = errors.New("connection ended within a request")
	// errBodyDropped is returned for a complete and valid request for whose body there was no memory.
	errBodyDropped = errors.New("no memory for the body")
)

// readRequest reads a complete request and its body. Its error is an *inputError, errConnEnded or errBodyDropped. Only
// with errBodyDropped it returns a request beside an error.
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
		return nil, nil, errBodyTooLong
	}
	if req.Header.Get("Expect") == "100-continue" {
		c.conn.SetWriteDeadline(deadline)
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // the read of the body reports a failure
	}
	headBytes := len(msg.consumed())
	msg.releaseEarly = true
	msg.limit = msg.read + 2*maxBodyBytes // including the framing of chunks
	body, err := c.readBody(req, headBytes)
	switch {
	case err == nil, errors.Is(err, errBodyDropped):
		return req, body, err
	case errors.Is(err, errBodyTooLong):
		return nil, nil, err
	}
	return nil, nil, c.classifyReadError(msg, err, "length")
}

// readBody reads the body of a request into memory that it reserves before, for the head too. If there is none, it
// reads and drops the body and returns errBodyDropped. Other errors are errBodyTooLong and those of the reader.
func (c *clientConn) readBody(req *http.Request, headBytes int) ([]byte, error) {
	announced := req.ContentLength
	isChunked := announced < 0
	if isChunked {
		announced = maxBodyBytes
	}
	tenant := req.Header.Get(headerTenant)
	if !c.jobMemory.resize(c.server.memory, tenant, int64(headBytes)+announced) {
		if err := discardBody(req.Body); err != nil {
			return nil, err
		}
		return nil, errBodyDropped
	}
	if !isChunked {
		body := make([]byte, announced)
		_, err := io.ReadFull(req.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxBodyBytes:
		return nil, errBodyTooLong
	}
	c.jobMemory.resize(c.server.memory, tenant, int64(headBytes+len(body))) // a smaller size is always available
	return bytes.Clone(body), nil                                           // without the spare capacity
}

// discardBody reads a body and drops it. The error is errBodyTooLong or that of the reader.
func discardBody(body io.Reader) error {
	length, err := io.Copy(io.Discard, io.LimitReader(body, maxBodyBytes+1))
	if err == nil && length > maxBodyBytes {
		return errBodyTooLong
	}
	return err
}

// errBodyTooLong is the error of a body with more than maxBodyBytes.
var errBodyTooLong = newInputError(
	http.StatusRequestEntityTooLarge, "body", "a body holds %d bytes at most", maxBodyBytes)

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
	case errors.Is(msg.err, errNoMemory):
		return newInputError(http.StatusServiceUnavailable, "no_memory", "no memory for the request")
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
