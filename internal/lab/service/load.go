package service

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
)

// maxSends limits how often a job is sent. It is sent a second time only if the first outcome was
// Unread.
const maxSends = 2

// answerGrace is how long clients wait for a response after a job's deadline.
const answerGrace = 500 * time.Millisecond

// arrivalRNGStream selects the random generator's stream for the arrivals.
const arrivalRNGStream = 17

// LoadOptions describe a steady load with a bounded number of open jobs.
type LoadOptions struct {
	Name                  string  // prefix of the job IDs
	Rate                  float64 // jobs per second, as a Poisson process
	Seed                  uint64
	NewConnectionFraction float64 // fraction of the jobs that use a new connection each
	MaxIdleConnections    int     // idle connections kept for reuse, least recently used first
	MaxOpenJobs           int     // jobs open at a time; arrivals beyond the limit are skipped
}

// DefaultLoad is about a quarter of the capacity of DefaultTopology.
var DefaultLoad = LoadOptions{
	Name: "load", Rate: 140, Seed: 1, NewConnectionFraction: 0.4, MaxIdleConnections: 24, MaxOpenJobs: 128,
}

// Load simulates the clients of one address, on reused and on new connections. Stop ends its
// goroutines.
type Load struct {
	LoadOptions
	addr    string
	classes []lab.Class
	tenants []lab.Tenant
	stop    chan struct{}
	wait    sync.WaitGroup

	mu       sync.Mutex
	idle     []*connection // least recently used first
	openJobs int
	tally    Tally
}

// StartLoad starts sending jobs of a topology's classes and tenants to an address.
func StartLoad(addr string, topology lab.Topology, o LoadOptions) *Load {
	l := &Load{
		LoadOptions: o,
		addr:        addr,
		classes:     topology.Classes,
		tenants:     topology.Tenants,
		stop:        make(chan struct{}),
		tally:       newTally(),
	}
	l.wait.Go(l.run)
	return l
}

// Stop ends the load, waits until all jobs have ended and returns the tally of all jobs. It may be called
// only once.
func (l *Load) Stop() Tally {
	close(l.stop)
	l.wait.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.idle {
		c.conn.Close()
	}
	l.idle = nil
	return l.tally
}

// EndedJobs returns how many jobs have ended, and how many of them had an Unread send.
func (l *Load) EndedJobs() (ended, unread int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally.Sent, len(l.tally.Unread)
}

// Total returns the responses so far, summed over all classes.
func (l *Load) Total() Responses {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally.Total()
}

// awaitJobs waits until the given number of further jobs has ended.
func (l *Load) awaitJobs(ctx context.Context, count int) error {
	before, _ := l.EndedJobs()
	for {
		if now, _ := l.EndedJobs(); now >= before+count {
			return nil
		}
		if err := sleepContext(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// run draws job arrivals and starts the jobs until Stop.
func (l *Load) run() {
	rng := rand.New(rand.NewPCG(l.Seed, arrivalRNGStream))
	next := time.Now()
	for number := 1; ; number++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		class, tenant, newConnection := l.drawClass(rng.Float64()), l.drawTenant(rng.Float64()),
			rng.Float64() < l.NewConnectionFraction
		select {
		case <-time.After(time.Until(next)):
		case <-l.stop:
			return
		}
		if !l.admit() {
			continue
		}
		id := fmt.Sprintf("%s/%s/%s/%d", l.Name, tenant.Name, class.Name, number)
		l.wait.Go(func() { l.submit(id, class, tenant.Name, newConnection) })
	}
}

// drawClass returns the class for a random number from 0 to 1, weighted by the classes' job fractions.
func (l *Load) drawClass(random float64) lab.Class {
	for _, c := range l.classes {
		if random -= c.JobFraction; random < 0 {
			return c
		}
	}
	return l.classes[0]
}

// drawTenant returns the tenant for a random number from 0 to 1, weighted by the tenants' quota
// fractions.
func (l *Load) drawTenant(random float64) lab.Tenant {
	for _, t := range l.tenants {
		if random -= t.QuotaFraction; random < 0 {
			return t
		}
	}
	return l.tenants[0]
}

// admit counts a new open job; it returns false if MaxOpenJobs are open.
func (l *Load) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openJobs >= l.MaxOpenJobs {
		return false
	}
	l.openJobs++
	return true
}

// submit sends one job until its outcome is not Unread or it was sent maxSends times, and tallies it.
func (l *Load) submit(id string, class lab.Class, tenant string, newConnection bool) {
	request := requestText(id, class, tenant)
	record := JobRecord{ID: id, Class: class.Name}
	until := time.Now().Add(class.Deadline + answerGrace)
	var response answer
	for len(record.Sends) < maxSends {
		var send Send
		response, send = l.send(request, newConnection || len(record.Sends) > 0, until)
		record.Sends = append(record.Sends, send)
		if send.Outcome != Unread {
			break
		}
	}
	record.Status = response.Status
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openJobs--
	l.tally.add(record, response.Body)
}

// requestText returns a job's HTTP request.
func requestText(id string, class lab.Class, tenant string) string {
	const body = "body"
	const head = "POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: %s\r\n" +
		"X-Remaining: %dm\r\nContent-Length: %d\r\n\r\n"
	return fmt.Sprintf(head+"%s",
		class.Name, id, class.Name, tenant, class.Deadline.Milliseconds(), len(body), body)
}

// send sends a request once, on an idle connection or on a new one.
func (l *Load) send(request string, newConnection bool, until time.Time) (response answer, send Send) {
	send.StartedAt = time.Now()
	var c *connection
	if !newConnection {
		c = l.idleConnection()
	}
	if send.NewConnection = c == nil; send.NewConnection {
		if c, send.Err = dial(l.addr, until); send.Err != nil {
			send.Outcome, send.EndedAt = Unread, time.Now()
			return response, send
		}
	}
	send.Port = c.localPort()
	response, send.Outcome, send.Err = c.exchange(request, until)
	send.EndedAt = time.Now()
	if send.Outcome == Answered && !newConnection {
		l.release(c)
	} else {
		c.conn.Close()
	}
	return response, send
}

// idleConnection returns the least recently used idle connection that is still open; nil if there is
// none.
func (l *Load) idleConnection() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.idle) > 0 {
		c := l.idle[0]
		l.idle = l.idle[1:]
		if c.usable() {
			return c
		}
		c.conn.Close()
	}
	return nil
}

// release keeps a connection for a later job. It closes the connection if MaxIdleConnections are idle
// or the scheduler closes it.
func (l *Load) release(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) >= l.MaxIdleConnections || c.closeAnnounced {
		c.conn.Close()
		return
	}
	l.idle = append(l.idle, c)
}
