package fleet

import (
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// groupWindow returns how long dedup groups drop repeats: GroupWindow if it is set, and the topology's
// DedupWindow otherwise.
func (f *Fleet) groupWindow() time.Duration {
	if f.GroupWindow != 0 {
		return f.GroupWindow
	}
	return f.DedupWindow
}

// AddWorker starts a worker and adds it to discovery as active. The worker reports started as its start
// time, from which its slow start counts; zero means long ago, without slow start. kind should be one of
// the topology's Kinds: Restart and Replace panic for a worker of another kind.
func (f *Fleet) AddWorker(kind lab.WorkerKind, started time.Time) (*standin.Worker, error) {
	l, err := standin.Listen()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	name := fmt.Sprintf("%s-%d", kind.Name, f.workersAdded)
	zone := f.Zones[f.workersAdded%len(f.Zones)]
	f.workersAdded++
	f.mu.Unlock()
	return f.startWorker(l, name, zone, kind, started), nil
}

func (f *Fleet) startWorker(
	l net.Listener, name, zone string, kind lab.WorkerKind, started time.Time,
) *standin.Worker {
	serviceTimes := map[string]time.Duration{}
	for _, class := range f.Classes {
		serviceTimes[class.Name] = time.Duration(float64(class.ServiceTime) / kind.Speed)
	}
	worker := standin.WorkerOn(l, standin.WorkerSpec{
		Name:        name,
		Zone:        zone,
		Kind:        kind.Name,
		Slots:       kind.Slots,
		Queue:       2 * kind.Slots,
		ServiceTime: func(class string) time.Duration { return serviceTimes[class] },
	})
	worker.Started = started
	worker.SlowStart = f.SlowStart
	worker.SendLoadReports = f.LoadReports
	f.mu.Lock()
	if len(f.groups) > 0 {
		worker.Group = f.groups[len(f.workers)%len(f.groups)]
	}
	f.workers = append(f.workers, worker)
	f.running[name] = worker
	f.mu.Unlock()
	f.Discovery.Put(worker, standin.Active)
	return worker
}

// Restart kills a worker's process and starts it again at the same address, in slow start. If a name
// is given, the new process is a different worker with that name, and the old worker leaves discovery. If
// Restart fails, the worker stays down and discovery still lists it.
func (f *Fleet) Restart(worker *standin.Worker, name string) (*standin.Worker, error) {
	kind, addr := f.kindOf(worker), worker.Addr()
	f.crashWorker(worker)
	l, err := standin.ListenOn(addr)
	if err != nil {
		return nil, err
	}
	if name == "" {
		name = worker.Name
	} else {
		f.Discovery.Put(worker, standin.Left)
	}
	return f.startWorker(l, name, worker.Zone, kind, time.Now()), nil
}

func (f *Fleet) crashWorker(worker *standin.Worker) {
	worker.Crash()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, worker.Name)
}

// kindOf returns the kind of a worker.
func (f *Fleet) kindOf(worker *standin.Worker) lab.WorkerKind {
	isKindOfWorker := func(kind lab.WorkerKind) bool { return kind.Name == worker.Kind }
	return f.Kinds[slices.IndexFunc(f.Kinds, isKindOfWorker)]
}

// Replace removes a worker without a drain and starts another one of its kind, in slow start and at
// another address. If Replace fails, the worker is removed all the same.
func (f *Fleet) Replace(worker *standin.Worker) (*standin.Worker, error) {
	f.crashWorker(worker)
	f.Discovery.Put(worker, standin.Left)
	return f.AddWorker(f.kindOf(worker), time.Now())
}

// Workers returns the running workers in the order of their starts.
func (f *Fleet) Workers() []*standin.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*standin.Worker
	for _, worker := range f.workers {
		if f.running[worker.Name] == worker {
			running = append(running, worker)
		}
	}
	return running
}
