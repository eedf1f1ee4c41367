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

// edgeName is a name that operators or other programs use, whatever the code calls the thing.
type edgeName struct{ kind, name, where string }

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
			t.Fatalf("edge-names.tsv: %q has not three columns", line)
		}
		names = append(names, edgeName{columns[0], columns[1], columns[2]})
	}
	return names
}

// TestEdgeNamesInSources finds each name of a protocol among the literals of the package that speaks it. What those names
// mean is held by the tests of the packages and by the integration tests, which speak the protocols byte for byte.
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
					t.Errorf("%s has no key %s", edge.where, edge.name)
				}
				return
			}
			if literals[edge.where] == nil {
				literals[edge.where] = stringLiterals(t, "../../"+edge.where)
			}
			word := regexp.MustCompile(`(^|[^A-Za-z0-9_])` + regexp.QuoteMeta(edge.name) + `($|[^A-Za-z0-9_])`)
			if !slices.ContainsFunc(literals[edge.where], word.MatchString) {
				t.Errorf("no literal of %s holds %q", edge.where, edge.name)
			}
		})
	}
}

// stringLiterals are the values of all string and character literals, struct tags included, of a folder's program files.
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

// TestEdgeNamesOfProgram starts the gateway on the example's configuration and looks for the control endpoint's paths and
// figures, the environment's variables and the folder in what it does.
func TestEdgeNamesOfProgram(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "gateway")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", program, "./cmd/gateway")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	control := startExample(t, program, dir)
	figures := callControl(t, http.MethodGet, control+"/metrics", "")
	for _, edge := range edgeNames(t) {
		switch edge.kind {
		case "metric":
			if !strings.Contains(figures, "\n"+edge.name+":") && !strings.HasPrefix(figures, edge.name+":") {
				t.Errorf("the figures have no %s:\n%s", edge.name, figures)
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

// startExample starts the program as the platform does, on ports of its choice, with addresses from the environment and the
// clients' socket inherited, and returns the control endpoint's address once the gateway serves.
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
				t.Errorf("the folder of processes: %v", err)
			}
			return "http://" + address
		}
	}
	t.Fatalf("the gateway did not serve: %v", ctx.Err())
	return ""
}

// listenLoopback opens a listening socket to be inherited, as the platform does for the clients'.
func listenLoopback() (*os.File, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	file, err := listener.File()
	return file, errors.Join(err, listener.Close())
}

// callControl makes one call and returns the answer's body; any status but 200 fails the test.
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
		t.Errorf("%s %s: status %d, want 200: %s", method, url, response.StatusCode, answer)
	}
	return string(answer)
}
