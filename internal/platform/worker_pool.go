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

var errNoDescriptor = errors.New("no descriptor left for execute nodes")

// nodes holds the connections to execute nodes. It implements core.Nodes.
type workerPool struct {
	find        func(worker string) (endpoint, bool)                 // a node's entry, if new work may go there now
	stateOf     func(worker string) (foxlift.WorkerState, time.Time) // what the list says of a node, and since when
	drainGrace  time.Duration                                        // in which sends to a node that drains or is gone have to stop
	log         *zap.Logger
	counters    *counters.Set
	dialTimeout time.Duration // most that a dial may take
	idleTimeout time.Duration // after which an idle connection is dropped
	loadReports loadParser
	budget      int

	repeatable map[string]bool // classes whose jobs may run twice

	inFlight           inFlightAttempts
	answersBeforeStart atomic.Bool // nodes have been seen to answer before the job starts

	mu   sync.Mutex
	open int                      // connections and dials
	idle map[string][]*workerConn // by address, the newest last
}

func newWorkerPool(list *endpointWatch, s *config.Settings, set *counters.Set, log *zap.Logger, budget int) *workerPool {
	n := &workerPool{
		find: list.find, stateOf: list.stateOf, drainGrace: time.Duration(s.DrainGrace), log: log, counters: set, dialTimeout: defaultDialTimeout, idleTimeout: defaultIdleTimeout, budget: budget,
		loadReports: loadParser{s.GaugeNames, set}, idle: map[string][]*workerConn{},
		repeatable: map[string]bool{},
	}
	for _, k := range s.Module.Classes {
		n.repeatable[k.Name] = k.Effect == foxlift.Idempotent
	}
	if s.ConnectTimeout > 0 {
		n.dialTimeout = time.Duration(s.ConnectTimeout)
	}
	if idle := s.Module.ConnIdle; idle > 0 {
		// Well before the node's side drops it: a request written to a connection
		// that is being dropped may have run.
		n.idleTimeout = time.Duration(idle) / 2
	}
	return n
}

// reuse takes the newest idle connection to a node that is still good.
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
		// A node that has dropped the connection has mostly said so already, and one
		// that vanished and is back has a new start; writing to the old connection
		// would look like a job that may have run.
		if c.buf.fillAvailable() && c.buf.buffered() == 0 && !c.openedAt.Before(target.at) {
			return c
		}
		p.discard(c)
	}
}

// applyLocked removes a connection from the idle ones; false if it is not there.
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

// keep puts a connection among the idle ones.
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

// reserve takes a descriptor from the budget; the longest idle connection makes
// way.
func (p *workerPool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.shrinkLocked(p.budget - 1) {
		return errNoDescriptor
	}
	p.open++
	return nil
}

// freeCapacityLocked closes the longest idle connections until so many are open; false if more are
// in use.
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

// take returns a connection to a node, an idle one if there is any. Without
// one, code says why: a lack of descriptors is no fault of the node.
func (p *workerPool) acquire(ctx context.Context, target endpoint) (c *workerConn, code foxlift.Code) {
	if c = p.reuse(target); c != nil {
		return c, 0
	}
	c, err := p.dial(ctx, target.address)
	switch {
	case err == nil:
		return c, 0
	case errors.Is(err, errNoDescriptor), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		p.counters.Add("nodes.no_descriptor")
		return nil, foxlift.NotSent
	}
	p.counters.Add("nodes.dial_failed")
	return nil, foxlift.Unreachable
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

// CloseIdle implements core.Nodes.
func (p *workerPool) CloseIdle(worker string) {
	go func() {
		to, _ := p.find(worker)
		p.mu.Lock()
		stack := slices.Clone(p.idle[to.address])
		p.mu.Unlock()
		for _, c := range stack {
			p.dropIdle(c)
		}
	}()
}

// closeAll closes the idle connections to all nodes.
func (p *workerPool) closeAll() {
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

// Send implements core.Nodes.
func (p *workerPool) Send(worker string, job *core.Job, limits core.AttemptLimits, report func(core.Report)) func() {
	ctx, withdraw := context.WithCancel(context.Background())
	now := time.Now()
	a := &attempt{pool: p, ctx: ctx, worker: worker, job: job, clientDeadline: now.Add(limits.Remaining), report: report}
	if limits.WriteWithin > 0 {
		a.writeDeadline = now.Add(limits.WriteWithin)
	}
	go a.run()
	return withdraw
}

var _ core.Workers = (*workerPool)(nil)

func finalReport(c foxlift.Code) core.Report { return core.Report{Ended: true, Code: c} }
