package platform

import (
	"bytes"
	"io"
	"net"
	"time"
)

// A memConn is a connection whose other side has written these parts, and ended.
type memConn struct {
	net.Conn // nil: nothing else is called
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
