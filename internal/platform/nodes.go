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
	defaultConnect = 200 * time.Millisecond // where the settings give no limit
	defaultIdle    = 10 * time.Second
)

var errBudget = errors.New("no descriptor left for execute nodes")

// nodes holds the connections to execute nodes. It implements core.Nodes.
type nodes struct {
	find      func(node string) (machine, bool)                  // a node's entry, if new work may go there now
	stateOf   func(node string) (foxlift.WorkerState, time.Time) // what the list says of a node, and since when
	grace     time.Duration                                      // in which sends to a node that drains or is gone have to stop
	log       *zap.Logger
	counters  *counters.Set
	connect   time.Duration // most that a dial may take
	idleLimit time.Duration // after which an idle connection is dropped
	loads     loads
	budget    int

	repeatable map[string]bool // classes whose jobs may run twice

	out          outstanding
	earlyAnswers atomic.Bool // nodes have been seen to answer before the job starts

	mu   sync.Mutex
	open int                    // connections and dials
	idle map[string][]*nodeConn // by address, the newest last
}

// A nodeConn is a connection to an execute node. It carries one request at a time.
type nodeConn struct {
	net.Conn
	addr  string
	buf   buffer
	drop  *time.Timer // while idle
	since time.Time   // when it became idle
	began time.Time   // when it was opened
}

func newNodes(list *machines, s *config.Settings, set *counters.Set, log *zap.Logger, budget int) *nodes {
	n := &nodes{
		find: list.find, stateOf: list.stateOf, grace: time.Duration(s.DrainGrace), log: log, counters: set, connect: defaultConnect, idleLimit: defaultIdle, budget: budget,
		loads: loads{s.GaugeNames, set}, idle: map[string][]*nodeConn{},
		repeatable: map[string]bool{},
	}
	for _, k := range s.Module.Classes {
		n.repeatable[k.Name] = k.Effect == foxlift.Idempotent
	}
	if s.ConnectTimeout > 0 {
		n.connect = time.Duration(s.ConnectTimeout)
	}
	if idle := s.Module.ConnIdle; idle > 0 {
		// Well before the node's side drops it: a request written to a connection
		// that is being dropped may have run.
		n.idleLimit = time.Duration(idle) / 2
	}
	return n
}

// reuse takes the newest idle connection to a node that is still good.
func (n *nodes) reuse(to machine) *nodeConn {
	for {
		n.mu.Lock()
		stack := n.idle[to.dial]
		if len(stack) == 0 {
			n.mu.Unlock()
			return nil
		}
		c := stack[len(stack)-1]
		n.takeLocked(c)
		n.mu.Unlock()
		// A node that has dropped the connection has mostly said so already, and one
		// that vanished and is back has a new start; writing to the old connection
		// would look like a job that may have run.
		if c.buf.fillNow() && c.buf.buffered() == 0 && !c.began.Before(to.born) {
			return c
		}
		n.discard(c)
	}
}

// takeLocked removes a connection from the idle ones; false if it is not there.
func (n *nodes) takeLocked(c *nodeConn) bool {
	stack := n.idle[c.addr]
	for i := len(stack) - 1; i >= 0; i-- {
		if stack[i] == c {
			c.drop.Stop()
			stack = append(stack[:i], stack[i+1:]...)
			if n.idle[c.addr] = stack; len(stack) == 0 {
				delete(n.idle, c.addr)
			}
			return true
		}
	}
	return false
}

// keep puts a connection among the idle ones.
func (n *nodes) keep(c *nodeConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c.since = time.Now()
	c.drop = time.AfterFunc(n.idleLimit, func() { n.dropIdle(c) })
	n.idle[c.addr] = append(n.idle[c.addr], c)
}

func (n *nodes) dropIdle(c *nodeConn) {
	n.mu.Lock()
	idle := n.takeLocked(c)
	n.mu.Unlock()
	if idle {
		n.discard(c)
	}
}

// reset ends a connection at once: what it has not delivered is discarded.
func (c *nodeConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// discard closes a connection that is not idle.
func (n *nodes) discard(c *nodeConn) {
	c.Close()
	n.mu.Lock()
	n.open--
	n.mu.Unlock()
}

// reserve takes a descriptor from the budget; the longest idle connection makes
// way.
func (n *nodes) reserve() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.makeRoomLocked(n.budget - 1) {
		return errBudget
	}
	n.open++
	return nil
}

// makeRoomLocked closes the longest idle connections until so many are open; false if more are
// in use.
func (n *nodes) makeRoomLocked(most int) bool {
	for n.open > most {
		var oldest *nodeConn
		for _, stack := range n.idle {
			if oldest == nil || stack[0].since.Before(oldest.since) {
				oldest = stack[0]
			}
		}
		if oldest == nil {
			return false
		}
		n.takeLocked(oldest)
		oldest.Close()
		n.open--
	}
	return true
}

// setBudget changes how many connections there may be.
func (n *nodes) setBudget(budget int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budget = budget
	n.makeRoomLocked(budget)
}

// take returns a connection to a node, an idle one if there is any. Without
// one, code says why: a lack of descriptors is no fault of the node.
func (n *nodes) take(ctx context.Context, to machine) (c *nodeConn, code foxlift.Code) {
	if c = n.reuse(to); c != nil {
		return c, 0
	}
	c, err := n.dial(ctx, to.dial)
	switch {
	case err == nil:
		return c, 0
	case errors.Is(err, errBudget), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		n.counters.Add("nodes.no_descriptor")
		return nil, foxlift.NotSent
	}
	n.counters.Add("nodes.dial_failed")
	return nil, foxlift.Unreachable
}

// dial opens a connection. It does not block longer than the settings' limit.
func (n *nodes) dial(ctx context.Context, addr string) (*nodeConn, error) {
	if err := n.reserve(); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: n.connect}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		n.mu.Lock()
		n.open--
		n.mu.Unlock()
		return nil, err
	}
	n.counters.Add("nodes.dialed")
	return &nodeConn{Conn: conn, addr: addr, buf: buffer{conn: conn}, began: time.Now()}, nil
}

// CloseIdle implements core.Nodes.
func (n *nodes) CloseIdle(node string) {
	go func() {
		to, _ := n.find(node)
		n.mu.Lock()
		stack := slices.Clone(n.idle[to.dial])
		n.mu.Unlock()
		for _, c := range stack {
			n.dropIdle(c)
		}
	}()
}

// closeAll closes the idle connections to all nodes.
func (n *nodes) closeAll() {
	n.mu.Lock()
	var all []*nodeConn
	for _, stack := range n.idle {
		all = append(all, stack...)
	}
	n.mu.Unlock()
	for _, c := range all {
		n.dropIdle(c)
	}
}

// Send implements core.Nodes.
func (n *nodes) Send(node string, job *core.Job, limits core.AttemptLimits, report func(core.Report)) func() {
	ctx, withdraw := context.WithCancel(context.Background())
	now := time.Now()
	a := &attempt{nodes: n, ctx: ctx, node: node, job: job, until: now.Add(limits.Remaining), report: report}
	if limits.WriteWithin > 0 {
		a.writeBy = now.Add(limits.WriteWithin)
	}
	go a.run()
	return withdraw
}

var _ core.Workers = (*nodes)(nil)

func ended(c foxlift.Code) core.Report { return core.Report{Ended: true, Code: c} }
