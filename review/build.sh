#!/bin/sh
# Builds the stand-ins of the review. It needs the Go tool chain only; they use the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
CGO_ENABLED=0 go build -o bin/ ./cmd/...
