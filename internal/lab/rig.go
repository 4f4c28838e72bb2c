// Package lab measures schedulers on loopback: real ones, with their configuration
// read from files as in service, among stand-ins for all that they meet.
package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/control"
	"github.com/vatu-meals/foxlift/internal/control/controlpb"
	"github.com/vatu-meals/foxlift/internal/daemon"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// A Rig is a running world.
type Rig struct {
	Topology
	Nodes      []*standin.Node
	Discovery  *standin.Discovery
	Schedulers []*daemon.Daemon
	Clients    []controlpb.ControlClient // one for each scheduler, where there is a control socket

	dir     string
	closers []func()
}

// Start starts a world. Close ends it.
func Start(w Topology) (r *Rig, err error) {
	r = &Rig{Topology: w}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	if r.dir, err = os.MkdirTemp("", "foxlift-lab-"); err != nil {
		return nil, err
	}
	work := map[string]time.Duration{}
	for _, c := range w.Classes {
		work[c.Name] = c.ServiceTime
	}
	for _, k := range w.Kinds {
		for i := range k.Count {
			speed := k.Speed
			n, err := standin.StartNode(fmt.Sprintf("%s-%d", k.Name, i), w.Zones[len(r.Nodes)%len(w.Zones)], k.Name, k.Slots, 2*k.Slots,
				func(class string) time.Duration { return time.Duration(float64(work[class]) / speed) })
			if err != nil {
				return nil, err
			}
			r.Nodes = append(r.Nodes, n)
		}
	}
	if r.Discovery, err = standin.StartDiscovery(r.Nodes...); err != nil {
		return nil, err
	}
	for i := range w.Schedulers {
		if err := r.startScheduler(i); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Config writes the platform's configuration of a scheduler and returns its path.
func (r *Rig) Config(i int) (string, error) {
	text, err := json.MarshalIndent(map[string]any{
		"name": fmt.Sprint("n", i), "listen": "127.0.0.1:0", "discovery": r.Discovery.Addr().String(),
		"seed": fmt.Sprintf("%x", 1000+i), "limits": map[string]any{"memory_mb": 192, "sockets": r.Sockets},
		"known": json.RawMessage(r.Discovery.Known()), "settings": r.Topology.Settings(i),
	}, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.dir, fmt.Sprintf("config-%d.json", i))
	return path, os.WriteFile(path, text, 0o600)
}

func (r *Rig) startScheduler(i int) error {
	path, err := r.Config(i)
	if err != nil {
		return err
	}
	operator, socket := "", filepath.Join(r.dir, fmt.Sprintf("control-%d.sock", i))
	if r.Operator != "" {
		operator = filepath.Join(r.dir, fmt.Sprintf("operator-%d.sexp", i))
		if err := os.WriteFile(operator, []byte(fmt.Sprintf(r.Operator, socket)), 0o600); err != nil {
			return err
		}
	}
	d, err := daemon.Start(daemon.Options{
		Getenv: func(name string) string {
			if name == "LB_CONFIG" {
				return path
			}
			return ""
		},
		Operator: operator, Log: zap.NewNop(), Version: "lab",
	})
	if err != nil {
		return err
	}
	r.Schedulers = append(r.Schedulers, d)
	if operator != "" {
		client, end, err := control.Dial(socket)
		if err != nil {
			return err
		}
		r.Clients = append(r.Clients, client)
		r.closers = append(r.closers, func() { end() })
	}
	for !d.Core.Ready() {
		<-time.After(time.Millisecond)
	}
	return nil
}

// Close ends everything.
func (r *Rig) Close() {
	for _, end := range r.closers {
		end()
	}
	for _, d := range r.Schedulers {
		d.Kill()
	}
	if r.Discovery != nil {
		r.Discovery.Close()
		r.Discovery.Reset()
	}
	for _, n := range r.Nodes {
		n.Crash()
	}
	if r.dir != "" {
		os.RemoveAll(r.dir)
	}
}

// Runs returns how often each job was begun on any node.
func (r *Rig) Runs() map[string]int {
	runs := map[string]int{}
	for _, n := range r.Nodes {
		for id, k := range n.Runs() {
			runs[id] += k
		}
	}
	return runs
}
