package platform

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/guard"
)

const (
	// For a request, from its first byte to its last; for the first on a connection
	// from the accept. Whoever sends nothing or half a request is told so within 3 s.
	readLimit   = 2 * time.Second
	writeLimit  = 10 * time.Second       // for an answer
	lingerTime  = 250 * time.Millisecond // for the other side to read an answer before the end,
	lingerBytes = 1 << 20                // while it goes on sending at most this
	floodPause  = time.Millisecond       // between two reads of what one sends past a head's length
)

// The past as a read deadline wakes a connection's goroutine from Read.
var wakeUp = time.Unix(1, 0)

// A submitter is a connection from the submitters' side. One goroutine serves
// it: it reads a request, hands the job to the core, and while the job runs goes
// on reading, to notice that the submitter leaves. Others wake it by a read
// deadline in the past.
type submitter struct {
	front  *front
	conn   net.Conn
	buf    buffer
	began  time.Time
	retire atomic.Bool // to end as soon as it is idle
	wrote  time.Time   // the last answer
	owed   bool        // a job was taken from it, and its answer has not been written

	// Guarded by front.mu.
	awaiting bool          // the next request has not begun
	idle     *list.Element // in front.idle, while awaiting
	cell     string        // of its last job, where there are cells
	jobs     int           // that it has brought, and calls for the health
}

// A waiting is the submitter's wait for the answer to one job.
type waiting struct {
	s      *submitter
	answer chan core.Answer // holds one
}

// Answer implements core.Client.
func (w *waiting) Answer(a core.Answer) {
	select {
	case w.answer <- a:
		w.s.conn.SetReadDeadline(wakeUp)
	default: // a second answer: the core gives only one
	}
}

// Disconnected implements core.Client: the other side has ended the connection, or its sending on it,
// and serve may not have come to read that yet.
func (w *waiting) Disconnected() bool { return hungUp(w.s.conn) }

// serve runs until the connection ends.
func (s *submitter) serve() {
	for s.awaitRequest() && s.exchange() {
	}
	s.finish()
}

// finish is the one way in which a connection ends. To close one with unread bytes resets it,
// and takes along an answer that the other side has not read yet; bytes may come at any moment
// until the other side knows of the end. So it is told first, and what it still sends is read
// and dropped: nothing of it is taken. That is bounded, or a few that never stop sending would
// have all the time there is. Where the other side's machine has had the last answer for a while
// there is nothing to take along, and others may wait for the room.
func (s *submitter) finish() {
	defer s.conn.Close()
	if rule := (guard.Close{Owed: s.owed, Disconnected: hungUp(s.conn)}).Check(); rule != guard.None {
		s.front.counters.Add(rule.Counter())
	}
	if time.Since(s.wrote) >= s.front.grace && !unsent(s.conn) {
		return
	}
	if c, ok := s.conn.(interface{ CloseWrite() error }); ok && c.CloseWrite() == nil {
		s.conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, s.conn, lingerBytes)
	}
}

// awaitRequest waits for a request's first byte.
func (s *submitter) awaitRequest() bool {
	proven := s.front.await(s)
	defer s.front.awaited(s)
	for {
		drained := s.front.sending()
		limit := s.idleLimit(drained, proven)
		// In this order: a wake-up between the two ends the wait below.
		s.conn.SetReadDeadline(limit)
		if s.front.sending() != drained {
			continue
		}
		if s.buf.buffered() > 0 {
			return true
		}
		if s.retire.Load() && !proven && !s.front.leaving.Load() {
			return s.buf.fillNow() && s.buf.buffered() > 0 // nothing of it is taken yet
		}
		if s.retire.Load() {
			// A request may be on its way that was sent before the submitter could
			// know of the end: it must not be lost unread.
			s.conn.SetReadDeadline(time.Now().Add(s.front.grace))
			return s.buf.fill() == nil || s.buf.fillNow() && s.buf.buffered() > 0
		}
		if err := s.buf.fill(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if s.buf.buffered() == 0 && !limit.IsZero() && !time.Now().Before(limit) {
			if drained == nil {
				s.front.counters.Add("bad.silent")
			}
			return false
		}
	}
}

// idleLimit is when the connection ends if no request has begun; zero for no such time. Only a
// drain ends one that has brought a job before.
func (s *submitter) idleLimit(d *drain, proven bool) time.Time {
	switch {
	case d != nil:
		return d.idleUntil(s.began)
	case !proven:
		return s.began.Add(readLimit)
	}
	return time.Time{}
}

// exchange reads one request and answers it. It returns whether the connection
// goes on.
func (s *submitter) exchange() bool {
	req, body, input := s.readRequest()
	if input != nil {
		// What follows on the connection cannot be told from the bad request.
		return s.write(s.refuseInput(input), true)
	}
	if req == nil {
		return false // it ended within a request: nothing was taken
	}
	switch {
	case req.URL.Path == pathHealth:
		s.front.prove(s)
		return s.write(s.health(req.Method), req.Close)
	case req.Method != http.MethodPost:
		input = bad(http.StatusMethodNotAllowed, "method", "jobs come by POST")
		return s.write(s.refuseInput(input), req.Close)
	}
	job, input := parseJob(req, body)
	if input != nil {
		return s.write(s.refuseInput(input), req.Close)
	}
	s.front.prove(s)
	over := !s.front.label(s, job)
	s.owed = true
	answer, ends := s.run(job)
	return s.write(s.word(answer), req.Close || ends || over)
}

// A reply is an answer as it goes out.
type reply struct {
	status     int
	retryAfter time.Duration
	body       []byte
}

func say(status int, text string) reply { return reply{status: status, body: []byte(text + "\n")} }

func (s *submitter) refuseInput(input *badInput) reply {
	s.front.counters.Add(input.counter)
	s.front.log.Info("bad input", zap.String("counter", input.counter), zap.String("what", input.text), zap.Stringer("from", s.conn.RemoteAddr()))
	return say(input.status, input.text)
}

func (s *submitter) health(method string) reply {
	switch {
	case method != http.MethodGet:
		return say(http.StatusMethodNotAllowed, "ask by GET")
	case !s.front.ready():
		return say(http.StatusServiceUnavailable, "no jobs are taken")
	}
	return say(http.StatusOK, "ready")
}

// word puts a job's answer into the protocol's terms. A 503 promises that a retry
// is harmless: only a refusal may have it.
func (s *submitter) word(a core.Answer) reply {
	switch a.Verdict {
	case core.Served:
		return reply{status: http.StatusOK, body: a.Result}
	case core.Shed:
		r := say(http.StatusServiceUnavailable, "refused")
		r.retryAfter = a.RetryAfter
		return r
	case core.Rejected:
		return s.refuseInput(bad(http.StatusBadRequest, "job", "%s", a.Reason))
	}
	return say(http.StatusBadGateway, string(a.Reason))
}

// run hands a job to the core and waits for its answer. ends says that the connection must end
// with it: its submitter has left, or sends what cannot be taken.
func (s *submitter) run(job *core.Job) (answer core.Answer, ends bool) {
	left, over := false, false
	w := &waiting{s, make(chan core.Answer, 1)}
	job.Client, job.ArrivedAt = w, s.front.clock.Now()
	s.front.core.Accept(job)
	for {
		// In this order: an answer between the two ends the read below.
		s.conn.SetReadDeadline(time.Time{})
		select {
		case answer = <-w.answer:
			return answer, left || over
		default:
		}
		if left {
			return <-w.answer, true
		}
		if s.buf.buffered() >= maxHead {
			// More than another request's head while one is out is a flood, none of which is taken. It
			// is read on, slowly: whoever sends much at once may go, and that shows behind it.
			over = true
			s.buf.drop()
			select {
			case answer = <-w.answer:
				return answer, true
			case <-time.After(floodPause):
			}
		}
		if err := s.buf.fill(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			left = true
			job.MarkDisconnected()
			s.front.core.ClientDisconnected(job)
		}
	}
}

// readRequest reads a whole request. All nil means that the connection ended.
func (s *submitter) readRequest() (*http.Request, []byte, *badInput) {
	limit := s.front.readUntil(s)
	s.conn.SetReadDeadline(limit)
	m := s.buf.message(maxHead)
	defer m.end()
	req, err := http.ReadRequest(m.Reader)
	if err != nil {
		return nil, nil, s.readError(m, err, "head")
	}
	if input := checkFraming(m.used(), req); input != nil {
		return nil, nil, input
	}
	if req.ContentLength > maxBody {
		return nil, nil, bad(http.StatusRequestEntityTooLarge, "body", "a body holds %d bytes at most", maxBody)
	}
	if req.Header.Get("Expect") == "100-continue" {
		s.conn.SetWriteDeadline(limit)
		s.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	m.drop = true
	m.limit = m.at + 2*maxBody // chunked framing takes room too
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	if err != nil {
		return nil, nil, s.readError(m, err, "length")
	}
	if len(body) > maxBody {
		return nil, nil, bad(http.StatusRequestEntityTooLarge, "body", "a body holds %d bytes at most", maxBody)
	}
	return req, body, nil
}

// readError tells bad input from a connection that has ended. Only the connection's
// own error says that: a parser's may look like one (a url.Error is a net.Error).
func (s *submitter) readError(m *message, err error, counter string) *badInput {
	switch {
	case m.err == nil:
		return bad(http.StatusBadRequest, counter, "malformed request: %v", err)
	case errors.Is(m.err, errTooLong):
		return bad(http.StatusRequestHeaderFieldsTooLarge, counter, "the request is too long")
	case errors.Is(m.err, os.ErrDeadlineExceeded) && s.front.drain.Load() != nil:
		return bad(http.StatusServiceUnavailable, "drained", "another scheduler takes jobs")
	case errors.Is(m.err, os.ErrDeadlineExceeded):
		return bad(http.StatusRequestTimeout, "slow", "the request did not come to its end")
	}
	return nil
}

// write writes a reply and returns whether the connection may go on.
func (s *submitter) write(r reply, ends bool) bool {
	ends = ends || s.retire.Load() || s.front.sendsAway()
	b := fmt.Appendf(make([]byte, 0, 160+len(r.body)), "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n",
		r.status, http.StatusText(r.status), len(r.body))
	if r.retryAfter > 0 {
		b = fmt.Appendf(b, "%s: %s\r\n", headerRetryAfter, retryAfter(r.retryAfter))
	}
	if ends {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(append(b, "\r\n"...), r.body...)
	s.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	s.wrote = time.Now()
	_, err := s.conn.Write(b)
	s.owed = s.owed && err != nil
	return err == nil && !ends
}

// retryAfter writes seconds as a decimal.
func retryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
