package platform

import (
	"bytes"
	"io"
	"net"
	"time"
)

// A memConn is an in-memory connection. Each Read returns bytes of one part, and io.EOF follows the last part.
type memConn struct {
	net.Conn // nil; methods that are not defined below are not called
	parts    [][]byte
	read     int
	written  bytes.Buffer
}

func (c *memConn) Read(p []byte) (int, error) {
	for len(c.parts) > 0 && len(c.parts[0]) == 0 {
		c.parts = c.parts[1:]
	}
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	c.parts[0] = c.parts[0][n:]
	c.read += n
	return n, nil
}

func (c *memConn) Write(p []byte) (int, error) { return c.written.Write(p) }

func (c *memConn) Close() error { return nil }

func (c *memConn) SetReadDeadline(time.Time) error { return nil }

func (c *memConn) SetWriteDeadline(time.Time) error { return nil }

func (c *memConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }
