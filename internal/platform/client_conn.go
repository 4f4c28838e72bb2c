package platform

import (
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/guard"
)

const (
	// requestTimeout limits the time from the first byte of a request to the last, and from the accept for the first
	// request of a connection. A client that sends nothing or half a request must get its answer within 3 s.
	requestTimeout     = 2 * time.Second
	answerWriteTimeout = 10 * time.Second       // for writing an answer
	lingerTimeout      = 250 * time.Millisecond // for the client to read the last answer before the close
	maxLingerBytes     = 1 << 20                // bytes read and dropped during lingerTimeout
	floodBackoff       = time.Millisecond       // between reads of data that exceeds the size of a request head
	maxUncountedWait   = 100 * time.Millisecond // of a request until it is read; the slack of the rules covers it
)

// pastDeadline is a time in the past. Set as the read deadline, it interrupts a blocked Read.
var pastDeadline = time.Unix(1, 0)

// A clientConn is a client's connection. One goroutine serves it: it reads a request, passes the job to the core and
// keeps reading while the job runs, to detect that the client disconnects. Other goroutines wake it by setting a read
// deadline in the past.
type clientConn struct {
	server        *clientServer
	conn          net.Conn
	buf           readBuffer
	openedAt      time.Time   // when it was accepted, less the time since its last data that it waited in the backlog
	retired       atomic.Bool // to be closed as soon as it is idle
	evicted       atomic.Bool // to be closed without an answer if its first request is still incomplete
	answeredAt    time.Time   // when the last answer was written
	answerPending bool        // a job was accepted and its answer has not been written

	// Time before which it has not waited in the listener's backlog, on the clock of this process; zero if it has not
	// waited for more than maxUncountedWait.
	waitingSince time.Time

	bufferMemory memoryReservation // of buf
	jobMemory    memoryReservation // of the request that is read or served

	// Guarded by server.mu.
	idle        bool          // waiting for the first byte of the next request
	idleElement *list.Element // in server.idle, valid while idle
	cell        string        // of its last job; empty if there is none or cells are not used
	requests    int           // number of accepted requests, jobs and health checks
}

// A pendingAnswer receives the answer to one job. It implements core.Client.
type pendingAnswer struct {
	conn   *clientConn
	answer chan core.Answer // has capacity 1
}

// Answer implements core.Client.
func (p *pendingAnswer) Answer(a core.Answer) {
	select {
	case p.answer <- a:
		p.conn.conn.SetReadDeadline(pastDeadline)
	default: // the core gives only one answer; a second one is dropped
	}
}

// Disconnected implements core.Client. It reports whether the client has closed the connection or its write side, even
// if serve has not read that yet.
func (p *pendingAnswer) Disconnected() bool { return peerClosed(p.conn.conn) }

// reserveBuffer reserves memory for a size of the read buffer and for the copy that a parser makes of an incomplete
// line, and returns whether it is available.
func (c *clientConn) reserveBuffer(size int) bool {
	if size <= unreservedBytes {
		c.bufferMemory.release()
		return true
	}
	return c.bufferMemory.resize(c.server.memory, "", 2*int64(size))
}

// serve handles requests until the connection ends, and closes it.
func (c *clientConn) serve() {
	defer c.bufferMemory.release()
	for c.awaitRequest() && c.exchange() {
		c.buf.trim()
		if c.buf.buffered() > 0 {
			runtime.Gosched() // a client that sends without a pause gets one request at a time served, like all others
		}
	}
	c.close()
}

// close closes the connection; every connection ends here. Closing a socket with unread bytes resets the connection,
// and the client may lose an answer that it has not read yet. Bytes can arrive until the client receives the end of the
// connection. So close first closes the write side, and then reads and drops what still arrives, within a time and
// byte limit since a client might never stop sending. It closes at once if the client's host has acknowledged the last
// answer and lateRequestGrace has passed since that was written, or there was none: then nothing can be lost, and other
// clients may need the descriptor. It counts a violation of guard.Unanswered if an accepted job has no answer although
// the client is still connected.
func (c *clientConn) close() {
	defer c.conn.Close()
	if rule := (guard.Close{
		AnswerPending: c.answerPending, Disconnected: peerClosed(c.conn),
	}).Check(); rule != guard.None {
		c.server.counters.Add(rule.Counter())
	}
	if time.Since(c.answeredAt) >= c.server.lateRequestGrace && !hasUnsentBytes(c.conn) {
		return
	}
	if closer, ok := c.conn.(interface{ CloseWrite() error }); ok && closer.CloseWrite() == nil {
		c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.conn, maxLingerBytes) // the connection ends either way
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the connection must be closed.
func (c *clientConn) awaitRequest() bool {
	hadRequest := c.server.markIdle(c)
	defer c.server.markBusy(c)
	for {
		currentDrain := c.server.activeDrain()
		deadline := c.idleDeadline(currentDrain, hadRequest)
		// The deadline is set before the drain is checked again: the check detects a drain that started before it,
		// and a drain that starts later sets a past deadline, which interrupts the read below.
		c.conn.SetReadDeadline(deadline)
		if c.server.activeDrain() != currentDrain {
			continue
		}
		if c.buf.buffered() > 0 {
			return true
		}
		if c.retired.Load() && !hadRequest && !c.server.closeIdle.Load() {
			// No request has been accepted on the connection: only one that has already arrived is served.
			return c.buf.fillAvailable() && c.buf.buffered() > 0
		}
		if c.retired.Load() {
			// A request that the client sent before it could detect the close may still arrive and must not be lost.
			c.conn.SetReadDeadline(time.Now().Add(c.server.lateRequestGrace))
			return c.buf.fill() == nil || c.buf.fillAvailable() && c.buf.buffered() > 0
		}
		if err := c.buf.fill(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if c.buf.buffered() == 0 && !deadline.IsZero() && !time.Now().Before(deadline) {
			if currentDrain == nil {
				c.server.counters.Add("bad.silent")
			}
			return false
		}
	}
}

// idleDeadline returns the time at which the connection is closed if no request has begun by then; zero means never.
// During a drain it is the deadline of activeDrain, which may be later than the one before the drain. Without a drain
// (nil) it is requestTimeout after the connection was opened, or zero if the connection has sent a request before.
func (c *clientConn) idleDeadline(activeDrain *drain, hadRequest bool) time.Time {
	switch {
	case activeDrain != nil:
		return activeDrain.idleDeadline(c.openedAt)
	case !hadRequest:
		return c.openedAt.Add(requestTimeout)
	}
	return time.Time{}
}

// exchange reads one request and answers it. It returns whether the connection stays open.
func (c *clientConn) exchange() bool {
	defer c.jobMemory.release()
	req, body, err := c.readRequest()
	var inputErr *inputError
	bodyDropped := errors.Is(err, errBodyDropped)
	switch {
	case errors.As(err, &inputErr) && inputErr.status == http.StatusRequestTimeout && c.evicted.Load():
		c.server.counters.Add("bad.evicted")
		return false
	case errors.As(err, &inputErr):
		// The end of an invalid request is unknown, so the connection cannot be used for another one.
		return c.writeReply(c.rejectInput(inputErr), true)
	case err != nil && !bodyDropped:
		return false // the connection ended within a request, which was not accepted
	}
	closeAfter := req.Close
	switch {
	case req.URL.Path == pathHealth:
		c.server.recordRequest(c)
		return c.writeReply(c.healthReply(req.Method), closeAfter)
	case req.Method != http.MethodPost:
		inputErr = newInputError(http.StatusMethodNotAllowed, "method", "jobs come by POST")
		return c.writeReply(c.rejectInput(inputErr), closeAfter)
	}
	job, err := parseJob(req, body)
	if errors.As(err, &inputErr) {
		return c.writeReply(c.rejectInput(inputErr), closeAfter)
	}
	if peerClosed(c.conn) {
		c.server.counters.Add("bad.left")
		return c.writeReply(c.formatAnswer(core.Answer{Verdict: core.Failed, Reason: core.ReasonClientDisconnected}), true)
	}
	job.NoMemory = bodyDropped
	c.server.recordRequest(c)
	overCellLimit := !c.server.assignCell(c, job)
	c.answerPending = true
	answer, mustClose := c.runJob(job)
	return c.writeReply(c.formatAnswer(answer), closeAfter || mustClose || overCellLimit)
}

// unreadTime returns how long the last byte of a connection's first request has waited to be read, if the connection
// was in the listener's backlog; 0 for up to maxUncountedWait, and for later requests, which are read when they arrive.
// The kernel's figure counts only within a wait that this process has measured itself.
func (c *clientConn) unreadTime() time.Duration {
	if !c.answeredAt.IsZero() || c.waitingSince.IsZero() {
		return 0
	}
	if age := min(sinceLastInput(c.conn), time.Since(c.waitingSince)); age > maxUncountedWait {
		return age
	}
	return 0
}

// runJob passes a job to the core and waits for its answer. mustClose reports that the connection must be closed after
// the answer: the client has disconnected, or has sent too much data meanwhile.
func (c *clientConn) runJob(job *core.Job) (answer core.Answer, mustClose bool) {
	disconnected, flooded, noMemory := false, false, false
	pending := &pendingAnswer{c, make(chan core.Answer, 1)}
	job.Client = pending
	job.Unread = c.unreadTime()
	job.ArrivedAt = c.server.clock.Now() - int64(job.Unread)
	c.server.core.Accept(job)
	for {
		// The deadline is reset before the answer is checked: a later answer sets a past deadline, which interrupts
		// the read below.
		c.conn.SetReadDeadline(time.Time{})
		select {
		case answer = <-pending.answer:
			return answer, disconnected || flooded
		default:
		}
		if disconnected {
			return <-pending.answer, true
		}
		if c.buf.buffered() >= maxHeadBytes || noMemory {
			// A client that sends more than a request head, or more than there is memory for, while its job is in
			// flight floods the connection. The data is dropped. Reading goes on, slowly, because a disconnect can only
			// be detected after the data.
			flooded = true
			c.buf.discard()
			select {
			case answer = <-pending.answer:
				return answer, true
			case <-time.After(floodBackoff):
			}
		}
		err := c.buf.fill()
		noMemory = errors.Is(err, errNoMemory)
		if err != nil && !noMemory && !errors.Is(err, os.ErrDeadlineExceeded) {
			disconnected = true
			job.MarkDisconnected()
			c.server.core.ClientDisconnected(job)
		}
	}
}
