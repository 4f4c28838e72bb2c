package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/guard"
)

// maxCopiedBody is the maximum size in bytes of a body that is written together with its head.
const maxCopiedBody = 4 << 10

// attempt sends a job to one worker once: it gets a connection, writes the request and reports the worker's answer.
// It never sends the request again, not even after a stale connection: the decision module decides about retries.
type attempt struct {
	pool           *workerPool
	ctx            context.Context // done once the core withdraws the attempt
	worker         string
	job            *core.Job
	payload        *payload  // of the job; nil once the request is written
	clientDeadline time.Time // when the client stops waiting
	writeDeadline  time.Time // the last byte of the request is not written after it; zero means no limit
	report         func(core.Report)
	trace          attemptTrace

	mu           sync.Mutex
	awaitingConn *workerConn // set from before the first byte is written until the answer begins, otherwise nil
}

// run executes the attempt, logs it if it was unusual, and reports its end.
func (a *attempt) run() {
	report := a.execute()
	if a.pool.log != nil {
		state, _ := a.pool.stateOf(a.worker)
		a.trace.log(a.pool.log, a, state, report)
	}
	a.report(report)
}

// execute gets a connection, exchanges the request and the answer on it, and returns the final report. Nothing is sent,
// and the code is NotSent, if the worker is not live, the endpoint list is stale or the attempt is no longer valid once
// there is a connection.
func (a *attempt) execute() core.Report {
	a.trace.startedAt = time.Now()
	a.pool.inFlight.add(a)
	defer a.pool.inFlight.remove(a)
	target, ok := a.pool.findUsable(a.worker)
	if !ok {
		return finalReport(foxlift.NotSent)
	}
	conn, err := a.pool.acquire(a.ctx, target, !a.pool.repeatable[a.job.Class])
	if err != nil {
		return finalReport(sendCode(err))
	}
	a.trace.connectedAt, a.trace.reused = time.Now(), conn.reused()
	// The endpoint list may have changed since the module chose the worker, most likely during a dial. No new
	// request may go to a worker that is draining or removed.
	if !a.stillValid(target) {
		a.pool.release(conn)
		return finalReport(foxlift.NotSent)
	}
	// A withdrawal closes the connection, which cancels the job at the worker.
	stop := context.AfterFunc(a.ctx, func() {
		a.trace.withdrawn.Store(true)
		a.trace.unacknowledged.Store(hasUnsentBytes(conn.Conn))
		a.resetUnanswered()
		conn.Close()
	})
	a.setAwaitingConn(conn)
	report, reusable := a.exchange(conn, target)
	if !stop() || !reusable {
		a.resetUnanswered()
		a.pool.discard(conn)
	} else {
		a.setAwaitingConn(nil)
		a.pool.release(conn)
	}
	return report
}

// setAwaitingConn records the connection on which the answer is awaited; nil means that the answer has begun.
func (a *attempt) setAwaitingConn(conn *workerConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.awaitingConn = conn
}

// resetUnanswered resets the attempt's connection if no answer has begun, so that request bytes that the kernel
// still holds never arrive at the worker. It reports whether it has reset a connection.
func (a *attempt) resetUnanswered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.awaitingConn == nil {
		return false
	}
	a.awaitingConn.reset()
	a.awaitingConn = nil
	return true
}

// abortUnavailable resets the connection of an attempt whose answer has not begun, which ends the attempt, and counts
// that. state is the worker's state, which is not live. An attempt at a draining worker goes on if all of its request
// was acknowledged and no worker has answered before it started the job. An attempt without a connection needs no
// abort, because stillValid stops it before it writes.
func (a *attempt) abortUnavailable(state foxlift.WorkerState) {
	if state == foxlift.Draining && !a.pool.answersBeforeStart.Load() && !a.hasUnsentRequest() {
		return // the job may be in the worker's queue, without an answer until it starts
	}
	if a.resetUnanswered() {
		a.pool.counters.Add("claims.unanswered_off_list")
	}
}

// hasUnsentRequest reports whether no answer has begun and the worker's machine has not acknowledged all of the
// request.
func (a *attempt) hasUnsentRequest() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.awaitingConn != nil && hasUnsentBytes(a.awaitingConn.Conn)
}

// stillValid reports whether the attempt may still be sent: the worker's entry in the endpoint table is unchanged
// and live, the list is not stale, the core has not withdrawn the attempt, and the job is neither answered nor its
// client disconnected. The job is checked even if the settings forbid cancelling attempts: that applies only to
// attempts whose request was sent.
func (a *attempt) stillValid(target endpoint) bool {
	now, ok := a.pool.findUsable(a.worker)
	return ok && now == target && a.ctx.Err() == nil && !a.job.Finished()
}

// exchange writes the request and reads the worker's answer. If an invariant forbids the first byte, it writes nothing
// and returns NotSent. reusable reports whether the connection can be used for another request.
func (a *attempt) exchange(conn *workerConn, target endpoint) (report core.Report, reusable bool) {
	head, body, remaining := a.formatRequest()
	a.payload = nil
	if !a.checkInvariants(remaining, false) {
		return finalReport(foxlift.NotSent), true
	}
	proceed := func() bool { return a.stillValid(target) && a.checkInvariants(remaining, true) }
	hold := a.pool.lastByteHold(conn, a.job.Class)
	if err := conn.deliver(head, body, hold, a.writeDeadline, proceed); err != nil {
		return finalReport(sendCode(err)), false
	}
	a.trace.writtenAt = time.Now()
	a.pool.counters.Add(counters.ClaimsWritten)
	return a.receiveAnswer(conn)
}

// checkInvariants reports whether bytes of the request may be written now without violating an invariant of package
// guard; it counts a violation. remaining is the time to the deadline that the request announces to the worker.
// lastByte is set for the check before the last byte. Without stateOf, as in some tests, it returns true.
func (a *attempt) checkInvariants(remaining time.Duration, lastByte bool) bool {
	if a.pool.stateOf == nil {
		return true
	}
	send := guard.Send{
		Grace:           a.pool.drainGrace,
		DisconnectedFor: a.job.SinceDisconnect(),
		AnnouncedTime:   remaining,
		RemainingTime:   time.Until(a.clientDeadline),
		LastByte:        lastByte,
	}
	var since time.Time
	if send.State, since = a.pool.stateOf(a.worker); send.State != foxlift.Live {
		send.UnavailableFor = time.Since(since)
	}
	rule := send.Check()
	if rule != guard.None {
		a.pool.counters.Add(rule.Counter())
	}
	return rule == guard.None
}

// receiveAnswer reads the worker's answer. It returns the final report of the attempt, and whether the connection
// can be used for another request. The code is Reset if the answer ends early or cannot be parsed.
func (a *attempt) receiveAnswer(conn *workerConn) (report core.Report, reusable bool) {
	msg := conn.buf.newMessage(maxHeadBytes)
	msg.releaseEarly = true
	defer msg.close()
	resp, err := msg.readResponse()
	if err != nil {
		return finalReport(foxlift.Reset), false
	}
	msg.limit += maxResponseBytes - maxHeadBytes
	a.trace.answeredAt = time.Now()
	a.setAwaitingConn(nil)
	load, hasLoad := a.pool.loadParser.parseHeader(resp.Header[headerLoad])
	if resp.StatusCode != http.StatusOK {
		conn.recordAnonymousAnswer()
		_, err = io.Copy(io.Discard, resp.Body)
		report = finalReport(codeForStatus(resp))
		report.Load, report.HasLoad = load, hasLoad
	} else {
		report, err = a.readStates(resp.Body)
		if hasLoad && !report.HasLoad {
			report.Load, report.HasLoad = load, hasLoad
		}
	}
	return report, err == nil && !resp.Close && msg.Buffered() == 0
}

// formatRequest returns the HTTP request for the worker, and the remaining time until the client's deadline that the
// request announces. The time is negative after the deadline; the request then announces 0. A short body is part of
// head, and body is empty; a long one is not copied.
func (a *attempt) formatRequest() (head, body []byte, remaining time.Duration) {
	request := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n", a.payload.method, a.payload.target, a.worker)
	for _, name := range forwardedHeaders {
		if v := a.payload.header.Get(name); v != "" {
			request = fmt.Appendf(request, "%s: %s\r\n", name, v)
		}
	}
	remaining = time.Until(a.clientDeadline)
	request = fmt.Appendf(request, "%s: %s\r\nContent-Length: %d\r\n\r\n",
		headerRemaining, formatRemaining(remaining), len(a.payload.body))
	if len(a.payload.body) > maxCopiedBody {
		return request, a.payload.body, remaining
	}
	return append(request, a.payload.body...), nil, remaining
}

// codeForStatus returns the code for an answer whose status is not 200: Saturated for a 503 or 504 with the protocol's
// rejection header, InvalidRequest for a 4xx, and WorkerError for any other. Only the rejection header proves that the
// job never ran: without it, any component may have sent the 503 or 504.
func codeForStatus(resp *response) foxlift.Code {
	unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case unavailable && resp.Header.Get(headerRejected) == "1":
		return foxlift.Saturated
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return foxlift.InvalidRequest
	}
	return foxlift.WorkerError
}

// finalReport returns the report, without a result, of an attempt or a health check that has ended with code.
func finalReport(code foxlift.Code) core.Report { return core.Report{Ended: true, Code: code} }
