package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// A Job is a client's request.
type Job struct {
	ID, Class, Tenant string
	Remaining         time.Duration
	Body              []byte
}

// An Answer is what a client got: status 0 if there was no whole answer.
type Answer struct {
	Status int
	Body   []byte
	Err    error
	At     time.Time
}

// A Client sends jobs to one scheduler, one at a time on a connection; it keeps its connections.
type Client struct {
	Addr string

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func (c *Client) take() (conn *clientConn, reused bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn = c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, true, nil
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", c.Addr, 2*time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{raw, bufio.NewReader(raw)}, false, nil
}

// Do sends a job and waits for its answer until half a second after its time. A request that crosses the close of a
// resting connection is sent once more on a new connection.
func (c *Client) Do(j *Job) Answer {
	for {
		conn, reused, err := c.take()
		if err != nil {
			return Answer{Err: err, At: time.Now()}
		}
		a, keep, crossed := conn.exchange(c.Addr, j)
		if crossed && reused {
			conn.Close()
			continue
		}
		if keep {
			c.mu.Lock()
			c.idle = append(c.idle, conn)
			c.mu.Unlock()
		} else {
			conn.Close()
		}
		return a
	}
}

// Head returns the head of the request of a job.
func (j *Job) Head() string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: %s\r\n"+
		"X-Remaining: %dm\r\nContent-Length: %d\r\n\r\n", j.Class, j.ID, j.Class, j.Tenant, j.Remaining.Milliseconds(), len(j.Body))
}

func (c *clientConn) exchange(_ string, j *Job) (a Answer, keep, crossed bool) {
	_ = c.SetDeadline(time.Now().Add(j.Remaining + 500*time.Millisecond))
	if _, err := c.Write(append([]byte(j.Head()), j.Body...)); err != nil {
		return Answer{Err: err, At: time.Now()}, false, true
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return Answer{Err: err, At: time.Now()}, false, !isTimeout(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Err: err, At: time.Now()}, false, false
	}
	return Answer{Status: resp.StatusCode, Body: body, At: time.Now()}, !resp.Close, false
}

func isTimeout(err error) bool {
	n, ok := err.(net.Error)
	return ok && n.Timeout()
}
