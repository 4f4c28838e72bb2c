package admin

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"
)

// minPendingAge is how long a connection is left alone that has not brought a whole call: one that did
// not stop half way has brought it by then, even where many come at once.
const minPendingAge = 20 * time.Millisecond

// A boundedListener keeps so many connections open at most. While they are all taken, the
// connection makes way that has been open longest without a whole call, but none that is young:
// until one of them may, new connections wait to be accepted.
type boundedListener struct {
	net.Listener
	maxOpen int

	mu      sync.Mutex
	freed   *sync.Cond // a connection has ended, or the listener has
	open    int
	pending *list.List // of *boundedConn without a whole call, the oldest first
	closed  bool
}

// A boundedConn is one of its connections.
type boundedConn struct {
	net.Conn
	listener   *boundedListener
	acceptedAt time.Time
	element    *list.Element // in pending; nil once a whole call has come or it is closed
	closed     bool
}

func newBoundedListener(l net.Listener, most int) *boundedListener {
	b := &boundedListener{Listener: l, maxOpen: most, pending: list.New()}
	b.freed = sync.NewCond(&b.mu)
	return b
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	if !l.reserve() {
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.open--
		return nil, err
	}
	c := &boundedConn{Conn: conn, listener: l, acceptedAt: time.Now()}
	c.element = l.pending.PushBack(c)
	return c, nil
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.freed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// reserve waits for room for one more connection and takes it; false if the listener is closed.
func (l *boundedListener) reserve() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && l.open >= l.maxOpen {
		l.freeCapacityLocked()
	}
	if l.closed {
		return false
	}
	l.open++
	return true
}

// freeCapacityLocked ends the oldest connection without a whole call, or waits until it may be ended or
// another one has ended.
func (l *boundedListener) freeCapacityLocked() {
	oldest := l.pending.Front()
	if oldest == nil {
		l.freed.Wait()
		return
	}
	c := oldest.Value.(*boundedConn)
	if age := time.Since(c.acceptedAt); age < minPendingAge {
		look := time.AfterFunc(minPendingAge-age, l.freed.Broadcast)
		l.freed.Wait()
		look.Stop()
		return
	}
	c.closeLocked()
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
	c.unlistLocked()
	c.listener.open--
	c.listener.freed.Broadcast()
	return c.Conn.Close()
}

// unlistLocked takes the connection out of those that may have to make way.
func (c *boundedConn) unlistLocked() {
	if c.element != nil {
		c.listener.pending.Remove(c.element)
		c.element = nil
	}
}

type connKey struct{}

// connContext lets a call's handler find its connection.
func (l *boundedListener) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// called notes that a whole call has come on the connection of a handler's context.
func markRequestReceived(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*boundedConn); ok {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.unlistLocked()
	}
}
