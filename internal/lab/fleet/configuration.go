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

// linkToDiscovery creates a discovery server for process i alone, and returns a link to it.
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

// processFile returns the path of a process's file in the fleet's directory.
func (f *Fleet) processFile(process, extension string) string {
	return filepath.Join(f.dir, process+extension)
}

// Configure writes the configuration file of process i with cachedEndpoints, JSON, as its cached
// endpoint list. It fails if cachedEndpoints is not valid JSON. A process reads the file when it starts
// and on SIGHUP.
func (f *Fleet) Configure(i int, cachedEndpoints []byte) error {
	p := f.Processes[i]
	config := map[string]any{
		"name":      p.Name,
		"listen":    p.Addr,
		"discovery": f.Links[i].Addr().String(),
		"seed":      fmt.Sprintf("%x", 1000+i),
		"limits":    map[string]any{"memory_mb": f.MemoryMB, "sockets": f.Sockets},
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

// ChangeDiscovery writes a new address of discovery into the configuration file of process i, which
// reads it on SIGHUP. Links[i] becomes the link at the new address; the old link remains as it is
// until Close.
func (f *Fleet) ChangeDiscovery(i int) error {
	link, err := newLink(f.Links[i].target)
	if err != nil {
		return err
	}
	f.cleanups = append(f.cleanups, f.Links[i].close)
	f.Links[i] = link
	return f.Configure(i, f.Discovery.ViewListJSON(f.workerAddrs(i)))
}

// workerAddrs returns the function that maps a worker's name and own address to the address at which
// process i reaches it.
func (f *Fleet) workerAddrs(i int) func(host, addr string) string {
	return func(host, addr string) string { return f.workerAddr(i, host, addr) }
}

// workerAddr returns the address at which process i reaches a worker: that of a link with
// Options.WorkerLinks, and addr otherwise.
func (f *Fleet) workerAddr(i int, name, addr string) string {
	if !f.WorkerLinks {
		return addr
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	links := f.workerLinks[i]
	if links[name] == nil {
		link, err := newLink(addr)
		if err != nil {
			return addr
		}
		links[name] = link
	}
	return links[name].Addr().String()
}

// WorkerLink returns the link from process i to a worker; nil if there is none. A link is created when the
// process's endpoint list first contains the worker.
func (f *Fleet) WorkerLink(i int, worker *standin.Worker) *Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workerLinks[i][worker.Name]
}
