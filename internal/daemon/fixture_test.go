package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/standin"
)

const patience = 20 * time.Second

const twoCells = `(foxlift (control (socket %q)) (cells
 (cell mainland (share 0.5) (tenants central-belt)) (cell isles (share 0.5) (tenants islands))))`

// world is a scheduler with cells between stand-ins.
type fixture struct {
	*Daemon
	workers   []*standin.Worker
	discovery *standin.Discovery
	operator  string
	config    string
	socket    string
}

func startFixture(t *testing.T, operator string) *fixture {
	t.Helper()
	w := &fixture{}
	for i := range 6 {
		n, err := standin.StartNode(fmt.Sprint("n", i), "stirling", "medium", 4, 8, func(class string) time.Duration {
			if class == "ratify" {
				return 200 * time.Millisecond
			}
			return time.Millisecond
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Crash)
		w.workers = append(w.workers, n)
	}
	var err error
	if w.discovery, err = standin.StartDiscovery(w.workers...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.discovery.Close(); w.discovery.Reset() })
	dir := t.TempDir()
	w.operator, w.config, w.socket = filepath.Join(dir, "operator.sexp"), filepath.Join(dir, "config.json"), filepath.Join(dir, "c.sock")
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var cfg map[string]any
	if err := json.Unmarshal(text, &cfg); err != nil {
		t.Fatal(err)
	}
	cfg["listen"], cfg["discovery"], cfg["known"] = "127.0.0.1:0", w.discovery.Addr().String(), json.RawMessage(w.discovery.Known())
	cfg["limits"] = map[string]any{"memory_mb": 192, "sockets": 256}
	text, _ = json.Marshal(cfg)
	w.write(t, w.config, string(text))
	w.write(t, w.operator, fmt.Sprintf(operator, w.socket))
	w.Daemon, err = Start(Options{Getenv: w.getenv, Operator: w.operator, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Kill)
	w.await(t, "ready", w.Core.Ready)
	return w
}

func (w *fixture) getenv(name string) string {
	if name == "LB_CONFIG" {
		return w.config
	}
	return ""
}

func (w *fixture) write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (w *fixture) await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); {
		if time.Now().After(end) {
			t.Fatalf("still not: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (w *fixture) client(tenant, class, name string) *standin.Client {
	return &standin.Client{Addr: w.Addr().String(), Tenant: tenant, Class: class, Name: name, LatencyObjective: patience, Remaining: 5 * time.Second}
}

// workerCells is the cell of each node, by name.
func (w *fixture) workerCells(t *testing.T) map[string]string {
	t.Helper()
	states, err := w.Core.Cells(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	cells := map[string]string{}
	for _, c := range states {
		for _, n := range c.Workers {
			cells[n.ID] = c.Name
		}
	}
	return cells
}

// ran is how many jobs of a tenant ran in each cell.
func (w *fixture) runsByCell(t *testing.T, tenant string) map[string]int {
	cells, ran := w.workerCells(t), map[string]int{}
	for _, n := range w.workers {
		ran[cells[n.Name]] += n.Tenants()[tenant]
	}
	return ran
}
