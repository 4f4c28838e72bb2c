// Package daemon puts a scheduler together: configuration, core, the platform's side
// and, where the operator's file asks for them, cells and the control socket.
package daemon

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/admin"
	"github.com/vatu-meals/foxlift/internal/checkpoint"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/control"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/platform"
	"github.com/vatu-meals/foxlift/internal/upgrade"
)

// Options are what a scheduler is started with besides its configuration.
type Options struct {
	Getenv   func(string) string // where the LB_ variables are
	Operator string              // path of the operator's file; "": none
	Log      *zap.Logger
	Version  string

	// LimitMemory is told of how many bytes the process may use, at the start and whenever that
	// changes, as another process of the scheduler comes or goes; nil: nobody is told.
	LimitMemory func(bytes int64)
}

// A Daemon is a running scheduler.
type Daemon struct {
	Config   *config.Scheduler
	Core     *core.Core
	Counters *counters.Set

	options      Options
	operator     *config.Operator
	operatorText []byte // of the operator's file
	platform     *platform.Platform
	control      atomic.Pointer[control.Server]
	admin        *admin.Server
	log          *zap.Logger

	checkpointWriter   *checkpoint.Writer    // nil where the machine list is not kept
	checkpointDone     chan struct{}         // closed once the list was kept for the last time
	takeoverLock       *upgrade.TakeoverLock // nil where no other process can take over
	serving            atomic.Bool           // submitters are served,
	predecessorDrained atomic.Bool           // and no other process has jobs that its end would cost
	startedAt          time.Time             // when this process was,
	listeningSince     time.Time             // and when it began to listen
	failures           chan error            // holds one: why the scheduler cannot serve, after the start
	shutdown           chan struct{}         // closed at the end,
	shutdownOnce       sync.Once             // once
	drained            chan struct{}         // closed when all is answered,
	drainedOnce        sync.Once             // once
	startMu            sync.Mutex            // of the steps from starting to serving, and to the end
}

// Start starts a scheduler. It serves when Start returns, unless it takes over from another process:
// then it serves once it is ready.
func Start(o Options) (*Daemon, error) {
	cfg, op, text, err := Read(o)
	if err != nil {
		return nil, err
	}
	return start(o, cfg, op, text)
}

// StartWith starts a scheduler whose configuration has been read.
func StartWith(o Options, cfg *config.Scheduler, op *config.Operator) (*Daemon, error) {
	return start(o, cfg, op, nil)
}

func start(o Options, cfg *config.Scheduler, op *config.Operator, text []byte) (*Daemon, error) {
	d := &Daemon{
		Config: cfg, Counters: &counters.Set{}, options: o, operator: op, operatorText: text,
		startedAt: time.Now(), log: o.Log.With(zap.String("name", cfg.Name)), failures: make(chan error, 1), shutdown: make(chan struct{}), drained: make(chan struct{}),
	}
	clock := core.NewClock()
	d.loadCheckpoint()
	var err error
	d.Core, err = core.New(core.Config{
		Settings: cfg.Settings, Plan: op.Cells, Seed: cfg.Seed, Clock: clock, Counters: d.Counters,
	})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if d.platform, err = platform.New(cfg, d.Core, clock, d.Counters, o.Log); err != nil {
		return nil, err
	}
	if err := d.startServing(); err != nil {
		d.stopOperatorEndpoints()
		return nil, err
	}
	if d.checkpointWriter != nil {
		d.checkpointDone = make(chan struct{})
		go d.writeCheckpoints()
	}
	return d, nil
}

// begin lets operators in and serves, at once or, where another process still serves, later.
func (d *Daemon) startServing() error {
	if err := d.listenAdmin(); err != nil {
		return err
	}
	if err := d.acquireTakeoverLock(); err != nil {
		return err
	}
	if d.takeoverLock != nil && d.takeoverLock.IsSuccessor() {
		go d.runSuccessor()
		return nil
	}
	if err := d.startControl(); err != nil {
		return err
	}
	d.divideLimits(singleProcess)
	if err := d.serve(); err != nil {
		return err
	}
	if d.takeoverLock != nil {
		go d.watchOtherProcess()
	}
	return nil
}

// Failed brings the error, if any, for which the scheduler cannot serve after its start.
func (d *Daemon) Failed() <-chan error { return d.failures }

// Addr returns the address on which submitters are served, once they are.
func (d *Daemon) Addr() net.Addr { return d.platform.Addr() }

// Kill ends the scheduler at once, as a kill of its process would for its peers.
func (d *Daemon) Kill() { d.finish(d.platform.Kill) }

// isShuttingDown reports whether the end has begun.
func (d *Daemon) isShuttingDown() bool {
	select {
	case <-d.shutdown:
		return true
	default:
		return false
	}
}

// finish ends the platform by stop, and then what operators and other processes see of this one. A
// start that is under way comes to its end before, or does not begin to serve any more.
func (d *Daemon) finish(stop func()) {
	d.shutdownOnce.Do(func() { close(d.shutdown) })
	d.startMu.Lock()
	defer d.startMu.Unlock()
	stop()
	d.drainedOnce.Do(func() { close(d.drained) })
	d.awaitCheckpoint()
	d.stopOperatorEndpoints()
	if d.takeoverLock != nil {
		d.takeoverLock.Release()
	}
}
