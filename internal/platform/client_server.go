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

// A listener accepts client connections. It is a net.TCPListener except in tests.
type listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// A clientServer accepts and serves client connections, at most budget at a time, and shutdownReserve more while it
// accepts the backlog during shutdown.
type clientServer struct {
	core             *core.Core
	clock            core.Clock
	counters         *counters.Set
	log              *zap.Logger
	listener         listener
	memory           *requestMemory
	budget           int                   // maximum number of client connections; guarded by mu
	lateRequestGrace time.Duration         // wait for a request sent before the client detects an idle close
	unready          atomic.Bool           // health checks are answered with 503
	stopAccepting    atomic.Bool           // accept only the connections that are already in the backlog
	closeIdle        atomic.Bool           // close connections after their answer, and idle ones at once
	operatorDrain    atomic.Pointer[drain] // started by the operators; nil if there is none
	successorDrain   atomic.Pointer[drain] // started because a successor process has the address; nil if there is none
	acceptDone       chan struct{}         // closed when accept has returned
	backlogEmptyAt   time.Time             // when accept last found the backlog empty, or the server was created

	mu              sync.Mutex
	capacityChanged *sync.Cond // signalled when accept or shutDown may be able to go on
	conns           map[*clientConn]struct{}
	idle            *list.List     // of *clientConn, longest idle first
	connsByCell     map[string]int // number of connections by the cell of their last job
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
		memory:           newRequestMemory(),
		budget:           budget,
		lateRequestGrace: defaultLateRequestGrace,
		acceptDone:       make(chan struct{}),
		backlogEmptyAt:   time.Now(),
		conns:            map[*clientConn]struct{}{},
		idle:             list.New(),
		connsByCell:      map[string]int{},
	}
	s.capacityChanged = sync.NewCond(&s.mu)
	return s
}

// setListener sets the listener. It must be called before accept.
func (s *clientServer) setListener(l listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
}

// ready reports whether the scheduler accepts jobs and clients may open new connections.
func (s *clientServer) ready() bool {
	return s.core.Ready() && !s.unready.Load() && s.operatorDrain.Load() == nil
}

const (
	headroomDivisor         = 16 // 1/16 of the budget is kept free by closing idle connections
	spareConnsDivisor       = 8  // 1/8 of the budget may not be occupied by open jobs
	defaultLateRequestGrace = 100 * time.Millisecond
	firstByteGrace          = 50 * time.Millisecond  // a well-behaved client has begun its first request by then
	firstRequestGrace       = 250 * time.Millisecond // and has sent it completely by then
	minRequestGrace         = 20 * time.Millisecond  // firstRequestGrace while very many connections wait to be accepted
	shutdownReserve         = 8                      // connections beyond the budget while the backlog is accepted
	shutdownRequestGrace    = 50 * time.Millisecond  // firstRequestGrace while the backlog is accepted
	closeBatchDivisor       = 8                      // 1/8 of the budget is closed at a time
	minAcceptBackoff        = 5 * time.Millisecond   // after a failed accept; doubled for each further failure
	maxAcceptBackoff        = 500 * time.Millisecond
)

// accept accepts connections until the listener is closed or, during shutdown, the backlog is empty.
func (s *clientServer) accept() {
	defer close(s.acceptDone)
	backoff := minAcceptBackoff
	for {
		stopping := s.awaitCapacity()
		waited := hasPendingConn(s.listener)
		conn, err := s.listener.Accept()
		if !waited {
			s.backlogEmptyAt = time.Now()
		}
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			s.counters.Add("accept.connections")
			s.serveConn(conn, s.backlogEmptyAt)
		case errors.Is(err, net.ErrClosed), stopping && errors.Is(err, os.ErrDeadlineExceeded) && !hasPendingConn(s.listener):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // shutDown interrupted Accept, or the process stalled past the deadline
		default:
			// The process is most likely out of descriptors: close an idle connection and retry after a backoff.
			s.counters.Add("accept.failed")
			s.log.Warn("client listener: accept failed", zap.Error(err))
			s.freeOneConn()
			<-time.After(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		}
	}
}

// serveConn starts serving a connection in a new goroutine. The connection has not waited in the backlog before
// waitingSince.
func (s *clientServer) serveConn(conn net.Conn, waitingSince time.Time) {
	now := time.Now()
	c := &clientConn{server: s, conn: conn, openedAt: now}
	if maxWait := now.Sub(waitingSince); maxWait > maxUncountedWait {
		c.waitingSince = waitingSince
		c.openedAt = now.Add(-min(sinceLastInput(conn), maxWait))
	}
	c.buf = readBuffer{conn: conn, reserveSize: c.reserveBuffer}
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

// markIdle records that a connection waits for its next request, and returns whether it has sent a request before. It
// wakes accept if that waits for capacity, since the connection may now be closed.
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

// markBusy records that a connection no longer waits for a request: a request has begun or the connection ends. It
// wakes accept if that waits for capacity and the request is the first one, which may have begun long ago.
func (s *clientServer) markBusy(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idle = false
	s.idle.Remove(c.idleElement)
	if c.requests == 0 && len(s.conns) >= s.budget {
		s.capacityChanged.Broadcast()
	}
}

// recordRequest counts an accepted job or health check of a connection.
func (s *clientServer) recordRequest(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.requests++
}

// readDeadline returns the time by which a request that begins now must have arrived completely.
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
