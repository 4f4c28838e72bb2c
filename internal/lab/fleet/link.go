package fleet

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// A Way is a direction of a link.
type Direction int

const (
	ToTarget   Direction = iota // from the scheduler
	FromTarget                  // to it
)

// A Link passes connections on from one scheduler to one party that it meets. It knows
// nothing of what is said on it.
type Link struct {
	net.Listener
	target string

	mu      sync.Mutex
	refuses bool
	silent  [2]bool
	delay   [2]time.Duration
	rate    int               // bytes a second of each direction; 0: no bound
	changed chan struct{}     // closed and replaced at each change
	open    map[net.Conn]bool // true: the scheduler's side of a connection
	closed  bool
	carried [2]int64 // bytes that each way has passed on
	wait    sync.WaitGroup
}

// newLink starts a link to an address.
func newLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{Listener: l, target: target, changed: make(chan struct{}), open: map[net.Conn]bool{}}
	k.wait.Go(k.accept)
	return k, nil
}

// Cut ends what is open with a reset and refuses what is new, as a process that died.
func (l *Link) Cut() {
	l.change(func() { l.refuses = true })
	l.Reset()
}

// Silence holds back what goes a way, as a network that loses it: connections stay open,
// new ones come up and hear nothing. What was held back is passed on after Heal.
func (l *Link) Silence(ways ...Direction) {
	l.change(func() {
		for _, w := range ways {
			l.silent[w] = true
		}
	})
}

// Slow passes each piece on this much later, and at most so many bytes a second; 0: as
// they come.
func (l *Link) Throttle(delay time.Duration, bytesEachSecond int) {
	l.change(func() { l.delay, l.rate = [2]time.Duration{delay, delay}, bytesEachSecond })
}

// Heal passes everything on again.
func (l *Link) Heal() {
	l.change(func() { l.refuses, l.silent, l.delay, l.rate = false, [2]bool{}, [2]time.Duration{}, 0 })
}

// Carried returns how many bytes a way has passed on.
func (l *Link) Carried(way Direction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried[way]
}

// Waiting returns how many bytes from the scheduler wait to be passed on.
func (l *Link) Waiting() (sum int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, toScheduler := range l.open {
		if !toScheduler {
			continue
		}
		if raw, err := c.(*net.TCPConn).SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) {
				n, _ := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
				sum += n
			})
		}
	}
	return sum
}

func (l *Link) count(way Direction, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.carried[way] += int64(bytes)
}

// Reset ends the open connections with a reset; new ones are taken.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// close ends the link and waits for all that it started.
func (l *Link) close() {
	l.change(func() { l.closed = true })
	l.Listener.Close()
	l.Reset()
	l.wait.Wait()
}

func (l *Link) change(what func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	what()
	close(l.changed)
	l.changed = make(chan struct{})
}

// hold opens a connection's place, unless the link takes none.
func (l *Link) hold(c net.Conn, toScheduler bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuses || l.closed {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return false
	}
	l.open[c] = toScheduler
	return true
}

func (l *Link) drop(c net.Conn) {
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

func (l *Link) accept() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return
		}
		if l.hold(c, true) {
			l.wait.Go(func() { l.join(c) })
		}
	}
}

// join passes on what one connection carries until both directions have ended.
func (l *Link) join(c net.Conn) {
	defer l.drop(c)
	d, err := net.Dial("tcp", l.target)
	if err != nil {
		c.(*net.TCPConn).SetLinger(0) // as it would have been refused
		return
	}
	if !l.hold(d, false) {
		return
	}
	defer l.drop(d)
	var both sync.WaitGroup
	both.Go(func() { l.pass(c, d, ToTarget) })
	both.Go(func() { l.pass(d, c, FromTarget) })
	both.Wait()
}

func (l *Link) pass(from, to net.Conn, way Direction) {
	defer to.(*net.TCPConn).CloseWrite()
	buf := make([]byte, 16<<10)
	for {
		waited := l.silentNow(way)
		if !l.mayPass(way, 0) {
			return
		}
		n, err := 0, error(nil)
		if !waited || !wasReset(from) {
			n, err = from.Read(buf)
		}
		if n > 0 {
			waited = waited || l.silentNow(way)
			if !l.mayPass(way, n) {
				return
			}
		}
		if waited && wasReset(from) { // what a silent way holds back can still be withdrawn with a reset
			to.(*net.TCPConn).SetLinger(0)
			to.Close()
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
			l.count(way, n)
		}
		if err != nil {
			if !errors.Is(err, io.EOF) { // a reset is passed on as one, if anything is
				l.mayPass(way, 0)
				to.(*net.TCPConn).SetLinger(0)
				to.Close()
			}
			return
		}
	}
}

// silentNow reports whether a way is silent.
func (l *Link) silentNow(way Direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent[way]
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

// mayPass waits until so many bytes may go a way; false once the link is closed.
func (l *Link) mayPass(way Direction, bytes int) bool {
	var due time.Time
	for {
		l.mu.Lock()
		silent, delay, rate, changed, closed := l.silent[way], l.delay[way], l.rate, l.changed, l.closed
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
