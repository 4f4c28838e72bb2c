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
type clientServer struct {
	core             *core.Core
	clock            core.Clock
	counters         *counters.Set
	log              *zap.Logger
	listener         listener
	budget           int
	lateRequestGrace time.Duration         // for a request that crosses the end of an idle connection
	unready          atomic.Bool           // health is 503
	stopAccepting    atomic.Bool           // no more is accepted than waits already
	closeIdle        atomic.Bool           // answers end their connections, and idle ones end
	operatorDrain    atomic.Pointer[drain] // by the operators; nil: none
	successorDrain   atomic.Pointer[drain] // by another process that has the address; nil: there is none
	acceptDone       chan struct{}         // closed when accept has returned

	mu          sync.Mutex
	connEnded   *sync.Cond // a connection has ended
	conns       map[*clientConn]struct{}
	idle        *list.List     // of *submitter, the longest idle first
	connsByCell map[string]int // connections by the cell of their last job
}

func newClientServer(c *core.Core, clock core.Clock, set *counters.Set, log *zap.Logger, l listener, budget int) *clientServer {
	f := &clientServer{
		core: c, clock: clock, counters: set, log: log, listener: l, budget: budget, lateRequestGrace: defaultLateRequestGrace,
		acceptDone: make(chan struct{}), conns: map[*clientConn]struct{}{}, idle: list.New(), connsByCell: map[string]int{},
	}
	f.connEnded = sync.NewCond(&f.mu)
	return f
}

// setListener sets where connections come from. It is called before accept.
func (s *clientServer) setListener(l listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
}

// setBudget changes how many connections there may be; where there are more, idle ones make way.
func (s *clientServer) setBudget(budget int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget = budget
	s.freeCapacityLocked(len(s.conns) - budget)
	s.connEnded.Broadcast()
}

// maxOpenJobs is how many jobs may be open under a budget. Each holds a connection, and some must be
// left for others to be read and refused on: what the kernel has accepted and
// nobody reads is lost.
func maxOpenJobs(budget int) int { return budget - max(1, budget/spareJobsDivisor) }

func (s *clientServer) ready() bool {
	return s.core.Ready() && !s.unready.Load() && s.operatorDrain.Load() == nil
}

const (
	headroomDivisor         = 16 // the part of the budget in which idle connections make way
	spareJobsDivisor        = 8  // the part of it that no waiting job holds
	defaultLateRequestGrace = 100 * time.Millisecond
	firstByteGrace          = 50 * time.Millisecond  // a usual submitter's first request has begun by then,
	firstRequestGrace       = 250 * time.Millisecond // and has come whole by then
	freeBatchDivisor        = 8                      // the part of the budget that makes way at a time, of proven connections
	minAcceptBackoff        = 5 * time.Millisecond   // after a failed accept, doubled each time
	maxAcceptBackoff        = 500 * time.Millisecond
)

// accept runs until the listener is closed or, at the end, nothing more waits.
func (s *clientServer) accept() {
	defer close(s.acceptDone)
	pause := minAcceptBackoff
	for {
		last := s.awaitCapacity()
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			pause = minAcceptBackoff
			s.counters.Add("accept.connections")
			s.serveConn(conn)
		case errors.Is(err, net.ErrClosed), last && errors.Is(err, os.ErrDeadlineExceeded) && !hasPendingConn(s.listener):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // shutDown woke it, or the process stood still past it
		default:
			// Out of descriptors, most likely: an idle connection makes room, and
			// accepting goes on after a while, always.
			s.counters.Add("accept.failed")
			s.log.Warn("a connection could not be accepted", zap.Error(err))
			s.freeCapacity(1)
			<-time.After(pause)
			pause = min(2*pause, maxAcceptBackoff)
		}
	}
}

func (s *clientServer) serveConn(conn net.Conn) {
	c := &clientConn{server: s, conn: conn, buf: buffer{conn: conn}, openedAt: time.Now()}
	c.retire.Store(s.closeIdle.Load())
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.setCellLocked(c, "")
		s.mu.Unlock()
		s.connEnded.Broadcast()
	}()
}

// awaitCapacity waits until the budget allows another connection. Shortly before, the
// longest idle ones begin to make way. At the end it does not wait, and what the kernel has accepted by
// then is all that is left to accept: last is true.
func (s *clientServer) awaitCapacity() (last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.stopAccepting.Load() {
		s.freeCapacityLocked(len(s.conns) + 1 + s.budget/headroomDivisor - s.budget)
		if len(s.conns) < s.budget {
			break
		}
		recheck := time.AfterFunc(firstByteGrace, s.connEnded.Broadcast) // some are no longer new by then
		s.connEnded.Wait()
		recheck.Stop()
	}
	if last = s.stopAccepting.Load(); last {
		s.listener.SetDeadline(time.Now().Add(backlogTimeout))
	}
	return last
}

func (s *clientServer) freeCapacity(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freeCapacityLocked(n)
}

// freeCapacityLocked ends n connections and, where n is over 0, some more. Those that are about to
// end already count. The first to go are those that never brought a job and are silent, then those
// that are slow about their first, then those that brought one and stayed: all of them, since
// whoever waits behind a flood waits for each batch of ends in turn, while the time that its job
// has left runs out unseen. Last go the longest idle of those that brought more, a batch at a time,
// so that a flood does not cost other submitters their connections.
func (s *clientServer) freeCapacityLocked(n int) {
	if n <= 0 {
		return
	}
	n += s.budget
	retire := func(c *clientConn, eligible bool) {
		if eligible && n > 0 {
			n--
			s.retireLocked(c)
		}
	}
	for c := range s.idleConns() {
		retire(c, c.jobs == 0 && time.Since(c.openedAt) > firstByteGrace)
	}
	for c := range s.conns {
		if c.jobs == 0 && !c.awaiting && time.Since(c.openedAt) > firstRequestGrace {
			retire(c, true)
			c.conn.SetReadDeadline(pastDeadline)
		}
	}
	for c := range s.idleConns() {
		retire(c, c.jobs == 1)
	}
	for c := range s.conns {
		if c.jobs == 0 && !c.retire.Load() {
			n-- // it brings a job or goes before long
		}
	}
	n -= s.budget - s.budget/freeBatchDivisor
	for c := range s.idleConns() {
		retire(c, c.jobs > 1)
	}
}

// idlers goes through the idle connections, the longest idle first.
func (s *clientServer) idleConns() iter.Seq[*clientConn] {
	return func(yield func(*clientConn) bool) {
		for e := s.idle.Front(); e != nil; e = e.Next() {
			if !yield(e.Value.(*clientConn)) {
				return
			}
		}
	}
}

// label counts a connection among those of the cell of the job that it has brought,
// and returns whether that cell may keep it. Until its first job is read nobody can
// know whose a connection is; from then on no cell's submitters hold more than their
// part of the descriptors.
func (s *clientServer) assignCell(c *clientConn, job *core.Job) bool {
	cell, most := s.core.Cell(job.Tenant, job.Key)
	if cell == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setCellLocked(c, cell)
	if s.connsByCell[cell] > most {
		s.counters.Add("accept.cell_full")
		return false
	}
	return true
}

func (s *clientServer) setCellLocked(c *clientConn, cell string) {
	if c.cell == cell {
		return
	}
	if c.cell != "" {
		if s.connsByCell[c.cell]--; s.connsByCell[c.cell] == 0 {
			delete(s.connsByCell, c.cell)
		}
	}
	if c.cell = cell; cell != "" {
		s.connsByCell[cell]++
	}
}

// retireLocked ends a connection as soon as it is idle. Only an idle one is woken:
// a deadline in the past would break the reading of a request.
func (s *clientServer) retireLocked(c *clientConn) {
	if !c.retire.Swap(true) && c.awaiting {
		c.conn.SetReadDeadline(pastDeadline)
	}
}

// await notes that a connection's next request has not begun, and returns whether
// it has brought a job before. One that becomes idle while accepting waits for
// room makes way.
func (s *clientServer) markIdle(c *clientConn) (proven bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.awaiting = true
	c.idleElement = s.idle.PushBack(c)
	if len(s.conns) >= s.budget {
		s.connEnded.Broadcast()
	}
	return c.jobs > 0
}

// awaited notes that a connection's next request has begun, or never will.
func (s *clientServer) markBusy(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.awaiting = false
	s.idle.Remove(c.idleElement)
}

// prove notes that a connection has brought a job.
func (s *clientServer) recordRequest(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.jobs++
}

// readDeadline is when a request that now begins must have come to its end.
func (s *clientServer) readDeadline(c *clientConn) time.Time {
	if d := s.operatorDrain.Load(); d != nil {
		return d.readDeadline(time.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.jobs > 0 {
		return time.Now().Add(requestTimeout)
	}
	return c.openedAt.Add(requestTimeout)
}

// shutDown ends the front: for some moments it takes what comes in, then it closes
// the listener. The connections that are there stay for a while more, since their
// submitters have nowhere else to go until the end is noticed. Then the idle ones
// are closed, and it returns when all are answered.
func (s *clientServer) shutDown(acceptFor, stay time.Duration) {
	stayTimer := time.After(stay)
	<-time.After(acceptFor)
	s.mu.Lock()
	s.stopAccepting.Store(true)
	s.connEnded.Broadcast()
	s.listener.SetDeadline(pastDeadline)
	s.mu.Unlock()
	<-s.acceptDone // what the kernel has accepted counts as taken: it is served too
	s.listener.Close()
	<-stayTimer
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle.Store(true)
	for c := range s.conns {
		s.retireLocked(c)
	}
	for len(s.conns) > 0 {
		s.connEnded.Wait()
	}
}

const backlogTimeout = 20 * time.Millisecond // to accept what waits before the listener closes
