// Package fleet runs many scheduler processes on one machine, among stand-ins for workers, discovery and clients,
// with a link between each process and what it meets, so that parts of the network can be made to fail.
//
// A Fleet owns its processes, links, stand-ins and a folder for their files. Everything is on loopback, and
// everything ends with Close. The trials SlowStartTrial and Keyed play a deployment's hard moments on a fleet and
// judge by what the stand-ins recorded.
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

// Options say what a fleet is made of.
type Options struct {
	lab.Topology
	Program      string             // the scheduler's binary
	CallCost     standin.CallCost   // of calls to discovery
	SlowStart    *standin.SlowStart // of workers that start; nil: they are warm at once
	GroupWindow  time.Duration      // in which groups really drop repeats; 0: as the settings say
	WorkerLinks  bool               // a link between each scheduler and each worker: only for small fleets
	Admin        bool               // each process has a second address, for its operators
	OperatorFile string             // text of each process's operator's file, with %s for a path of its own; "": none
}

// A Fleet is scheduler processes and what they meet.
type Fleet struct {
	Options
	Processes []*Process
	Discovery *standin.Discovery
	Links     []*Link    // of each process to discovery
	Messaging *Messaging // between the processes; nil: they send each other none

	dir      string
	cleanups []func()
	groups   []*standin.DedupGroup

	mu           sync.Mutex
	workers      []*standin.Worker // all that ever were
	running      map[string]*standin.Worker
	workerLinks  []map[string]*Link // of each process, by the worker's name
	workersAdded int
	successors   []*Process
}

// New makes a fleet. Its stand-ins run; its processes have not been started yet: StartAll does.
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

// StartAll starts the processes at once and waits until each is ready.
func (f *Fleet) StartAll(limit time.Duration) error {
	return f.forEachProcess(func(p *Process) error {
		if err := p.Start(); err != nil {
			return err
		}
		return p.AwaitReady(limit)
	})
}

// KillAll kills the processes at once.
func (f *Fleet) KillAll() {
	_ = f.forEachProcess(func(p *Process) error { // which never fails
		p.Kill()
		return nil
	})
}

// TerminateAll ends the processes with SIGTERM and returns the errors that they ended with.
func (f *Fleet) TerminateAll() error {
	return f.forEachProcess((*Process).Terminate)
}

// each does something with all processes at once, and waits for it.
func (f *Fleet) forEachProcess(do func(p *Process) error) error {
	errs := make([]error, len(f.Processes))
	var wait sync.WaitGroup
	for i, p := range f.Processes {
		wait.Go(func() { errs[i] = do(p) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// Close ends everything, and waits for the processes and the links.
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
