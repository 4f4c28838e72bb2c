package platform

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

const (
	defaultDialTimeout = 200 * time.Millisecond // where the settings give no limit
	defaultIdleTimeout = 10 * time.Second
)

var errNoDescriptor = errors.New("no descriptor left for workers")

// A workerPool holds the connections to workers, and sends attempts on them. It implements core.Workers.
type workerPool struct {
	// find returns a worker's entry, if new work may go there now.
	findLive func(worker string) (endpoint, bool)
	// stateOf returns a worker's state in the endpoint list, and since when it is not live.
	stateOf     func(worker string) (foxlift.WorkerState, time.Time)
	drainGrace  time.Duration // in which sends to a worker that is no longer live have to stop
	log         *zap.Logger
	counters    *counters.Set
	dialTimeout time.Duration
	idleTimeout time.Duration // after which an idle connection is closed
	loadParser  loadParser

	repeatable map[string]bool // classes whose jobs may run twice

	inFlight           inFlightAttempts
	answersBeforeStart atomic.Bool // workers have been seen to answer before the job starts

	mu     sync.Mutex
	budget int                      // most that may be open
	open   int                      // connections and dials
	idle   map[string][]*workerConn // by address, the newest last
}

func newWorkerPool(
	endpoints *endpointWatch, s *config.Settings, set *counters.Set, log *zap.Logger, budget int,
) *workerPool {
	p := &workerPool{
		findLive:    endpoints.findLive,
		stateOf:     endpoints.stateOf,
		drainGrace:  s.DrainGrace,
		log:         log,
		counters:    set,
		dialTimeout: defaultDialTimeout,
		idleTimeout: defaultIdleTimeout,
		loadParser:  loadParser{s.GaugeNames, set},
		repeatable:  map[string]bool{},
		budget:      budget,
		idle:        map[string][]*workerConn{},
	}
	for _, class := range s.Module.Classes {
		p.repeatable[class.Name] = class.Effect == foxlift.Idempotent
	}
	if s.ConnectTimeout > 0 {
		p.dialTimeout = s.ConnectTimeout
	}
	if idle := s.Module.ConnIdle; idle > 0 {
		// Well before the worker's side drops it: a request written to a connection that is being dropped
		// may have run.
		p.idleTimeout = time.Duration(idle) / 2
	}
	return p
}

// reuse takes the newest idle connection to a worker that is still usable; nil if there is none.
func (p *workerPool) reuse(target endpoint) *workerConn {
	for {
		p.mu.Lock()
		stack := p.idle[target.address]
		if len(stack) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := stack[len(stack)-1]
		p.removeIdleLocked(c)
		p.mu.Unlock()
		// A worker that has dropped the connection has mostly said so already, and one that vanished and is
		// back has a new start; a request on the old connection would look like a job that may have run.
		if c.buf.fillAvailable() && c.buf.buffered() == 0 && !c.openedAt.Before(target.startedAt) {
			return c
		}
		p.discard(c)
	}
}

// removeIdleLocked removes a connection from the idle ones; false if it is not there.
func (p *workerPool) removeIdleLocked(c *workerConn) bool {
	stack := p.idle[c.addr]
	for i := len(stack) - 1; i >= 0; i-- {
		if stack[i] == c {
			c.idleTimer.Stop()
			stack = append(stack[:i], stack[i+1:]...)
			if p.idle[c.addr] = stack; len(stack) == 0 {
				delete(p.idle, c.addr)
			}
			return true
		}
	}
	return false
}

// release puts a connection among the idle ones.
func (p *workerPool) release(c *workerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	c.idleTimer = time.AfterFunc(p.idleTimeout, func() { p.dropIdle(c) })
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

func (p *workerPool) dropIdle(c *workerConn) {
	p.mu.Lock()
	idle := p.removeIdleLocked(c)
	p.mu.Unlock()
	if idle {
		p.discard(c)
	}
}

// discard closes a connection that is not idle.
func (p *workerPool) discard(c *workerConn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// reserve takes a descriptor from the budget; the longest idle connection is closed for it.
func (p *workerPool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.shrinkLocked(p.budget - 1) {
		return errNoDescriptor
	}
	p.open++
	return nil
}

// shrinkLocked closes the longest idle connections until at most limit are open; false if more are in use.
func (p *workerPool) shrinkLocked(limit int) bool {
	for p.open > limit {
		var oldest *workerConn
		for _, stack := range p.idle {
			if oldest == nil || stack[0].idleSince.Before(oldest.idleSince) {
				oldest = stack[0]
			}
		}
		if oldest == nil {
			return false
		}
		p.removeIdleLocked(oldest)
		oldest.Close()
		p.open--
	}
	return true
}

// setBudget changes how many connections there may be.
func (p *workerPool) setBudget(budget int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget = budget
	p.shrinkLocked(budget)
}

// acquire returns a connection to a worker, an idle one if there is any. Its error is a *sendError: a lack of
// descriptors is no fault of the worker.
func (p *workerPool) acquire(ctx context.Context, target endpoint) (*workerConn, error) {
	if c := p.reuse(target); c != nil {
		return c, nil
	}
	c, err := p.dial(ctx, target.address)
	switch {
	case err == nil:
		return c, nil
	case errors.Is(err, errNoDescriptor), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		p.counters.Add("nodes.no_descriptor")
		return nil, &sendError{foxlift.NotSent, err}
	}
	p.counters.Add("nodes.dial_failed")
	return nil, &sendError{foxlift.Unreachable, err}
}

// dial opens a connection. It does not block longer than the settings' limit.
func (p *workerPool) dial(ctx context.Context, addr string) (*workerConn, error) {
	if err := p.reserve(); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: p.dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	p.counters.Add("nodes.dialed")
	return &workerConn{Conn: conn, addr: addr, buf: buffer{conn: conn}, openedAt: time.Now()}, nil
}

// CloseIdle implements core.Workers.
func (p *workerPool) CloseIdle(worker string) {
	go func() {
		target, _ := p.findLive(worker)
		p.mu.Lock()
		stack := slices.Clone(p.idle[target.address])
		p.mu.Unlock()
		for _, c := range stack {
			p.dropIdle(c)
		}
	}()
}

// closeAll closes the idle connections to all workers.
func (p *workerPool) closeAllIdle() {
	p.mu.Lock()
	var all []*workerConn
	for _, stack := range p.idle {
		all = append(all, stack...)
	}
	p.mu.Unlock()
	for _, c := range all {
		p.dropIdle(c)
	}
}

// Send implements core.Workers. The core ends the attempt, by the function that Send returns: it outlasts
// whatever the platform has begun to shut down.
func (p *workerPool) Send(
	worker string, job *core.Job, limits core.AttemptLimits, report func(core.Report),
) (withdraw func()) {
	ctx, withdraw := context.WithCancel(context.Background())
	now := time.Now()
	a := &attempt{
		pool:           p,
		ctx:            ctx,
		worker:         worker,
		job:            job,
		clientDeadline: now.Add(limits.Remaining),
		report:         report,
	}
	if limits.WriteWithin > 0 {
		a.writeDeadline = now.Add(limits.WriteWithin)
	}
	go a.run()
	return withdraw
}

var _ core.Workers = (*workerPool)(nil)
