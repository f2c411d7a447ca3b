#!/bin/sh
# Builds the stand-ins of the second review into bin/rig2. It needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
cd review/tools/rig2
go build -buildvcs=false -o ../../../bin/rig2 .
