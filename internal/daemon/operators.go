package daemon

import (
	"net"
	"sync/atomic"

	"github.com/vatu-meals/foxlift/internal/admin"
	"github.com/vatu-meals/foxlift/internal/control"
	"github.com/vatu-meals/foxlift/internal/memory"
	"github.com/vatu-meals/foxlift/internal/metrics"
	"github.com/vatu-meals/foxlift/internal/platform"
)

// operatorServers are the servers for operators.
type operatorServers struct {
	admin   *admin.Server                  // nil if no operators' address is configured
	control atomic.Pointer[control.Server] // nil while the control socket is not served
}

// stop stops both servers.
func (a *operatorServers) stop() {
	if server := a.control.Load(); server != nil {
		server.Stop()
	}
	if a.admin != nil {
		a.admin.Stop()
	}
}

// listenAdmin starts the server on the operators' address, if one is configured.
func (d *Daemon) listenAdmin() (err error) {
	if d.Config.Admin == "" {
		return nil
	}
	metricsHandler := metrics.Handler(d.Config.Settings.ClassNames(), d.Counters, d.Core, memory.ReadUsage)
	connections := platform.AdminConnections(d.Config)
	d.servers.admin, err = admin.Listen(d.lifecycle.drained, d.Config.Admin, connections, d, metricsHandler, d.log)
	return err
}

// startControl starts the server on the control socket, if the operator's file names one.
func (d *Daemon) startControl() error {
	path := d.operator.settings.ControlSocket
	if path == "" {
		return nil
	}
	server := &control.Server{
		Core:     d.Core,
		Settings: d.Config.Settings,
		Counters: d.Counters,
		Name:     d.Config.Name,
		Version:  d.options.Version,
	}
	if err := server.Start(d.lifecycle.drained, path); err != nil {
		return err
	}
	d.servers.control.Store(server)
	return nil
}

// AdminAddr returns the operators' address, or nil if none is configured.
func (d *Daemon) AdminAddr() net.Addr {
	if d.servers.admin == nil {
		return nil
	}
	return d.servers.admin.Addr()
}

// Ready implements admin.Scheduler. A successor serves clients before it reports that it is ready: from then
// on the platform may stop the predecessor.
func (d *Daemon) Ready() bool {
	return d.lifecycle.serving.Load() && d.takeover.predecessorMayExit.Load() && d.platform.Ready()
}

// Quiesce implements admin.Scheduler.
func (d *Daemon) Quiesce() { d.platform.Quiesce() }

// Resume implements admin.Scheduler.
func (d *Daemon) Resume() { d.platform.Resume() }
