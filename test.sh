#!/bin/sh
# Format, vet and tests; README names this command.
set -eu
unformatted=$(gofmt -l cmd examples internal policy)
if [ -n "$unformatted" ]; then
    echo "gofmt: $unformatted" >&2
    exit 1
fi
go vet ./...
go test -race ./...
