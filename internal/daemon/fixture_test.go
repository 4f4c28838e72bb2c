package daemon

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

// twoCells is an operator's file with a control socket at the path %q and two cells of equal capacity.
const twoCells = `(foxlift (control (socket %q)) (cells
 (cell mainland (share 0.5) (tenants central-belt)) (cell isles (share 0.5) (tenants islands))))`

// A fixture is a scheduler with stand-ins for the workers and the discovery service.
type fixture struct {
	*Daemon
	workers              []*standin.Worker
	discovery            *standin.Discovery
	operator             string // path of the operator's file
	config               string // path of the configuration file
	operatorPathArgument string // path that replaces %q in the operator's file
}

// startFixture starts a scheduler with the text of an operator's file, in which a path replaces %q, and waits
// until it is ready.
func startFixture(t *testing.T, operator string) *fixture {
	t.Helper()
	directory := t.TempDir()
	f := &fixture{
		operator:             filepath.Join(directory, "operator.sexp"),
		config:               filepath.Join(directory, "config.json"),
		operatorPathArgument: filepath.Join(directory, "c.sock"),
	}
	f.startStandins(t)
	f.writeConfig(t)
	f.write(t, f.operator, fmt.Sprintf(operator, f.operatorPathArgument))
	f.restart(t)
	return f
}

// startStandins starts six workers and a discovery service that lists them.
func (f *fixture) startStandins(t *testing.T) {
	t.Helper()
	serviceTime := func(class string) time.Duration {
		if class == "ratify" {
			return 200 * time.Millisecond
		}
		return time.Millisecond
	}
	for i := range 6 {
		worker, err := standin.StartWorker(standin.WorkerSpec{
			Name:        fmt.Sprint("n", i),
			Zone:        "stirling",
			Kind:        "medium",
			Slots:       4,
			Queue:       8,
			ServiceTime: serviceTime,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(worker.Crash)
		f.workers = append(f.workers, worker)
	}
	var err error
	if f.discovery, err = standin.StartDiscovery(f.workers...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.stopDiscovery)
}

// stopDiscovery stops the discovery stand-in and its connections.
func (f *fixture) stopDiscovery() {
	f.discovery.Close()
	f.discovery.Reset()
}

// writeConfig writes the example configuration, changed to use the stand-ins.
func (f *fixture) writeConfig(t *testing.T) {
	t.Helper()
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var cfg map[string]any
	if err := json.Unmarshal(text, &cfg); err != nil {
		t.Fatal(err)
	}
	cfg["listen"] = "127.0.0.1:0"
	cfg["discovery"] = f.discovery.Addr().String()
	cfg["known"] = json.RawMessage(f.discovery.ListJSON())
	cfg["limits"] = map[string]any{"memory_mb": 192, "sockets": 256}
	if text, err = json.Marshal(cfg); err != nil {
		t.Fatal(err)
	}
	f.write(t, f.config, string(text))
}

// restart starts a scheduler from the fixture's files, replaces the fixture's daemon by it and waits until it is
// ready. The caller has shut down or killed the previous one.
func (f *fixture) restart(t *testing.T) {
	t.Helper()
	f.Daemon = f.mustStart(t, map[string]string{"LB_CONFIG": f.config})
	f.await(t, "ready", f.Core.Ready)
}

// mustStart starts a scheduler with environment variables. It is killed at the end of the test.
func (f *fixture) mustStart(t *testing.T, variables map[string]string) *Daemon {
	t.Helper()
	d, err := f.start(t, variables)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	return d
}

func (f *fixture) start(t *testing.T, variables map[string]string) (*Daemon, error) {
	t.Helper()
	return Start(t.Context(), Options{
		Getenv:       func(name string) string { return variables[name] },
		OperatorPath: f.operator,
		Log:          zap.NewNop(),
	})
}

func (f *fixture) write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// await waits until a condition holds. It fails the test after testTimeout.
func (f *fixture) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", testTimeout, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// client returns a client that sends jobs of a tenant and a class to the scheduler.
func (f *fixture) client(tenant, class, name string) *standin.Client {
	return &standin.Client{
		Addr:             f.Addr().String(),
		Tenant:           tenant,
		Class:            class,
		Name:             name,
		LatencyObjective: testTimeout,
		Remaining:        5 * time.Second,
	}
}

// workerCells returns the name of the cell of each worker, by worker ID.
func (f *fixture) workerCells(t *testing.T) map[string]string {
	t.Helper()
	states, err := f.Core.Cells(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	cells := map[string]string{}
	for _, cell := range states {
		for _, worker := range cell.Workers {
			cells[worker.ID] = cell.Name
		}
	}
	return cells
}

// runsByCell returns how many jobs of a tenant have run in each cell, by the name of the cell.
func (f *fixture) runsByCell(t *testing.T, tenant string) map[string]int {
	t.Helper()
	cells, runs := f.workerCells(t), map[string]int{}
	for _, worker := range f.workers {
		runs[cells[worker.Name]] += worker.Tenants()[tenant]
	}
	return runs
}
