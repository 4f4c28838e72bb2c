package fleet

import (
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/standin"
)

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
	f.crashWorker(n)
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

func (f *Fleet) crashWorker(n *standin.Worker) {
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
	f.crashWorker(n)
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
