// Package daemon assembles a scheduler from its configuration, the core, the platform's side and, where
// the operator's file asks for them, cells, a control socket and a checkpoint of the endpoint list.
//
// A Daemon owns these parts and the background tasks beside them: taking over from a predecessor,
// watching another process of the same scheduler, and writing checkpoints. ShutDown and Kill wait for
// the tasks.
package daemon

import (
	"context"
	"fmt"
	"net"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/platform"
)

// Options are what a scheduler is started with besides its configuration.
type Options struct {
	Getenv       func(string) string // looks up the LB_ variables
	OperatorPath string              // path of the operator's file; "" if there is none
	Log          *zap.Logger
	Version      string

	// LimitMemory is called with the bytes that the process may use, at the start and whenever that
	// changes because another process of the scheduler starts or exits. It may be nil.
	LimitMemory func(bytes int64)
}

// A Daemon is a running scheduler.
type Daemon struct {
	Config   *config.Scheduler
	Core     *core.Core
	Counters *counters.Set

	options     Options
	operator    operatorFile
	platform    *platform.Platform
	servers     operatorServers
	checkpoints *checkpointer // nil unless the operator's file asks for checkpoints
	takeover    takeover
	lifecycle   *lifecycle
	log         *zap.Logger
}

// Start starts a scheduler. It serves when Start returns, unless it takes over from a predecessor: then
// it serves once it is ready.
//
// The scheduler runs until ShutDown or Kill. ctx is that of its background tasks, and has to last until
// then.
func Start(ctx context.Context, options Options) (*Daemon, error) {
	configuration, err := ReadConfiguration(options)
	if err != nil {
		return nil, err
	}
	return StartWith(ctx, options, configuration)
}

// StartWith starts a scheduler as Start does, with a configuration that has been read.
func StartWith(ctx context.Context, options Options, configuration *Configuration) (*Daemon, error) {
	cfg := configuration.Scheduler
	d := &Daemon{
		Config:    cfg,
		Counters:  &counters.Set{},
		options:   options,
		operator:  configuration.operatorFile(),
		lifecycle: newLifecycle(ctx),
		log:       options.Log.With(zap.String("name", cfg.Name)),
	}
	if err := d.start(); err != nil {
		d.lifecycle.markDrained() // no background task is running
		return nil, err
	}
	return d, nil
}

func (d *Daemon) start() error {
	clock := core.NewClock()
	d.loadCheckpoint()
	if err := d.buildCore(clock); err != nil {
		return err
	}
	var err error
	if d.platform, err = platform.New(d.Config, d.Core, clock, d.Counters, d.options.Log); err != nil {
		return err
	}
	if err := d.startServing(); err != nil {
		d.servers.stop()
		return err
	}
	if d.checkpoints != nil {
		d.lifecycle.startTask(func() { d.checkpoints.run(d.lifecycle.shuttingDown, d.platform) })
	}
	return nil
}

func (d *Daemon) buildCore(clock core.Clock) (err error) {
	d.Core, err = core.New(core.Config{
		Settings: d.Config.Settings,
		Plan:     d.operator.settings.Cells,
		Seed:     d.Config.Seed,
		Clock:    clock,
		Counters: d.Counters,
	})
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// startServing opens the operators' address and serves clients, at once or, if a predecessor serves,
// once that has been taken over from.
func (d *Daemon) startServing() error {
	if err := d.listenAdmin(); err != nil {
		return err
	}
	if err := d.acquireTakeoverLock(); err != nil {
		return err
	}
	if d.takeover.isSuccessor() {
		d.lifecycle.startTask(d.runSuccessor)
		return nil
	}
	if err := d.startControl(); err != nil {
		return err
	}
	d.divideLimits(singleProcess)
	if err := d.serve(); err != nil {
		return err
	}
	if d.takeover.isAvailable() {
		d.lifecycle.startTask(d.watchOtherProcess)
	}
	return nil
}

// Failed delivers the error, if there is one, for which the scheduler cannot serve after its start.
func (d *Daemon) Failed() <-chan error { return d.lifecycle.failures }

// Addr returns the address on which clients are served, once they are.
func (d *Daemon) Addr() net.Addr { return d.platform.Addr() }

// ShutDown ends the scheduler once all accepted jobs are answered. If a successor listens, new
// connections go there already, and the health stays as it is.
func (d *Daemon) ShutDown() {
	d.finish(func() {
		switch {
		case !d.lifecycle.serving.Load():
			d.platform.Kill()
		case d.takeover.successorListening():
			d.log.Info("takeover: successor has taken over")
			d.platform.ShutDownAfterTakeover()
		default:
			d.platform.ShutDown()
		}
	})
}

// Kill ends the scheduler at once, as a kill of its process would for its peers.
func (d *Daemon) Kill() { d.finish(d.platform.Kill) }

// finish ends the platform by stop, then the background tasks, and then what operators and other
// processes see of this one. A start to serve that is under way completes before; none begins after.
func (d *Daemon) finish(stop func()) {
	d.lifecycle.finish(stop)
	if !d.lifecycle.awaitTasks(backgroundTasksTimeout) {
		d.log.Warn("shutdown: background tasks have not finished, the last checkpoint may be missing")
	}
	d.servers.stop()
	d.takeover.release()
}
