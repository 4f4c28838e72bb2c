package standin

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// A Tally counts what became of jobs. Of each job one of the others grows when it
// has ended.
type Tally struct {
	Sent     int
	Served   int // in time
	Late     int // served, but past the aim
	Shed     int
	Failed   int // an answer that is neither
	Rejected int // of those: the submitter is said to be at fault
	Lost     int // no whole answer, or none in time
	Cut      int // the same, where Client.Excuse says that no answer was owed
}

// Service is the share of the jobs that was served in time, in percent.
func (t Tally) Service() float64 { return 100 * float64(t.Served) / float64(max(1, t.Sent)) }

func (t *Tally) add(o Tally) {
	t.Sent += o.Sent
	t.Served += o.Served
	t.Late += o.Late
	t.Shed += o.Shed
	t.Failed += o.Failed
	t.Rejected += o.Rejected
	t.Lost += o.Lost
	t.Cut += o.Cut
}

// A Client sends jobs of one tenant at a rate, each at its time whatever became
// of the others, and keeps a tally. Its times are drawn from its seed.
type Client struct {
	Addr              string
	Tenant            string
	Class             string
	Key               string // of every job; "": none
	HasIdempotencyKey bool   // its jobs carry an idempotency key, a new one each
	LatencyObjective  time.Duration
	Remaining         time.Duration
	Name              string        // begins the ids of its jobs
	Grace             time.Duration // past Remaining, in which an answer still comes in time; 0: 0.1 s

	// Excuse reports whether a job sent at a time is owed no answer: its scheduler was killed since. nil: none is.
	Excuse func(sent time.Time) bool

	mu     sync.Mutex
	sentAt map[string]time.Time // of each job
	tally  Tally
	served map[string]bool // ids
	idle   []*clientConn
	sent   atomic.Int64
	wait   sync.WaitGroup
	last   []time.Duration // latencies of what was served
}

// A client is one connection.
type clientConn struct {
	net.Conn
	br *bufio.Reader
}

// Run sends jobs at a rate a second (Poisson) until stop closes, and waits for
// their answers.
func (s *Client) Run(rate func() float64, seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 7))
	next := time.Now()
	for {
		r := rate()
		if r <= 0 {
			next = time.Now()
			select {
			case <-time.After(10 * time.Millisecond):
				continue
			case <-stop:
				s.finish()
				return
			}
		}
		next = next.Add(time.Duration(rng.ExpFloat64() / r * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-stop:
			s.finish()
			return
		}
		s.wait.Go(func() { s.Send() })
	}
}

func (s *Client) finish() {
	s.wait.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.idle {
		c.Close()
	}
	s.idle = nil
}

// minGrace is how late an answer may come, past what the job's submitter waits.
const minGrace = 100 * time.Millisecond

// notConnected is the status of a job whose scheduler could not be reached.
const notConnected = -1

func (s *Client) recordSend(id string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sentAt == nil {
		s.sentAt = map[string]time.Time{}
	}
	s.sentAt[id] = at
}

// SentAt returns when each job was sent.
func (s *Client) SentAt() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.sentAt)
}

// Send sends one job and returns the status of its answer, 0 for none.
func (s *Client) Send() int {
	id := fmt.Sprintf("%s-%d", s.Name, s.sent.Add(1))
	began := time.Now()
	s.recordSend(id, began)
	status := s.exchange(id, began.Add(s.Remaining+max(s.Grace, minGrace)))
	took := time.Since(began)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := Tally{Sent: 1}
	switch {
	case status == http.StatusOK && took <= s.LatencyObjective:
		t.Served = 1
	case status == http.StatusOK:
		t.Late = 1
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		t.Shed = 1
	case status != 0 && status != notConnected:
		t.Failed = 1
		if status >= 400 && status < 500 {
			t.Rejected = 1
		}
	case status == notConnected && s.Excuse != nil:
		t.Cut = 1
	case s.Excuse != nil && s.Excuse(began):
		t.Cut = 1
	default:
		t.Lost = 1
	}
	s.tally.add(t)
	if status == http.StatusOK {
		if s.served == nil {
			s.served = map[string]bool{}
		}
		s.served[id] = true
		s.last = append(s.last, took)
	}
	return status
}

// take returns a connection; fresh tells that it has carried nothing yet.
func (s *Client) connection() (c *clientConn, fresh bool, err error) {
	s.mu.Lock()
	if n := len(s.idle); n > 0 {
		c = s.idle[n-1]
		s.idle = s.idle[:n-1]
		s.mu.Unlock()
		return c, false, nil
	}
	s.mu.Unlock()
	conn, err := net.DialTimeout("tcp", s.Addr, time.Second)
	if err != nil {
		return nil, true, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, true, nil
}

func (s *Client) exchange(id string, until time.Time) int {
	target := "/" + s.Class
	if s.Key != "" {
		target += "?user=" + s.Key
	}
	keyed := ""
	if s.HasIdempotencyKey {
		keyed = "Idempotency-Key: key-" + id + "\r\n"
	}
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: %s\r\nX-Remaining: %dm\r\n%sContent-Length: 4\r\n\r\nbody",
		target, id, s.Class, s.Tenant, s.Remaining.Milliseconds(), keyed)
	for {
		c, fresh, err := s.connection()
		if err != nil {
			return notConnected
		}
		c.SetDeadline(until)
		if _, err = io.WriteString(c, text); err == nil {
			var r *http.Response
			if r, err = http.ReadResponse(c.br, nil); err == nil {
				if _, err = io.Copy(io.Discard, r.Body); err == nil {
					if r.Close {
						c.Close()
					} else {
						s.mu.Lock()
						s.idle = append(s.idle, c)
						s.mu.Unlock()
					}
					return r.StatusCode
				}
			}
		}
		c.Close()
		if fresh || time.Now().After(until) {
			return 0
		}
		// The end of an idle connection crossed the request: once more, on a new one.
		s.mu.Lock()
		for _, c := range s.idle {
			c.Close()
		}
		s.idle = nil
		s.mu.Unlock()
	}
}

// Take returns the tally since the last call and begins another.
func (s *Client) ResetTally() Tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tally
	s.tally = Tally{}
	return t
}

// Served returns the ids of the jobs that were answered as served.
func (s *Client) Served() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make(map[string]bool, len(s.served))
	for id := range s.served {
		ids[id] = true
	}
	return ids
}

// Latencies returns how long the served jobs took, since the last call.
func (s *Client) Latencies() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.last
	s.last = nil
	return l
}

// Total adds tallies up.
func Total(tallies ...Tally) (sum Tally) {
	for _, t := range tallies {
		sum.add(t)
	}
	return sum
}
