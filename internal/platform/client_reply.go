package platform

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/core"
)

// A reply is an HTTP response to a client.
type reply struct {
	status     int
	retryAfter time.Duration // sent as Retry-After; 0 means no header
	body       []byte
}

// plainReply returns a reply whose body is one line of text.
func plainReply(status int, text string) reply {
	return reply{status: status, body: []byte(text + "\n")}
}

// rejectInput counts and logs invalid input, and returns its reply.
func (c *clientConn) rejectInput(inputErr *inputError) reply {
	c.server.counters.Add(inputErr.counter)
	c.server.log.Info("client connection: rejected invalid input", zap.String("counter", inputErr.counter),
		zap.String("what", inputErr.text), zap.Stringer("from", c.conn.RemoteAddr()))
	return plainReply(inputErr.status, inputErr.text)
}

// healthReply returns the reply to a health check of the scheduler: 200 if it is ready, 503 if not, and 405 for a
// method other than GET.
func (c *clientConn) healthReply(method string) reply {
	switch {
	case method != http.MethodGet:
		return plainReply(http.StatusMethodNotAllowed, "ask by GET")
	case !c.server.ready():
		return plainReply(http.StatusServiceUnavailable, "no jobs are taken")
	}
	return plainReply(http.StatusOK, "ready")
}

// formatAnswer returns the reply to a job. Status 503 guarantees the client that a retry is safe, so only a shed job
// may get it.
func (c *clientConn) formatAnswer(answer core.Answer) reply {
	switch answer.Verdict {
	case core.Served:
		return reply{status: http.StatusOK, body: answer.Result}
	case core.Shed:
		shed := plainReply(http.StatusServiceUnavailable, "refused")
		shed.retryAfter = answer.RetryAfter
		return shed
	case core.Rejected:
		return c.rejectInput(newInputError(http.StatusBadRequest, "job", "%s", answer.Reason))
	}
	return plainReply(http.StatusBadGateway, string(answer.Reason))
}

// writeReply writes a reply and returns whether the connection stays open. It is closed if the write fails, if
// mustClose is set, if the connection is retired, and during a drain or the end of a shutdown.
func (c *clientConn) writeReply(r reply, mustClose bool) bool {
	mustClose = mustClose || c.retired.Load() || c.server.closesAfterAnswer()
	response := fmt.Appendf(make([]byte, 0, 160+len(r.body)), "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n",
		r.status, http.StatusText(r.status), len(r.body))
	if r.retryAfter > 0 {
		response = fmt.Appendf(response, "%s: %s\r\n", headerRetryAfter, formatRetryAfter(r.retryAfter))
	}
	if mustClose {
		response = append(response, "Connection: close\r\n"...)
	}
	response = append(append(response, "\r\n"...), r.body...)
	c.conn.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	c.answeredAt = time.Now()
	_, err := c.conn.Write(response)
	c.answerPending = c.answerPending && err != nil
	return err == nil && !mustClose
}

// formatRetryAfter formats a duration as decimal seconds with three digits after the point.
func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
