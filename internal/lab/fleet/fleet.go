// Package fleet runs many scheduler processes on one machine with stand-ins for workers, discovery and clients.
// Links, which forward the connections between a process and its stand-ins, can simulate network failures.
//
// A Fleet owns its processes, links, stand-ins and a directory for their files. Everything runs on loopback, and
// Close ends all of it. The trials SlowStartTrial and KeyedTrial run failure scenarios of a deployment on a fleet
// and check the records of the stand-ins.
package fleet

import (
	"errors"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/vatu-meals/foxlift/internal/lab"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// Options describe a fleet.
type Options struct {
	lab.Topology
	Program      string             // path of the scheduler's binary
	CallCost     standin.CallCost   // of calls to discovery
	SlowStart    *standin.SlowStart // of workers that start; nil: they have full capacity at once
	GroupWindow  time.Duration      // for which dedup groups drop repeats; 0: the DedupWindow of the topology
	WorkerLinks  bool               // create a link between each scheduler and each worker; only for small fleets
	Admin        bool               // give each process an admin address
	OperatorFile string             // content of each operator file, with %s for the checkpoint's path; "": no such file
}

// Fleet is a set of scheduler processes with their links and stand-ins.
type Fleet struct {
	Options
	Processes []*Process
	Discovery *standin.Discovery
	Links     []*Link    // from each process to discovery
	Messaging *Messaging // between the processes; nil if they exchange no messages

	dir      string
	cleanups []func()
	groups   []*standin.DedupGroup

	mu           sync.Mutex
	workers      []*standin.Worker          // all workers ever started
	running      map[string]*standin.Worker // by name
	workerLinks  []map[string]*Link         // for each process, by the worker's name
	workersAdded int
	successors   []*Process
}

// New creates a fleet. Its stand-ins run; its processes start with StartAll. Close ends it. If New fails,
// it ends what it has started.
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
	f.Discovery.CallCost = o.CallCost
	for i := range o.DedupGroups {
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
		if err := f.addProcess(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// StartAll starts all processes concurrently and waits until each is ready, at most for limit each. It
// joins the errors of the processes that fail and leaves the remaining ones running.
func (f *Fleet) StartAll(limit time.Duration) error {
	return f.forEachProcess(func(p *Process) error {
		if err := p.Start(); err != nil {
			return err
		}
		return p.AwaitReady(limit)
	})
}

// KillAll kills all Processes, without successors, concurrently and waits until they have exited.
func (f *Fleet) KillAll() {
	_ = f.forEachProcess(func(p *Process) error { // Kill cannot fail
		p.Kill()
		return nil
	})
}

// TerminateAll ends all Processes, without successors, with SIGTERM, waits without a time limit until they
// have exited and joins their exit errors. A process that does not run counts as no error.
func (f *Fleet) TerminateAll() error {
	return f.forEachProcess((*Process).Terminate)
}

// forEachProcess calls do for all processes concurrently, waits for the calls and joins their errors.
func (f *Fleet) forEachProcess(do func(p *Process) error) error {
	errs := make([]error, len(f.Processes))
	var wait sync.WaitGroup
	for i, p := range f.Processes {
		wait.Go(func() { errs[i] = do(p) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// Close ends everything, waits for the processes and the links, and removes the directory of the files.
func (f *Fleet) Close() {
	f.KillAll()
	for _, p := range f.successors {
		p.Kill()
	}
	for _, p := range slices.Concat(f.Processes, f.successors) {
		p.running.Wait()
	}
	for _, link := range f.Links {
		link.close()
	}
	for _, links := range f.workerLinks {
		for _, link := range links {
			link.close()
		}
	}
	for _, cleanup := range f.cleanups {
		cleanup()
	}
	if f.Discovery != nil {
		f.Discovery.Close()
		f.Discovery.Reset()
	}
	for _, worker := range f.workers {
		worker.Crash()
	}
	os.RemoveAll(f.dir)
}
