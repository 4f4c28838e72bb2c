package admin

import (
	"container/list"
	"context"
	"net"
	"sync"
	"time"
)

// minPendingAge is how long a connection without a complete request may not be closed: a client that did
// not stop half way has sent it by then, even where many connect at once.
const minPendingAge = 20 * time.Millisecond

// A boundedListener bounds its open connections. While the bound is reached it closes the connection
// that has been open longest without a complete request, once that has minPendingAge; until then new
// connections wait to be accepted.
type boundedListener struct {
	net.Listener
	maxOpen int

	mu            sync.Mutex
	capacityFreed *sync.Cond // a connection has been closed, or the listener has
	open          int
	pending       *list.List // of *boundedConn without a complete request, the oldest first
	closed        bool
}

// A boundedConn is a connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener   *boundedListener
	acceptedAt time.Time
	element    *list.Element // in pending; nil after a complete request or the close
	closed     bool
}

func newBoundedListener(l net.Listener, maxOpen int) *boundedListener {
	b := &boundedListener{Listener: l, maxOpen: maxOpen, pending: list.New()}
	b.capacityFreed = sync.NewCond(&b.mu)
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
	l.capacityFreed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// reserve waits until one more connection may be open and counts it; false if the listener is closed.
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

// freeCapacityLocked closes the oldest connection without a complete request, or waits until it may be
// closed or another one has been.
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
	_ = c.closeLocked() // the connection is given up
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
	c.removePendingLocked()
	c.listener.open--
	c.listener.capacityFreed.Broadcast()
	return c.Conn.Close()
}

// unlistLocked takes the connection out of those that may be closed for another.
func (c *boundedConn) removePendingLocked() {
	if c.element != nil {
		c.listener.pending.Remove(c.element)
		c.element = nil
	}
}

type connKey struct{}

// connContext lets a request's handler find its connection.
func (l *boundedListener) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// markRequestReceived notes that a complete request has arrived on the connection of a handler's context.
func markRequestReceived(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*boundedConn); ok {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.removePendingLocked()
	}
}
