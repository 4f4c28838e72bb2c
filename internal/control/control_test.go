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
)

const testTimeout = 20 * time.Second

// nothing is an environment in which no worker answers.
type unresponsiveWorkers struct{}

func (unresponsiveWorkers) Send(string, *core.Job, core.AttemptLimits, func(core.Report)) func() {
	return func() {}
}
func (unresponsiveWorkers) CloseIdle(string)                      {}
func (unresponsiveWorkers) HealthCheck(string, func(core.Report)) {}
func (unresponsiveWorkers) Watch()                                {}

// newServer returns a server, which does not listen yet, of a core with two cells and
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

// start runs one behind a control socket.
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

// The whole API over a real socket, which others may not open.
func TestAPI(t *testing.T) {
	_, path, client := startServer(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
	st, err := client.Status(ctx, &controlpb.StatusRequest{})
	if err != nil || !st.Ready || !st.Cells || st.Version != "v" {
		t.Errorf("status %v, %v", st, err)
	}
	r, err := client.Cells(ctx, &controlpb.CellsRequest{})
	if err != nil || len(r.Cells) != 2 {
		t.Fatalf("cells %v, %v", r, err)
	}
	if len(r.Cells[0].Nodes)+len(r.Cells[1].Nodes) != 8 || r.Cells[0].Tenants[0].Name != "t" {
		t.Fatalf("cells %v", r)
	}
	if m, err := client.Move(ctx, &controlpb.MoveRequest{Tenant: "t", Cell: "b"}); err != nil || m.Tenants != 1 {
		t.Errorf("move %v, %v", m, err)
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
			t.Errorf("%s: %v", what, c.err)
		}
	}
	if m, err := client.Evacuate(ctx, &controlpb.EvacuateRequest{Cell: "b"}); err != nil || m.Tenants != 2 {
		t.Errorf("evacuate %v, %v", m, err)
	}
	if m, err := client.Restore(ctx, &controlpb.RestoreRequest{}); err != nil || m.Tenants != 1 {
		t.Errorf("restore %v, %v", m, err)
	}
}

func errorOf[T any](_ T, err error) error { return err }

// dial opens a connection that stays until the test's end.
func dial(t *testing.T, path string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "unix", path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// A client that stands still, sends garbage or floods holds up neither the core nor,
// beyond the bound on connections, the others.
func TestMisbehavingClients(t *testing.T) {
	srv, path, client := startServer(t)
	for range maxConnections - 2 {
		dial(t, path)
	}
	if _, err := dial(t, path).Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if _, err := client.Cells(ctx, &controlpb.CellsRequest{}); err != nil {
		t.Errorf("beside clients that stand still: %v", err)
	}
	if _, err := srv.Core.Cells(ctx); err != nil {
		t.Errorf("the core: %v", err)
	}
	canceled, cancelCall := context.WithCancel(ctx)
	cancelCall()
	if _, err := client.Cells(canceled, &controlpb.CellsRequest{}); status.Code(err) != codes.Canceled {
		t.Errorf("a caller that has disconnected: %v", err)
	}
}

// A socket that a dead process left is taken over; a live one, and another file, are
// not. The end removes its own socket and no other's.
func TestSocketFile(t *testing.T) {
	srv, path, _ := startServer(t)
	again := &Server{Core: srv.Core, Settings: srv.Settings, Counters: srv.Counters}
	if err := again.Start(t.Context(), path); err == nil {
		t.Error("a socket in use is taken over")
	}
	file := filepath.Join(t.TempDir(), "file")
	writeFile(t, file, "x")
	if err := again.Start(t.Context(), file); err == nil {
		t.Error("a file is taken for a socket")
	}
	left := filepath.Join(t.TempDir(), "left.sock")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: left})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := again.Start(t.Context(), left); err != nil {
		t.Errorf("a socket that was left: %v", err)
	}
	again.Stop()
	if _, err := os.Lstat(left); !os.IsNotExist(err) {
		t.Errorf("its socket stays: %v", err)
	}
	os.Remove(path)
	writeFile(t, path, "another's")
	srv.Stop()
	if _, err := os.Lstat(path); err != nil {
		t.Errorf("another's file is removed: %v", err)
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
