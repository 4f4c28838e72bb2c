package platform

import (
	"time"

	"github.com/vatu-meals/foxlift/internal/config"
)

// shutDown stops the server and returns when all connections are closed. It accepts connections for acceptFor and then
// closes the listener. Idle connections are closed only after closeIdleAfter, counted from the call, since their
// clients have no other scheduler until they detect the shutdown.
func (s *clientServer) shutDown(acceptFor, closeIdleAfter time.Duration) {
	closeIdleTimer := time.After(closeIdleAfter)
	<-time.After(acceptFor)
	s.mu.Lock()
	s.stopAccepting.Store(true)
	s.capacityChanged.Broadcast()
	_ = s.listener.SetDeadline(pastDeadline) // fails on a closed listener, as Accept does
	s.mu.Unlock()
	select {
	case <-s.acceptDone: // connections that the kernel has accepted are served too
		s.listener.Close()
		<-closeIdleTimer
	case <-closeIdleTimer: // a crowd is still being accepted
	}
	s.retireAll()
	<-s.acceptDone
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 {
		s.capacityChanged.Wait()
	}
}

// retireAll marks all connections, also those that are accepted later, to be closed as soon as they are idle.
func (s *clientServer) retireAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle.Store(true)
	for c := range s.conns {
		s.retireLocked(c)
	}
}

// backlogTimeout is the accept deadline while the backlog is emptied before the listener is closed.
const backlogTimeout = 20 * time.Millisecond

// acceptAfterShutdown is how long a scheduler accepts connections after a shutdown has begun. New connections arrive
// for up to 0.4 s. Idle connections must be closed within 0.7 s, including their grace.
const acceptAfterShutdown = 450 * time.Millisecond

// A scheduler may be killed 0.7 s plus the longest deadline (at most 3 s) after its shutdown has begun. By then it must
// have answered all accepted jobs, and the clients must have read the answers.
const (
	maxKillDeadline = 3 * time.Second
	killSlack       = 700 * time.Millisecond
	processSlack    = 400 * time.Millisecond // lingerTimeout, and time for the process to exit
	minIdleGrace    = 100 * time.Millisecond // minimum after acceptAfterShutdown before idle connections are closed
	answerReserve   = time.Second            // idle connections are closed this long before the end, for the last answers
)

// shutdownTimes returns two times after the start of a shutdown: when idle client connections are closed, and by when
// all jobs are answered. Jobs that are not finished by then are abandoned. The minimums are
// acceptAfterShutdown + minIdleGrace and acceptAfterShutdown + 2*minIdleGrace.
func shutdownTimes(s *config.Settings) (closeIdleAfter, answerBy time.Duration) {
	longest := int64(0)
	for _, class := range s.Module.Classes {
		longest = max(longest, class.Deadline)
	}
	answerBy = min(maxKillDeadline, time.Duration(longest)) + killSlack - processSlack
	return max(acceptAfterShutdown+minIdleGrace, answerBy-answerReserve), max(acceptAfterShutdown+2*minIdleGrace, answerBy)
}

// ShutDown makes health checks return 503, accepts connections for a short time and then closes the listener. On open
// connections it still serves jobs that end soon. It returns when all accepted jobs are answered.
func (p *Platform) ShutDown() {
	closeIdleAfter, answerBy := shutdownTimes(p.settings)
	// Requests that arrive within acceptAfterShutdown are not yet counted against the scheduler's draining duty. They are
	// still accepted as usual: the core begins its shutdown only after that time.
	beginTimer := time.AfterFunc(acceptAfterShutdown, func() { p.core.BeginShutdown(answerBy - acceptAfterShutdown) })
	defer beginTimer.Stop()
	p.clients.unready.Store(true)
	p.pool.shrinkBudget(shutdownReserve)
	p.clients.shutDown(acceptAfterShutdown, closeIdleAfter)
	p.core.Stop()
	p.closeOutbound()
}

// ShutDownAfterTakeover shuts the platform down while a successor listens on the same address and gets all new
// connections. Health checks keep succeeding, because the address is still served. It accepts the backlog, closes the
// listener, and closes client connections as soon as their requests are answered. It returns when all accepted jobs are
// answered.
func (p *Platform) ShutDownAfterTakeover() {
	_, answerBy := shutdownTimes(p.settings)
	p.core.BeginShutdown(answerBy)
	if p.peers != nil {
		p.peers.stop() // peers get messages from the successor and could not tell the two processes apart
	}
	p.clients.yieldConns(true)
	p.pool.shrinkBudget(shutdownReserve)
	p.clients.shutDown(takeoverAcceptTime, takeoverIdleGrace)
	p.core.Stop()
	p.closeOutbound()
}

// Times of the predecessor's shutdown after a takeover.
const (
	takeoverAcceptTime = 100 * time.Millisecond // handshakes begun before the takeover reach the accept queue by then
	takeoverIdleGrace  = 300 * time.Millisecond // idle connections stay open this long for a request
)

// closeOutbound stops the endpoint watch, and closes the idle connections to workers and the socket to peers.
func (p *Platform) closeOutbound() {
	p.endpoints.stop()
	p.pool.closeAllIdle()
	if p.peers != nil {
		p.peers.stop()
	}
}

// Kill stops the platform at once without answering jobs, like a kill of the process. It is for tests and the lab.
func (p *Platform) Kill() {
	p.core.Stop()
	p.clients.mu.Lock()
	defer p.clients.mu.Unlock()
	if p.clients.listener != nil {
		p.clients.listener.Close()
	}
	for conn := range p.clients.conns {
		conn.conn.Close()
	}
	p.closeOutbound()
}
