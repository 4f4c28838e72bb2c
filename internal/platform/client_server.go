package platform

import (
	"container/list"
	"errors"
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

// A clientServer accepts the clients' connections, as many as its budget allows.
type clientServer struct {
	core             *core.Core
	clock            core.Clock
	counters         *counters.Set
	log              *zap.Logger
	listener         listener
	budget           int
	lateRequestGrace time.Duration         // for a request that crosses the close of an idle connection
	unready          atomic.Bool           // health is 503
	stopAccepting    atomic.Bool           // no more is accepted than is in the backlog already
	closeIdle        atomic.Bool           // answers end their connections, and idle ones are closed
	operatorDrain    atomic.Pointer[drain] // by the operators; nil: there is none
	successorDrain   atomic.Pointer[drain] // by another process that has the address; nil: there is none
	acceptDone       chan struct{}         // closed when accept has returned

	mu              sync.Mutex
	capacityChanged *sync.Cond // a connection has ended
	conns           map[*clientConn]struct{}
	idle            *list.List     // of *clientConn, the longest idle first
	connsByCell     map[string]int // connections by the cell of their last job
}

func newClientServer(
	jobCore *core.Core, clock core.Clock, counterSet *counters.Set, log *zap.Logger, clientListener listener, budget int,
) *clientServer {
	s := &clientServer{
		core:             jobCore,
		clock:            clock,
		counters:         counterSet,
		log:              log,
		listener:         clientListener,
		budget:           budget,
		lateRequestGrace: defaultLateRequestGrace,
		acceptDone:       make(chan struct{}),
		conns:            map[*clientConn]struct{}{},
		idle:             list.New(),
		connsByCell:      map[string]int{},
	}
	s.capacityChanged = sync.NewCond(&s.mu)
	return s
}

// setListener sets the listener. It is called before accept.
func (s *clientServer) setListener(l listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
}

// ready reports whether jobs are taken, and new connections may come.
func (s *clientServer) ready() bool {
	return s.core.Ready() && !s.unready.Load() && s.operatorDrain.Load() == nil
}

const (
	headroomDivisor         = 16 // the part of the budget that is kept free, by closing idle connections
	spareConnsDivisor       = 8  // the part of the budget that no open job holds
	defaultLateRequestGrace = 100 * time.Millisecond
	firstByteGrace          = 50 * time.Millisecond  // an ordinary client's first request has begun by then,
	firstRequestGrace       = 250 * time.Millisecond // and has come in full by then
	closeBatchDivisor       = 8                      // the part of the budget that is closed at a time
	minAcceptBackoff        = 5 * time.Millisecond   // after a failed accept, doubled each time
	maxAcceptBackoff        = 500 * time.Millisecond
)

// accept runs until the listener is closed or, during shutdown, the backlog is empty.
func (s *clientServer) accept() {
	defer close(s.acceptDone)
	backoff := minAcceptBackoff
	for {
		stopping := s.awaitCapacity()
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			s.counters.Add("accept.connections")
			s.serveConn(conn)
		case errors.Is(err, net.ErrClosed), stopping && errors.Is(err, os.ErrDeadlineExceeded) && !hasPendingConn(s.listener):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // shutDown woke it, or the process stood still past it
		default:
			// Out of descriptors, most likely: an idle connection is closed, and accepting always goes on
			// after a while.
			s.counters.Add("accept.failed")
			s.log.Warn("client listener: accept failed", zap.Error(err))
			s.freeOneConn()
			<-time.After(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		}
	}
}

// serveConn begins to serve a connection.
func (s *clientServer) serveConn(conn net.Conn) {
	c := &clientConn{server: s, conn: conn, buf: readBuffer{conn: conn}, openedAt: time.Now()}
	c.retired.Store(s.closeIdle.Load())
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.setCellLocked(c, "")
		s.mu.Unlock()
		s.capacityChanged.Broadcast()
	}()
}

// markIdle records that a connection's next request has not begun, and returns whether it has brought a request
// before. One that becomes idle while accept waits for capacity may be closed for it.
func (s *clientServer) markIdle(c *clientConn) (hadRequest bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idle = true
	c.idleElement = s.idle.PushBack(c)
	if len(s.conns) >= s.budget {
		s.capacityChanged.Broadcast()
	}
	return c.requests > 0
}

// markBusy records that a connection's next request has begun, or never will.
func (s *clientServer) markBusy(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idle = false
	s.idle.Remove(c.idleElement)
}

// recordRequest records that a connection has brought a job or a call for the health.
func (s *clientServer) recordRequest(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.requests++
}

// readDeadline is when a request that begins now must have come in full.
func (s *clientServer) readDeadline(c *clientConn) time.Time {
	if drain := s.operatorDrain.Load(); drain != nil {
		return drain.readDeadline(time.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.requests > 0 {
		return time.Now().Add(requestTimeout)
	}
	return c.openedAt.Add(requestTimeout)
}
