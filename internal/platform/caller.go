package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/vatu-meals/foxlift/internal/coldstart"
)

// errList says that an answer is not a list, or not one that was asked for.
var errList = errors.New("not a list")

// A statusError is the status of an answer that is no list.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// outcome says what a failed call tells of discovery.
func outcome(err error) coldstart.Outcome {
	var status statusError
	var wait net.Error
	switch {
	case errors.As(err, &status) && status == http.StatusServiceUnavailable:
		return coldstart.Busy
	case errors.As(err, &wait) && wait.Timeout():
		return coldstart.Silent
	case errors.As(err, &status) || errors.Is(err, errList):
		return coldstart.Faulty
	}
	return coldstart.Unreachable
}

// A caller makes calls to discovery, on one connection while it lasts.
type caller struct {
	ctx  context.Context // its end breaks off what is under way
	addr string
	conn net.Conn
	buf  buffer
	stop func() bool // conn no longer ends with ctx

	dialLimit time.Duration
	reading   func(bool) // what has arrived is about to be read; or nothing more has
}

func (c *caller) close() {
	if c.conn != nil {
		c.stop()
		c.conn.Close()
		c.conn = nil
	}
}

// open dials, unless the connection of an earlier call is there.
func (c *caller) open() error {
	if c.conn != nil {
		return nil
	}
	d := net.Dialer{Timeout: c.dialLimit}
	conn, err := d.DialContext(c.ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	conn = &watchedConn{conn.(*net.TCPConn), c.reading}
	c.conn, c.buf = conn, buffer{conn: conn}
	c.stop = context.AfterFunc(c.ctx, func() { conn.Close() })
	return nil
}

// send writes a call; open has succeeded before.
func (c *caller) send(target string, limit time.Duration) error {
	c.conn.SetDeadline(time.Now().Add(limit))
	_, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, c.addr)
	return err
}

func (c *caller) receive() ([]byte, error) {
	msg := c.buf.message(maxResponse)
	defer msg.end()
	resp, err := msg.response()
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp.StatusCode)
	}
	if resp.Close {
		c.close()
	}
	return body, nil
}

// A watchedConn tells of what has arrived before it is read: whoever looks at the connection
// in between would else find nothing there, and nothing of it in the list.
type watchedConn struct {
	*net.TCPConn
	reading func(bool)
}

func (c *watchedConn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	// With an error, such as a deadline that has passed, what has arrived is read as well.
	raw.Read(func(fd uintptr) bool {
		there := somethingAt(int(fd))
		c.reading(there)
		return there
	})
	c.reading(true)
	return c.TCPConn.Read(p)
}
