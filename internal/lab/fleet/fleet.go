// Package fleet runs many processes of the program on one machine, with a link between
// each of them and what it meets, so that parts of it can be made to fail. Everything is on
// loopback, and everything ends with Close.
package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// Options say what a fleet is made of.
type Options struct {
	lab.Topology
	Program     string             // the scheduler's binary
	Price       standin.Price      // of calls to discovery
	SlowStart   *standin.SlowStart // of nodes that start; nil: they are warm at once
	GroupWindow time.Duration      // in which pods really drop repeats; 0: as the settings say
	WorkerLinks bool               // a link between each scheduler and each node: only for small fleets
	Admin       bool               // each process has a second address, for its operators
	Operator    string             // text of each process's operator's file, with %s for a path of its own; "": none
}

// A Fleet is the running processes and what they meet.
type Fleet struct {
	Options
	Processes []*Process
	Discovery *standin.Discovery
	Links     []*Link    // of each process to discovery
	Messaging *Messaging // between the processes; nil where they do not speak with each other

	mu             sync.Mutex
	workers        []*standin.Worker // all that ever were
	running        map[string]*standin.Worker
	workerLinks    []map[string]*Link // of each process, by the node's name
	dir            string
	cleanups       []func()
	workersStarted int // nodes
	groups         []*standin.DedupGroup
	successors     []*Process // successors
}

// New makes a fleet. Its processes have not been started yet: StartAll does.
func New(o Options) (f *Fleet, err error) {
	f = &Fleet{Options: o, running: map[string]*standin.Worker{}}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if f.dir, err = os.MkdirTemp("", "foxlift-fleet-"); err != nil {
		return nil, err
	}
	if f.Discovery, err = standin.StartDiscovery(); err != nil {
		return nil, err
	}
	f.Discovery.Price = o.Price
	for i := range o.Groups {
		f.groups = append(f.groups, &standin.DedupGroup{Number: i, Window: f.groupWindow()})
	}
	if o.Gossip {
		if f.Messaging, err = newMessaging(o.Schedulers); err != nil {
			return nil, err
		}
		f.cleanups = append(f.cleanups, f.Messaging.close)
	}
	for _, k := range o.Kinds {
		for range k.Count {
			if _, err := f.AddWorker(k, time.Time{}); err != nil {
				return nil, err
			}
		}
	}
	for i := range o.Schedulers {
		if err := f.add(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// groupWindow is how long pods drop repeats: as long as the settings say, if nothing else is asked for.
func (f *Fleet) groupWindow() time.Duration {
	if f.GroupWindow != 0 {
		return f.GroupWindow
	}
	return f.DedupWindow
}

// AddWorker starts a node and has discovery tell of it; started is its start, zero: long ago.
func (f *Fleet) AddWorker(k lab.WorkerKind, started time.Time) (*standin.Worker, error) {
	l, err := standin.Listen()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	name, zone := fmt.Sprintf("%s-%d", k.Name, f.workersStarted), f.Zones[f.workersStarted%len(f.Zones)]
	f.workersStarted++
	f.mu.Unlock()
	return f.startWorker(l, name, zone, k, started), nil
}

func (f *Fleet) startWorker(l net.Listener, name, zone string, k lab.WorkerKind, started time.Time) *standin.Worker {
	work := map[string]time.Duration{}
	for _, c := range f.Classes {
		work[c.Name] = time.Duration(float64(c.ServiceTime) / k.Speed)
	}
	n := standin.WorkerOn(l, standin.WorkerSpec{
		Name:        name,
		Zone:        zone,
		Kind:        k.Name,
		Slots:       k.Slots,
		Queue:       2 * k.Slots,
		ServiceTime: func(class string) time.Duration { return work[class] },
	})
	n.Started, n.SlowStart, n.Reports = started, f.SlowStart, f.LoadReports
	if len(f.groups) > 0 {
		f.mu.Lock()
		n.Group = f.groups[len(f.workers)%len(f.groups)]
		f.mu.Unlock()
	}
	f.mu.Lock()
	f.workers = append(f.workers, n)
	f.running[name] = n
	f.mu.Unlock()
	f.Discovery.Put(n, "active")
	return n
}

// Restart kills a node's process and starts it again, cold: its address is the same, and so
// is its name, unless another is given: then another node has its address.
func (f *Fleet) Restart(n *standin.Worker, name string) (*standin.Worker, error) {
	k, addr := f.kind(n), n.Addr()
	f.crash(n)
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if name == "" {
		name = n.Name
	} else {
		f.Discovery.Put(n, "left")
	}
	return f.startWorker(l, name, n.Zone, k, time.Now()), nil
}

func (f *Fleet) crash(n *standin.Worker) {
	n.Crash()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, n.Name)
}

func (f *Fleet) kind(n *standin.Worker) lab.WorkerKind {
	return f.Kinds[slices.IndexFunc(f.Kinds, func(k lab.WorkerKind) bool { return k.Name == n.Kind })]
}

// Replace takes a node away without a word and starts another, cold, in its place.
func (f *Fleet) Replace(n *standin.Worker) (*standin.Worker, error) {
	f.crash(n)
	f.Discovery.Put(n, "left")
	return f.AddWorker(f.kind(n), time.Now())
}

// Nodes returns the nodes that are up, in the order of their starts.
func (f *Fleet) Workers() []*standin.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var up []*standin.Worker
	for _, n := range f.workers {
		if f.running[n.Name] == n {
			up = append(up, n)
		}
	}
	return up
}

// add prepares process i: its view of discovery, its links and its configuration.
func (f *Fleet) add(i int) error {
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
		config["peer_listen"], config["peers"] = f.Messaging.listen[i], f.Messaging.faces[i]
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

// StartAll starts the processes at once and waits until each is ready.
func (f *Fleet) StartAll(limit time.Duration) error {
	return f.each(func(p *Process) error {
		if err := p.Start(); err != nil {
			return err
		}
		return p.AwaitReady(limit)
	})
}

// KillAll kills the processes at once.
func (f *Fleet) KillAll() {
	f.each(func(p *Process) error { p.Kill(); return nil })
}

// TerminateAll ends the processes with SIGTERM and returns what they ended with.
func (f *Fleet) TerminateAll() error {
	return f.each((*Process).Terminate)
}

func (f *Fleet) each(do func(p *Process) error) error {
	errs := make([]error, len(f.Processes))
	var wait sync.WaitGroup
	for i, p := range f.Processes {
		wait.Go(func() { errs[i] = do(p) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// Counter sums a counter over all processes, of all that they have printed.
func (f *Fleet) Counter(name string) (sum int64) {
	for _, p := range f.Processes {
		sum += p.Counter(name)
	}
	return sum
}

// Fallen returns how many nodes were pushed over.
func (f *Fleet) Fallen() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, node := range f.workers {
		if node.Fallen() {
			n++
		}
	}
	return n
}

// Twice returns the at-most-once jobs that were begun more than once on any nodes.
func (f *Fleet) Twice() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string]int{}
	for _, n := range f.workers {
		for id, k := range n.Runs() {
			runs[id] += k
		}
	}
	for id, k := range runs {
		if k > 1 && f.AtMostOnce(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Requests returns how many whole requests with a job the nodes have read.
func (f *Fleet) Requests() (sum int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.workers {
		sum += n.Requests()
	}
	return sum
}

// Arrivals returns the requests with a job that have reached any node.
func (f *Fleet) Arrivals() (all []standin.Arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.workers {
		all = append(all, n.Arrivals()...)
	}
	return all
}

// Close ends everything: each process by its own id.
func (f *Fleet) Close() {
	f.KillAll()
	for _, p := range f.successors {
		p.Kill()
	}
	for _, p := range slices.Concat(f.Processes, f.successors) {
		p.wait.Wait()
	}
	for _, l := range f.Links {
		l.close()
	}
	for _, links := range f.workerLinks {
		for _, l := range links {
			l.close()
		}
	}
	for _, end := range f.cleanups {
		end()
	}
	if f.Discovery != nil {
		f.Discovery.Close()
		f.Discovery.Reset()
	}
	for _, n := range f.workers {
		n.Crash()
	}
	os.RemoveAll(f.dir)
}
