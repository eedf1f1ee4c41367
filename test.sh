#!/bin/sh
# Checks the format and runs vet, the linter and the tests; the README names this command. Property tests use a fixed
# seed, so that every run gives the same result; RAPID_SEED=0 chooses a new seed, to find further failures.
#
# KNOWN-RED.txt lists tests that fail because of a known fault that is not fixed yet; tools/known-red.sh tells its form.
# They are skipped here and printed; a listed test that passes or does not exist fails the run. A line that names an
# architecture holds there only: on other machines its test runs as any other.
set -eu
unformatted=$(gofmt -l cmd examples internal policy)
if [ -n "$unformatted" ]; then
    echo "gofmt: these files are not formatted; run gofmt -w on them: $unformatted" >&2
    exit 1
fi
go vet ./...
go tool -modfile=tools/go.mod golangci-lint run ./...
listed=
known_red=
if [ -s KNOWN-RED.txt ]; then
    known_red=$(sh tools/known-red.sh KNOWN-RED.txt "$(go env GOARCH)")
    while read -r name package rest; do
        [ -n "$name" ] || continue # no line holds on this machine
        echo "known red: $name $package $rest"
        go test -list "^$name\$" "$package" | grep -qx "$name" || { echo "KNOWN-RED.txt: test $name does not exist in $package" >&2; exit 1; }
        if go test -run "^$name\$" "$package" > /dev/null 2>&1; then
            echo "KNOWN-RED.txt: $name passes; remove its line" >&2
            exit 1
        fi
        listed="$listed
$(go list "$package")"
    done <<EOF
$known_red
EOF
fi
drawn=$(go list -f '{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}' ./...)
unlisted() { # PACKAGES: those of which KNOWN-RED.txt lists no test
    echo "$1" | grep -vxF "$listed"
}
go test -race $(unlisted "$(go list ./... | grep -vxF "$drawn")")
go test -race $(unlisted "$drawn") -rapid.seed="${RAPID_SEED:-1}"
for package in $(echo "$listed" | sort -u); do # without its listed tests, and those alone
    skip=$(echo "$known_red" | while read -r name path _; do [ "$(go list "$path")" != "$package" ] || printf '^%s$|' "$name"; done)
    seed=
    ! echo "$drawn" | grep -qxF "$package" || seed=-rapid.seed="${RAPID_SEED:-1}"
    go test -race -skip "${skip%|}" "$package" $seed
done
