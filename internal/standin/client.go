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

// A Tally counts what became of jobs. When a job has ended, Sent grows, and one of the others: with Rejected
// grows Failed too.
type Tally struct {
	Sent        int
	Served      int // within the latency objective
	Late        int // served, but past the latency objective
	Shed        int
	Failed      int // an answer that is neither
	Rejected    int // of those: 4xx, which says that the client is at fault
	Lost        int // no whole answer, or none in time
	Interrupted int // the same, where Client.Excuse says that no answer was owed
}

// Service is the share of the jobs that was served within the latency objective, in percent.
func (t Tally) ServedPercent() float64 { return 100 * float64(t.Served) / float64(max(1, t.Sent)) }

// add adds another tally's counts.
func (t *Tally) add(other Tally) {
	t.Sent += other.Sent
	t.Served += other.Served
	t.Late += other.Late
	t.Shed += other.Shed
	t.Failed += other.Failed
	t.Rejected += other.Rejected
	t.Lost += other.Lost
	t.Interrupted += other.Interrupted
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
	WasInterrupted func(sent time.Time) bool

	sent    atomic.Int64
	sending sync.WaitGroup

	mu        sync.Mutex
	sentAt    map[string]time.Time // by job
	tally     Tally
	served    map[string]bool // by job
	idle      []*clientConn
	latencies []time.Duration // of what was served
}

// A clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

const (
	minGrace       = 100 * time.Millisecond // how late an answer may come at least, past the job's deadline
	connectTimeout = time.Second
	idleInterval   = 10 * time.Millisecond // how often a client whose rate is 0 looks at it again
	rngStream      = 7                     // of the seed's random numbers, for the times of sends
	notConnected   = -1                    // the status of a job whose scheduler could not be reached
)

// Run sends jobs at a rate a second (Poisson) until stop closes, and waits for
// their answers.
func (c *Client) Run(rate func() float64, seed uint64, stop <-chan struct{}) {
	defer c.finish()
	rng := rand.New(rand.NewPCG(seed, rngStream))
	next := time.Now()
	for {
		wait := idleInterval
		currentRate := rate()
		if currentRate > 0 {
			next = next.Add(time.Duration(rng.ExpFloat64() / currentRate * float64(time.Second)))
			wait = time.Until(next)
		} else {
			next = time.Now()
		}
		select {
		case <-time.After(wait):
		case <-stop:
			return
		}
		if currentRate > 0 {
			c.sending.Go(func() { c.Send() })
		}
	}
}

// finish waits for the answers and closes the connections.
func (c *Client) finish() {
	c.sending.Wait()
	c.closeIdle()
}

func (c *Client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

func (c *Client) recordSend(id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentAt == nil {
		c.sentAt = map[string]time.Time{}
	}
	c.sentAt[id] = at
}

// SentAt returns when each job was sent.
func (c *Client) SentAt() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.sentAt)
}

// Send sends one job and returns the status of its answer, 0 for none and -1 where its scheduler cannot be reached.
func (c *Client) Send() int {
	id := fmt.Sprintf("%s-%d", c.Name, c.sent.Add(1))
	began := time.Now()
	c.recordSend(id, began)
	status := c.exchange(id, began.Add(c.Remaining+max(c.Grace, minGrace)))
	took := time.Since(began)
	outcome := c.classify(status, began, took)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.add(outcome)
	if status == http.StatusOK {
		if c.served == nil {
			c.served = map[string]bool{}
		}
		c.served[id] = true
		c.latencies = append(c.latencies, took)
	}
	return status
}

// classify returns the tally of one job that was sent at a time and had its answer, or none, after a while.
func (c *Client) classify(status int, sentAt time.Time, took time.Duration) Tally {
	t := Tally{Sent: 1}
	switch {
	case status == http.StatusOK && took <= c.LatencyObjective:
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
	case status == notConnected && c.WasInterrupted != nil:
		t.Interrupted = 1
	case c.WasInterrupted != nil && c.WasInterrupted(sentAt):
		t.Interrupted = 1
	default:
		t.Lost = 1
	}
	return t
}

// connection returns an idle connection or a new one; fresh tells that it has carried nothing yet.
func (c *Client) acquireConn() (conn *clientConn, fresh bool, err error) {
	if conn := c.popIdle(); conn != nil {
		return conn, false, nil
	}
	dialed, err := Dial(c.Addr, connectTimeout)
	if err != nil {
		return nil, true, err
	}
	return &clientConn{dialed, bufio.NewReader(dialed)}, true, nil
}

// popIdle returns the connection that was used last; nil: none is idle.
func (c *Client) popIdle() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn
}

func (c *Client) release(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// request is a job as it goes over the wire.
func (c *Client) request(id string) string {
	target := "/" + c.Class
	if c.Key != "" {
		target += "?user=" + c.Key
	}
	idempotencyKey := ""
	if c.HasIdempotencyKey {
		idempotencyKey = "Idempotency-Key: key-" + id + "\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: app.svc\r\n"+
		"X-Txn: %s\r\nX-Lane: %s\r\nX-Org: %s\r\nX-Remaining: %dm\r\n%sContent-Length: 4\r\n\r\nbody",
		target, id, c.Class, c.Tenant, c.Remaining.Milliseconds(), idempotencyKey)
}

// exchange sends a job and returns the status of its answer, 0 for none by a time.
func (c *Client) exchange(id string, deadline time.Time) int {
	request := c.request(id)
	for {
		conn, fresh, err := c.acquireConn()
		if err != nil {
			return notConnected
		}
		conn.SetDeadline(deadline)
		status, closeAfter, err := conn.exchange(request)
		if err == nil {
			if closeAfter {
				conn.Close()
			} else {
				c.release(conn)
			}
			return status
		}
		conn.Close()
		if fresh || time.Now().After(deadline) {
			return 0
		}
		// The end of an idle connection crossed the request: once more, on a new one.
		c.closeIdle()
	}
}

// exchange writes a request and reads its answer; closes tells that it is the connection's last.
func (c *clientConn) exchange(request string) (status int, closeAfter bool, err error) {
	if _, err := io.WriteString(c, request); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}

// ResetTally returns the tally since the last call and begins another.
func (c *Client) TakeTally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tally
	c.tally = Tally{}
	return t
}

// Served returns the ids of the jobs that were answered as served.
func (c *Client) Served() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := make(map[string]bool, len(c.served))
	maps.Copy(served, c.served)
	return served
}

// Latencies returns how long the served jobs took, since the last call.
func (c *Client) TakeLatencies() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	latencies := c.latencies
	c.latencies = nil
	return latencies
}

// Total adds tallies up.
func Total(tallies ...Tally) (sum Tally) {
	for _, t := range tallies {
		sum.add(t)
	}
	return sum
}
