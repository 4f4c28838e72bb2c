package platform

import (
	"time"

	"github.com/vatu-meals/foxlift/internal/config"
)

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

// moments is how long a scheduler that is told to end goes on taking what comes
// in: new connections come for up to 0.4 s. Idle connections are to be closed
// before 0.7 s are over, their grace included.
const acceptAfterShutdown = 450 * time.Millisecond

// A scheduler may be killed the longest deadline, 3 s where it is longer, and 0.7 s after it
// was told to end. Until then it has answered what came more than 0.7 s after that, and the
// answers have been read.
const (
	maxKillDeadline = 3 * time.Second
	killSlack       = 700 * time.Millisecond
	processSlack    = 400 * time.Millisecond // lingerTimeout, and some for the process itself
	minStay         = 100 * time.Millisecond // past moments, that the submitters' connections stay,
	answerReserve   = time.Second            // and at most until so long before the end, for the last answers
)

// shutdownTimes returns how long after the word to end the submitters' connections stay, and when all
// is answered: what cannot be done by then is refused.
func shutdownTimes(s *config.Settings) (stay, end time.Duration) {
	longest := int64(0)
	for _, k := range s.Module.Classes {
		longest = max(longest, k.Deadline)
	}
	end = min(maxKillDeadline, time.Duration(longest)) + killSlack - processSlack
	return max(acceptAfterShutdown+minStay, end-answerReserve), max(acceptAfterShutdown+2*minStay, end)
}

// ShutDown makes the health 503, goes on taking what comes in for some moments and
// closes the listener. On the connections that are there it goes on for longer with
// jobs that end soon. It returns when everything taken is answered.
func (p *Platform) ShutDown() {
	stay, end := shutdownTimes(p.settings)
	// What comes in the first moments is no loss whatever becomes of it.
	beginTimer := time.AfterFunc(acceptAfterShutdown, func() { p.core.BeginShutdown(end - acceptAfterShutdown) })
	defer beginTimer.Stop()
	p.clients.unready.Store(true)
	p.clients.shutDown(acceptAfterShutdown, stay)
	p.core.Stop()
	p.closeOutbound()
}

// ShutDownAfterTakeover ends the platform where another process listens on the same address and gets all new
// connections: the health stays as it is, since the address is served. What waits to be accepted is
// taken, the listener closes, and submitters' connections end as soon as what they
// carry is answered. It returns when everything taken is answered.
func (p *Platform) ShutDownAfterTakeover() {
	_, end := shutdownTimes(p.settings)
	p.core.BeginShutdown(end)
	if p.peers != nil {
		p.peers.stop() // the others hear the new process, and would take both for one
	}
	p.clients.yield(true)
	p.clients.shutDown(takeoverQueueTime, takeoverIdleStay)
	p.core.Stop()
	p.closeOutbound()
}

// In a hand-over: connections whose handshake had begun before the other process took over have
// come into the accept queue by then; and so long idle connections stay for a request.
const (
	takeoverQueueTime = 100 * time.Millisecond
	takeoverIdleStay  = 300 * time.Millisecond
)

// end ends what the scheduler has open towards others than its submitters.
func (p *Platform) closeOutbound() {
	p.endpoints.stop()
	p.pool.closeAll()
	if p.peers != nil {
		p.peers.stop()
	}
}

// Kill ends everything at once and answers nothing more, as a kill of the process
// would: for tests and the lab.
func (p *Platform) Kill() {
	p.core.Stop()
	p.clients.mu.Lock()
	defer p.clients.mu.Unlock()
	if p.clients.listener != nil {
		p.clients.listener.Close()
	}
	for s := range p.clients.conns {
		s.conn.Close()
	}
	p.closeOutbound()
}
