// Package control is the operators' way into a running scheduler: gRPC on a Unix
// socket. The socket's mode, 0600, is its access control: whoever runs the scheduler
// may operate it. The server asks the core by events, with a bound on how long it
// waits and on how many calls it has at once, so that no client of it, slow, dead or
// many, holds up a job.
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
	maxConnections = 4               // connections at once: each is a descriptor
	callTimeout    = 2 * time.Second // for the core to answer
	maxMessage     = 64 << 10        // what a client may send
)

// A Server serves the control API of one scheduler.
type Server struct {
	controlpb.UnimplementedControlServer
	Core     *core.Core
	Settings *config.Settings
	Counters *counters.Set
	Name     string
	Version  string

	grpc   *grpc.Server
	path   string
	socket fs.FileInfo
}

// Start listens on a path. A socket that is left there from a process that is no
// more is replaced; one that answers, or a file of another kind, is an error.
func (s *Server) Start(path string) error {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode().Type() != fs.ModeSocket {
			return fmt.Errorf("control.socket: %s is there and is no socket", path)
		}
		if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
			c.Close()
			return fmt.Errorf("control.socket: another process serves %s", path)
		}
		if err := os.Remove(path); err != nil {
			return fmt.Errorf("control.socket: %w", err)
		}
	}
	old := syscall.Umask(0o177) // the socket must not be open to others even for a moment
	l, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return fmt.Errorf("control.socket: %w", err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false) // by then it may be another's
	s.path = path
	s.socket, _ = os.Lstat(path)
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessage), grpc.MaxConcurrentStreams(8), grpc.ConnectionTimeout(callTimeout),
		grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: time.Minute, Time: 20 * time.Second, Timeout: 5 * time.Second}),
		grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			reply, err := h(ctx, req)
			return reply, toStatus(err)
		}),
	)
	controlpb.RegisterControlServer(s.grpc, s)
	go s.grpc.Serve(netutil.LimitListener(l, maxConnections))
	return nil
}

// Stop ends the server at once, and removes the socket if it is still its own.
func (s *Server) Stop() {
	if s.grpc == nil {
		return
	}
	s.grpc.Stop()
	if now, err := os.Lstat(s.path); err == nil && os.SameFile(now, s.socket) {
		os.Remove(s.path)
	}
}

// word puts an error into gRPC's terms.
func toStatus(err error) error {
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

func (s *Server) cell(x *core.CellState) *controlpb.Cell {
	c := &controlpb.Cell{
		Name: x.Name, Share: x.Fraction, Retired: x.Retired, Evacuated: x.Evacuated,
		Condition: controlpb.Condition(x.Condition), Open: int64(x.Open), Bound: int64(x.Bound),
		Out: int64(x.InFlight), Held: int64(x.Queued), SpillsOut: int64(x.Spilled),
		Served: x.Served, Refused: x.Shed, Failed: x.Failed, Shut: x.Rejected,
	}
	for _, n := range x.Workers {
		c.Nodes = append(c.Nodes, &controlpb.Node{
			Id: n.ID, Kind: config.NameOf(s.Settings.Kinds, n.Kind), Zone: config.NameOf(s.Settings.Zones, n.Zone),
			State: controlpb.NodeState(n.State), Cold: n.InSlowStart, Out: n.InFlight, Others: n.ExternalSlots,
		})
	}
	for _, t := range x.Tenants {
		c.Tenants = append(c.Tenants, &controlpb.Tenant{Name: t.Name, Moved: t.Migrated, Quota: t.Quota})
	}
	return c
}

func movedReply(m core.Migration, err error) (*controlpb.Moved, error) {
	if err != nil {
		return nil, err
	}
	return &controlpb.Moved{Tenants: int64(m.Tenants), Held: int64(m.Queued), Out: int64(m.InFlight)}, nil
}

// Move implements the API.
func (s *Server) Move(ctx context.Context, r *controlpb.MoveRequest) (*controlpb.Moved, error) {
	return movedReply(s.Core.MigrateTenant(ctx, r.Tenant, r.Cell))
}

// Evacuate implements the API.
func (s *Server) Evacuate(ctx context.Context, r *controlpb.EvacuateRequest) (*controlpb.Moved, error) {
	return movedReply(s.Core.Evacuate(ctx, r.Cell))
}

// RestorePlacement implements the API.
func (s *Server) Restore(ctx context.Context, r *controlpb.RestoreRequest) (*controlpb.Moved, error) {
	return movedReply(s.Core.RestorePlacement(ctx, r.Tenant, r.Cell))
}
