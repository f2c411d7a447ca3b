#!/bin/sh
# Builds the stand-ins that the cases start, after the build line of deploy/balancer.toml. Needs no network.
set -eu
cd "$(dirname "$0")/tools/rig"
mkdir -p ../../bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../bin/rig .
