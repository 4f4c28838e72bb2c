package platform

import (
	"time"

	"github.com/vatu-meals/foxlift/internal/config"
)

// shutDown ends the server: for a while it accepts what comes in, then it closes the listener. The connections that
// are there stay for longer, since their clients have nowhere else to go until they notice the shutdown. Then
// the idle ones are closed, and it returns when all are answered.
func (s *clientServer) shutDown(acceptFor, closeIdleAfter time.Duration) {
	closeIdleTimer := time.After(closeIdleAfter)
	<-time.After(acceptFor)
	s.mu.Lock()
	s.stopAccepting.Store(true)
	s.capacityChanged.Broadcast()
	_ = s.listener.SetDeadline(pastDeadline) // fails on a closed one, as Accept does
	s.mu.Unlock()
	<-s.acceptDone // what the kernel has accepted is served too
	s.listener.Close()
	<-closeIdleTimer
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle.Store(true)
	for c := range s.conns {
		s.retireLocked(c)
	}
	for len(s.conns) > 0 {
		s.capacityChanged.Wait()
	}
}

const backlogTimeout = 20 * time.Millisecond // to accept the backlog before the listener is closed

// acceptAfterShutdown is how long a scheduler goes on accepting after a shutdown has begun: new connections come for
// up to 0.4 s. Idle connections are to be closed before 0.7 s are over, their grace included.
const acceptAfterShutdown = 450 * time.Millisecond

// A scheduler may be killed 0.7 s and the longest deadline (3 s where it is longer) after its shutdown has begun. Until
// then it has answered what it accepted, and the answers have been read.
const (
	maxKillDeadline = 3 * time.Second
	killSlack       = 700 * time.Millisecond
	processSlack    = 400 * time.Millisecond // lingerTimeout, and some for the process itself
	minIdleGrace    = 100 * time.Millisecond // past acceptAfterShutdown, that clients' connections stay,
	answerReserve   = time.Second            // and at most until so long before the end, for the last answers
)

// shutdownTimes returns how long after the beginning of a shutdown clients' connections stay, and when everything
// is answered: what cannot be done by then is abandoned.
func shutdownTimes(s *config.Settings) (closeIdleAfter, answerBy time.Duration) {
	longest := int64(0)
	for _, class := range s.Module.Classes {
		longest = max(longest, class.Deadline)
	}
	answerBy = min(maxKillDeadline, time.Duration(longest)) + killSlack - processSlack
	return max(acceptAfterShutdown+minIdleGrace, answerBy-answerReserve), max(acceptAfterShutdown+2*minIdleGrace, answerBy)
}

// ShutDown makes the health 503, goes on accepting what comes in for a short while and closes the listener. On the
// connections that are there it goes on for longer with jobs that end soon. It returns when everything that
// was accepted is answered.
func (p *Platform) ShutDown() {
	closeIdleAfter, answerBy := shutdownTimes(p.settings)
	// Nothing that comes in the first while is held against a scheduler.
	beginTimer := time.AfterFunc(acceptAfterShutdown, func() { p.core.BeginShutdown(answerBy - acceptAfterShutdown) })
	defer beginTimer.Stop()
	p.clients.unready.Store(true)
	p.clients.shutDown(acceptAfterShutdown, closeIdleAfter)
	p.core.Stop()
	p.closeOutbound()
}

// ShutDownAfterTakeover ends the platform where a successor listens on the same address and gets all new
// connections: the health stays as it is, since the address is served. The backlog is accepted, the listener
// is closed, and clients' connections end as soon as what they carry is answered. It returns when everything
// that was accepted is answered.
func (p *Platform) ShutDownAfterTakeover() {
	_, answerBy := shutdownTimes(p.settings)
	p.core.BeginShutdown(answerBy)
	if p.peers != nil {
		p.peers.stop() // the other schedulers hear the successor, and would take both for one
	}
	p.clients.yieldConns(true)
	p.clients.shutDown(takeoverAcceptTime, takeoverIdleGrace)
	p.core.Stop()
	p.closeOutbound()
}

// After a takeover: connections whose handshake had begun before it have come into the accept queue by then; and so
// long idle connections stay for a request.
const (
	takeoverAcceptTime = 100 * time.Millisecond
	takeoverIdleGrace  = 300 * time.Millisecond
)

// closeOutbound ends what the scheduler has open to others than its clients.
func (p *Platform) closeOutbound() {
	p.endpoints.stop()
	p.pool.closeAllIdle()
	if p.peers != nil {
		p.peers.stop()
	}
}

// Kill ends everything at once and answers nothing more, as a kill of the process would: for tests and the lab.
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
