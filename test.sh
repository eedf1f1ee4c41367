#!/bin/sh
# Checks the format and runs vet, the linter and the tests; the README names this command. Property tests use a fixed
# seed, so that every run gives the same result; RAPID_SEED=0 chooses a new seed, to find further failures.
#
# KNOWN-RED.txt lists tests that fail because of a known fault that is not fixed yet, at most three, one per line:
# TEST PACKAGE | cause | issue. They are skipped here and printed; a listed test that passes or does not exist fails the run.
set -eu
unformatted=$(gofmt -l cmd examples internal policy)
if [ -n "$unformatted" ]; then
    echo "gofmt: these files are not formatted; run gofmt -w on them: $unformatted" >&2
    exit 1
fi
go vet ./...
go tool -modfile=tools/go.mod golangci-lint run ./...
listed=
if [ -s KNOWN-RED.txt ]; then
    [ "$(wc -l < KNOWN-RED.txt)" -le 3 ] || { echo "KNOWN-RED.txt: lists more than three tests, the limit is three" >&2; exit 1; }
    while read -r name package rest; do
        case "$name $rest" in Test*"| "*"| "*) ;; *) echo "KNOWN-RED.txt: the line of $name is not of the form: TEST PACKAGE | cause | issue" >&2; exit 1 ;; esac
        echo "known red: $name $package $rest"
        go test -list "^$name\$" "$package" | grep -qx "$name" || { echo "KNOWN-RED.txt: test $name does not exist in $package" >&2; exit 1; }
        if go test -run "^$name\$" "$package" > /dev/null 2>&1; then
            echo "KNOWN-RED.txt: $name passes; remove its line" >&2
            exit 1
        fi
        listed="$listed
$(go list "$package")"
    done < KNOWN-RED.txt
fi
drawn=$(go list -f '{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}' ./...)
unlisted() { # PACKAGES: those of which KNOWN-RED.txt lists no test
    echo "$1" | grep -vxF "$listed"
}
go test -race $(unlisted "$(go list ./... | grep -vxF "$drawn")")
go test -race $(unlisted "$drawn") -rapid.seed="${RAPID_SEED:-1}"
for package in $(echo "$listed" | sort -u); do # without its listed tests, and those alone
    skip=$(while read -r name path _; do [ "$(go list "$path")" != "$package" ] || printf '^%s$|' "$name"; done < KNOWN-RED.txt)
    seed=
    ! echo "$drawn" | grep -qxF "$package" || seed=-rapid.seed="${RAPID_SEED:-1}"
    go test -race -skip "${skip%|}" "$package" $seed
done
