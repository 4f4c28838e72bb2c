package fleet

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// Direction is a direction of the data on a link.
type Direction int

// The directions of a link.
const (
	ToTarget   Direction = iota // from the scheduler
	FromTarget                  // to the scheduler
)

// Link forwards TCP connections from one scheduler to one target and can simulate network failures. It
// does not interpret the data. If the target refuses a connection, the link resets the scheduler's one.
// Close ends only the acceptance of new connections.
type Link struct {
	net.Listener
	target string

	forwarding sync.WaitGroup

	mu        sync.Mutex
	refuses   bool // new connections are reset
	blocked   [2]bool
	delay     [2]time.Duration
	rate      int               // bytes per second in each direction; 0: unlimited
	changed   chan struct{}     // closed and replaced whenever a setting changes
	open      map[net.Conn]bool // value: whether it is the scheduler's side of a connection
	closed    bool
	forwarded [2]int64 // bytes in each direction
}

// copyBufferSize is the number of bytes read at once.
const copyBufferSize = 16 << 10

// newLink starts a link to an address.
func newLink(target string) (*Link, error) {
	l, err := standin.Listen()
	if err != nil {
		return nil, err
	}
	link := &Link{
		Listener: l,
		target:   target,
		changed:  make(chan struct{}),
		open:     map[net.Conn]bool{},
	}
	link.forwarding.Go(link.accept)
	return link, nil
}

// Disconnect resets the open connections and refuses new ones, like a process that died.
func (l *Link) Disconnect() {
	l.update(func() { l.refuses = true })
	l.Reset()
}

// Block holds back the data in these directions, like a network that drops it: connections stay open,
// and new ones are accepted but carry no data. The data that was held back is forwarded after Heal, unless
// its connection was reset meanwhile.
func (l *Link) Block(directions ...Direction) {
	l.update(func() {
		for _, d := range directions {
			l.blocked[d] = true
		}
	})
}

// Throttle delays each piece of data and limits the rate of each direction, in bytes per second. Zero
// means no delay and no limit.
func (l *Link) Throttle(delay time.Duration, bytesEachSecond int) {
	l.update(func() {
		l.delay = [2]time.Duration{delay, delay}
		l.rate = bytesEachSecond
	})
}

// Heal removes all failures of the link; data that is read from then on is forwarded without delay. A piece
// of data that waits already keeps its delay. Connections that were reset stay closed.
func (l *Link) Heal() {
	l.update(func() {
		l.refuses = false
		l.blocked = [2]bool{}
		l.delay = [2]time.Duration{}
		l.rate = 0
	})
}

// ForwardedBytes returns how many bytes the link has forwarded in a direction.
func (l *Link) ForwardedBytes(d Direction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forwarded[d]
}

// PendingBytes returns how many bytes received from the scheduler have not been read for forwarding
// yet.
func (l *Link) PendingBytes() (sum int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, fromScheduler := range l.open {
		if fromScheduler {
			sum += unreadBytes(c)
		}
	}
	return sum
}

// unreadBytes returns how many received bytes of a connection are in the kernel's buffer; 0 if the
// connection has ended.
func unreadBytes(c net.Conn) (bytes int) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		bytes, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	})
	return bytes
}

func (l *Link) recordForwarded(d Direction, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forwarded[d] += int64(bytes)
}

// Reset resets the open connections. New connections are still accepted.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		standin.ResetConn(c)
	}
}

// close ends the link and waits for its goroutines.
func (l *Link) close() {
	l.update(func() { l.closed = true })
	l.Close()
	l.Reset()
	l.forwarding.Wait()
}

// update applies a change of the settings and wakes the goroutines that hold data back.
func (l *Link) update(apply func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	apply()
	close(l.changed)
	l.changed = make(chan struct{})
}

// register records an open connection and returns true. If the link refuses connections or is closed,
// it resets the connection and returns false.
func (l *Link) register(c net.Conn, fromScheduler bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuses || l.closed {
		standin.ResetConn(c)
		return false
	}
	l.open[c] = fromScheduler
	return true
}

func (l *Link) unregister(c net.Conn) {
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

func (l *Link) accept() {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if l.register(c, true) {
			l.forwarding.Go(func() { l.forwardBoth(c) })
		}
	}
}

// forwardBoth forwards one connection until both directions have ended.
func (l *Link) forwardBoth(scheduler net.Conn) {
	defer l.unregister(scheduler)
	target, err := standin.Dial(l.target, 0)
	if err != nil {
		standin.ResetOnClose(scheduler) // because the target would have refused the connection
		return
	}
	if !l.register(target, false) {
		return
	}
	defer l.unregister(target)
	var both sync.WaitGroup
	both.Go(func() { l.forward(scheduler, target, ToTarget) })
	both.Go(func() { l.forward(target, scheduler, FromTarget) })
	both.Wait()
}

// forward forwards one direction of a connection until it ends.
func (l *Link) forward(from, to net.Conn, direction Direction) {
	defer standin.CloseWrite(to)
	buf := make([]byte, copyBufferSize)
	for {
		waited := l.isBlocked(direction)
		if !l.waitToForward(direction, 0) {
			return
		}
		n, err := 0, error(nil)
		if !waited || !wasReset(from) {
			n, err = from.Read(buf)
		}
		if n > 0 {
			waited = waited || l.isBlocked(direction)
			if !l.waitToForward(direction, n) {
				return
			}
		}
		if waited && wasReset(from) { // a reset discards data that a blocked direction holds back
			standin.ResetConn(to)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
			l.recordForwarded(direction, n)
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil { // forward a reset as a reset, once data may pass
			l.waitToForward(direction, 0)
			standin.ResetConn(to)
			return
		}
	}
}

// isBlocked reports whether a direction is blocked.
func (l *Link) isBlocked(d Direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blocked[d]
}

// wasReset reports whether the other side has reset a connection. The kernel still returns the data
// that it received before the reset.
func wasReset(c net.Conn) (reset bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd)}}
		n, err := unix.Poll(p, 0)
		reset = err == nil && n > 0 && p[0].Revents&unix.POLLERR != 0
	})
	return reset || err != nil
}

// waitToForward waits until the given number of bytes may be forwarded in a direction, and returns
// true. It returns false if the link is closed.
func (l *Link) waitToForward(direction Direction, bytes int) bool {
	var due time.Time
	for {
		l.mu.Lock()
		blocked, delay, rate := l.blocked[direction], l.delay[direction], l.rate
		changed, closed := l.changed, l.closed
		l.mu.Unlock()
		if closed {
			return false
		}
		if due.IsZero() {
			if rate > 0 {
				delay += time.Duration(bytes) * time.Second / time.Duration(rate)
			}
			due = time.Now().Add(delay)
		}
		remaining := time.Until(due)
		if !blocked && remaining <= 0 {
			return true
		}
		var timer <-chan time.Time
		if !blocked {
			timer = time.After(remaining)
		}
		select {
		case <-timer:
		case <-changed:
		}
	}
}
