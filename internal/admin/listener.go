package admin

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"
)

// minPendingAge is the age before which a connection without a complete request must not be closed for another one. A
// client that does not stop half way has sent its request by then, even if many clients connect at once.
const minPendingAge = 20 * time.Millisecond

// A boundedListener limits the number of its open connections. At the limit it closes the oldest connection without a
// complete request as soon as that has reached minPendingAge. Until then new connections wait to be accepted.
type boundedListener struct {
	net.Listener
	maxOpen int

	mu            sync.Mutex
	capacityFreed *sync.Cond // a connection or the listener has been closed
	open          int
	pending       *list.List // of *boundedConn without a complete request, oldest first
	closed        bool
}

// A boundedConn is a connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener   *boundedListener
	acceptedAt time.Time
	element    *list.Element // in listener.pending; nil after a complete request or the close
	closed     bool
}

func newBoundedListener(l net.Listener, maxOpen int) *boundedListener {
	b := &boundedListener{Listener: l, maxOpen: maxOpen, pending: list.New()}
	b.capacityFreed = sync.NewCond(&b.mu)
	return b
}

// Accept implements net.Listener. It waits until fewer than maxOpen connections are open.
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
	l.capacityFreed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// reserve waits until one more connection may be open, and counts it. It returns false if the listener is closed.
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

// freeCapacityLocked closes the oldest connection without a complete request. If it must not be closed yet, or there is
// none, it waits for a change; the caller checks the limit again.
func (l *boundedListener) freeCapacityLocked() {
	oldest := l.pending.Front()
	if oldest == nil {
		l.capacityFreed.Wait()
		return
	}
	c := oldest.Value.(*boundedConn)
	if age := time.Since(c.acceptedAt); age < minPendingAge {
		wakeUp := time.AfterFunc(minPendingAge-age, l.capacityFreed.Broadcast)
		l.capacityFreed.Wait()
		wakeUp.Stop()
		return
	}
	_ = c.closeLocked() // the connection is abandoned, so an error does not matter
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.closeLocked()
}

// closeLocked closes the connection and releases its place. A repeated call returns net.ErrClosed.
func (c *boundedConn) closeLocked() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.removePendingLocked()
	c.listener.open--
	c.listener.capacityFreed.Broadcast()
	return c.Conn.Close()
}

// removePendingLocked removes the connection from those that may be closed to make room for another.
func (c *boundedConn) removePendingLocked() {
	if c.element != nil {
		c.listener.pending.Remove(c.element)
		c.element = nil
	}
}

// connKey is the context key of a request's *boundedConn.
type connKey struct{}

// connContext stores a connection in the context of its requests, for markRequestReceived.
func (l *boundedListener) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// markRequestReceived records that a complete request has arrived on the connection in ctx. The connection is then no
// longer closed to make room for another.
func markRequestReceived(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*boundedConn); ok {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.removePendingLocked()
	}
}
