#!/bin/sh
# Builds the stand-ins and drivers of the cases into review/bin. Needs the Go tool chain and no network.
set -eu
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../bin/rig .
