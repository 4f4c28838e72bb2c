package platform

import (
	"container/list"
	"errors"
	"iter"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// A listener is a net.TCPListener, or one in a test.
type listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// A front accepts the submitters' connections, as many as its budget allows.
type front struct {
	core     *core.Core
	clock    core.Clock
	counters *counters.Set
	log      *zap.Logger
	listener listener
	budget   int
	grace    time.Duration         // for a request that crosses the end of an idle connection
	ending   atomic.Bool           // health is 503
	closing  atomic.Bool           // no more is accepted than waits already
	leaving  atomic.Bool           // answers end their connections, and idle ones end
	drain    atomic.Pointer[drain] // by the operators; nil: none
	relief   atomic.Pointer[drain] // by another process that has the address; nil: there is none
	accepted chan struct{}         // closed when accept has returned

	mu    sync.Mutex
	freed *sync.Cond // a connection has ended
	all   map[*submitter]struct{}
	idle  *list.List     // of *submitter, the longest idle first
	cells map[string]int // connections by the cell of their last job
}

func newFront(c *core.Core, clock core.Clock, set *counters.Set, log *zap.Logger, l listener, budget int) *front {
	f := &front{
		core: c, clock: clock, counters: set, log: log, listener: l, budget: budget, grace: graceTime,
		accepted: make(chan struct{}), all: map[*submitter]struct{}{}, idle: list.New(), cells: map[string]int{},
	}
	f.freed = sync.NewCond(&f.mu)
	return f
}

// setListener sets where connections come from. It is called before accept.
func (f *front) setListener(l listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listener = l
}

// setBudget changes how many connections there may be; where there are more, idle ones make way.
func (f *front) setBudget(budget int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget = budget
	f.makeRoomLocked(len(f.all) - budget)
	f.freed.Broadcast()
}

// mostJobs is how many jobs may be open under a budget. Each holds a connection, and some must be
// left for others to be read and refused on: what the kernel has accepted and
// nobody reads is lost.
func mostJobs(budget int) int { return budget - max(1, budget/jobsSpare) }

func (f *front) ready() bool {
	return f.core.Ready() && !f.ending.Load() && f.drain.Load() == nil
}

const (
	headroom      = 16 // the part of the budget in which idle connections make way
	jobsSpare     = 8  // the part of it that no waiting job holds
	graceTime     = 100 * time.Millisecond
	newTime       = 50 * time.Millisecond  // a usual submitter's first request has begun by then,
	slowTime      = 250 * time.Millisecond // and has come whole by then
	roomBatch     = 8                      // the part of the budget that makes way at a time, of proven connections
	acceptPause   = 5 * time.Millisecond   // after a failed accept, doubled each time
	acceptPauseUp = 500 * time.Millisecond
)

// accept runs until the listener is closed or, at the end, nothing more waits.
func (f *front) accept() {
	defer close(f.accepted)
	pause := acceptPause
	for {
		last := f.awaitRoom()
		conn, err := f.listener.Accept()
		switch {
		case err == nil:
			pause = acceptPause
			f.counters.Add("accept.connections")
			f.begin(conn)
		case errors.Is(err, net.ErrClosed), last && errors.Is(err, os.ErrDeadlineExceeded) && !waits(f.listener):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // shutDown woke it, or the process stood still past it
		default:
			// Out of descriptors, most likely: an idle connection makes room, and
			// accepting goes on after a while, always.
			f.counters.Add("accept.failed")
			f.log.Warn("a connection could not be accepted", zap.Error(err))
			f.makeRoom(1)
			<-time.After(pause)
			pause = min(2*pause, acceptPauseUp)
		}
	}
}

func (f *front) begin(conn net.Conn) {
	s := &submitter{front: f, conn: conn, buf: buffer{conn: conn}, began: time.Now()}
	s.retire.Store(f.leaving.Load())
	f.mu.Lock()
	f.all[s] = struct{}{}
	f.mu.Unlock()
	go func() {
		s.serve()
		f.mu.Lock()
		delete(f.all, s)
		f.labelLocked(s, "")
		f.mu.Unlock()
		f.freed.Broadcast()
	}()
}

// awaitRoom waits until the budget allows another connection. Shortly before, the
// longest idle ones begin to make way. At the end it does not wait, and what the kernel has accepted by
// then is all that is left to accept: last is true.
func (f *front) awaitRoom() (last bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for !f.closing.Load() {
		f.makeRoomLocked(len(f.all) + 1 + f.budget/headroom - f.budget)
		if len(f.all) < f.budget {
			break
		}
		look := time.AfterFunc(newTime, f.freed.Broadcast) // some are no longer new by then
		f.freed.Wait()
		look.Stop()
	}
	if last = f.closing.Load(); last {
		f.listener.SetDeadline(time.Now().Add(backlogTime))
	}
	return last
}

func (f *front) makeRoom(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.makeRoomLocked(n)
}

// makeRoomLocked ends n connections and, where n is over 0, some more. Those that are about to
// end already count. The first to go are those that never brought a job and are silent, then those
// that are slow about their first, then those that brought one and stayed: all of them, since
// whoever waits behind a flood waits for each batch of ends in turn, while the time that its job
// has left runs out unseen. Last go the longest idle of those that brought more, a batch at a time,
// so that a flood does not cost other submitters their connections.
func (f *front) makeRoomLocked(n int) {
	if n <= 0 {
		return
	}
	n += f.budget
	end := func(s *submitter, which bool) {
		if which && n > 0 {
			n--
			f.retireLocked(s)
		}
	}
	for s := range f.idlers() {
		end(s, s.jobs == 0 && time.Since(s.began) > newTime)
	}
	for s := range f.all {
		if s.jobs == 0 && !s.awaiting && time.Since(s.began) > slowTime {
			end(s, true)
			s.conn.SetReadDeadline(wakeUp)
		}
	}
	for s := range f.idlers() {
		end(s, s.jobs == 1)
	}
	for s := range f.all {
		if s.jobs == 0 && !s.retire.Load() {
			n-- // it brings a job or goes before long
		}
	}
	n -= f.budget - f.budget/roomBatch
	for s := range f.idlers() {
		end(s, s.jobs > 1)
	}
}

// idlers goes through the idle connections, the longest idle first.
func (f *front) idlers() iter.Seq[*submitter] {
	return func(yield func(*submitter) bool) {
		for e := f.idle.Front(); e != nil; e = e.Next() {
			if !yield(e.Value.(*submitter)) {
				return
			}
		}
	}
}

// label counts a connection among those of the cell of the job that it has brought,
// and returns whether that cell may keep it. Until its first job is read nobody can
// know whose a connection is; from then on no cell's submitters hold more than their
// part of the descriptors.
func (f *front) label(s *submitter, job *core.Job) bool {
	cell, most := f.core.Cell(job.Tenant, job.Key)
	if cell == "" {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.labelLocked(s, cell)
	if f.cells[cell] > most {
		f.counters.Add("accept.cell_full")
		return false
	}
	return true
}

func (f *front) labelLocked(s *submitter, cell string) {
	if s.cell == cell {
		return
	}
	if s.cell != "" {
		if f.cells[s.cell]--; f.cells[s.cell] == 0 {
			delete(f.cells, s.cell)
		}
	}
	if s.cell = cell; cell != "" {
		f.cells[cell]++
	}
}

// retireLocked ends a connection as soon as it is idle. Only an idle one is woken:
// a deadline in the past would break the reading of a request.
func (f *front) retireLocked(s *submitter) {
	if !s.retire.Swap(true) && s.awaiting {
		s.conn.SetReadDeadline(wakeUp)
	}
}

// await notes that a connection's next request has not begun, and returns whether
// it has brought a job before. One that becomes idle while accepting waits for
// room makes way.
func (f *front) await(s *submitter) (proven bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.awaiting = true
	s.idle = f.idle.PushBack(s)
	if len(f.all) >= f.budget {
		f.freed.Broadcast()
	}
	return s.jobs > 0
}

// awaited notes that a connection's next request has begun, or never will.
func (f *front) awaited(s *submitter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.awaiting = false
	f.idle.Remove(s.idle)
}

// prove notes that a connection has brought a job.
func (f *front) prove(s *submitter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.jobs++
}

// readUntil is when a request that now begins must have come to its end.
func (f *front) readUntil(s *submitter) time.Time {
	if d := f.drain.Load(); d != nil {
		return d.readUntil(time.Now())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.jobs > 0 {
		return time.Now().Add(readLimit)
	}
	return s.began.Add(readLimit)
}

// shutDown ends the front: for some moments it takes what comes in, then it closes
// the listener. The connections that are there stay for a while more, since their
// submitters have nowhere else to go until the end is noticed. Then the idle ones
// are closed, and it returns when all are answered.
func (f *front) shutDown(moments, stay time.Duration) {
	left := time.After(stay)
	<-time.After(moments)
	f.mu.Lock()
	f.closing.Store(true)
	f.freed.Broadcast()
	f.listener.SetDeadline(wakeUp)
	f.mu.Unlock()
	<-f.accepted // what the kernel has accepted counts as taken: it is served too
	f.listener.Close()
	<-left
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving.Store(true)
	for s := range f.all {
		f.retireLocked(s)
	}
	for len(f.all) > 0 {
		f.freed.Wait()
	}
}

const backlogTime = 20 * time.Millisecond // to accept what waits before the listener closes
