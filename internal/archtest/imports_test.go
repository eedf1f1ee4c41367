// Package archtest holds the test of the repository's own order.
package archtest

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

const module = "gannetspur/"

// floors are the rooms of the gateway from the top down. An arrow of imports runs down, or
// stays on its floor; rooms of one floor that need each other are named together.
var floors = [][]string{
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

func floor(pkg string) int {
	return slices.IndexFunc(floors, func(rooms []string) bool {
		return slices.ContainsFunc(rooms, func(room string) bool { return strings.HasPrefix(pkg, room) })
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

// Arrows run down only; decisions know no I/O, no clock and no chance of their own; and
// nothing of the laboratory is linked into what serves.
func TestImports(t *testing.T) {
	for _, line := range list(t, "-f", "{{.ImportPath}}: {{join .Imports \" \"}}", "./...") {
		pkg, imports, _ := strings.Cut(line, ": ")
		pkg = strings.TrimPrefix(pkg, module)
		lab := strings.HasPrefix(pkg, "internal/testbed/")
		at := floor(pkg)
		if at < 0 && !lab && pkg != "internal/integration" && pkg != "internal/archtest" {
			t.Errorf("%s stands on no floor", pkg)
		}
		for _, i := range strings.Fields(imports) {
			to, ours := strings.CutPrefix(i, module)
			if strings.HasPrefix(pkg, "internal/decide/") && slices.Contains([]string{"net", "os", "syscall", "log", "log/slog", "math/rand", "math/rand/v2", "io", "hash/maphash"}, i) {
				t.Errorf("%s imports %s: decisions do no I/O and draw no chance", pkg, i)
			}
			switch {
			case !ours:
			case strings.HasPrefix(to, "internal/testbed/") && !lab && pkg != "cmd/testbed":
				t.Errorf("%s imports %s: the laboratory is not for serving", pkg, to)
			case lab && strings.HasPrefix(to, "cmd/"):
				t.Errorf("%s imports %s", pkg, to)
			case !lab && at >= 0 && floor(to) >= 0 && floor(to) < at:
				t.Errorf("%s imports %s, which stands above it", pkg, to)
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
