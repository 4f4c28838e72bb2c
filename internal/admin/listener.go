package admin

import (
	"container/list"
	"context"
	"net"
	"sync"
)

// A boundedListener accepts every connection and keeps so many open at most. For a new one past
// that, the connection makes way that has been open longest without a whole call; if all have
// brought theirs, the new one is closed.
type boundedListener struct {
	net.Listener
	most int

	mu      sync.Mutex
	open    int
	pending *list.List // of *boundedConn without a whole call, the oldest first
}

// A boundedConn is one of its connections.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	element  *list.Element // in pending; nil once a whole call has come or it is closed
	closed   bool
}

func newBoundedListener(l net.Listener, most int) *boundedListener {
	return &boundedListener{Listener: l, most: most, pending: list.New()}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(conn); c != nil {
			return c, nil
		}
		conn.Close()
	}
}

// admit counts a connection; nil if there is no room for it.
func (l *boundedListener) admit(conn net.Conn) *boundedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.most {
		oldest := l.pending.Front()
		if oldest == nil {
			return nil
		}
		oldest.Value.(*boundedConn).closeLocked()
	}
	l.open++
	c := &boundedConn{Conn: conn, listener: l}
	c.element = l.pending.PushBack(c)
	return c
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.closeLocked()
}

func (c *boundedConn) closeLocked() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.settleLocked()
	c.listener.open--
	return c.Conn.Close()
}

// settleLocked takes the connection out of those that may have to make way.
func (c *boundedConn) settleLocked() {
	if c.element != nil {
		c.listener.pending.Remove(c.element)
		c.element = nil
	}
}

type connKey struct{}

// callContext lets a call's handler find its connection.
func (l *boundedListener) callContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// called notes that a whole call has come on the connection of a handler's context.
func called(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*boundedConn); ok {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.settleLocked()
	}
}
