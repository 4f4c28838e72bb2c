package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/control/controlpb"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/dialtest"
)

// testTimeout bounds the calls of a test.
const testTimeout = 20 * time.Second

// unresponsiveWorkers is an environment for the core in which no worker answers and no endpoint list arrives.
type unresponsiveWorkers struct{}

func (unresponsiveWorkers) Send(string, *core.Job, core.AttemptLimits, func(core.Report)) func() {
	return func() {}
}
func (unresponsiveWorkers) CloseIdle(string)                      {}
func (unresponsiveWorkers) HealthCheck(string, func(core.Report)) {}
func (unresponsiveWorkers) Watch()                                {}

// newServer returns a server that does not listen yet. Its core has the cells a and b, with the tenants t and u, and
// eight workers.
func newServer(t testing.TB) *Server {
	s, err := config.ParseSettings([]byte(`{"dcs":["a"],"flavors":["k"],
		"grades":[{"name":"r","aim":1,"deadline":1,"effect":"idempotent"}],
		"projects":[{"name":"t","quotaRps":1},{"name":"u","quotaRps":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	plan, specErrors := s.PlanCells(&cells.Spec{Cells: []cells.Cell{
		{Name: "a", Tenants: []string{"t"}},
		{Name: "b", Tenants: []string{"u"}},
	}})
	if specErrors != nil {
		t.Fatal(specErrors)
	}
	set := &counters.Set{}
	c, err := core.New(core.Config{Settings: s, Plan: plan, Seed: 1, Clock: core.NewClock(), Counters: set})
	if err != nil {
		t.Fatal(err)
	}
	var list []foxlift.Worker
	for i := range 8 {
		list = append(list, foxlift.Worker{ID: fmt.Sprint("n", i)})
	}
	c.Start(core.Environment{
		Workers:         unresponsiveWorkers{},
		EndpointWatch:   unresponsiveWorkers{},
		MaxOpen:         100,
		CachedEndpoints: list,
	})
	return &Server{Core: c, Settings: s, Counters: set, Name: "x", Version: "v"}
}

// startServer starts a server on a control socket. It returns the server, the path of the socket and a client.
func startServer(t *testing.T) (*Server, string, controlpb.ControlClient) {
	t.Helper()
	srv := newServer(t)
	t.Cleanup(srv.Core.Stop)
	path := filepath.Join(t.TempDir(), "c.sock")
	if err := srv.Start(t.Context(), path); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Stop)
	client, closeClient, err := Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := closeClient(); err != nil {
			t.Error(err)
		}
	})
	return srv, path, client
}

// All calls of the API work over a real socket, whose mode denies access to other users.
func TestAPI(t *testing.T) {
	_, path, client := startServer(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("Stat(socket): mode %v, error %v; want mode 0600", info.Mode(), err)
	}
	statusReply, err := client.Status(ctx, &controlpb.StatusRequest{})
	if err != nil || !statusReply.Ready || !statusReply.Cells || statusReply.Version != "v" {
		t.Errorf("Status() = %v, %v, want ready, with cells and version v", statusReply, err)
	}
	cellsReply, err := client.Cells(ctx, &controlpb.CellsRequest{})
	if err != nil || len(cellsReply.Cells) != 2 {
		t.Fatalf("Cells() = %v, %v, want 2 cells", cellsReply, err)
	}
	if len(cellsReply.Cells[0].Nodes)+len(cellsReply.Cells[1].Nodes) != 8 || cellsReply.Cells[0].Tenants[0].Name != "t" {
		t.Fatalf("Cells() = %v, want 8 workers and the tenant t in the first cell", cellsReply)
	}
	if m, err := client.Move(ctx, &controlpb.MoveRequest{Tenant: "t", Cell: "b"}); err != nil || m.Tenants != 1 {
		t.Errorf("Move(t, b) = %v, %v, want 1 tenant", m, err)
	}
	migrate := func(tenant, cell string) error {
		return errorOf(client.Move(ctx, &controlpb.MoveRequest{Tenant: tenant, Cell: cell}))
	}
	for what, c := range map[string]struct {
		err  error
		want codes.Code
	}{
		"the same cell":  {migrate("t", "b"), codes.FailedPrecondition},
		"unknown cell":   {migrate("t", "z"), codes.NotFound},
		"unknown tenant": {migrate("z", "a"), codes.NotFound},
		"no such cell":   {errorOf(client.Evacuate(ctx, &controlpb.EvacuateRequest{Cell: "z"})), codes.NotFound},
	} {
		if status.Code(c.err) != c.want {
			t.Errorf("%s: error %v, want code %v", what, c.err, c.want)
		}
	}
	if m, err := client.Evacuate(ctx, &controlpb.EvacuateRequest{Cell: "b"}); err != nil || m.Tenants != 2 {
		t.Errorf("Evacuate(b) = %v, %v, want 2 tenants", m, err)
	}
	if m, err := client.Restore(ctx, &controlpb.RestoreRequest{}); err != nil || m.Tenants != 1 {
		t.Errorf("Restore() = %v, %v, want 1 tenant", m, err)
	}
}

// errorOf returns the error of a call and drops its result.
func errorOf[T any](_ T, err error) error { return err }

// Clients that send nothing or garbage delay neither the core nor, as long as they leave one of maxConnections free,
// other clients.
func TestMisbehavingClients(t *testing.T) {
	srv, path, client := startServer(t)
	for range maxConnections - 2 {
		dialtest.Dial(t, "unix", path)
	}
	if _, err := dialtest.Dial(t, "unix", path).Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if _, err := client.Cells(ctx, &controlpb.CellsRequest{}); err != nil {
		t.Errorf("Cells() beside clients that send nothing: error %v, want nil", err)
	}
	if _, err := srv.Core.Cells(ctx); err != nil {
		t.Errorf("Core.Cells(): error %v, want nil", err)
	}
	canceled, cancelCall := context.WithCancel(ctx)
	cancelCall()
	if _, err := client.Cells(canceled, &controlpb.CellsRequest{}); status.Code(err) != codes.Canceled {
		t.Errorf("Cells() with a canceled context: error %v, want code %v", err, codes.Canceled)
	}
}

// Start replaces a socket that no process serves, but neither a socket that is served nor another file. Stop removes
// the server's own socket, but not a file that has replaced it.
func TestSocketFile(t *testing.T) {
	srv, path, _ := startServer(t)
	second := &Server{Core: srv.Core, Settings: srv.Settings, Counters: srv.Counters}
	if err := second.Start(t.Context(), path); err == nil {
		t.Error("Start() on a socket that is served: no error, want one")
	}
	file := filepath.Join(t.TempDir(), "file")
	writeFile(t, file, "x")
	if err := second.Start(t.Context(), file); err == nil {
		t.Error("Start() on a regular file: no error, want one")
	}
	stale := filepath.Join(t.TempDir(), "left.sock")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: stale})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := second.Start(t.Context(), stale); err != nil {
		t.Errorf("Start() on a stale socket: error %v, want nil", err)
	}
	second.Stop()
	if _, err := os.Lstat(stale); !os.IsNotExist(err) {
		t.Errorf("Lstat of the socket after Stop(): error %v, want %v", err, os.ErrNotExist)
	}
	os.Remove(path)
	writeFile(t, path, "another process's file")
	srv.Stop()
	if _, err := os.Lstat(path); err != nil {
		t.Errorf("Lstat of the file that replaced the socket, after Stop(): error %v, want nil", err)
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
