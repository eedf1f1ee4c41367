package archtest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// edgeName is a name that operators or other programs use. It must not change when an identifier in the code is
// renamed.
type edgeName struct{ kind, name, where string }

// edgeNames reads the table of names. Each line has three columns: the kind, the name, and where the name must
// occur: a package's directory, a .toml file, or "program" for names that only a running gateway shows.
func edgeNames(t *testing.T) []edgeName {
	t.Helper()
	table, err := os.ReadFile("testdata/edge-names.tsv")
	if err != nil {
		t.Fatal(err)
	}
	var names []edgeName
	for line := range strings.Lines(string(table)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		columns := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		if len(columns) != 3 {
			t.Fatalf("edge-names.tsv: line %q has %d columns, want 3", line, len(columns))
		}
		names = append(names, edgeName{columns[0], columns[1], columns[2]})
	}
	return names
}

// TestEdgeNamesInSources guards against renaming a protocol name along with the code: each name must occur in a
// literal of the package that implements the protocol. The meaning of the names is checked by the packages' own
// tests and by the integration tests, which speak the protocols byte for byte.
func TestEdgeNamesInSources(t *testing.T) {
	literals := map[string][]string{}
	for _, edge := range edgeNames(t) {
		if edge.where == "program" {
			continue
		}
		t.Run(edge.kind+" "+edge.name, func(t *testing.T) {
			if strings.HasSuffix(edge.where, ".toml") {
				raw, err := os.ReadFile("../../" + edge.where)
				if err != nil {
					t.Fatal(err)
				}
				if !regexp.MustCompile(`(?m)^` + edge.name + ` = `).Match(raw) {
					t.Errorf("%s: got no key %s, want one", edge.where, edge.name)
				}
				return
			}
			if literals[edge.where] == nil {
				literals[edge.where] = stringLiterals(t, "../../"+edge.where)
			}
			word := regexp.MustCompile(`(^|[^A-Za-z0-9_])` + regexp.QuoteMeta(edge.name) + `($|[^A-Za-z0-9_])`)
			if !slices.ContainsFunc(literals[edge.where], word.MatchString) {
				t.Errorf("%s: got no literal with %q, want one", edge.where, edge.name)
			}
		})
	}
}

// stringLiterals returns the values of all string and character literals, struct tags included, in the non-test
// Go files of a directory.
func stringLiterals(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(dir + "/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			literal, ok := n.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING && literal.Kind != token.CHAR {
				return true
			}
			text, err := strconv.Unquote(literal.Value)
			if err != nil {
				t.Fatal(err)
			}
			found = append(found, text)
			return true
		})
	}
	return found
}

// TestEdgeNamesOfProgram guards against renaming names that only a running gateway shows. It starts the gateway
// on the example configuration and checks the control endpoint's paths and metrics, the environment variables
// and the process directory.
func TestEdgeNamesOfProgram(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "gateway")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", program, "./cmd/gateway")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	control := startExample(t, program, dir)
	metrics := callControl(t, http.MethodGet, control+"/metrics", "")
	for _, edge := range edgeNames(t) {
		switch edge.kind {
		case "metric":
			if !strings.Contains(metrics, "\n"+edge.name+":") && !strings.HasPrefix(metrics, edge.name+":") {
				t.Errorf("got metrics without %s, want it among them:\n%s", edge.name, metrics)
			}
		case "control path":
			method, path, _ := strings.Cut(edge.name, " ")
			body := ""
			if method == http.MethodPost {
				body = `{"target":"s-00000001"}`
			}
			callControl(t, method, control+path, body)
		}
	}
}

// startExample starts the program as the platform does: on ports that the system chooses, with addresses from
// environment variables and an inherited listening socket for clients. It returns the control endpoint's URL
// once the gateway serves.
func startExample(t *testing.T, program, dir string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	listener, err := listenLoopback()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	gateway := exec.CommandContext(ctx, program, "--log-format", "json")
	gateway.Env = append(os.Environ(), "LB_CONFIG=../../examples/toy/config.json", "LB_LISTEN=127.0.0.1:0",
		"LB_CONTROL=127.0.0.1:0", "LB_ACCEPT_FD=3", "TMPDIR="+dir)
	gateway.ExtraFiles = []*os.File{listener}
	log, err := gateway.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := gateway.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = gateway.Process.Kill()
		_ = gateway.Wait()
	})
	address := ""
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var event struct {
			Message string `json:"msg"`
			Address string `json:"addr"`
		}
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue
		}
		switch event.Message {
		case "control":
			address = event.Address
		case "serving":
			if _, err := os.Stat(filepath.Join(dir, "ringwood-processes")); err != nil {
				t.Errorf("process directory: got %v, want it to exist", err)
			}
			return "http://" + address
		}
	}
	t.Fatalf("got no \"serving\" event from the gateway, want one: %v", ctx.Err())
	return ""
}

// listenLoopback opens a listening socket for the gateway to inherit, as the platform does for clients.
func listenLoopback() (*os.File, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	file, err := listener.File()
	return file, errors.Join(err, listener.Close())
}

// callControl makes one call and returns the response body. Any status but 200 fails the test.
func callControl(t *testing.T, method, url, body string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		t.Errorf("%s %s: got status %d, want 200: %s", method, url, response.StatusCode, answer)
	}
	return string(answer)
}
