package platform

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// A front accepts the submitters' connections, as many as its budget allows.
type front struct {
	core     *core.Core
	clock    core.Clock
	counters *counters.Set
	listener *net.TCPListener
	budget   int
	ending   atomic.Bool // health is 503 and answers end their connections
	closing  atomic.Bool // the listener is closed

	mu    sync.Mutex
	freed *sync.Cond // a connection has ended
	all   map[*submitter]struct{}
	idle  []*submitter // the longest idle first
}

func newFront(c *core.Core, clock core.Clock, set *counters.Set, l *net.TCPListener, budget int) *front {
	f := &front{core: c, clock: clock, counters: set, listener: l, budget: budget, all: map[*submitter]struct{}{}}
	f.freed = sync.NewCond(&f.mu)
	return f
}

func (f *front) ready() bool { return f.core.Ready() && !f.ending.Load() }

const (
	acceptPause   = 5 * time.Millisecond // after a failed accept, doubled each time
	acceptPauseUp = 500 * time.Millisecond
)

// accept runs until the listener is closed.
func (f *front) accept() {
	pause := acceptPause
	for {
		f.awaitRoom()
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) || f.closing.Load() && err != nil {
			return
		}
		if err != nil {
			// Out of descriptors, most likely: an idle connection makes room, and
			// accepting goes on after a while, always.
			f.counters.Add("accept.failed")
			f.retireOldest()
			time.Sleep(pause)
			pause = min(2*pause, acceptPauseUp)
			continue
		}
		pause = acceptPause
		f.counters.Add("accept.connections")
		f.begin(conn)
	}
}

func (f *front) begin(conn net.Conn) {
	s := &submitter{front: f, conn: conn, buf: buffer{conn: conn}}
	s.retire.Store(f.closing.Load())
	f.mu.Lock()
	f.all[s] = struct{}{}
	f.mu.Unlock()
	go func() {
		s.serve()
		f.mu.Lock()
		delete(f.all, s)
		f.mu.Unlock()
		f.freed.Broadcast()
	}()
}

// awaitRoom waits until the budget allows another connection. The longest idle
// one makes way.
func (f *front) awaitRoom() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.all) >= f.budget && !f.closing.Load() {
		f.retireOldestLocked()
		f.freed.Wait()
	}
}

func (f *front) retireOldest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retireOldestLocked()
}

func (f *front) retireOldestLocked() {
	for _, s := range f.idle {
		if !s.retire.Load() {
			s.wakeToRetire()
			return
		}
	}
}

// wakeToRetire ends a connection once it is idle.
func (s *submitter) wakeToRetire() {
	s.retire.Store(true)
	s.conn.SetReadDeadline(wakeUp)
}

// setIdle keeps the list of idle connections. One that becomes idle while
// accepting waits for room makes way.
func (f *front) setIdle(s *submitter, idle bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if idle {
		f.idle = append(f.idle, s)
		if len(f.all) >= f.budget {
			f.freed.Broadcast()
		}
		return
	}
	for i, x := range f.idle {
		if x == s {
			f.idle = append(f.idle[:i], f.idle[i+1:]...)
			return
		}
	}
}

// shutDown ends the front: for a while it takes what comes in, then it closes
// the listener and the idle connections, and returns when all are answered.
func (f *front) shutDown(moments time.Duration) {
	f.ending.Store(true)
	time.Sleep(moments)
	f.closing.Store(true)
	// What the kernel has accepted counts as accepted: it is served too.
	f.listener.SetDeadline(time.Now().Add(backlogTime))
	f.mu.Lock()
	f.freed.Broadcast()
	f.mu.Unlock()
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			break
		}
		f.begin(conn)
	}
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.all {
		s.wakeToRetire()
	}
	for len(f.all) > 0 {
		f.freed.Wait()
	}
}

const backlogTime = 20 * time.Millisecond // to accept what waits before the listener closes
