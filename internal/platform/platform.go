package platform

import (
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/logging"
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
}

// Start listens and serves submitters. known is checked before listening.
func Start(cfg *config.Scheduler, c *core.Core, clock core.Clock, set *counters.Set, log *zap.Logger) (*Platform, error) {
	log = logging.Limited(log) // whatever is logged from here on, others can cause
	list := newMachines(cfg.Discovery, cfg.Settings, c.Machines, log)
	workers, err := list.load(cfg.Known)
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveTCPAddr("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen (LB_LISTEN): %w", err)
	}
	listener, err := net.ListenTCP("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen (LB_LISTEN): %w", err)
	}
	half := (cfg.Sockets - max(spareLeast, cfg.Sockets/sparePart) - AdminConnections(cfg)) / 2
	front := newFront(c, clock, set, log, listener, half)
	nodes := newNodes(list, cfg.Settings, set, half)
	c.Connect(nodes, list, front.mostJobs())
	p := &Platform{front: front, machines: list, nodes: nodes, core: c, settings: cfg.Settings}
	if cfg.Peers.Listen != "" {
		if p.peers, err = newPeers(cfg.Peers, cfg.Settings.Module.Index, clock, set, c.Heard); err != nil {
			listener.Close()
			return nil, err
		}
		c.ConnectPeers(p.peers)
	}
	if cfg.Settings.Pushed() {
		list.Watch() // the module asks when it likes
	}
	c.Start(workers)
	go p.front.accept()
	return p, nil
}

// Reload goes over to the discovery of a configuration that has been read again.
// It checks all of it first; with an error nothing changes.
func (p *Platform) Reload(cfg *config.Scheduler) error {
	if err := CheckKnown(cfg.Known); err != nil {
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
	first := time.AfterFunc(moments, func() { p.core.End(end - moments) })
	defer first.Stop()
	p.front.shutDown(moments, stay)
	p.core.Stop()
	p.end()
}

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
	p.front.listener.Close()
	p.front.mu.Lock()
	defer p.front.mu.Unlock()
	for s := range p.front.all {
		s.conn.Close()
	}
	p.end()
}
