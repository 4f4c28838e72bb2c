package platform

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/logging"
	"github.com/vatu-meals/foxlift/internal/upgrade"
)

// The division of the file descriptors: some are spare, for discovery, the listener and the runtime. Clients and
// workers get half of the rest each, so that every open job can also be in flight.
const (
	spareDescriptorsDivisor = 16 // 1/16 of all descriptors is spare
	minSpareDescriptors     = 16
	adminConnsDivisor       = 32 // 1/32 of all descriptors is for connections to the operators' address
	minAdminConns           = 8
)

// AdminConnections returns the maximum number of connections to the operators' address; 0 if it is not configured.
func AdminConnections(cfg *config.Scheduler) int {
	if cfg.Admin == "" {
		return 0
	}
	return max(minAdminConns, cfg.MaxDescriptors/adminConnsDivisor)
}

// A Platform is a scheduler's side of the platform's protocol. It owns the client connections, the worker pool, the
// endpoint watch and the socket to peers.
type Platform struct {
	clients   *clientServer
	endpoints *endpointWatch
	pool      *workerPool
	peers     *peers // nil if gossip is not configured
	core      *core.Core
	settings  *config.Settings

	connsPerSide  int              // descriptors for clients, and as many for workers; divided among processes
	listenAddr    string           // address for clients
	shareAddr     bool             // another process may listen on the address at the same time
	cachedWorkers []foxlift.Worker // workers of the cached endpoint list, saved before the start
	watchStarted  bool             // StartWatch was called
	log           *zap.Logger
}

// Start returns a platform that listens and serves clients. It validates the cached endpoint list before it listens.
func Start(
	cfg *config.Scheduler, jobCore *core.Core, clock core.Clock, counterSet *counters.Set, log *zap.Logger,
) (*Platform, error) {
	p, err := New(cfg, jobCore, clock, counterSet, log)
	if err != nil {
		return nil, err
	}
	if err := p.Listen(); err != nil {
		return nil, err
	}
	p.StartWatch()
	p.Accept()
	return p, nil
}

// New returns a platform that is not started. Listen, StartWatch and Accept start its parts, in this order, or with
// StartWatch first in a process that takes over from another. New validates the cached endpoint list.
func New(
	cfg *config.Scheduler, jobCore *core.Core, clock core.Clock, counterSet *counters.Set, log *zap.Logger,
) (*Platform, error) {
	log = logging.RateLimited(log) // clients and workers can cause any number of the entries from here on
	// Only closeOutbound ends the watch, when the platform shuts down.
	endpoints := newEndpointWatch(context.Background(), cfg.Discovery, cfg.Settings, jobCore, log)
	endpoints.table.coreNow = clock.Now
	workers, err := endpoints.loadCached(cfg.CachedEndpoints)
	if err != nil {
		return nil, err
	}
	connsPerSide := (cfg.MaxDescriptors - max(minSpareDescriptors, cfg.MaxDescriptors/spareDescriptorsDivisor) -
		AdminConnections(cfg)) / 2
	memoryLimit := int64(cfg.MemoryMB) << 20
	pool := newWorkerPool(endpoints, cfg.Settings, counterSet, log, connsPerSide, memoryLimit)
	endpoints.table.onWorkerState = pool.inFlight.scheduleAborts
	pool.endpointsFresh = jobCore.EndpointsFresh
	p := &Platform{
		clients:       newClientServer(jobCore, clock, counterSet, log, nil, connsPerSide),
		endpoints:     endpoints,
		pool:          pool,
		core:          jobCore,
		settings:      cfg.Settings,
		connsPerSide:  connsPerSide,
		listenAddr:    cfg.Listen,
		shareAddr:     cfg.Admin != "",
		cachedWorkers: workers,
		log:           log,
	}
	if cfg.Peers.Listen != "" {
		if p.peers, err = newPeers(
			cfg.Peers, cfg.Settings.Module.Index, clock, counterSet, jobCore.ReceiveGossip,
		); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Listen listens on the address for clients and, if gossip is configured, on the one for peers. The error names the
// configuration key of the address.
func (p *Platform) Listen() error {
	listener, err := p.openListener()
	if err != nil {
		return fmt.Errorf("listen (LB_LISTEN): %w", err)
	}
	if p.peers != nil {
		if err := p.peers.open(p.shareAddr); err != nil {
			listener.Close()
			return err
		}
	}
	p.clients.setListener(listener)
	return nil
}

// openListener listens on the address for clients. If shareAddr is set, another process may listen on it too.
func (p *Platform) openListener() (*net.TCPListener, error) {
	if p.shareAddr {
		return upgrade.Listen(p.listenAddr)
	}
	addr, err := net.ResolveTCPAddr("tcp", p.listenAddr)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", addr)
}

// StartWatch starts the endpoint watch, and the core with the cached endpoint list.
func (p *Platform) StartWatch() {
	p.watchStarted = true
	p.endpoints.Watch() // its initial delay spreads the requests of schedulers that start at the same time
	env := core.Environment{
		Workers: p.pool, EndpointWatch: p.endpoints, MaxOpen: maxOpenJobs(p.connsPerSide), CachedEndpoints: p.cachedWorkers,
	}
	if p.peers != nil {
		env.Peers = p.peers
	}
	p.core.Start(env)
}

// Accept starts to accept client connections. Listen and StartWatch must be called before it.
func (p *Platform) Accept() { go p.clients.accept() }

// HasSynced reports whether discovery has answered since the start and the core accepts jobs.
func (p *Platform) HasSynced() bool {
	return p.endpoints.hasSynced() && p.core.Ready()
}

// YieldConnections starts (on) or ends (off) closing client connections, so that clients connect to a successor that
// listens on the same address and gets all new connections. Health checks keep succeeding, and requests that arrive
// are served.
func (p *Platform) YieldConnections(on bool) { p.clients.yieldConns(on) }

// DivideDescriptors limits the platform to its share of the descriptors when the given number of processes use them.
func (p *Platform) DivideDescriptors(processes int) {
	p.clients.setBudget(p.connsPerSide / processes)
	p.pool.setBudget(p.connsPerSide / processes)
	p.core.SetMaxOpen(maxOpenJobs(p.connsPerSide / processes))
}

// SetMemoryLimit sets the memory that this process may use, in bytes, and with it the memory for clients' requests.
func (p *Platform) SetMemoryLimit(bytes int64) {
	p.clients.memory.setProcessLimit(bytes)
	p.core.SetMemoryLimit(bytes)
}

// SteerConnections directs new connections and datagrams to this process instead of the predecessor that listens on the
// same addresses.
func (p *Platform) SteerConnections() {
	sockets := []syscall.Conn{p.clients.listener.(syscall.Conn)}
	if p.peers != nil {
		sockets = append(sockets, p.peers.conn)
	}
	for _, socket := range sockets {
		if err := upgrade.SteerToNewest(socket); err != nil {
			// The kernel still gives some of them to the predecessor, until the predecessor closes its sockets.
			p.log.Warn("takeover: cannot direct all new connections and datagrams to this process", zap.Error(err))
		}
	}
}

// Discovery returns the address of the discovery that is polled.
func (p *Platform) Discovery() string { return p.endpoints.address() }

// SetDiscovery changes the address of the discovery that is polled. It must be called before StartWatch, and has no
// effect after Reload.
func (p *Platform) SetDiscovery(address string) { p.endpoints.setAddress(address) }

// Reload applies the discovery address of a reloaded configuration. It validates the cached endpoint list first; if it
// returns an error, nothing has changed.
func (p *Platform) Reload(cfg *config.Scheduler) error {
	if err := ValidateCachedEndpoints(cfg.CachedEndpoints); err != nil {
		return err
	}
	p.endpoints.switchTo(cfg.Discovery)
	return nil
}

// Ready reports whether the scheduler accepts jobs and clients may open new connections.
func (p *Platform) Ready() bool { return p.clients.ready() }

// Quiesce takes the scheduler out of service: health checks are answered with 503, and client connections are closed
// after their current request is answered. Requests that still arrive are served.
func (p *Platform) Quiesce() { p.clients.quiesce() }

// Resume puts the scheduler back into service.
func (p *Platform) Resume() { p.clients.resume() }

// Addr returns the address of the client listener.
func (p *Platform) Addr() net.Addr { return p.clients.listener.Addr() }
