package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
	grpcstatus "google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/control"
	"github.com/vatu-meals/foxlift/internal/control/controlpb"
)

const callTimeout = 5 * time.Second // limits how long a call to the scheduler may take

// A controlCaller calls a running scheduler over its control socket. Flags set the path of the socket.
type controlCaller struct {
	socket   string // path of the control socket
	operator string // path of the operator's file, which has the path of the socket
}

// addFlags adds the flags that set the path of the control socket.
func (c *controlCaller) addFlags(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&c.socket, "socket", os.Getenv("FOXLIFT_CONTROL"),
		"path of the scheduler's control socket (FOXLIFT_CONTROL)")
	flags.StringVar(&c.operator, "operator", "", "path of the operator's file, which names the control socket")
}

// call connects to the scheduler, runs do with the client, and closes the connection. Its errors have the message
// of the scheduler without the gRPC code.
func (c *controlCaller) call(ctx context.Context, do func(context.Context, controlpb.ControlClient) error) error {
	socket, err := c.socketPath()
	if err != nil {
		return err
	}
	client, closeClient, err := control.Dial(socket)
	if err != nil {
		return err
	}
	defer func() { _ = closeClient() }() // the call has already returned its result
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := do(ctx, client); err != nil {
		return errors.New(grpcstatus.Convert(err).Message())
	}
	return nil
}

// socketPath returns the path of the control socket: from the flag or, if that is not set, from the operator's file.
// It is an error if neither has a path. The flag's default is the environment variable FOXLIFT_CONTROL.
func (c *controlCaller) socketPath() (string, error) {
	if c.socket == "" && c.operator != "" {
		path, err := config.ReadControlSocket(c.operator)
		if err != nil {
			return "", err
		}
		c.socket = path
	}
	if c.socket == "" {
		return "", errors.New("--socket: not set; use the path of control.socket in the operator's file")
	}
	return c.socket, nil
}

// printJSON prints a message as indented JSON.
func printJSON(w io.Writer, message proto.Message) error {
	text, err := protojson.MarshalOptions{EmitUnpopulated: true, UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	// The text is indented again because the spacing of protojson differs between builds.
	if err := json.Indent(&indented, text, "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, indented.String())
	return err
}

// newStatusCommand returns the command that prints the status of a scheduler.
func newStatusCommand() *cobra.Command {
	caller := &controlCaller{}
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Print the name, version, state and counters of a running scheduler as JSON",
		Args:    cobra.NoArgs,
		Example: `  foxlift status --socket /run/foxlift/control.sock`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return caller.call(cmd.Context(), func(ctx context.Context, client controlpb.ControlClient) error {
				reply, err := client.Status(ctx, &controlpb.StatusRequest{})
				if err != nil {
					return err
				}
				return printJSON(cmd.OutOrStdout(), reply)
			})
		},
	}
	caller.addFlags(cmd)
	return cmd
}
