// Package archtest tests the architecture: which packages import which, that decision packages are free of I/O and
// clocks, and that the names which operators and other programs use exist.
package archtest

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// module is the module path with the slash that ends it as a prefix of package paths.
const module = "gannetspur/"

// layers lists the gateway's packages by prefix, from the top layer down. A package may import only packages of
// its own layer or of lower ones.
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

// layerOf returns the index of a package's layer, 0 for the top, or -1 if the package is in no layer.
func layerOf(pkg string) int {
	return slices.IndexFunc(layers, func(prefixes []string) bool {
		return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(pkg, prefix) })
	})
}

// goList runs "go list" at the module's root and returns its output lines.
func goList(t *testing.T, args ...string) []string {
	t.Helper()
	cmd := exec.Command("go", append([]string{"list"}, args...)...)
	cmd.Dir = "../.."
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(string(out)), "\n")
}

// TestImports guards against dependencies that break the architecture: imports must not point to a higher layer,
// decision packages must do no I/O and have no random source of their own, and the serving programs must not
// link testbed packages.
func TestImports(t *testing.T) {
	for _, line := range goList(t, "-f", "{{.ImportPath}}: {{join .Imports \" \"}}", "./...") {
		pkg, imports, _ := strings.Cut(line, ": ")
		pkg = strings.TrimPrefix(pkg, module)
		inTestbed := strings.HasPrefix(pkg, "internal/testbed/")
		layer := layerOf(pkg)
		if layer < 0 && !inTestbed && pkg != "internal/integration" && pkg != "internal/archtest" {
			t.Errorf("%s: got no layer, want one", pkg)
		}
		for _, imported := range strings.Fields(imports) {
			to, inModule := strings.CutPrefix(imported, module)
			if strings.HasPrefix(pkg, "internal/decide/") && slices.Contains([]string{"net", "os", "syscall", "log", "log/slog", "math/rand", "math/rand/v2", "io", "hash/maphash"}, imported) {
				t.Errorf("%s imports %s: want no I/O and no random source in decision packages", pkg, imported)
			}
			switch {
			case !inModule:
			case strings.HasPrefix(to, "internal/testbed/") && !inTestbed && pkg != "cmd/testbed":
				t.Errorf("%s imports %s: want testbed packages imported only by the testbed", pkg, to)
			case inTestbed && strings.HasPrefix(to, "cmd/"):
				t.Errorf("%s imports %s: want no package of cmd/ imported by the testbed", pkg, to)
			case !inTestbed && layer >= 0 && layerOf(to) >= 0 && layerOf(to) < layer:
				t.Errorf("%s imports %s: got an import of a higher layer, want its own layer or a lower one", pkg, to)
			}
		}
	}
	for _, dep := range goList(t, "-deps", "./internal/decide/...") {
		if slices.Contains([]string{"net", "log", "os/exec", "net/http"}, dep) {
			t.Errorf("got a dependency of decision packages on %s, want none", dep)
		}
	}
	for _, dep := range goList(t, "-deps", "./cmd/gateway", "./cmd/simadapter") {
		if strings.HasPrefix(dep, module+"internal/testbed") || strings.HasPrefix(dep, "gonum.org/") {
			t.Errorf("got a dependency of a serving program on %s, want none", dep)
		}
	}
}

// TestDecisionsReadNoClock guards against decisions that depend on the clock or on goroutines, which would make
// replays of them differ.
func TestDecisionsReadNoClock(t *testing.T) {
	out, err := exec.Command("grep", "-rnE", `time\.(Now|Since|After|Sleep|Tick)|\bgo func`, "--include=*.go", "../decide", "../../policy").Output()
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		if err == nil && line != "" && !strings.Contains(line, "_test.go") {
			t.Errorf("got %s, want no clock and no goroutine in decisions", line)
		}
	}
}
