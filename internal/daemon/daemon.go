// Package daemon assembles a scheduler process from its configuration, the core and the platform's network
// side. If the operator's file asks for them, it adds cells, a control socket and a checkpoint of the
// endpoint list.
//
// A Daemon owns these components and the background tasks: taking over from a predecessor process,
// monitoring a second process of the same scheduler, and writing checkpoints. ShutDown and Kill wait a
// limited time for the tasks to finish.
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

// Options are the parameters of a start that are not in the configuration files.
type Options struct {
	Getenv       func(string) string // returns an environment variable such as LB_CONFIG; "" if it is not set
	OperatorPath string              // path of the operator's file; "" for none
	Log          *zap.Logger         // must not be nil
	Version      string              // of the program, as the control API reports it

	// LimitMemory is called with the number of bytes that the process may use: at the start, and whenever
	// the limit changes because another process of the scheduler starts or exits. It may be nil.
	LimitMemory func(bytes int64)
}

// A Daemon is a running scheduler.
type Daemon struct {
	Config   *config.Scheduler // Reload changes only its Discovery
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

// Start reads the configuration and starts a scheduler. When Start returns, the scheduler serves clients,
// unless a predecessor process still runs: then a background task takes over, and errors after the start
// are delivered by Failed.
//
// The scheduler runs until ShutDown or Kill. ctx is the context of the background tasks and must not be
// canceled before.
func Start(ctx context.Context, options Options) (*Daemon, error) {
	configuration, err := ReadConfiguration(options)
	if err != nil {
		return nil, err
	}
	return StartWith(ctx, options, configuration)
}

// StartWith starts a scheduler like Start, with a configuration that has already been read.
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
		d.lifecycle.markDrained() // releases the contexts; no background task has been started
		return nil, err
	}
	return d, nil
}

// start builds the components, starts to serve or to take over, and starts the checkpointer.
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

// buildCore creates the core from the settings and the operator's cell plan.
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

// startServing listens on the operators' address and then serves clients: at once, or, if a predecessor
// process serves, in a background task that takes over from it.
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

// Failed returns the channel that delivers an error after which the scheduler cannot serve: a takeover that
// failed after Start returned. It delivers at most one error and is never closed.
func (d *Daemon) Failed() <-chan error { return d.lifecycle.failures }

// Addr returns the address on which clients are served. It panics before the scheduler listens, which in a
// successor may be after Start has returned.
func (d *Daemon) Addr() net.Addr { return d.platform.Addr() }

// ShutDown stops the scheduler after all accepted jobs have been answered, or at once if it does not serve yet.
// If a successor listens, new connections already go to the successor, so the health check keeps reporting that
// clients are served.
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

// Kill stops the scheduler at once. Its peers see the same as if the process had been killed.
func (d *Daemon) Kill() { d.finish(d.platform.Kill) }

// finish stops the platform with stop, waits for the background tasks, closes the operators' servers and
// releases the takeover lock. If serve is running in a background task, stop runs after it has returned;
// serve is not called any more afterwards.
func (d *Daemon) finish(stop func()) {
	d.lifecycle.finish(stop)
	if !d.lifecycle.awaitTasks(backgroundTasksTimeout) {
		d.log.Warn("shutdown: background tasks did not finish in time, the last checkpoint may be missing")
	}
	d.servers.stop()
	d.takeover.release()
}
