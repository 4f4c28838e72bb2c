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

// An attempt is one run of a job on one worker: it connects, writes the job and reports what comes back.
// It never sends a second time, not even on a connection that turns out to be stale: whether to retry is
// the decision module's choice.
type attempt struct {
	pool           *workerPool
	ctx            context.Context // ends when the core withdraws the attempt
	worker         string
	job            *core.Job
	clientDeadline time.Time // the client waits until then
	writeDeadline  time.Time // the last byte is written by then or never; zero: no such limit
	report         func(core.Report)
	trace          attemptTrace

	mu           sync.Mutex
	awaitingConn *workerConn // from before the first byte is written until the answer begins; else nil
}

func (a *attempt) run() {
	report := a.execute()
	if a.pool.log != nil {
		state, _ := a.pool.stateOf(a.worker)
		a.trace.log(a.pool.log, a, state, report)
	}
	a.report(report)
}

func (a *attempt) execute() core.Report {
	a.trace.startedAt = time.Now()
	a.pool.inFlight.add(a)
	defer a.pool.inFlight.remove(a)
	target, ok := a.pool.findLive(a.worker)
	if !ok {
		return finalReport(foxlift.NotSent)
	}
	conn, err := a.pool.acquire(a.ctx, target)
	if err != nil {
		return finalReport(sendCode(err))
	}
	a.trace.connectedAt, a.trace.reused = time.Now(), conn.reused()
	// The list may have changed since the module decided, above all during a dial: nothing new goes to a
	// worker that is draining or removed.
	if !a.stillValid(target) {
		a.pool.release(conn)
		return finalReport(foxlift.NotSent)
	}
	// A withdrawal closes the connection: that is how the worker learns of it.
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

// setAwaiting records the connection on which the answer is awaited; nil once the answer has begun.
func (a *attempt) setAwaitingConn(conn *workerConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.awaitingConn = conn
}

// resetUnanswered resets the attempt's connection if no answer has begun: what is still on its way then
// never arrives. It reports whether there was such a connection.
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

// abortUnavailable ends the attempt, whose worker is no longer live, unless its answer has begun.
func (a *attempt) abortUnavailable(state foxlift.WorkerState) {
	if state == foxlift.Draining && !a.pool.answersBeforeStart.Load() && !a.hasUnsentRequest() {
		return // its request may be queued there: such workers answer when the job starts
	}
	if a.resetUnanswered() {
		a.pool.counters.Add("claims.unanswered_off_list")
	}
}

// hasUnsentRequest reports whether some of the request has not reached the worker's machine.
func (a *attempt) hasUnsentRequest() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.awaitingConn != nil && hasUnsentBytes(a.awaitingConn.Conn)
}

// stillValid reports whether the attempt may still be sent: its worker's entry is as it was, and the client
// is there. Settings may forbid to cancel an attempt that was sent; this one was not.
func (a *attempt) stillValid(target endpoint) bool {
	now, ok := a.pool.findLive(a.worker)
	return ok && now == target && a.ctx.Err() == nil && !a.job.Finished()
}

// exchange writes the job and reads the worker's answer. reusable says that the connection is at the start
// of a new request.
func (a *attempt) exchange(conn *workerConn, target endpoint) (report core.Report, reusable bool) {
	request, remaining := a.formatRequest()
	if !a.checkInvariants(remaining, false) {
		return finalReport(foxlift.NotSent), true
	}
	proceed := func() bool { return a.stillValid(target) && a.checkInvariants(remaining, true) }
	hold := a.pool.lastByteHold(conn, a.job.Class)
	if err := conn.deliver(request, hold, a.writeDeadline, proceed); err != nil {
		return finalReport(sendCode(err)), false
	}
	a.trace.writtenAt = time.Now()
	a.pool.counters.Add(counters.ClaimsWritten)
	return a.receiveAnswer(conn)
}

// checkInvariants reports whether bytes of the request may be written now, and counts the invariant that
// they would violate. remaining is the time that the request announces to the worker.
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

// receiveAnswer reads the worker's answer.
func (a *attempt) receiveAnswer(conn *workerConn) (report core.Report, reusable bool) {
	msg := conn.buf.newMessage(maxResponse)
	defer msg.close()
	resp, err := msg.readResponse()
	if err != nil {
		return finalReport(foxlift.Reset), false
	}
	a.trace.answeredAt = time.Now()
	a.setAwaitingConn(nil)
	load, hasLoad := a.pool.loadParser.parseHeader(resp.Header[headerLoad])
	if resp.StatusCode != http.StatusOK {
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

// request writes the job as the worker reads it, and returns the time that it announces: how long the client
// still waits.
func (a *attempt) formatRequest() (text []byte, remaining time.Duration) {
	jobPayload := a.job.Payload.(*payload)
	request := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n", jobPayload.method, jobPayload.target, a.worker)
	for _, name := range []string{headerID, headerKey, headerClass, headerTenant, headerLabels, "Content-Type"} {
		if v := jobPayload.header.Get(name); v != "" {
			request = fmt.Appendf(request, "%s: %s\r\n", name, v)
		}
	}
	remaining = time.Until(a.clientDeadline)
	request = fmt.Appendf(request, "%s: %s\r\nContent-Length: %d\r\n\r\n",
		headerRemaining, formatRemaining(remaining), len(jobPayload.body))
	return append(request, jobPayload.body...), remaining
}

// statusCode returns the code of an answer other than 200. Only the protocol's own header proves that the
// job never ran: any other 503 may come from anywhere.
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

// finalReport is the report of an attempt that has ended without a result.
func finalReport(code foxlift.Code) core.Report { return core.Report{Ended: true, Code: code} }
