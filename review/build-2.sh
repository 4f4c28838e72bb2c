#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/bin, with the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
go build -buildvcs=false -o bin/ ./rig2
