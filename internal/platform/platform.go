package platform

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/logging"
	"github.com/vatu-meals/foxlift/internal/upgrade"
)

// How the descriptors are shared: some are spare, for the list, the listener and
// the runtime; the rest is halved between submitters and execute nodes, so that
// every job that may be open can also be on its way to a node.
const (
	sparePart  = 16 // of all descriptors
	spareLeast = 16
	adminPart  = 32 // for the operators' address, where there is one
	adminLeast = 8
)

// AdminConnections is how many connections the operators' address may hold; 0 where there is none.
func AdminConnections(cfg *config.Scheduler) int {
	if cfg.Admin == "" {
		return 0
	}
	return max(adminLeast, cfg.Sockets/adminPart)
}

// moments is how long a scheduler that is told to end goes on taking what comes
// in: new connections come for up to 0.4 s. Idle connections are to be closed
// before 0.7 s are over, their grace included.
const moments = 450 * time.Millisecond

// A scheduler may be killed the longest deadline, 3 s where it is longer, and 0.7 s after it
// was told to end. Until then it has answered what came more than 0.7 s after that, and the
// answers have been read.
const (
	killLongest = 3 * time.Second
	killSlack   = 700 * time.Millisecond
	endSlack    = 400 * time.Millisecond // lingerTime, and some for the process itself
	stayLeast   = 100 * time.Millisecond // past moments, that the submitters' connections stay,
	stayAnswers = time.Second            // and at most until so long before the end, for the last answers
)

// endTimes returns how long after the word to end the submitters' connections stay, and when all
// is answered: what cannot be done by then is refused.
func endTimes(s *config.Settings) (stay, end time.Duration) {
	longest := int64(0)
	for _, k := range s.Module.Classes {
		longest = max(longest, k.Deadline)
	}
	end = min(killLongest, time.Duration(longest)) + killSlack - endSlack
	return max(moments+stayLeast, end-stayAnswers), max(moments+2*stayLeast, end)
}

// A Platform is a scheduler's side of the platform's protocol.
type Platform struct {
	front    *front
	machines *machines
	nodes    *nodes
	peers    *peers // nil where schedulers do not speak with each other
	core     *core.Core
	settings *config.Settings

	half   int              // descriptors for either side, if no other process shares them
	listen string           // the submitters' address
	shared bool             // another process may listen there too
	known  []foxlift.Worker // as last known before the start
	log    *zap.Logger
}

// Start listens and serves submitters. known is checked before listening.
func Start(cfg *config.Scheduler, c *core.Core, clock core.Clock, set *counters.Set, log *zap.Logger) (*Platform, error) {
	p, err := New(cfg, c, clock, set, log)
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

// New makes a platform that does nothing yet: Listen, Follow and Accept each begin a part of it,
// in this order or, for a process that takes over from another, with Follow first. known is
// checked here.
func New(cfg *config.Scheduler, c *core.Core, clock core.Clock, set *counters.Set, log *zap.Logger) (*Platform, error) {
	log = logging.Limited(log) // whatever is logged from here on, others can cause
	list := newMachines(cfg.Discovery, cfg.Settings, c.UpdateEndpoints, log)
	list.clock = clock.Now
	workers, err := list.load(cfg.Known)
	if err != nil {
		return nil, err
	}
	half := (cfg.Sockets - max(spareLeast, cfg.Sockets/sparePart) - AdminConnections(cfg)) / 2
	front := newFront(c, clock, set, log, nil, half)
	nodes := newNodes(list, cfg.Settings, set, log, half)
	list.changed = nodes.out.nodeChanged
	list.confirm, list.noteMove, list.fail = c.ConfirmEndpoints, c.ChangeDiscovery, c.RecordPollFailure
	p := &Platform{
		front: front, machines: list, nodes: nodes, core: c, settings: cfg.Settings,
		half: half, listen: cfg.Listen, shared: cfg.Admin != "", known: workers, log: log,
	}
	if cfg.Peers.Listen != "" {
		if p.peers, err = newPeers(cfg.Peers, cfg.Settings.Module.Index, clock, set, c.ReceiveGossip); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Listen listens on the submitters' address, and on the peers' where there are any. The error
// names the key of the address.
func (p *Platform) Listen() error {
	listener, err := p.openListener()
	if err != nil {
		return fmt.Errorf("listen (LB_LISTEN): %w", err)
	}
	if p.peers != nil {
		if err := p.peers.open(p.shared); err != nil {
			listener.Close()
			return err
		}
	}
	p.front.setListener(listener)
	return nil
}

func (p *Platform) openListener() (*net.TCPListener, error) {
	if p.shared {
		return upgrade.Listen(p.listen)
	}
	addr, err := net.ResolveTCPAddr("tcp", p.listen)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", addr)
}

// Follow starts the core with the list as last known, and with it the watch on the list.
func (p *Platform) StartWatch() {
	p.machines.Watch() // its first pause spreads the schedulers that start together
	env := core.Environment{
		Workers: p.nodes, EndpointWatch: p.machines, MaxOpen: mostJobs(p.half), CachedEndpoints: p.known,
	}
	if p.peers != nil {
		env.Peers = p.peers
	}
	p.core.Start(env)
}

// Accept begins to take submitters' connections. Listen and Follow come before it.
func (p *Platform) Accept() { go p.front.accept() }

// HasSynced reports whether discovery has answered since the start, and jobs can be taken.
func (p *Platform) HasSynced() bool {
	p.machines.mu.Lock()
	defer p.machines.mu.Unlock()
	return p.machines.answered && p.core.Ready()
}

// YieldConnections sends submitters to another process that listens on the same address and gets all new
// connections, or ends that. The health stays as it is, and what has come is served.
func (p *Platform) YieldConnections(on bool) { p.front.relieve(on) }

// Share makes the platform keep to its part of the descriptors, which so many processes share.
func (p *Platform) DivideDescriptors(processes int) {
	p.front.setBudget(p.half / processes)
	p.nodes.setBudget(p.half / processes)
	p.core.SetMaxOpen(mostJobs(p.half / processes))
}

// RestoreState directs what comes to the submitters' and the peers' address to this process, from the
// older one that listens there too.
func (p *Platform) SteerConnections() {
	sockets := []syscall.Conn{p.front.listener.(syscall.Conn)}
	if p.peers != nil {
		sockets = append(sockets, p.peers.conn)
	}
	for _, s := range sockets {
		if err := upgrade.SteerToNewest(s); err != nil {
			// Some connections go to the older process until it closes its listener.
			p.log.Warn("the older process goes on getting new connections", zap.Error(err))
		}
	}
}

// Reload goes over to the discovery of a configuration that has been read again.
// It checks all of it first; with an error nothing changes.
func (p *Platform) Reload(cfg *config.Scheduler) error {
	if err := ValidateCachedEndpoints(cfg.Known); err != nil {
		return err
	}
	p.machines.switchTo(cfg.Discovery)
	return nil
}

// Ready reports whether submitters are served, and new ones may come.
func (p *Platform) Ready() bool { return p.front.ready() }

// Quiesce sends submitters away: the health turns 503, and their connections end once what they
// carry is answered. What still comes is served.
func (p *Platform) Quiesce() { p.front.quiesce() }

// Resume ends that.
func (p *Platform) Resume() { p.front.resume() }

// Addr returns the address on which submitters are served.
func (p *Platform) Addr() net.Addr { return p.front.listener.Addr() }

// ShutDown makes the health 503, goes on taking what comes in for some moments and
// closes the listener. On the connections that are there it goes on for longer with
// jobs that end soon. It returns when everything taken is answered.
func (p *Platform) ShutDown() {
	stay, end := endTimes(p.settings)
	// What comes in the first moments is no loss whatever becomes of it.
	first := time.AfterFunc(moments, func() { p.core.BeginShutdown(end - moments) })
	defer first.Stop()
	p.front.ending.Store(true)
	p.front.shutDown(moments, stay)
	p.core.Stop()
	p.end()
}

// ShutDownAfterTakeover ends the platform where another process listens on the same address and gets all new
// connections: the health stays as it is, since the address is served. What waits to be accepted is
// taken, the listener closes, and submitters' connections end as soon as what they
// carry is answered. It returns when everything taken is answered.
func (p *Platform) ShutDownAfterTakeover() {
	_, end := endTimes(p.settings)
	p.core.BeginShutdown(end)
	if p.peers != nil {
		p.peers.stop() // the others hear the new process, and would take both for one
	}
	p.front.relieve(true)
	p.front.shutDown(handOverQueue, handOverStay)
	p.core.Stop()
	p.end()
}

// In a hand-over: connections whose handshake had begun before the other process took over have
// come into the accept queue by then; and so long idle connections stay for a request.
const (
	handOverQueue = 100 * time.Millisecond
	handOverStay  = 300 * time.Millisecond
)

// end ends what the scheduler has open towards others than its submitters.
func (p *Platform) end() {
	p.machines.stop()
	p.nodes.closeAll()
	if p.peers != nil {
		p.peers.stop()
	}
}

// Kill ends everything at once and answers nothing more, as a kill of the process
// would: for tests and the lab.
func (p *Platform) Kill() {
	p.core.Stop()
	p.front.mu.Lock()
	defer p.front.mu.Unlock()
	if p.front.listener != nil {
		p.front.listener.Close()
	}
	for s := range p.front.all {
		s.conn.Close()
	}
	p.end()
}
