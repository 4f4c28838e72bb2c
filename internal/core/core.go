// Package core runs the decision module (foxlift.Dispatcher) as a live scheduler.
//
// One goroutine, the event loop that Core.Start begins, owns all mutable state: the dispatchers (one, or
// one for each cell), the job table with the attempts, the worker table, the cells and the shutdown
// deadline. Everything else talks to it by events. Shared with other goroutines are only the status
// (atomic values), the placement (immutable, replaced whole) and the ids in use (a concurrent map).
//
// A job passes six stages, each in a file of its own:
//
//	accept    a job that a client sent is validated and entered in the job table
//	admit     it is shed where there is no room or no time, else assigned to its cell's dispatcher
//	dispatch  the dispatchers take a step, and the actions that they return are executed
//	send      an attempt at running the job is started on a worker
//	relay     what workers report goes to the dispatcher, the first result to the client
//	record    answers and outcomes are counted, and a job that is done leaves the table
//
// The package knows no protocol: the platform brings jobs as Job values, which are answered through
// their Client; workers, discovery and peers are reached through the interfaces of Environment. It
// decides nothing either: it reports to the dispatchers what happens and executes their actions.
package core

import (
	"sync/atomic"

	"github.com/puzpuzpuz/xsync/v4"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// A Config is what a Core is made from.
type Config struct {
	Settings *config.Settings
	Plan     *cells.Plan // nil: no cells, one dispatcher has the whole fleet
	Seed     uint64      // of the dispatchers' random choices
	Clock    Clock
	Counters *counters.Set
}

// A Core is one scheduler. Create it with New and begin with Start.
type Core struct {
	settings *config.Settings
	clock    Clock
	counters *counters.Set
	env      Environment // set by Start

	// Used by any goroutine.
	loop      eventLoop
	status    status
	placement atomic.Pointer[placement]    // nil without cells
	idsInUse  *xsync.Map[string, struct{}] // with cells: what Accept knows before the event loop does

	// Owned by the event loop's goroutine.
	jobs      jobTable
	workers   workerTable
	cells     cellSet
	shutdown  shutdownState
	maxOpen   int  // jobs that may be open
	confirmed bool // discovery has answered since the start
}

// New returns a Core that does nothing until Start. Events that come before wait for it.
func New(cfg Config) (*Core, error) {
	c := &Core{
		settings: cfg.Settings, clock: cfg.Clock, counters: cfg.Counters,
		loop:     newEventLoop(),
		idsInUse: xsync.NewMap[string, struct{}](),
		jobs:     newJobTable(cfg.Settings.Module.Classes),
		workers:  newWorkerTable(),
		cells:    newCellSet(cfg.Seed),
	}
	if cfg.Plan != nil {
		if err := c.initCells(cfg.Plan); err != nil {
			return nil, err
		}
		return c, nil
	}
	singleCell, err := c.newCell("", cfg.Settings.Module.Tenants)
	if err != nil {
		return nil, err
	}
	c.cells.all = []*cell{singleCell}
	return c, nil
}

// Start begins with the endpoint list as last known and starts the event loop, which ends with Stop.
func (c *Core) Start(env Environment) {
	c.setEnvironment(env)
	endpointsUpdated{kind: foxlift.EndpointsCached, workers: env.CachedEndpoints}.apply(c)
	c.dispatch()
	c.updateReady()
	c.loop.start(c.runEventLoop)
}

// connect sets what the core acts through.
func (c *Core) setEnvironment(env Environment) {
	c.env = env
	c.maxOpen = c.effectiveMaxOpen(env.MaxOpen)
	if p := c.placement.Load(); p != nil {
		c.placement.Store(newPlacement(p.layout, c.maxOpen))
	}
}

// run is the event loop.
func (c *Core) runEventLoop() {
	for {
		select {
		case e := <-c.loop.inbox:
			e.apply(c)
		case <-c.loop.stopped:
			return
		}
		// What has come in meanwhile goes into the same step.
		for pending := len(c.loop.inbox); pending > 0; pending-- {
			(<-c.loop.inbox).apply(c)
		}
		c.dispatch()
		c.updateReady()
	}
}

// Stop ends the event loop and waits for its goroutine. It is not called from that goroutine.
func (c *Core) Stop() { c.loop.stop() }

// SetMaxOpen changes how many jobs the platform can hold open.
func (c *Core) SetMaxOpen(maxOpen int) { c.loop.post(maxOpenChanged{maxOpen}) }

type maxOpenChanged struct{ maxOpen int }

func (e maxOpenChanged) apply(c *Core) {
	c.maxOpen = c.effectiveMaxOpen(e.maxOpen) // cells keep their bounds: they are parts of the whole
}

// limitOpen returns how many jobs may be open where the platform can hold maxOpen.
func (c *Core) effectiveMaxOpen(maxOpen int) int {
	if configured := c.settings.MaxOpen; configured > 0 {
		return min(maxOpen, configured)
	}
	return maxOpen
}
