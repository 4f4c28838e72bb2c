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

// A Direction is a direction of a link.
type Direction int

// The directions of a link.
const (
	ToTarget   Direction = iota // from the scheduler
	FromTarget                  // to it
)

// A Link passes connections on from one scheduler to one party that it meets. It knows
// nothing of what is said on it.
type Link struct {
	net.Listener
	target string

	forwarding sync.WaitGroup

	mu        sync.Mutex
	refuses   bool
	blocked   [2]bool
	delay     [2]time.Duration
	rate      int               // bytes a second of each direction; 0: no bound
	changed   chan struct{}     // closed and replaced at each change
	open      map[net.Conn]bool // true: the scheduler's side of a connection
	closed    bool
	forwarded [2]int64 // bytes that each direction has passed on
}

// copyBuffer is how many bytes are read at once.
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

// Cut ends what is open with a reset and refuses what is new, as a process that died.
func (l *Link) Disconnect() {
	l.update(func() { l.refuses = true })
	l.Reset()
}

// Silence holds back what goes in these directions, as a network that loses it: connections stay open,
// new ones come up and hear nothing. What was held back is passed on after Heal.
func (l *Link) Block(directions ...Direction) {
	l.update(func() {
		for _, d := range directions {
			l.blocked[d] = true
		}
	})
}

// Throttle passes each piece on this much later, and at most so many bytes a second; 0: as
// they come.
func (l *Link) Throttle(delay time.Duration, bytesEachSecond int) {
	l.update(func() {
		l.delay = [2]time.Duration{delay, delay}
		l.rate = bytesEachSecond
	})
}

// Heal passes everything on again.
func (l *Link) Heal() {
	l.update(func() {
		l.refuses = false
		l.blocked = [2]bool{}
		l.delay = [2]time.Duration{}
		l.rate = 0
	})
}

// Carried returns how many bytes a direction has passed on.
func (l *Link) ForwardedBytes(d Direction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forwarded[d]
}

// Waiting returns how many bytes from the scheduler wait to be passed on.
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

// unread returns how many bytes the kernel holds that came on a connection; 0 where it has ended.
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

// Reset ends the open connections with a reset; new ones are taken.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		standin.ResetConn(c)
	}
}

// close ends the link and waits for all that it started.
func (l *Link) close() {
	l.update(func() { l.closed = true })
	l.Close()
	l.Reset()
	l.forwarding.Wait()
}

// change makes a change that what is held back notices.
func (l *Link) update(apply func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	apply()
	close(l.changed)
	l.changed = make(chan struct{})
}

// register keeps an open connection, unless the link refuses connections: then it resets it.
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

// forwardBoth passes on what one connection carries until both directions have ended.
func (l *Link) forwardBoth(scheduler net.Conn) {
	defer l.unregister(scheduler)
	target, err := standin.Dial(l.target, 0)
	if err != nil {
		standin.ResetOnClose(scheduler) // as it would have been refused
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

// forward passes one direction of a connection on until it ends.
func (l *Link) forward(from, to net.Conn, d Direction) {
	defer standin.CloseWrite(to)
	buf := make([]byte, copyBufferSize)
	for {
		waited := l.isBlocked(d)
		if !l.waitToForward(d, 0) {
			return
		}
		n, err := 0, error(nil)
		if !waited || !wasReset(from) {
			n, err = from.Read(buf)
		}
		if n > 0 {
			waited = waited || l.isBlocked(d)
			if !l.waitToForward(d, n) {
				return
			}
		}
		if waited && wasReset(from) { // what a silent direction holds back can still be withdrawn with a reset
			standin.ResetConn(to)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
			l.recordForwarded(d, n)
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil { // a reset is passed on as one, if anything is
			l.waitToForward(d, 0)
			standin.ResetConn(to)
			return
		}
	}
}

// isSilent reports whether a direction is silent.
func (l *Link) isBlocked(d Direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blocked[d]
}

// wasReset reports whether the other side has reset a connection. The kernel still hands out what came before.
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

// mayPass waits until so many bytes may go in a direction; false once the link is closed.
func (l *Link) waitToForward(d Direction, bytes int) bool {
	var due time.Time
	for {
		l.mu.Lock()
		silent, delay, rate := l.blocked[d], l.delay[d], l.rate
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
		left := time.Until(due)
		if !silent && left <= 0 {
			return true
		}
		var timer <-chan time.Time
		if !silent {
			timer = time.After(left)
		}
		select {
		case <-timer:
		case <-changed:
		}
	}
}
