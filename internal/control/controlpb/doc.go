// Package controlpb is the control API: the messages and the gRPC service of the control socket, as
// protoc makes them from control.proto.
package controlpb
