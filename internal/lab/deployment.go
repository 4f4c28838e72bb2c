// Package lab measures and demonstrates schedulers on loopback. A Deployment runs real schedulers, which read their
// configuration from files as in production, with stand-ins for discovery, the workers and the clients. It keeps its
// files in a temporary folder and removes them when it is closed. The package also contains the long run of all fuzz
// targets and the mutants, deliberate faults which show that the fuzz tests detect errors.
package lab

import (
	"context"
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

// readyPollInterval is the interval between checks whether a starting scheduler is ready.
const readyPollInterval = time.Millisecond

// A Deployment is a running deployment of a Topology, with its schedulers in this process.
type Deployment struct {
	Topology
	Workers    []*standin.Worker
	Discovery  *standin.Discovery
	Schedulers []*daemon.Daemon
	Clients    []controlpb.ControlClient // one for each scheduler; none without an operator's file

	dir           string // folder of the configuration files and control sockets
	clientClosers []func() error
}

// StartDeployment starts a deployment and waits, without a time limit, until its schedulers are ready. Close ends it.
// If StartDeployment fails, it ends what it has started.
func StartDeployment(topology Topology) (r *Deployment, err error) {
	r = &Deployment{Topology: topology}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	if r.dir, err = os.MkdirTemp("", "foxlift-lab-"); err != nil {
		return nil, err
	}
	for _, kind := range topology.Kinds {
		for i := range kind.Count {
			if err := r.startWorker(kind, i); err != nil {
				return nil, err
			}
		}
	}
	if r.Discovery, err = standin.StartDiscovery(r.Workers...); err != nil {
		return nil, err
	}
	for i := range topology.Schedulers {
		if err := r.startScheduler(i); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// startWorker starts worker i of a kind, in the next zone, with twice as many queue places as slots.
func (r *Deployment) startWorker(kind WorkerKind, i int) error {
	serviceTimes := map[string]time.Duration{}
	for _, class := range r.Classes {
		serviceTimes[class.Name] = time.Duration(float64(class.ServiceTime) / kind.Speed)
	}
	worker, err := standin.StartWorker(standin.WorkerSpec{
		Name:        fmt.Sprintf("%s-%d", kind.Name, i),
		Zone:        r.Zones[len(r.Workers)%len(r.Zones)],
		Kind:        kind.Name,
		Slots:       kind.Slots,
		Queue:       2 * kind.Slots,
		ServiceTime: func(class string) time.Duration { return serviceTimes[class] },
	})
	if err != nil {
		return err
	}
	r.Workers = append(r.Workers, worker)
	return nil
}

// Config writes the configuration file of the scheduler with an index and returns the file's path. The cached
// endpoint list in it is the current one.
func (r *Deployment) Config(scheduler int) (string, error) {
	text, err := json.MarshalIndent(map[string]any{
		"name":      fmt.Sprint("n", scheduler),
		"listen":    "127.0.0.1:0",
		"discovery": r.Discovery.Addr().String(),
		"seed":      fmt.Sprintf("%x", 1000+scheduler),
		"limits":    map[string]any{"memory_mb": r.MemoryMB, "sockets": r.Sockets},
		"known":     json.RawMessage(r.Discovery.ListJSON()),
		"settings":  r.Settings(scheduler),
	}, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.dir, fmt.Sprintf("config-%d.json", scheduler))
	return path, os.WriteFile(path, text, 0o600)
}

// startScheduler starts the scheduler with an index and waits until it is ready.
func (r *Deployment) startScheduler(scheduler int) error {
	config, err := r.Config(scheduler)
	if err != nil {
		return err
	}
	socket := filepath.Join(r.dir, fmt.Sprintf("control-%d.sock", scheduler))
	operator := ""
	if r.Operator != "" {
		operator = filepath.Join(r.dir, fmt.Sprintf("operator-%d.sexp", scheduler))
		if err := os.WriteFile(operator, fmt.Appendf(nil, r.Operator, socket), 0o600); err != nil {
			return err
		}
	}
	d, err := daemon.Start(context.Background(), daemon.Options{
		Getenv: func(name string) string {
			if name == "LB_CONFIG" {
				return config
			}
			return ""
		},
		OperatorPath: operator,
		Log:          zap.NewNop(),
		Version:      "lab",
	})
	if err != nil {
		return err
	}
	r.Schedulers = append(r.Schedulers, d)
	if operator != "" {
		client, closeClient, err := control.Dial(socket)
		if err != nil {
			return err
		}
		r.Clients = append(r.Clients, client)
		r.clientClosers = append(r.clientClosers, closeClient)
	}
	for !d.Core.Ready() {
		<-time.After(readyPollInterval)
	}
	return nil
}

// Close stops everything that StartDeployment has started, without a graceful shutdown, and removes the files.
func (r *Deployment) Close() {
	for _, closeClient := range r.clientClosers {
		_ = closeClient() // an error does not matter: the schedulers are killed next
	}
	for _, d := range r.Schedulers {
		d.Kill()
	}
	if r.Discovery != nil {
		r.Discovery.Close()
		r.Discovery.Reset()
	}
	for _, worker := range r.Workers {
		worker.Crash()
	}
	if r.dir != "" {
		os.RemoveAll(r.dir)
	}
}

// Runs returns how many times each job was started, over all workers, by job id.
func (r *Deployment) Runs() map[string]int {
	runs := map[string]int{}
	for _, worker := range r.Workers {
		for id, count := range worker.Runs() {
			runs[id] += count
		}
	}
	return runs
}
