// Package controlpb contains the control API: the messages and the gRPC service of the control socket, which protoc
// generates from control.proto.
package controlpb
