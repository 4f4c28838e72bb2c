// Package daemon puts a scheduler together: configuration, core, the platform's side
// and, where the operator's file asks for them, cells and the control socket.
package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
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
	"github.com/vatu-meals/foxlift/internal/metrics"
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

// Read reads and checks all of the configuration, and starts nothing.
func Read(o Options) (*config.Scheduler, *config.Operator, []byte, error) {
	cfg, err := config.Load(o.Getenv)
	if err != nil {
		return nil, nil, nil, err
	}
	if err := platform.ValidateCachedEndpoints(cfg.Known); err != nil {
		return nil, nil, nil, err
	}
	op, text, err := readOperator(o.Operator, cfg.Settings)
	return cfg, op, text, err
}

func readOperator(path string, s *config.Settings) (*config.Operator, []byte, error) {
	if path == "" {
		return &config.Operator{}, nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, config.Faults{{File: path, Text: err.Error()}}
	}
	op, err := config.ParseOperator(path, text, s)
	return op, text, err
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
	if d.Core, err = core.New(cfg.Settings, op.Cells, cfg.Seed, clock, d.Counters); err != nil {
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

// startControl begins to serve the control socket, where the operator's file has one.
func (d *Daemon) startControl() error {
	if d.operator.ControlSocket == "" {
		return nil
	}
	server := &control.Server{
		Core: d.Core, Settings: d.Config.Settings, Counters: d.Counters, Name: d.Config.Name, Version: d.options.Version,
	}
	if err := server.Start(d.operator.ControlSocket); err != nil {
		return err
	}
	d.control.Store(server)
	return nil
}

// Failed brings the error, if any, for which the scheduler cannot serve after its start.
func (d *Daemon) Failed() <-chan error { return d.failures }

// Ready implements admin.Scheduler. A process that takes over from another serves before it says
// yes: the yes tells the platform that the other may be ended.
func (d *Daemon) Ready() bool {
	return d.serving.Load() && d.predecessorDrained.Load() && d.platform.Ready()
}

// Quiesce implements admin.Scheduler.
func (d *Daemon) Quiesce() { d.platform.Quiesce() }

// Resume implements admin.Scheduler.
func (d *Daemon) Resume() { d.platform.Resume() }

// listenAdmin begins to serve the operators' address, where there is one.
func (d *Daemon) listenAdmin() (err error) {
	if d.Config.Admin == "" {
		return nil
	}
	figures := metrics.Handler(d.Config.Settings.ClassNames(), d.Counters, d.Core)
	d.admin, err = admin.Listen(d.Config.Admin, platform.AdminConnections(d.Config), d, figures, d.log)
	return err
}

// stopOperatorEndpoints ends what operators reach the scheduler by.
func (d *Daemon) stopOperatorEndpoints() {
	if control := d.control.Load(); control != nil {
		control.Stop()
	}
	if d.admin != nil {
		d.admin.Stop()
	}
}

// AdminAddr returns the operators' address; nil where there is none.
func (d *Daemon) AdminAddr() net.Addr {
	if d.admin == nil {
		return nil
	}
	return d.admin.Addr()
}

// Addr returns the address on which submitters are served, once they are.
func (d *Daemon) Addr() net.Addr { return d.platform.Addr() }

const replanTimeout = 5 * time.Second // for the core to take over another plan of cells

// Reload reads the configuration again. With an error nothing has changed.
func (d *Daemon) Reload() error {
	cfg, err := config.Reload(d.options.Getenv)
	if err != nil {
		return err
	}
	op, text, err := readOperator(d.options.Operator, d.Config.Settings)
	if err != nil {
		return err
	}
	if err := d.checkReloadable(op); err != nil {
		return err
	}
	if err := platform.ValidateCachedEndpoints(cfg.Known); err != nil {
		return err
	}
	// Only what is new is carried out: a reload for another reason leaves tenants
	// where the operators have moved them.
	if op.Cells != nil && !bytes.Equal(text, d.operatorText) {
		ctx, cancel := context.WithTimeout(context.Background(), replanTimeout)
		defer cancel()
		m, err := d.Core.Replan(ctx, op.Cells)
		if err != nil {
			return fmt.Errorf("cells: %w", err)
		}
		d.options.Log.Info("the map of cells has changed", zap.Int("tenants", m.Tenants), zap.Int("held", m.Queued), zap.Int("out", m.InFlight))
	}
	if err := d.platform.Reload(cfg); err != nil {
		return err
	}
	d.operator, d.operatorText = op, text
	d.Config.Discovery = cfg.Discovery
	return nil
}

// checkReloadable checks what a reload cannot change.
func (d *Daemon) checkReloadable(op *config.Operator) error {
	switch {
	case op.ControlSocket != d.operator.ControlSocket:
		return errors.New("control.socket: it holds until the scheduler is started again")
	case op.EndpointCheckpoint != d.operator.EndpointCheckpoint:
		return errors.New("list.checkpoint: it holds until the scheduler is started again")
	case (op.Cells == nil) != (d.operator.Cells == nil):
		return errors.New("cells: a scheduler goes from none to some, or back, when it is started again")
	}
	return nil
}

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
