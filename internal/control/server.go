// Package control implements the control API of a running scheduler: gRPC on a Unix socket, for operators. Access
// control is the mode of the socket, 0600: the user that runs the scheduler may operate it. A Server owns the socket
// and its file. It sends its requests to the core's event loop. Its waiting time and the number of its concurrent
// calls are bounded, so that slow, dead or many clients of the API do not delay jobs.
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
	maxConnections          = 4        // open at once, further ones wait; each uses a file descriptor
	maxStreamsPerConnection = 8        // concurrent calls on one connection
	maxMessageBytes         = 64 << 10 // size of a request
	bufferBytes             = 4 << 10  // size of the read buffer and of the write buffer of a connection

	dialTimeout = time.Second     // limits the check whether another process serves the socket
	callTimeout = 2 * time.Second // limits a call, including the wait for the core

	socketUmask = 0o177 // creates the socket with mode 0600, so that it is never accessible to other users
)

// keepaliveParameters close connections that are idle or whose client no longer responds.
var keepaliveParameters = keepalive.ServerParameters{
	MaxConnectionIdle: time.Minute,
	Time:              20 * time.Second,
	Timeout:           5 * time.Second,
}

// A Server serves the control API of one scheduler. Set the exported fields before Start.
type Server struct {
	controlpb.UnimplementedControlServer
	Core     *core.Core
	Settings *config.Settings
	Counters *counters.Set
	Name     string
	Version  string

	grpc    *grpc.Server
	path    string        // of the socket
	socket  fs.FileInfo   // identifies the socket file that this server created
	stopped chan struct{} // closed when the socket is no longer served
}

// Start listens on a path and serves in the background. ctx applies to the start only. A socket that a process
// has left there at its exit is replaced. A socket that another process serves, or a file of another type, is an
// error.
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
		// An error means that the listener has failed. It is ignored: operators notice because their calls fail.
		_ = s.grpc.Serve(netutil.LimitListener(listener, maxConnections))
	}()
	return nil
}

// listen creates the socket, and replaces a stale one. While it does, the umask of the whole process is socketUmask.
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
	// When the listener is closed, the file may belong to another process.
	listener.(*net.UnixListener).SetUnlinkOnClose(false)
	return listener, nil
}

// removeStaleSocket removes a socket that no process serves. It does nothing if there is no file. It is an error if the
// file is not a socket or if another process serves it.
func removeStaleSocket(ctx context.Context, path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil //nolint:nilerr // there is no file to remove, or listening fails with the same cause
	}
	if info.Mode().Type() != fs.ModeSocket {
		return fmt.Errorf("%s exists and is not a socket", path)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	if conn, err := dialer.DialContext(ctx, "unix", path); err == nil {
		conn.Close()
		return fmt.Errorf("another process serves the socket %s", path)
	}
	return os.Remove(path)
}

// limitCallDuration is an interceptor that limits a call to callTimeout and converts its error to a gRPC status.
func limitCallDuration(
	ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler,
) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := handler(ctx, request)
	return reply, toStatusError(err)
}

// Stop stops the server at once and aborts its calls. It removes the socket file, unless another process has replaced
// it. On a server that has not been started it does nothing.
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

// toStatusError converts an error to one with a gRPC status: NotFound for an unknown tenant or cell, the status of
// the context for a timeout or a cancellation, and FailedPrecondition otherwise. nil stays nil.
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

// Status implements controlpb.ControlServer. It returns the scheduler's name, version and counters, whether its core
// is ready, and whether it has cells.
func (s *Server) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusReply, error) {
	name, _ := s.Core.Cell("", 0)
	return &controlpb.StatusReply{
		Name: s.Name, Version: s.Version, Ready: s.Core.Ready(), Cells: name != "", Counters: s.Counters.All(),
	}, nil
}

// Cells implements controlpb.ControlServer. It returns the state of all cells at one point in time. On
// a scheduler without cells it fails.
func (s *Server) Cells(ctx context.Context, _ *controlpb.CellsRequest) (*controlpb.CellsReply, error) {
	states, err := s.Core.Cells(ctx)
	if err != nil {
		return nil, err
	}
	reply := &controlpb.CellsReply{}
	for i := range states {
		reply.Cells = append(reply.Cells, s.cell(&states[i]))
	}
	return reply, nil
}

// cell converts the state of a cell to its message. An unknown kind or zone of a worker becomes "".
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
	for _, worker := range state.Workers {
		cell.Nodes = append(cell.Nodes, &controlpb.Node{
			Id:     worker.ID,
			Kind:   config.NameOf(s.Settings.Kinds, worker.Kind),
			Zone:   config.NameOf(s.Settings.Zones, worker.Zone),
			State:  controlpb.NodeState(worker.State),
			Cold:   worker.InSlowStart,
			Out:    worker.InFlight,
			Others: worker.ExternalSlots,
		})
	}
	for _, tenant := range state.Tenants {
		cell.Tenants = append(cell.Tenants, &controlpb.Tenant{Name: tenant.Name, Moved: tenant.Migrated, Quota: tenant.Quota})
	}
	return cell
}

// migrationReply converts a migration to its message. An error is returned as it is.
func migrationReply(m core.Migration, err error) (*controlpb.Moved, error) {
	if err != nil {
		return nil, err
	}
	return &controlpb.Moved{Tenants: int64(m.Tenants), Held: int64(m.Queued), Out: int64(m.InFlight)}, nil
}

// Move implements controlpb.ControlServer. It migrates a tenant to a cell.
func (s *Server) Move(ctx context.Context, r *controlpb.MoveRequest) (*controlpb.Moved, error) {
	return migrationReply(s.Core.MigrateTenant(ctx, r.Tenant, r.Cell))
}

// Evacuate implements controlpb.ControlServer. It migrates all tenants out of a cell; Restore undoes that.
func (s *Server) Evacuate(ctx context.Context, r *controlpb.EvacuateRequest) (*controlpb.Moved, error) {
	return migrationReply(s.Core.Evacuate(ctx, r.Cell))
}

// Restore implements controlpb.ControlServer. It returns tenants to their configured cells: one tenant, the tenants
// configured in a cell or, if both are empty, all tenants. If no tenant is given, it also ends the evacuation of that
// cell or of all cells. If both are given, only the tenant is returned.
func (s *Server) Restore(ctx context.Context, r *controlpb.RestoreRequest) (*controlpb.Moved, error) {
	return migrationReply(s.Core.RestorePlacement(ctx, r.Tenant, r.Cell))
}
