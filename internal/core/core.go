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

// Limits are the times that a claim has.
type AttemptLimits struct {
	Remaining   time.Duration // the submitter waits so long
	WriteWithin time.Duration // the last byte must be written by then, or never; 0: no such limit
}

// Nodes reaches the execute nodes. Its methods are called on the core's
// goroutine and must not block.
type Workers interface {
	// Send starts a claim. It calls report with what happens, from any
	// goroutine, the last time with Ended set. withdraw ends the claim early
	// by closing its connection.
	Send(node string, job *Job, limits AttemptLimits, report func(Report)) (withdraw func())
	// CloseIdle closes the idle connections to a node.
	CloseIdle(node string)
	// Probe asks a node for a sign of life and calls report once.
	HealthCheck(node string, report func(Report))
}

// EndpointWatch is the watch on discovery's list.
type EndpointWatch interface {
	// Watch starts the watch, or does nothing where there is one. What it learns comes
	// back through Core.UpdateEndpoints, each failure as EndpointsPollFailed; it goes on by itself.
	Watch()
}

// Peers reaches the other schedulers.
type Peers interface {
	// Tell sends a message to one of them by its number, or to all with -1. It is called
	// on the core's goroutine and must not block; the message may be lost.
	Send(to int, data []byte)
}

// A Report is what a claim or a probe has to tell.
type Report struct {
	Progress bool // the job makes progress (neither Progress nor Ended: it started)
	Ended    bool
	Code     foxlift.Code // how it ended
	Result   []byte       // of a served job
	HasLoad  bool
	Load     [foxlift.MaxGauges]float64
}

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

// Accept brings a job. It is answered once, through its Client: where its cell
// has no room, at once and on the caller's goroutine, so that a flood of one cell
// does not even stand in the way of the others' events.
func (c *Core) Accept(j *Job) {
	if s := c.placement.Load(); s != nil {
		// An id that is in use first: to refuse it would promise that another try is
		// harmless, while the job that has it runs.
		if _, there := c.idsInUse.LoadOrStore(j.ID, struct{}{}); there {
			c.counters.Add("jobs.rejected")
			j.Client.Answer(Answer{Verdict: Rejected, Reason: repeatedID})
			return
		}
		if !s.reserve(c, j) {
			c.idsInUse.Delete(j.ID)
			c.counters.Add("jobs.taken")
			c.countShed(j)
			c.counters.Add("jobs.cell_full")
			j.Client.Answer(Answer{Verdict: Shed, RetryAfter: c.shedRetryAfter()})
			return
		}
	}
	c.post(jobSubmitted{j})
}

// Left says that a job's submitter has gone away. The answer still comes.
func (c *Core) ClientDisconnected(j *Job) { c.post(clientLeft{j}) }

// End says that the scheduler ends, and how long it has for what still comes in.
func (c *Core) BeginShutdown(left time.Duration) { c.post(shutdownBegun{c.clock.Now() + int64(left)}) }

type shutdownBegun struct{ deadline int64 }

func (e shutdownBegun) apply(c *Core) { c.shutdownDeadline = e.deadline }

// Heard brings a message from another scheduler.
func (c *Core) ReceiveGossip(from int, data []byte) { c.post(gossipReceived{from, data}) }

type gossipReceived struct {
	from int
	data []byte
}

func (e gossipReceived) apply(c *Core) {
	if c.placement.Load() == nil { // a cell's module knows of no peers
		c.cells[0].notify(foxlift.Event{Kind: foxlift.EventMessage, From: e.from, Data: e.data})
	}
}

// UpdateEndpoints brings news of the machine list, as discovery has answered it.
func (c *Core) UpdateEndpoints(kind foxlift.EndpointUpdate, entries []foxlift.Worker) {
	c.post(endpointsUpdated{kind: kind, workers: entries})
}

// ConfirmEndpoints says that discovery has answered and that nothing has changed.
func (c *Core) ConfirmEndpoints() { c.post(endpointsUpdated{kind: foxlift.EndpointsConfirmed}) }

// ChangeDiscovery says that another discovery is to be asked from now on.
func (c *Core) ChangeDiscovery() { c.post(endpointsUpdated{kind: foxlift.DiscoveryChanged}) }

// RecordPollFailure says that a call to discovery has failed, and what that tells of it.
func (c *Core) RecordPollFailure(failure foxlift.PollFailure) {
	c.post(endpointsUpdated{kind: foxlift.EndpointsPollFailed, failure: failure})
}

// Ready reports whether jobs can be taken: the list has an active machine and can be trusted.
func (c *Core) Ready() bool { return c.ready.Load() }

// Listed reports whether the list has an active machine, however old it is.
func (c *Core) HasWorkers() bool { return c.hasWorkers.Load() }

// endpointsUpdated is news of the machine list.
type endpointsUpdated struct {
	kind    foxlift.EndpointUpdate
	failure foxlift.PollFailure
	workers []foxlift.Worker
}

func (e endpointsUpdated) apply(c *Core) {
	switch e.kind {
	case foxlift.EndpointsPollFailed:
		c.counters.Add("machines.failed")
		c.notifyCells(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: e.kind, PollFailure: e.failure})
		return // the old list remains
	case foxlift.EndpointsConfirmed:
		c.recordConfirmation()
		return
	case foxlift.DiscoveryChanged:
		c.notifyCells(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: e.kind})
		return
	}
	c.counters.Add("machines.told")
	if e.kind != foxlift.EndpointsCached {
		c.recordConfirmation()
	}
	c.update(e.kind, e.workers)
	if c.placement.Load() == nil {
		c.cells[0].notify(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: e.kind, Workers: c.withExternalSlots(e.workers)})
	} else {
		c.distribute(e.kind, e.workers)
		c.reassignAll()
	}
	c.prune()
}

// recordConfirmation tells each module that the list is up to date.
func (c *Core) recordConfirmation() {
	c.confirmed = true
	c.notifyCells(foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsConfirmed})
}

// notifyCells keeps an event for the next step of each cell's module.
func (c *Core) notifyCells(e foxlift.Event) {
	for _, cl := range c.cells {
		cl.notify(e)
	}
}

// updateReady notes whether jobs can be taken: there is a live machine, and the list that says so holds.
func (c *Core) updateReady() {
	c.hasWorkers.Store(c.liveCount > 0)
	c.ready.Store(c.liveCount > 0 && (c.confirmed || c.cells[0].module.EndpointsUsable()))
}
