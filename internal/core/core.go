// Package core runs the decision module (foxlift.Dispatcher) as a live scheduler.
//
// One goroutine, the event loop started by Core.Start, owns all mutable state: the dispatchers (one, or one for
// each cell), the job table with the attempts, the worker table, the cells and the shutdown deadline. Other
// goroutines post events to it; a call that posts an event blocks while the event queue is full and has no
// effect after Stop. Goroutines share only the status (atomic values), the placement (immutable but for its
// admission, which a mutex guards, and replaced as a whole), the ids in use (a concurrent map), the counters and
// the atomic fields of jobs.
//
// A job passes through six stages, each in its own file:
//
//	accept    validates a submitted job and adds it to the job table
//	admit     sheds the job if there is no capacity or time for it, else assigns it to a cell's dispatcher
//	dispatch  runs a step of the dispatchers and executes the actions that they return
//	send      starts an attempt to run the job on a worker
//	relay     passes workers' reports to the dispatcher and the first result to the client
//	record    counts answers and outcomes and removes finished jobs from the table
//
// The package is independent of protocols: the platform submits jobs as Job values, which are answered through
// their Client, and workers, discovery and peers are reached through the interfaces of Environment. It makes no
// scheduling decisions either: it passes events to the dispatchers and executes their actions.
package core

import (
	"sync/atomic"

	"github.com/puzpuzpuz/xsync/v4"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// A Config configures a Core.
type Config struct {
	Settings *config.Settings
	Plan     *cells.Plan // nil: without cells, one dispatcher for the whole fleet
	Seed     uint64      // seed of the dispatchers' random choices
	Clock    Clock
	Counters *counters.Set
}

// A Core is one scheduler. It is created by New and started by Start.
type Core struct {
	settings *config.Settings
	clock    Clock
	counters *counters.Set
	env      Environment // set by Start

	// Safe for use by any goroutine.
	loop      eventLoop
	status    status
	placement atomic.Pointer[placement]    // nil without cells
	idsInUse  *xsync.Map[string, struct{}] // with cells: ids that Accept rejects without the event loop

	// Owned by the event loop's goroutine.
	jobs        jobTable
	workers     workerTable
	cells       cellSet
	shutdown    shutdownState
	predecessor predecessorIDs
	maxOpen     int  // maximum number of open jobs
	confirmed   bool // discovery has answered since the start of the process
}

// New returns a Core that is not started. Events that are posted before Start are handled after it. The error is
// that of foxlift.New for the settings.
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

// Start applies the cached endpoint list of the environment and starts the event loop, which runs until Stop. It
// must be called once. After Stop it does not start the loop.
func (c *Core) Start(env Environment) {
	c.setEnvironment(env)
	endpointsUpdated{kind: foxlift.EndpointsCached, workers: env.CachedEndpoints}.apply(c)
	c.dispatch()
	c.updateReady()
	c.loop.start(c.runEventLoop)
}

// setEnvironment sets the environment and the bounds on open jobs that depend on it.
func (c *Core) setEnvironment(env Environment) {
	c.env = env
	c.maxOpen = c.effectiveMaxOpen(env.MaxOpen)
	if p := c.placement.Load(); p != nil {
		c.placement.Store(newPlacement(p.layout, c.maxOpen))
	}
}

// runEventLoop applies events and steps the dispatchers until the loop is stopped.
func (c *Core) runEventLoop() {
	for {
		select {
		case e := <-c.loop.inbox:
			e.apply(c)
		case <-c.loop.stopped:
			return
		}
		// Events that have arrived in the meantime are handled in the same step.
		for pending := len(c.loop.inbox); pending > 0; pending-- {
			(<-c.loop.inbox).apply(c)
		}
		c.dispatch()
		c.updateReady()
	}
}

// Stop ends the event loop and waits for its goroutine. Events that are waiting are dropped, and open jobs are
// not answered. It must not be called on that goroutine. Further calls do nothing.
func (c *Core) Stop() { c.loop.stop() }

// SetMaxOpen changes the number of jobs that the platform can hold open. The maximum of the settings still
// applies, open jobs beyond the new number stay open, and the bounds of the cells stay as they are until Replan.
func (c *Core) SetMaxOpen(maxOpen int) { c.loop.post(maxOpenChanged{maxOpen}) }

type maxOpenChanged struct{ maxOpen int }

func (e maxOpenChanged) apply(c *Core) {
	c.maxOpen = c.effectiveMaxOpen(e.maxOpen) // the cells' bounds stay parts of the maximum at Start or Replan
}

// effectiveMaxOpen returns the maximum number of open jobs: maxOpen, which the platform can hold, or the maximum
// of the settings if that is set and smaller.
func (c *Core) effectiveMaxOpen(maxOpen int) int {
	if configured := c.settings.MaxOpen; configured > 0 {
		return min(maxOpen, configured)
	}
	return maxOpen
}
