#!/bin/sh
# Makes controlpb's Go files of control.proto, with the generators that go.mod names.
set -eu
cd "$(dirname "$0")/controlpb"
protoc \
	--plugin=protoc-gen-go="$(go tool -n protoc-gen-go)" \
	--plugin=protoc-gen-go-grpc="$(go tool -n protoc-gen-go-grpc)" \
	--go_out=paths=source_relative:. \
	--go-grpc_out=paths=source_relative:. \
	control.proto
