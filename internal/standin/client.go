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

// A Tally counts the outcomes of jobs. Each finished job counts once in Sent and once in one of Served, Late, Shed,
// Failed, Lost and Interrupted. A rejected job counts in Failed and in Rejected.
type Tally struct {
	Sent        int // jobs that have ended, whatever their outcome
	Served      int // answered with 200 within the latency objective
	Late        int // answered with 200 after the latency objective
	Shed        int // answered with 429 or 503
	Failed      int // answered with any other status
	Rejected    int // failed jobs whose status was 4xx, a client error
	Lost        int // no connection or no complete response, for instance before the client's timeout
	Interrupted int // no complete response or no connection, excused by Client.WasInterrupted
}

// ServedPercent returns the share of the jobs that were served within the latency objective, in percent; 0 if no job
// was sent.
func (t Tally) ServedPercent() float64 { return 100 * float64(t.Served) / float64(max(1, t.Sent)) }

// add adds the counts of another tally to t.
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

// A Client sends jobs of one tenant and class to a scheduler and counts their outcomes. Run is an open-loop load
// generator: it sends each job at its scheduled time, without waiting for the responses to earlier jobs.
type Client struct {
	Addr              string
	Tenant            string
	Class             string
	Key               string        // affinity key of every job; "" sends none
	HasIdempotencyKey bool          // sends a different idempotency key with each job
	LatencyObjective  time.Duration // a response with 200 after this counts as Late
	Remaining         time.Duration // from the send of a job until its deadline
	Name              string        // prefix of the ids of its jobs
	Grace             time.Duration // added to Remaining to get the client's timeout; at least minGrace

	// WasInterrupted reports whether the client cannot expect a response to a job that it sent at a time, because the
	// scheduler was killed after that. nil excuses no job. If it is set, a job for which the client cannot connect to
	// the scheduler counts as Interrupted as well. Send calls it concurrently.
	WasInterrupted func(sent time.Time) bool

	sent    atomic.Int64
	sending sync.WaitGroup

	mu        sync.Mutex
	sentAt    map[string]time.Time // by job id
	tally     Tally                // since the last TakeTally
	served    map[string]bool      // by job id
	idle      []*clientConn        // the most recently used connection is the last
	latencies []time.Duration      // of jobs answered with 200, since the last TakeLatencies
}

// A clientConn is a connection of a client with its buffered reader.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

const (
	minGrace       = 100 * time.Millisecond // least time that a client waits for a response after the job's deadline
	connectTimeout = time.Second
	idleInterval   = 10 * time.Millisecond // how often Run reads the rate again while the rate is 0
	rngStream      = 7                     // PCG stream of the send times
	notConnected   = -1                    // status that Send returns if it cannot connect to the scheduler
)

// Run sends jobs until stop is closed, then waits for their responses and closes the idle connections. The arrivals are
// a Poisson process of the rate that rate returns, in jobs a second, with 0 for none; seed determines its random
// numbers.
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

// finish waits for all responses and closes the connections.
func (c *Client) finish() {
	c.sending.Wait()
	c.closeIdle()
}

// closeIdle closes all idle connections.
func (c *Client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// recordSend logs the time at which a job was sent.
func (c *Client) recordSend(id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentAt == nil {
		c.sentAt = map[string]time.Time{}
	}
	c.sentAt[id] = at
}

// SentAt returns the time at which each job was sent so far, by job id; nil if there was none. A job counts as sent
// even if the client could not connect.
func (c *Client) SentAt() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.sentAt)
}

// Send sends one job, waits until it has ended and returns the HTTP status of its response: 0 if the connection ended
// or the client's timeout passed before a complete response, -1 (notConnected) if the client could not connect to the
// scheduler. If a reused connection fails, Send sends the job again on another one. It keeps the connection for later
// jobs; only Run closes idle connections. Send is safe for concurrent use.
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

// classify returns the tally of one job, given the status that exchange returned, the time at which the job was sent
// and the time that the exchange took.
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

// acquireConn returns an idle connection, or dials a new one if none is idle; fresh reports whether it is a new one.
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

// popIdle removes the most recently used idle connection and returns it, or nil if no connection is idle.
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

// release returns a connection that can serve another request to the idle ones.
func (c *Client) release(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// request returns the HTTP request of a job.
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

// exchange sends a job and returns the status of its response: 0 if the connection ended or the deadline passed before
// a complete response, notConnected if the client could not connect.
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
		// The scheduler has probably closed the idle connection while the request was on its way. Retry on a new one.
		c.closeIdle()
	}
}

// exchange writes a request and reads its response; closeAfter reports whether the response ends the connection.
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

// TakeTally returns the tally of the jobs that ended since the last call, and starts a new one.
func (c *Client) TakeTally() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tally
	c.tally = Tally{}
	return t
}

// Served returns the ids of all jobs that were answered with 200 so far, within the latency objective or later.
func (c *Client) Served() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := make(map[string]bool, len(c.served))
	maps.Copy(served, c.served)
	return served
}

// TakeLatencies returns the latencies of the jobs that were answered with 200 since the last call, from the call of
// Send, before a connection is made, to the end of the response; nil if there was none.
func (c *Client) TakeLatencies() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	latencies := c.latencies
	c.latencies = nil
	return latencies
}

// Total returns the sum of tallies.
func Total(tallies ...Tally) (sum Tally) {
	for _, t := range tallies {
		sum.add(t)
	}
	return sum
}
