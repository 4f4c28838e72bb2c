package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/guard"
)

// An attempt carries out one claim: it connects to the execute node, writes the
// job and reports what comes back. It never sends a second time, not even on a
// connection that turns out to be stale: whether to try again is the module's
// decision.
type attempt struct {
	nodes   *nodes
	ctx     context.Context // ends when the claim is withdrawn
	node    string
	job     *core.Job
	until   time.Time // the submitter waits until then
	writeBy time.Time // the last byte is written by then or never; zero: no such limit
	report  func(core.Report)
	trace   attemptTrace

	mu         sync.Mutex
	unanswered *nodeConn // its connection, from before the first byte is written until the answer begins
}

func (a *attempt) run() {
	r := a.carryOut()
	if a.nodes.log != nil {
		state, _ := a.nodes.stateOf(a.node)
		a.trace.log(a.nodes.log, a, state, r)
	}
	a.report(r)
}

func (a *attempt) carryOut() core.Report {
	a.trace.began = time.Now()
	a.nodes.out.add(a)
	defer a.nodes.out.remove(a)
	to, ok := a.nodes.find(a.node)
	if !ok {
		return ended(foxlift.NotSent)
	}
	conn, code := a.nodes.take(a.ctx, to)
	if conn == nil {
		return ended(code)
	}
	a.trace.connected, a.trace.reused = time.Now(), !conn.since.IsZero()
	// The list may have changed since the module decided, above all during a
	// dial: nothing new goes to a node that drains or is gone.
	if !a.stands(to) {
		a.nodes.keep(conn)
		return ended(foxlift.NotSent)
	}
	// Withdrawing closes the connection: so the node learns of it.
	stop := context.AfterFunc(a.ctx, func() {
		a.trace.withdrawn.Store(true)
		a.trace.unacked.Store(unsent(conn.Conn))
		a.resetUnanswered()
		conn.Close()
	})
	a.awaitAnswer(conn)
	r, reusable := a.exchange(conn, to)
	if !stop() || !reusable {
		a.resetUnanswered()
		a.nodes.discard(conn)
	} else {
		a.awaitAnswer(nil)
		a.nodes.keep(conn)
	}
	return r
}

// awaitAnswer notes the connection on which the attempt's answer is awaited; nil once it has begun.
func (a *attempt) awaitAnswer(conn *nodeConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unanswered = conn
}

// resetUnanswered ends the attempt's connection with a reset if no answer has begun: what is still on its
// way then never arrives. It reports whether there was such a connection.
func (a *attempt) resetUnanswered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unanswered == nil {
		return false
	}
	a.unanswered.reset()
	a.unanswered = nil
	return true
}

// nodeOffList ends the attempt, whose node has gone off the list, unless its answer has begun.
func (a *attempt) nodeOffList(state foxlift.WorkerState) {
	if state == foxlift.Draining && !a.nodes.earlyAnswers.Load() && !a.unsentRequest() {
		return // its request may wait there: such nodes answer when the job starts
	}
	if a.resetUnanswered() {
		a.nodes.counters.Add("claims.unanswered_off_list")
	}
}

// unsentRequest reports whether some of the request has not reached the node's machine.
func (a *attempt) unsentRequest() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unanswered != nil && unsent(a.unanswered.Conn)
}

// stands reports whether the claim is still to be begun: the list has its node as it was, and
// the submitter is there. Settings may forbid to cancel what has begun; this has not.
func (a *attempt) stands(to machine) bool {
	now, ok := a.nodes.find(a.node)
	return ok && now == to && a.ctx.Err() == nil && !a.job.Finished()
}

// exchange writes the job and reads the node's answer. reusable says that the
// connection is at the start of a new request.
func (a *attempt) exchange(conn *nodeConn, to machine) (r core.Report, reusable bool) {
	request, told := a.request()
	if !a.keepsRules(told, false) {
		return ended(foxlift.NotSent), true
	}
	may := func() bool { return a.stands(to) && a.keepsRules(told, true) }
	if code := conn.deliver(request, a.nodes.holdTime(conn, a.job.Class), a.writeBy, may); code != foxlift.Served {
		return ended(code), false
	}
	a.trace.written = time.Now()
	a.nodes.counters.Add(counters.ClaimsWritten)
	return a.receive(conn)
}

// keepsRules reports whether bytes of the request may be written now, and counts the rule that they would break.
func (a *attempt) keepsRules(told time.Duration, lastByte bool) bool {
	if a.nodes.stateOf == nil {
		return true
	}
	send := guard.Send{
		Grace: a.nodes.grace, DisconnectedFor: a.job.SinceDisconnect(),
		AnnouncedTime: told, RemainingTime: time.Until(a.until), LastByte: lastByte,
	}
	var since time.Time
	if send.State, since = a.nodes.stateOf(a.node); send.State != foxlift.Live {
		send.UnavailableFor = time.Since(since)
	}
	rule := send.Check()
	if rule != guard.None {
		a.nodes.counters.Add(rule.Counter())
	}
	return rule == guard.None
}

// receive reads the node's answer.
func (a *attempt) receive(conn *nodeConn) (r core.Report, reusable bool) {
	m := conn.buf.message(maxResponse)
	defer m.end()
	resp, err := m.response()
	if err != nil {
		return ended(foxlift.Reset), false
	}
	a.trace.answered = time.Now()
	a.awaitAnswer(nil)
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		r := ended(statusCode(resp))
		r.Load, r.HasLoad = a.nodes.loads.header(resp.Header[headerLoad])
		return r, err == nil && !resp.Close && m.Buffered() == 0
	}
	r, err = a.readStates(resp.Body)
	if load, ok := a.nodes.loads.header(resp.Header[headerLoad]); ok && !r.HasLoad {
		r.Load, r.HasLoad = load, ok
	}
	return r, err == nil && !resp.Close && m.Buffered() == 0
}

// deliver writes a request. A node starts on a request's last byte, so that one is
// held back until it is known, as far as can be, that the other side has not refused
// the rest: a connection that the node has dropped, or drops now, answers the first
// bytes with a reset, and where the last byte was not written the job never ran.
// In that moment too the list may change or the submitter go: may is asked last of all.
func (c *nodeConn) deliver(request []byte, hold time.Duration, by time.Time, may func() bool) foxlift.Code {
	last := len(request) - 1
	if _, err := c.Write(request[:last]); err != nil {
		return c.broken()
	}
	if !c.intact(hold) {
		return c.broken()
	}
	if !may() {
		return foxlift.NotSent
	}
	if !by.IsZero() && !time.Now().Before(by) {
		return foxlift.NotSent // the nodes that knew it as a repeat may have forgotten it
	}
	if n, err := c.Write(request[last:]); n == 0 {
		return c.broken()
	} else if err != nil {
		return foxlift.Reset
	}
	return foxlift.Served
}

// How long a last byte is held back. On days of dropped connections 58 of 58 resets
// came within 0.3 ms of the first bytes, on loopback; between machines one takes a
// round trip. The runtime's timers are no finer than the least. Of 42 connections
// that had been kept 41 were idle for over 100 ms and one for 6.
const (
	holdLeast    = time.Millisecond
	holdMost     = 3 * time.Millisecond
	roundTrips   = 2
	usedRecently = 5 * time.Millisecond
)

// holdTime is how long the next last byte on a connection is to be held back; 0 where
// it was in use a moment ago and a job of the class may run twice, so that a look
// without a wait will do.
func (n *nodes) holdTime(c *nodeConn, class string) time.Duration {
	if n.repeatable[class] && !c.since.IsZero() && time.Since(c.since) < usedRecently {
		return 0
	}
	return min(holdMost, max(holdLeast, roundTrips*roundTrip(c.Conn)))
}

// intact reports whether nothing has come on the connection, and it has not ended,
// by the end of a wait. An answer to half a request is of no use either.
func (c *nodeConn) intact(wait time.Duration) bool {
	if wait == 0 {
		return c.buf.fillNow() && c.buf.buffered() == 0
	}
	c.SetReadDeadline(time.Now().Add(wait))
	err := c.buf.fill()
	c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// roundTrip is what the kernel has measured of a connection; 0 if it cannot tell.
func roundTrip(conn net.Conn) (rtt time.Duration) {
	control(conn, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Min_rtt) * time.Microsecond // the mean has waits for late acknowledgements in it
		}
	})
	return rtt
}

// broken says what a connection that breaks before a request's last byte tells: that
// the node cannot be reached, or, if it was kept from an earlier request, nothing.
func (c *nodeConn) broken() foxlift.Code {
	if c.since.IsZero() {
		return foxlift.Unreachable
	}
	return foxlift.NotSent
}

// request writes the job as the node reads it, and returns how long it is told that the submitter waits.
func (a *attempt) request() (text []byte, told time.Duration) {
	p := a.job.Payload.(*payload)
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n", p.method, p.target, a.node)
	for _, h := range []string{headerID, headerKey, headerClass, headerTenant, headerLabels, "Content-Type"} {
		if v := p.header.Get(h); v != "" {
			b = fmt.Appendf(b, "%s: %s\r\n", h, v)
		}
	}
	told = time.Until(a.until)
	b = fmt.Appendf(b, "%s: %s\r\nContent-Length: %d\r\n\r\n", headerRemaining, formatRemaining(told), len(p.body))
	return append(b, p.body...), told
}

// statusCode reads an answer other than 200. Only the protocol's own word proves
// that the job never ran: any other 503 may come from anywhere.
func statusCode(resp *http.Response) foxlift.Code {
	turned := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case turned && resp.Header.Get(headerTurnedAway) == "1":
		return foxlift.Saturated
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return foxlift.InvalidRequest
	}
	return foxlift.WorkerError
}
