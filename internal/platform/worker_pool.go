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
	"golang.org/x/sync/semaphore"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// Timeouts for settings that give none.
const (
	defaultDialTimeout = 200 * time.Millisecond
	defaultIdleTimeout = 10 * time.Second
)

var errNoDescriptor = errors.New("no file descriptor left for worker connections")

// workerPool manages the connections to workers and sends attempts on them. It implements core.Workers.
type workerPool struct {
	// findLive returns a worker's entry, and whether new work may be sent to the worker now.
	findLive func(worker string) (endpoint, bool)
	// endpointsFresh reports whether requests may be sent by the endpoint list now; nil in some tests: always.
	endpointsFresh func() bool
	// stateOf returns a worker's state in the endpoint list, and the time since which it has not been live. In tests
	// it may be nil, which disables the checks of package guard.
	stateOf     func(worker string) (foxlift.WorkerState, time.Time)
	drainGrace  time.Duration // after which nothing may be sent to a worker that is no longer live
	log         *zap.Logger
	counters    *counters.Set
	dialTimeout time.Duration
	idleTimeout time.Duration // after which an idle connection is closed
	loadParser  loadParser

	repeatable map[string]bool // by class name: whether jobs of the class may run twice

	longAnswers        *semaphore.Weighted // memory for long answers; nil in some tests: no limit
	inFlight           inFlightAttempts
	answersBeforeStart atomic.Bool // a worker has answered before it started the job

	mu     sync.Mutex
	budget int                      // maximum of open
	open   int                      // number of open connections and dials in progress
	idle   map[string][]*workerConn // by address, the most recently used last
}

// newWorkerPool returns a pool that has at most budget connections open, in a scheduler that may use memoryLimit bytes
// of memory. A timeout that is 0 in the settings has its
// default.
func newWorkerPool(
	endpoints *endpointWatch, s *config.Settings, set *counters.Set, log *zap.Logger, budget int, memoryLimit int64,
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
		longAnswers: semaphore.NewWeighted(maxLongAnswers(memoryLimit)),
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
		// ConnIdle is the time after which workers close an idle connection. Half of it keeps requests off
		// connections that are about to be closed: a request written to such a connection may have run.
		p.idleTimeout = time.Duration(idle) / 2
	}
	return p
}

// findUsable returns a worker's entry, and whether a request may be sent to the worker now: it is live, and the list in
// which it is has not become stale meanwhile.
func (p *workerPool) findUsable(worker string) (endpoint, bool) {
	target, live := p.findLive(worker) // may block
	return target, live && (p.endpointsFresh == nil || p.endpointsFresh())
}

// reuse removes the most recently used idle connection to a worker from the pool and returns it; nil if none is usable.
// It closes unusable ones. For a job that must not run twice, it leaves connections in the pool whose answers are not
// certain.
func (p *workerPool) reuse(target endpoint, mustNotRunTwice bool) *workerConn {
	for {
		c := p.popIdle(target.address, mustNotRunTwice)
		if c == nil {
			return nil
		}
		// If the worker has closed the connection, the FIN or RST has mostly arrived. If the worker has crashed and
		// restarted, its start is later than the connection. In both cases a request on the connection would fail
		// as if the job might have run.
		if c.buf.fillAvailable() && c.buf.buffered() == 0 && !c.openedAt.Before(target.startedAt) {
			return c
		}
		p.discard(c)
	}
}

// popIdle removes the most recently used idle connection to an address, and returns it; nil if there is none. For a job
// that must not run twice it skips connections whose answers are not certain.
func (p *workerPool) popIdle(address string, mustNotRunTwice bool) *workerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range slices.Backward(p.idle[address]) {
		if !mustNotRunTwice || c.answersAreCertain() {
			p.removeIdleLocked(c)
			return c
		}
	}
	return nil
}

// removeIdleLocked removes a connection from the idle connections; false if it is not among them.
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

// release makes a connection idle, so that it can be reused until the idle timeout.
func (p *workerPool) release(c *workerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	c.idleTimer = time.AfterFunc(p.idleTimeout, func() { p.dropIdle(c) })
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// dropIdle closes a connection if it is idle.
func (p *workerPool) dropIdle(c *workerConn) {
	p.mu.Lock()
	idle := p.removeIdleLocked(c)
	p.mu.Unlock()
	if idle {
		p.discard(c)
	}
}

// discard closes a connection that is not idle, and frees its place in the budget.
func (p *workerPool) discard(c *workerConn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// reserve counts one more open connection. If the budget is used up, it closes the connection that has been idle
// longest; if there is none, it returns errNoDescriptor.
func (p *workerPool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.shrinkLocked(p.budget - 1) {
		return errNoDescriptor
	}
	p.open++
	return nil
}

// shrinkLocked closes idle connections, the longest idle first, until at most limit are open; false if more are in use.
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

// setBudget changes the maximum number of open connections and closes idle connections over it. Connections in use stay
// open, so there may be more than budget until they are closed.
func (p *workerPool) setBudget(budget int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget = budget
	p.shrinkLocked(budget)
}

// shrinkBudget lowers the maximum number of open connections.
func (p *workerPool) shrinkBudget(by int) {
	p.mu.Lock()
	budget := p.budget
	p.mu.Unlock()
	p.setBudget(budget - by)
}

// acquire returns an idle connection to a worker, or dials one, for a job that must not run twice or for any other
// request. The error is a *sendError. A lack of file descriptors
// is reported as NotSent, since it is not a fault of the worker; any other failure, also the end of ctx, is reported as
// Unreachable. Both are counted.
func (p *workerPool) acquire(ctx context.Context, target endpoint, mustNotRunTwice bool) (*workerConn, error) {
	if c := p.reuse(target, mustNotRunTwice); c != nil {
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

// dial opens a connection within dialTimeout. It returns errNoDescriptor if the budget is in use.
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
	return &workerConn{Conn: conn, addr: addr, buf: readBuffer{conn: conn}, openedAt: time.Now()}, nil
}

// CloseIdle implements core.Workers. It returns at once. Connections to a worker that is not in the endpoint table stay
// open until their idle timeout.
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

// closeAllIdle closes the idle connections to all workers.
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

// Send implements core.Workers. It returns at once. Only withdraw, which the core calls, and abortUnavailable end the
// attempt early. The attempt does not depend on a context of the platform, so it continues while the platform shuts
// down.
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
		payload:        job.Payload.(*payload),
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
