// Package control serves operators' calls to a running scheduler: gRPC on a Unix socket. The socket's
// mode, 0600, is its access control: whoever runs the scheduler may operate it. A Server owns the socket
// and its file. It asks the core by events, with a bound on how long it waits and on how many calls it
// has at once, so that no client of it, slow, dead or many, delays a job.
package control

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/vatu-meals/foxlift/internal/cells"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/control/controlpb"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
)

const (
	maxConnections          = 4 // at once: each is a file descriptor
	maxStreamsPerConnection = 8 // of one connection
	maxMessageBytes         = 64 << 10
	bufferBytes             = 4 << 10 // of a connection, to read and to write

	dialTimeout = time.Second     // for another process that may serve the socket
	callTimeout = 2 * time.Second // for the core to answer

	socketUmask = 0o177 // the socket must not be open to others even for a moment
)

var keepaliveParameters = keepalive.ServerParameters{
	MaxConnectionIdle: time.Minute,
	Time:              20 * time.Second,
	Timeout:           5 * time.Second,
}

// A Server serves the control API of one scheduler.
type Server struct {
	controlpb.UnimplementedControlServer
	Core     *core.Core
	Settings *config.Settings
	Counters *counters.Set
	Name     string
	Version  string

	grpc    *grpc.Server
	path    string
	socket  fs.FileInfo
	stopped chan struct{} // closed when the socket is no longer served
}

// Start listens on a path; ctx bounds the start alone. A socket that is left there from a process that
// has ended is replaced; one that is served, or a file of another kind, is an error.
func (s *Server) Start(ctx context.Context, path string) error {
	listener, err := listen(ctx, path)
	if err != nil {
		return fmt.Errorf("control.socket: %w", err)
	}
	s.path = path
	s.socket, _ = os.Lstat(path)
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreamsPerConnection),
		grpc.ConnectionTimeout(callTimeout),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.KeepaliveParams(keepaliveParameters),
		grpc.UnaryInterceptor(limitCallDuration),
	)
	controlpb.RegisterControlServer(s.grpc, s)
	s.stopped = make(chan struct{})
	go func() {
		defer close(s.stopped)
		// Its error says that the listener has failed: operators see that their calls do.
		_ = s.grpc.Serve(netutil.LimitListener(listener, maxConnections))
	}()
	return nil
}

// listen makes the socket, in the place of one that nobody serves.
func listen(ctx context.Context, path string) (net.Listener, error) {
	if err := removeStaleSocket(ctx, path); err != nil {
		return nil, err
	}
	var config net.ListenConfig
	previous := syscall.Umask(socketUmask)
	listener, err := config.Listen(ctx, "unix", path)
	syscall.Umask(previous)
	if err != nil {
		return nil, err
	}
	// By the time of its close the file may be another process's.
	listener.(*net.UnixListener).SetUnlinkOnClose(false)
	return listener, nil
}

// removeStale removes a socket that nobody serves.
func removeStaleSocket(ctx context.Context, path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil //nolint:nilerr // there is nothing to remove; listening tells of what else is wrong
	}
	if info.Mode().Type() != fs.ModeSocket {
		return fmt.Errorf("%s is there and is no socket", path)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	if conn, err := dialer.DialContext(ctx, "unix", path); err == nil {
		conn.Close()
		return fmt.Errorf("another process serves %s", path)
	}
	return os.Remove(path)
}

// boundedCall bounds a call in time and puts its error into gRPC's terms.
func limitCallDuration(
	ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler,
) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := handler(ctx, request)
	return reply, toStatusError(err)
}

// Stop ends the server at once, and removes the socket if it is still its own.
func (s *Server) Stop() {
	if s.grpc == nil {
		return
	}
	s.grpc.Stop()
	<-s.stopped
	if now, err := os.Lstat(s.path); err == nil && os.SameFile(now, s.socket) {
		os.Remove(s.path)
	}
}

// toStatus puts an error into gRPC's terms.
func toStatusError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, cells.ErrUnknownTenant), errors.Is(err, cells.ErrUnknownCell):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return status.FromContextError(err).Err()
	}
	return status.Error(codes.FailedPrecondition, err.Error())
}

// Status implements the API.
func (s *Server) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusReply, error) {
	name, _ := s.Core.Cell("", 0)
	return &controlpb.StatusReply{
		Name: s.Name, Version: s.Version, Ready: s.Core.Ready(), Cells: name != "", Counters: s.Counters.All(),
	}, nil
}

// Cells implements the API.
func (s *Server) Cells(ctx context.Context, _ *controlpb.CellsRequest) (*controlpb.CellsReply, error) {
	states, err := s.Core.Cells(ctx)
	if err != nil {
		return nil, err
	}
	r := &controlpb.CellsReply{}
	for i := range states {
		r.Cells = append(r.Cells, s.cell(&states[i]))
	}
	return r, nil
}

// cell returns the API's form of a cell's state.
func (s *Server) cell(state *core.CellState) *controlpb.Cell {
	cell := &controlpb.Cell{
		Name:      state.Name,
		Share:     state.CapacityFraction,
		Retired:   state.Retired,
		Evacuated: state.Evacuated,
		Condition: controlpb.Condition(state.Condition),
		Open:      int64(state.Open),
		Bound:     int64(state.Bound),
		Out:       int64(state.InFlight),
		Held:      int64(state.Queued),
		SpillsOut: int64(state.Spilled),
		Served:    state.Served,
		Refused:   state.Shed,
		Failed:    state.Failed,
		Shut:      state.ShedOnArrival,
	}
	for _, w := range state.Workers {
		cell.Nodes = append(cell.Nodes, &controlpb.Node{
			Id:     w.ID,
			Kind:   config.NameOf(s.Settings.Kinds, w.Kind),
			Zone:   config.NameOf(s.Settings.Zones, w.Zone),
			State:  controlpb.NodeState(w.State),
			Cold:   w.InSlowStart,
			Out:    w.InFlight,
			Others: w.ExternalSlots,
		})
	}
	for _, t := range state.Tenants {
		cell.Tenants = append(cell.Tenants, &controlpb.Tenant{Name: t.Name, Moved: t.Migrated, Quota: t.Quota})
	}
	return cell
}

// migrationReply returns the API's form of a migration.
func migrationReply(m core.Migration, err error) (*controlpb.Moved, error) {
	if err != nil {
		return nil, err
	}
	return &controlpb.Moved{Tenants: int64(m.Tenants), Held: int64(m.Queued), Out: int64(m.InFlight)}, nil
}

// Move implements the API: it migrates a tenant to a cell.
func (s *Server) Move(ctx context.Context, r *controlpb.MoveRequest) (*controlpb.Moved, error) {
	return migrationReply(s.Core.MigrateTenant(ctx, r.Tenant, r.Cell))
}

// Evacuate implements the API.
func (s *Server) Evacuate(ctx context.Context, r *controlpb.EvacuateRequest) (*controlpb.Moved, error) {
	return migrationReply(s.Core.Evacuate(ctx, r.Cell))
}

// Restore implements the API.
func (s *Server) Restore(ctx context.Context, r *controlpb.RestoreRequest) (*controlpb.Moved, error) {
	return migrationReply(s.Core.RestorePlacement(ctx, r.Tenant, r.Cell))
}
