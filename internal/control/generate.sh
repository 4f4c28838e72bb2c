#!/bin/sh
# Generates the Go files of controlpb from control.proto, with the generators of the versions in go.mod.
set -eu
cd "$(dirname "$0")/controlpb"
protoc \
	--plugin=protoc-gen-go="$(go tool -n protoc-gen-go)" \
	--plugin=protoc-gen-go-grpc="$(go tool -n protoc-gen-go-grpc)" \
	--go_out=paths=source_relative:. \
	--go-grpc_out=paths=source_relative:. \
	control.proto
