package service

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
)

// maxSends is how often a job is sent at most: a second time only if the first was Unread.
const maxSends = 2

// grace is how long clients wait beyond a job's deadline.
const answerGrace = 500 * time.Millisecond

// arrivalStream is the random generator's stream of the arrivals.
const arrivalRNGStream = 17

// A LoadOptions is a steady, bounded load.
type LoadOptions struct {
	Name                  string  // begins the jobs' ids
	Rate                  float64 // jobs a second, Poisson
	Seed                  uint64
	NewConnectionFraction float64 // fraction of the jobs that come on a connection of their own
	MaxIdleConnections    int     // idle connections that are kept at most; used in turn
	MaxOpenJobs           int     // jobs open at a time; arrivals beyond are left out
}

// DefaultLoad is a quarter of what DefaultWorld can do.
var DefaultLoad = LoadOptions{Name: "load", Rate: 140, Seed: 1, NewConnectionFraction: 0.4, MaxIdleConnections: 24, MaxOpenJobs: 128}

// A Load is the clients of one address, on kept and on fresh connections. Stop ends its goroutines.
type Load struct {
	LoadOptions
	addr    string
	classes []lab.Class
	tenants []lab.Tenant
	stop    chan struct{}
	wait    sync.WaitGroup

	mu       sync.Mutex
	idle     []*connection // the one used last comes last
	openJobs int           // jobs
	tally    Tally
}

// StartLoad begins jobs of a world's classes and tenants.
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

// Stop ends the load, waits for all answers and returns what became of the jobs.
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

// Answered returns how many jobs have ended, and how many of them had an Unread send.
func (l *Load) EndedJobs() (ended, unread int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally.Sent, len(l.tally.Unread)
}

// Total returns the answers so far, of all classes.
func (l *Load) Total() Responses {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally.Total()
}

// await waits until so many more jobs have ended.
func (l *Load) awaitJobs(ctx context.Context, more int) error {
	before, _ := l.EndedJobs()
	for {
		if now, _ := l.EndedJobs(); now >= before+more {
			return nil
		}
		if err := sleepContext(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// run draws the arrivals until Stop.
func (l *Load) run() {
	rng := rand.New(rand.NewPCG(l.Seed, arrivalRNGStream))
	next := time.Now()
	for number := 1; ; number++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		class, tenant, fresh := l.drawClass(rng.Float64()), l.drawTenant(rng.Float64()), rng.Float64() < l.NewConnectionFraction
		select {
		case <-time.After(time.Until(next)):
		case <-l.stop:
			return
		}
		if !l.admit() {
			continue
		}
		id := fmt.Sprintf("%s/%s/%s/%d", l.Name, tenant.Name, class.Name, number)
		l.wait.Go(func() { l.submit(id, class, tenant.Name, fresh) })
	}
}

// class picks a class by the classes' fractions of the jobs, with a random number from 0 to 1.
func (l *Load) drawClass(drawn float64) lab.Class {
	for _, c := range l.classes {
		if drawn -= c.JobFraction; drawn < 0 {
			return c
		}
	}
	return l.classes[0]
}

// tenant picks a tenant by the tenants' quotas, with a random number from 0 to 1.
func (l *Load) drawTenant(drawn float64) lab.Tenant {
	for _, t := range l.tenants {
		if drawn -= t.QuotaFraction; drawn < 0 {
			return t
		}
	}
	return l.tenants[0]
}

// admit counts a job as open, and reports false if too many are.
func (l *Load) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openJobs >= l.MaxOpenJobs {
		return false
	}
	l.openJobs++
	return true
}

// submit sends one job until it has an answer or may not be sent again.
func (l *Load) submit(id string, class lab.Class, tenant string, fresh bool) {
	text := requestText(id, class, tenant)
	record := JobRecord{ID: id, Class: class.Name}
	until := time.Now().Add(class.Deadline + answerGrace)
	var got answer
	for len(record.Sends) < maxSends {
		var send Send
		got, send = l.send(text, fresh || len(record.Sends) > 0, until)
		record.Sends = append(record.Sends, send)
		if send.Outcome != Unread {
			break
		}
	}
	record.Status = got.Status
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openJobs--
	l.tally.add(record, got.Body)
}

// requestText is a job's request as it is sent.
func requestText(id string, class lab.Class, tenant string) string {
	const body = "body"
	const head = "POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Org: %s\r\n" +
		"X-Remaining: %dm\r\nContent-Length: %d\r\n\r\n"
	return fmt.Sprintf(head+"%s",
		class.Name, id, class.Name, tenant, class.Deadline.Milliseconds(), len(body), body)
}

// send sends a request once, on a kept connection or on a new one.
func (l *Load) send(text string, fresh bool, until time.Time) (got answer, s Send) {
	s.StartedAt = time.Now()
	var c *connection
	if !fresh {
		c = l.idleConnection()
	}
	if s.NewConnection = c == nil; s.NewConnection {
		if c, s.Err = dial(l.addr, until); s.Err != nil {
			s.Outcome, s.EndedAt = Unread, time.Now()
			return got, s
		}
	}
	s.Port = c.localPort()
	got, s.Outcome, s.Err = c.exchange(text, until)
	s.EndedAt = time.Now()
	if s.Outcome == Answered && !fresh {
		l.release(c)
	} else {
		c.conn.Close()
	}
	return got, s
}

// connection returns the connection that has been idle for longest and is still open, or nil if
// there is none.
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

// release keeps a connection for a later job, or closes it if enough are idle.
func (l *Load) release(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) >= l.MaxIdleConnections || c.closeAnnounced {
		c.conn.Close()
		return
	}
	l.idle = append(l.idle, c)
}
