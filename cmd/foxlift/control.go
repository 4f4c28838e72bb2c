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

const callTimeout = 5 * time.Second // for the scheduler to answer

// A caller is how a command reaches a running scheduler.
type controlCaller struct{ socket, operator string }

func (c *controlCaller) flags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&c.socket, "socket", os.Getenv("FOXLIFT_CONTROL"), "the scheduler's control socket (FOXLIFT_CONTROL)")
	cmd.PersistentFlags().StringVar(&c.operator, "operator", "", "the operator's file that names the socket")
}

// call asks the scheduler one thing.
func (c *controlCaller) call(do func(context.Context, controlpb.ControlClient) error) error {
	if c.socket == "" && c.operator != "" {
		path, err := config.ControlSocket(c.operator)
		if err != nil {
			return err
		}
		c.socket = path
	}
	if c.socket == "" {
		return errors.New("--socket: not given; it is control.socket of the operator's file")
	}
	client, end, err := control.Dial(c.socket)
	if err != nil {
		return err
	}
	defer end()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := do(ctx, client); err != nil {
		return errors.New(grpcstatus.Convert(err).Message())
	}
	return nil
}

// printJSON prints a message as JSON.
func printJSON(w io.Writer, m proto.Message) error {
	text, err := protojson.MarshalOptions{EmitUnpopulated: true, UseProtoNames: true}.Marshal(m)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := json.Indent(&b, text, "", "  "); err != nil { // protojson's own spacing differs from build to build
		return err
	}
	_, err = fmt.Fprintln(w, b.String())
	return err
}

func newStatusCommand() *cobra.Command {
	c := &controlCaller{}
	cmd := &cobra.Command{
		Use: "status", Short: "Print what a running scheduler is and its counters, as JSON", Args: cobra.NoArgs,
		Example: `  foxlift status --socket /run/foxlift/control.sock`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.call(func(ctx context.Context, client controlpb.ControlClient) error {
				r, err := client.Status(ctx, &controlpb.StatusRequest{})
				if err != nil {
					return err
				}
				return printJSON(cmd.OutOrStdout(), r)
			})
		},
	}
	c.flags(cmd)
	return cmd
}
