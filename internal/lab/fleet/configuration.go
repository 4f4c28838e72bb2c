package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// addProcess prepares process i: its view of discovery, its links and its configuration.
func (f *Fleet) addProcess(i int) error {
	name := fmt.Sprint("n", i)
	f.workerLinks = append(f.workerLinks, map[string]*Link{})
	link, err := f.linkToDiscovery(i, name)
	if err != nil {
		return err
	}
	f.Links = append(f.Links, link)
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	p := &Process{Name: name, Addr: addr, program: f.Program, pastCounters: map[string]int64{}}
	p.env = []string{"LB_CONFIG=" + f.processFile(name, ".json"), "LB_LISTEN=" + addr}
	if f.Admin {
		if p.AdminAddr, err = freeAddr(); err != nil {
			return err
		}
		p.env = append(p.env,
			"LB_NAME="+name,
			"LB_DISCOVERY="+link.Addr().String(),
			"TMPDIR="+f.dir,
			adminVariable+p.AdminAddr)
	}
	if f.OperatorFile != "" {
		operator := f.processFile(name, ".sexp")
		p.CheckpointPath = f.processFile(name, ".kept")
		p.args = []string{"serve", "--operator", operator}
		if err := os.WriteFile(operator, fmt.Appendf(nil, f.OperatorFile, p.CheckpointPath), 0o600); err != nil {
			return err
		}
	}
	f.Processes = append(f.Processes, p)
	return f.Configure(i, f.Discovery.ViewListJSON(f.workerAddrs(i)))
}

// linkToDiscovery starts a link to a view of discovery that is of process i alone.
func (f *Fleet) linkToDiscovery(i int, view string) (*Link, error) {
	l, err := standin.Listen()
	if err != nil {
		return nil, err
	}
	server := f.Discovery.View(l, view, f.workerAddrs(i))
	f.cleanups = append(f.cleanups, func() {
		server.Close()
		server.Reset()
	})
	return newLink(l.Addr().String())
}

// path is a file of a process in the fleet's folder.
func (f *Fleet) processFile(process, extension string) string {
	return filepath.Join(f.dir, process+extension)
}

// Configure writes the configuration of process i with this list as the cached one.
func (f *Fleet) Configure(i int, cachedEndpoints []byte) error {
	p := f.Processes[i]
	config := map[string]any{
		"name":      p.Name,
		"listen":    p.Addr,
		"discovery": f.Links[i].Addr().String(),
		"seed":      fmt.Sprintf("%x", 1000+i),
		"limits":    map[string]any{"memory_mb": 192, "sockets": f.Sockets},
		"known":     json.RawMessage(cachedEndpoints),
		"settings":  f.Settings(i),
	}
	if f.Admin {
		config["admin"] = p.AdminAddr
	}
	if f.Messaging != nil {
		config["peer_listen"] = f.Messaging.listen[i]
		config["peers"] = f.Messaging.addresses[i]
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(f.processFile(p.Name, ".json"), text, 0o600)
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
	return f.Configure(i, f.Discovery.ViewListJSON(f.workerAddrs(i)))
}

// dial returns how process i reaches each worker, by its name and its own address.
func (f *Fleet) workerAddrs(i int) func(host, addr string) string {
	return func(host, addr string) string { return f.workerAddr(i, host, addr) }
}

// via returns the address by which process i reaches a worker.
func (f *Fleet) workerAddr(i int, host, addr string) string {
	if !f.WorkerLinks {
		return addr
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	links := f.workerLinks[i]
	if links[host] == nil {
		link, err := newLink(addr)
		if err != nil {
			return addr
		}
		links[host] = link
	}
	return links[host].Addr().String()
}

// WorkerLink returns the link of process i to a worker; nil if there is none.
func (f *Fleet) WorkerLink(i int, worker *standin.Worker) *Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workerLinks[i][worker.Name]
}
