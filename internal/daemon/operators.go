package daemon

import (
	"context"
	"net"

	"github.com/vatu-meals/foxlift/internal/admin"
	"github.com/vatu-meals/foxlift/internal/control"
	"github.com/vatu-meals/foxlift/internal/metrics"
	"github.com/vatu-meals/foxlift/internal/platform"
)

// startControl begins to serve the control socket, where the operator's file has one.
func (d *Daemon) startControl() error {
	if d.operator.ControlSocket == "" {
		return nil
	}
	server := &control.Server{
		Core: d.Core, Settings: d.Config.Settings, Counters: d.Counters, Name: d.Config.Name, Version: d.options.Version,
	}
	if err := server.Start(context.Background(), d.operator.ControlSocket); err != nil {
		return err
	}
	d.control.Store(server)
	return nil
}

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
	connections := platform.AdminConnections(d.Config)
	d.admin, err = admin.Listen(context.Background(), d.Config.Admin, connections, d, figures, d.log)
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
