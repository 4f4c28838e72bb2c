package platform

import (
	"fmt"
	"net"
	"time"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

// How the descriptors are shared: most go to submitters, of whom many wait for
// each node's answer; the spare ones are for the list, the listener and the
// runtime.
const (
	nodeShare  = 0.4
	spareShare = 1.0 / 16
	spareLeast = 16
)

// moments is how long a scheduler that is told to end goes on taking what comes
// in: new connections come for up to 0.4 s. Idle connections are to be closed
// before 0.7 s are over, their grace included.
const moments = 450 * time.Millisecond

// A Platform is a scheduler's side of the platform's protocol.
type Platform struct {
	front    *front
	machines *machines
	core     *core.Core
}

// Start listens and serves submitters. known is checked before listening.
func Start(cfg *config.Scheduler, c *core.Core, clock core.Clock, set *counters.Set) (*Platform, error) {
	list := newMachines(cfg.Discovery, cfg.Settings, c.Machines)
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
	files := cfg.Sockets - max(spareLeast, int(float64(cfg.Sockets)*spareShare))
	forNodes := int(float64(files) * nodeShare)
	c.Connect(newNodes(list, cfg.Settings, set, forNodes), list)
	p := &Platform{front: newFront(c, clock, set, listener, files-forNodes), machines: list, core: c}
	c.Start(workers)
	go p.front.accept()
	return p, nil
}

// Addr returns the address on which submitters are served.
func (p *Platform) Addr() net.Addr { return p.front.listener.Addr() }

// ShutDown makes the health 503, goes on taking what comes in for some moments,
// closes the listener and the idle connections, and returns when everything
// taken is answered.
func (p *Platform) ShutDown() {
	p.front.shutDown(moments)
	p.core.Stop()
}
