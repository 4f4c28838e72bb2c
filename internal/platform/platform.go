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

// How the file descriptors are shared: some are spare, for discovery, the listener and the runtime; the rest is halved
// between clients and workers, so that every job that may be open can also be in flight.
const (
	spareDescriptorsDivisor = 16 // of all descriptors
	minSpareDescriptors     = 16
	adminConnsDivisor       = 32 // for the operators' address, where there is one
	minAdminConns           = 8
)

// AdminConnections is how many connections the operators' address may hold; 0 where there is none.
func AdminConnections(cfg *config.Scheduler) int {
	if cfg.Admin == "" {
		return 0
	}
	return max(minAdminConns, cfg.MaxDescriptors/adminConnsDivisor)
}

// A Platform is a scheduler's side of the platform's protocol: it owns the clients' connections, the workers' pool, the
// endpoint watch and the peers' socket.
type Platform struct {
	clients   *clientServer
	endpoints *endpointWatch
	pool      *workerPool
	peers     *peers // nil where schedulers do not gossip
	core      *core.Core
	settings  *config.Settings

	connsPerSide  int              // descriptors for each side, if no other process shares them
	listenAddr    string           // the clients' address
	shareAddr     bool             // another process may listen there too
	cachedWorkers []foxlift.Worker // the cached list, from before the start
	log           *zap.Logger
}

// Start listens and serves clients. The cached list is checked before listening.
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

// New makes a platform that does nothing yet: Listen, StartWatch and Accept each begin a part of it, in this order or,
// for a process that takes over from another, with StartWatch first. The cached list is checked here.
func New(
	cfg *config.Scheduler, jobCore *core.Core, clock core.Clock, counterSet *counters.Set, log *zap.Logger,
) (*Platform, error) {
	log = logging.RateLimited(log) // clients and workers can cause all that is logged from here on
	// The watch ends by closeOutbound, at the platform's end, and by nothing else.
	endpoints := newEndpointWatch(context.Background(), cfg.Discovery, cfg.Settings, jobCore, log)
	endpoints.table.coreNow = clock.Now
	workers, err := endpoints.loadCached(cfg.CachedEndpoints)
	if err != nil {
		return nil, err
	}
	connsPerSide := (cfg.MaxDescriptors - max(minSpareDescriptors, cfg.MaxDescriptors/spareDescriptorsDivisor) -
		AdminConnections(cfg)) / 2
	pool := newWorkerPool(endpoints, cfg.Settings, counterSet, log, connsPerSide)
	endpoints.table.onWorkerState = pool.inFlight.scheduleAborts
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

// Listen listens on the clients' address, and on the peers' where there are any. The error names the key of the
// address.
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

// StartWatch starts the endpoint watch, and the core with the cached list.
func (p *Platform) StartWatch() {
	p.endpoints.Watch() // its initial delay spreads the calls of schedulers that start together
	env := core.Environment{
		Workers: p.pool, EndpointWatch: p.endpoints, MaxOpen: maxOpenJobs(p.connsPerSide), CachedEndpoints: p.cachedWorkers,
	}
	if p.peers != nil {
		env.Peers = p.peers
	}
	p.core.Start(env)
}

// Accept begins to accept clients' connections. Listen and StartWatch come before it.
func (p *Platform) Accept() { go p.clients.accept() }

// HasSynced reports whether discovery has answered since the start, and jobs can be taken.
func (p *Platform) HasSynced() bool {
	return p.endpoints.hasSynced() && p.core.Ready()
}

// YieldConnections makes clients go to a successor, which listens on the same address and gets all new connections, or
// ends that. The health stays as it is, and requests that come are served.
func (p *Platform) YieldConnections(on bool) { p.clients.yieldConns(on) }

// DivideDescriptors makes the platform keep to its part of the descriptors, which so many processes share.
func (p *Platform) DivideDescriptors(processes int) {
	p.clients.setBudget(p.connsPerSide / processes)
	p.pool.setBudget(p.connsPerSide / processes)
	p.core.SetMaxOpen(maxOpenJobs(p.connsPerSide / processes))
}

// SteerConnections directs what comes to the clients' and the peers' address to this process, from the predecessor that
// listens there too.
func (p *Platform) SteerConnections() {
	sockets := []syscall.Conn{p.clients.listener.(syscall.Conn)}
	if p.peers != nil {
		sockets = append(sockets, p.peers.conn)
	}
	for _, socket := range sockets {
		if err := upgrade.SteerToNewest(socket); err != nil {
			// Some connections go to the predecessor until it closes its listener.
			p.log.Warn("takeover: predecessor still gets new connections", zap.Error(err))
		}
	}
}

// Reload switches to the discovery of a configuration that has been read again. It checks all of it first; with an
// error nothing changes.
func (p *Platform) Reload(cfg *config.Scheduler) error {
	if err := ValidateCachedEndpoints(cfg.CachedEndpoints); err != nil {
		return err
	}
	p.endpoints.switchTo(cfg.Discovery)
	return nil
}

// Ready reports whether jobs are taken, and new connections may come.
func (p *Platform) Ready() bool { return p.clients.ready() }

// Quiesce takes the scheduler out of service: the health turns 503, and clients' connections end once what they
// carry is answered. What still comes is served.
func (p *Platform) Quiesce() { p.clients.quiesce() }

// Resume takes the scheduler back into service.
func (p *Platform) Resume() { p.clients.resume() }

// Addr returns the address on which clients are served.
func (p *Platform) Addr() net.Addr { return p.clients.listener.Addr() }
