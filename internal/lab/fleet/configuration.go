package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// add prepares process i: its view of discovery, its links and its configuration.
func (f *Fleet) addProcess(i int) error {
	view := fmt.Sprint("n", i)
	f.workerLinks = append(f.workerLinks, map[string]*Link{})
	l, err := standin.Listen()
	if err != nil {
		return err
	}
	server := f.Discovery.View(l, view, f.dial(i))
	f.cleanups = append(f.cleanups, func() { server.Close(); server.Reset() })
	link, err := newLink(l.Addr().String())
	if err != nil {
		return err
	}
	f.Links = append(f.Links, link)
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	p := &Process{Name: view, Addr: addr, program: f.Program, counters: map[string]int64{}}
	path := filepath.Join(f.dir, view+".json")
	p.env = []string{"LB_CONFIG=" + path, "LB_LISTEN=" + addr}
	if f.Admin {
		if p.Admin, err = freeAddr(); err != nil {
			return err
		}
		p.env = append(p.env, "LB_NAME="+view, "LB_DISCOVERY="+link.Addr().String(), "TMPDIR="+f.dir, adminVariable+p.Admin)
	}
	if f.Operator != "" {
		operator := filepath.Join(f.dir, view+".sexp")
		p.Checkpoint, p.args = filepath.Join(f.dir, view+".kept"), []string{"serve", "--operator", operator}
		if err := os.WriteFile(operator, fmt.Appendf(nil, f.Operator, p.Checkpoint), 0o600); err != nil {
			return err
		}
	}
	f.Processes = append(f.Processes, p)
	return f.Configure(i, f.Discovery.KnownAt(f.dial(i)))
}

// Configure writes the configuration of process i with this list as last known.
func (f *Fleet) Configure(i int, known []byte) error {
	config := map[string]any{
		"name": f.Processes[i].Name, "listen": f.Processes[i].Addr, "discovery": f.Links[i].Addr().String(),
		"seed": fmt.Sprintf("%x", 1000+i), "limits": map[string]any{"memory_mb": 192, "sockets": f.Sockets},
		"known": json.RawMessage(known), "settings": f.Settings(i),
	}
	if f.Admin {
		config["admin"] = f.Processes[i].Admin
	}
	if f.Messaging != nil {
		config["peer_listen"], config["peers"] = f.Messaging.listen[i], f.Messaging.addresses[i]
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(f.dir, f.Processes[i].Name+".json"), text, 0o600)
}

// ChangeDiscovery names another address of discovery in the configuration of process i, which
// learns of it with SIGHUP. The link there replaces that in Links; the old one remains as it is.
func (f *Fleet) ChangeDiscovery(i int) error {
	link, err := newLink(f.Links[i].target)
	if err != nil {
		return err
	}
	f.cleanups = append(f.cleanups, f.Links[i].close)
	f.Links[i] = link
	return f.Configure(i, f.Discovery.KnownAt(f.dial(i)))
}

// dial returns how process i reaches each node, by its name and its own address.
func (f *Fleet) dial(i int) func(host, addr string) string {
	return func(host, addr string) string { return f.via(i, host, addr) }
}

// via returns the address by which process i reaches a node.
func (f *Fleet) via(i int, host, addr string) string {
	if !f.WorkerLinks {
		return addr
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	links := f.workerLinks[i]
	if links[host] == nil {
		l, err := newLink(addr)
		if err != nil {
			return addr
		}
		links[host] = l
	}
	return links[host].Addr().String()
}

// WorkerLink returns the link of process i to a node; nil if there is none.
func (f *Fleet) WorkerLink(i int, n *standin.Worker) *Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workerLinks[i][n.Name]
}
