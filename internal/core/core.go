// Package core runs the decision module as a live scheduler. One goroutine owns
// the Dispatcher (or one for each cell, see cell.go), the table of jobs and claims, and the chain of stages that a
// job passes: take in, admit, route, send, relay, book (a file each). Everything
// else talks to it by events. It knows no protocol: a front brings jobs as Job
// values and is answered through Client; execute nodes are reached through
// Nodes, the machine list through EndpointWatch. It decides nothing either: it
// reports what happens to the module and carries out the actions it returns.
package core

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// An event is something that the core's goroutine learns of.
type event interface{ apply(*Core) }

// A Core is one scheduler. Create it with New, then call Connect and Start.
type Core struct {
	settings *config.Settings
	clock    Clock
	counters *counters.Set
	nodes    Workers
	machines EndpointWatch
	peers    Peers // nil where there are no messages
	seed     uint64

	inbox      chan event
	stopped    chan struct{}
	stopOnce   sync.Once
	ready      atomic.Bool
	hasWorkers atomic.Bool
	active     atomic.Int64 // jobs taken and not yet answered

	// Owned by run's goroutine.
	jobs             map[uint64]*job
	open             map[string]*job // taken and not yet answered, by the submitter's id
	recentIDs        map[string]bool // ids answered not long ago; true: of jobs that must not run twice
	maxDeadline      int64           // the longest deadline of any class
	maxOpen          int             // jobs that may be open
	confirmed        bool            // discovery has answered since the start
	shutdownDeadline int64           // when what comes now must be answered; 0: no end is near
	lastNumber       uint64
	cells            []*cell // one where there is no plan of cells; retired ones behind the plan's
	workerTable
	assigner  *cells.Assigner
	jobsByKey map[cellKey]int // open jobs by key and cell, where the plan bounds them

	placement atomic.Pointer[placement]    // nil without cells; any goroutine may read it
	idsInUse  *xsync.Map[string, struct{}] // in use or in recent, with cells: what Accept knows before the core does
}

// New returns a Core, with cells where there is a plan of them. Its parts are set by
// Connect before Start.
func New(s *config.Settings, plan *cells.Plan, seed uint64, clock Clock, set *counters.Set) (*Core, error) {
	c := &Core{
		settings: s, clock: clock, counters: set, seed: seed,
		inbox: make(chan event, 1024), stopped: make(chan struct{}),
		jobs: map[uint64]*job{}, open: map[string]*job{}, recentIDs: map[string]bool{},
		workerTable: newWorkerTable(), jobsByKey: map[cellKey]int{},
		idsInUse: xsync.NewMap[string, struct{}](),
	}
	for _, k := range s.Module.Classes {
		c.maxDeadline = max(c.maxDeadline, k.Deadline)
	}
	var err error
	if plan == nil {
		var only *cell
		only, err = c.newCell("", s.Module.Tenants)
		c.cells = []*cell{only}
	} else {
		err = c.initCells(plan)
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Connect sets what the core acts through, and how many jobs a front can hold
// open; more are refused at once.
func (c *Core) Connect(n Workers, m EndpointWatch, most int) {
	c.nodes, c.machines, c.maxOpen = n, m, c.limitOpen(most)
	if s := c.placement.Load(); s != nil {
		c.placement.Store(newPlacement(s.layout, c.maxOpen))
	}
}

// SetMaxOpen changes how many jobs a front can hold open.
func (c *Core) SetMaxOpen(most int) { c.post(maxOpenChanged{most}) }

type maxOpenChanged struct{ maxOpen int }

func (e maxOpenChanged) apply(c *Core) {
	c.maxOpen = c.limitOpen(e.maxOpen) // cells keep their bounds: they are parts of the whole
}

// limitOpen is how many jobs may be open where a front can hold so many.
func (c *Core) limitOpen(most int) int {
	if s := c.settings.MaxOpen; s > 0 {
		return min(most, s)
	}
	return most
}

// ConnectPeers sets through whom the module's messages go. It is called before Start, and
// only where the settings allow messages.
func (c *Core) ConnectPeers(p Peers) { c.peers = p }

// Start begins with the machine list as last known and starts the core's
// goroutine, which ends after Stop.
func (c *Core) Start(known []foxlift.Worker) {
	endpointsUpdated{kind: foxlift.EndpointsCached, workers: known}.apply(c)
	c.dispatch()
	c.updateReady()
	go c.run()
}

func (c *Core) run() {
	for {
		select {
		case e := <-c.inbox:
			e.apply(c)
		case <-c.stopped:
			return
		}
		// What has come in meanwhile goes into the same step.
		for more := len(c.inbox); more > 0; more-- {
			(<-c.inbox).apply(c)
		}
		c.dispatch()
		c.updateReady()
	}
}

// Stop ends the core's goroutine.
func (c *Core) Stop() { c.stopOnce.Do(func() { close(c.stopped) }) }

// post hands an event to the core's goroutine.
func (c *Core) post(e event) {
	select {
	case c.inbox <- e:
	case <-c.stopped:
	}
}

// after posts an event when a wait of its own is over.
func (c *Core) after(wait int64, e event) *time.Timer {
	return time.AfterFunc(time.Duration(wait), func() { c.post(e) })
}
