package control

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/vatu-meals/foxlift/internal/control/controlpb"
)

// Dial returns a client of the scheduler whose control socket is at path, and a function that closes the client. The
// client connects at its first call, which fails if no scheduler serves the socket.
func Dial(path string) (controlpb.ControlClient, func() error, error) {
	conn, err := grpc.NewClient("passthrough:///foxlift",
		grpc.WithTransportCredentials(insecure.NewCredentials()), // access control is the mode of the socket
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", path)
		}),
	)
	if err != nil {
		return nil, nil, err
	}
	return controlpb.NewControlClient(conn), conn.Close, nil
}
