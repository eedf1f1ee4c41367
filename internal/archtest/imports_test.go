// Package archtest tests the architecture: which packages import which, that decisions are pure, and that the names which
// operators and other programs use exist.
package archtest

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

const module = "gannetspur/"

// layers are the packages of the gateway from the top down, by prefix. A package imports what is below it or in its own layer.
var layers = [][]string{
	{"cmd/"},
	{"internal/gateway"},
	{"internal/frontend/", "internal/simwire"},
	{"internal/backend"},
	{"internal/site/link"},
	{"internal/queryshape", "internal/handover", "internal/admin", "internal/control", "internal/takeover", "internal/membership", "internal/site/forwarding"},
	{"internal/discovery/", "internal/config"},
	{"internal/core", "internal/netio"},
	{"internal/decide/"},
	{"policy", "internal/sqltext", "internal/pgproto", "internal/timerqueue", "internal/http1", "internal/metrics", "internal/logging", "internal/scramauth", "internal/site/frame", "internal/site/message", "internal/site/mux"},
}

// layerOf is the place of a package's layer, from the top; -1: it is in none.
func layerOf(pkg string) int {
	return slices.IndexFunc(layers, func(prefixes []string) bool {
		return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(pkg, prefix) })
	})
}

func list(t *testing.T, args ...string) []string {
	t.Helper()
	cmd := exec.Command("go", append([]string{"list"}, args...)...)
	cmd.Dir = "../.."
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(string(out)), "\n")
}

// Imports run down only; decisions do no I/O, read no clock and have no random source of their own; and nothing of the testbed
// is linked into what serves.
func TestImports(t *testing.T) {
	for _, line := range list(t, "-f", "{{.ImportPath}}: {{join .Imports \" \"}}", "./...") {
		pkg, imports, _ := strings.Cut(line, ": ")
		pkg = strings.TrimPrefix(pkg, module)
		inTestbed := strings.HasPrefix(pkg, "internal/testbed/")
		layer := layerOf(pkg)
		if layer < 0 && !inTestbed && pkg != "internal/integration" && pkg != "internal/archtest" {
			t.Errorf("%s is in no layer", pkg)
		}
		for _, i := range strings.Fields(imports) {
			to, ours := strings.CutPrefix(i, module)
			if strings.HasPrefix(pkg, "internal/decide/") && slices.Contains([]string{"net", "os", "syscall", "log", "log/slog", "math/rand", "math/rand/v2", "io", "hash/maphash"}, i) {
				t.Errorf("%s imports %s: decisions do no I/O and have no random source", pkg, i)
			}
			switch {
			case !ours:
			case strings.HasPrefix(to, "internal/testbed/") && !inTestbed && pkg != "cmd/testbed":
				t.Errorf("%s imports %s: the testbed is not for serving", pkg, to)
			case inTestbed && strings.HasPrefix(to, "cmd/"):
				t.Errorf("%s imports %s", pkg, to)
			case !inTestbed && layer >= 0 && layerOf(to) >= 0 && layerOf(to) < layer:
				t.Errorf("%s imports %s, which is in a layer above it", pkg, to)
			}
		}
	}
	for _, dep := range list(t, "-deps", "./internal/decide/...") {
		if slices.Contains([]string{"net", "log", "os/exec", "net/http"}, dep) {
			t.Errorf("decisions depend on %s", dep)
		}
	}
	for _, dep := range list(t, "-deps", "./cmd/gateway", "./cmd/simadapter") {
		if strings.HasPrefix(dep, module+"internal/testbed") || strings.HasPrefix(dep, "gonum.org/") {
			t.Errorf("what serves depends on %s", dep)
		}
	}
}

// Decisions read no clock.
func TestDecisionsReadNoClock(t *testing.T) {
	out, err := exec.Command("grep", "-rnE", `time\.(Now|Since|After|Sleep|Tick)|\bgo func`, "--include=*.go", "../decide", "../../policy").Output()
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		if err == nil && line != "" && !strings.Contains(line, "_test.go") {
			t.Errorf("%s", line)
		}
	}
}
