package platform

import (
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/guard"
)

const (
	// For a request, from its first byte to its last; for the first on a connection from the accept. A
	// client that sends nothing or half a request gets its answer within 3 s.
	requestTimeout     = 2 * time.Second
	answerWriteTimeout = 10 * time.Second       // to write an answer
	lingerTimeout      = 250 * time.Millisecond // for the other side to read an answer before the close,
	maxLingerBytes     = 1 << 20                // while it goes on sending at most this
	floodBackoff       = time.Millisecond       // between two reads of what a client sends past a head's length
)

// pastDeadline, as a read deadline, wakes a connection's goroutine from Read.
var pastDeadline = time.Unix(1, 0)

// A clientConn is a client's connection. One goroutine serves it: it reads a request, hands the job to the
// core, and while the job runs goes on reading, to notice that the client disconnects. Others wake it by a
// read deadline in the past.
type clientConn struct {
	server        *clientServer
	conn          net.Conn
	buf           readBuffer
	openedAt      time.Time
	retired       atomic.Bool // to end as soon as it is idle
	answeredAt    time.Time   // when the last answer was written
	answerPending bool        // a job was taken from it, and its answer has not been written

	// Guarded by server.mu.
	idle        bool          // the next request has not begun
	idleElement *list.Element // in server.idle, while awaiting
	cell        string        // of its last job, where there are cells
	requests    int           // requests that were taken, jobs and calls for the health
}

// A pendingAnswer is a client's wait for the answer to one job. It implements core.Client.
type pendingAnswer struct {
	conn   *clientConn
	answer chan core.Answer // holds one
}

// Answer implements core.Client.
func (p *pendingAnswer) Answer(a core.Answer) {
	select {
	case p.answer <- a:
		p.conn.conn.SetReadDeadline(pastDeadline)
	default: // a second answer: the core gives only one
	}
}

// Disconnected implements core.Client: the other side has ended the connection, or its sending on it,
// and serve may not have come to read that yet.
func (p *pendingAnswer) Disconnected() bool { return peerClosed(p.conn.conn) }

// serve runs until the connection ends.
func (c *clientConn) serve() {
	for c.awaitRequest() && c.exchange() {
	}
	c.close()
}

// close is the one way in which a connection ends. A close with bytes unread resets the connection, and with it
// an answer that the other side has not read yet; bytes may come at any moment until the other side knows of
// the end. So the write side is closed first, and what still comes is read and dropped: nothing of it is
// taken. That is bounded, since some clients might never stop sending. Where the other side's machine has had
// the last answer for a while nothing can be lost, and other clients may need the descriptor.
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

// awaitRequest waits for a request's first byte.
func (c *clientConn) awaitRequest() bool {
	hadRequest := c.server.markIdle(c)
	defer c.server.markBusy(c)
	for {
		currentDrain := c.server.activeDrain()
		deadline := c.idleDeadline(currentDrain, hadRequest)
		// In this order: a wake-up between the two ends the wait below.
		c.conn.SetReadDeadline(deadline)
		if c.server.activeDrain() != currentDrain {
			continue
		}
		if c.buf.buffered() > 0 {
			return true
		}
		if c.retired.Load() && !hadRequest && !c.server.closeIdle.Load() {
			return c.buf.fillAvailable() && c.buf.buffered() > 0 // nothing of it is taken yet
		}
		if c.retired.Load() {
			// A request may be on its way that was sent before the client could know of the end: it must
			// not be lost unread.
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

// idleDeadline is when the connection ends if no request has begun; zero for no such time. Only a drain ends
// one that has brought a request before.
func (c *clientConn) idleDeadline(activeDrain *drain, hadRequest bool) time.Time {
	switch {
	case activeDrain != nil:
		return activeDrain.idleDeadline(c.openedAt)
	case !hadRequest:
		return c.openedAt.Add(requestTimeout)
	}
	return time.Time{}
}

// exchange reads one request and answers it. It returns whether the connection goes on.
func (c *clientConn) exchange() bool {
	req, body, err := c.readRequest()
	var input *inputError
	switch {
	case errors.As(err, &input):
		// What follows on the connection cannot be told from the invalid request.
		return c.writeReply(c.rejectInput(input), true)
	case err != nil:
		return false // the connection ended within a request: nothing was taken
	}
	switch {
	case req.URL.Path == pathHealth:
		c.server.recordRequest(c)
		return c.writeReply(c.healthReply(req.Method), req.Close)
	case req.Method != http.MethodPost:
		input = newInputError(http.StatusMethodNotAllowed, "method", "jobs come by POST")
		return c.writeReply(c.rejectInput(input), req.Close)
	}
	job, err := parseJob(req, body)
	if errors.As(err, &input) {
		return c.writeReply(c.rejectInput(input), req.Close)
	}
	c.server.recordRequest(c)
	overCellLimit := !c.server.assignCell(c, job)
	c.answerPending = true
	answer, mustClose := c.runJob(job)
	return c.writeReply(c.formatAnswer(answer), req.Close || mustClose || overCellLimit)
}

// run hands a job to the core and waits for its answer. mustClose says that the connection must end with it:
// the client has disconnected, or sends what cannot be taken.
func (c *clientConn) runJob(job *core.Job) (answer core.Answer, mustClose bool) {
	disconnected, flooded := false, false
	pending := &pendingAnswer{c, make(chan core.Answer, 1)}
	job.Client, job.ArrivedAt = pending, c.server.clock.Now()
	c.server.core.Accept(job)
	for {
		// In this order: an answer between the two ends the read below.
		c.conn.SetReadDeadline(time.Time{})
		select {
		case answer = <-pending.answer:
			return answer, disconnected || flooded
		default:
		}
		if disconnected {
			return <-pending.answer, true
		}
		if c.buf.buffered() >= maxHeadBytes {
			// More than another request's head while one is in flight is a flood, none of which is taken.
			// It is read on, slowly, since only behind it the client's disconnect can be seen.
			flooded = true
			c.buf.discard()
			select {
			case answer = <-pending.answer:
				return answer, true
			case <-time.After(floodBackoff):
			}
		}
		if err := c.buf.fill(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			disconnected = true
			job.MarkDisconnected()
			c.server.core.ClientDisconnected(job)
		}
	}
}
