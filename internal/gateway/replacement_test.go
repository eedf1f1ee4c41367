package gateway

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gannetspur/internal/testbed/harness"
)

// replacementEnv is set in a child process to the path of its configuration.
const replacementEnv = "RINGWOOD_BESIDE_CHILD"

// TestReplacementChild is not a test. It is the gateway that the tests below run in child processes.
func TestReplacementChild(t *testing.T) {
	path := os.Getenv(replacementEnv)
	if path == "" {
		t.Skip("only runs as a child process of the replacement tests")
	}
	if err := Run(Files{Config: path}, slog.New(slog.NewTextHandler(os.Stderr, nil))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	}
	os.Exit(0)
}

// testPlatform holds the clients' listening socket, starts gateways of one front end on it, and runs engines named one, two
// and three. Engines answer by the first character of a request id: with b the first of 16 pages, with f an empty result
// once hold is closed, else an empty result at once.
type testPlatform struct {
	t      *testing.T
	dir    string
	socket *os.File
	addr   string // of the socket
	config string // path of the configuration

	mu   sync.Mutex
	seen map[string][]string // request ids by engine
	hold chan struct{}       // delays requests whose ids begin with f until it is closed
}

// childProcess is a gateway in a child process on the platform's socket.
type childProcess struct {
	*program
	endpoint string // address of the control endpoint
}

// newPlatform opens the socket, starts the engines and writes the configuration.
func newPlatform(t *testing.T) *testPlatform {
	t.Helper()
	p := &testPlatform{t: t, dir: t.TempDir(), seen: map[string][]string{}, hold: make(chan struct{})}
	var err error
	if p.socket, p.addr, err = harness.OpenListener("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.socket.Close() })
	raw, err := os.ReadFile("../../examples/toy/config.json")
	if err != nil {
		t.Fatal(err)
	}
	one, two, three := p.engine("one"), p.engine("two"), p.engine("three")
	first := `{"uid": "s-00000001", "endpoint": "127.0.0.1:9101"`
	text := strings.Replace(string(raw), first, fmt.Sprintf(`{"uid": "two", "endpoint": %q, "az": "hall-a", "model": "std-8", "state": "in_service"},
    {"uid": "three", "endpoint": %q, "az": "hall-a", "model": "std-8", "state": "in_service"}, {"uid": "one", "endpoint": %q`, two, three, one), 1)
	p.config = filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

// engine starts an engine and returns its address.
func (p *testPlatform) engine(name string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for in := bufio.NewScanner(c); in.Scan(); {
					fields := strings.Fields(in.Text())
					page := strings.Repeat("x\ty\tz\n", 1000) // the front end sends 16 of these to its client as two pages
					if len(fields) == 3 && fields[0] == "turn" {
						_, _ = fmt.Fprintf(c, "%s MORE batch=%s %d\r\n%s\r\n", fields[1], fields[2], len(page), page)
					}
					if len(fields) != 4 || fields[0] != "want" {
						continue
					}
					p.mu.Lock()
					p.seen[name] = append(p.seen[name], fields[1])
					p.mu.Unlock()
					if fields[1][0] == 'f' {
						go func() {
							<-p.hold
							_, _ = fmt.Fprintf(c, "%s DONE batches=1 0\r\n\r\n", fields[1])
						}()
						continue
					}
					if fields[1][0] == 'b' {
						_, _ = fmt.Fprintf(c, "%s DONE batches=16 %d\r\n%s\r\n", fields[1], len(page), page)
						continue
					}
					_, _ = fmt.Fprintf(c, "%s DONE batches=1 0\r\n\r\n", fields[1])
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// requestCount returns the number of requests that an engine has received.
func (p *testPlatform) requestCount(engine string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.seen[engine])
}

// await waits until an engine has received n requests. It fails the test after 10,000 checks, 1 ms apart.
func (p *testPlatform) await(engine string, n int) {
	p.t.Helper()
	for range 10000 {
		if p.requestCount(engine) >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	p.t.Fatalf("engine %s received %d requests, want %d", engine, p.requestCount(engine), n)
}

// start starts a gateway on the socket. The gateway is killed after 30 s or at the end of the test.
func (p *testPlatform) start() *childProcess {
	p.t.Helper()
	endpoint, err := harness.UnusedAddress()
	if err != nil {
		p.t.Fatal(err)
	}
	child := &program{t: p.t, cmd: exec.Command(os.Args[0], "-test.run=^TestReplacementChild$")}
	child.cmd.Env = append(os.Environ(), replacementEnv+"="+p.config, "LB_CONTROL="+endpoint, "LB_ACCEPT_FD=3", "TMPDIR="+p.dir)
	child.cmd.ExtraFiles = []*os.File{p.socket}
	out, err := child.cmd.StderrPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := child.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	killTimer := time.AfterFunc(30*time.Second, func() { _ = child.cmd.Process.Kill() })
	p.t.Cleanup(func() { killTimer.Stop(); _ = child.cmd.Process.Kill() })
	child.log = bufio.NewScanner(out)
	return &childProcess{child, endpoint}
}

// roundTrip sends an HTTP request to addr on a new connection. It returns the status and the body of the response, or the
// error.
func roundTrip(t *testing.T, addr, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, request)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s", resp.StatusCode, b)
}

// setEngine disables or enables an engine through the control endpoint and returns the response; action is "disable" or
// "enable".
func (p *childProcess) setEngine(engine, action string) string {
	body := fmt.Sprintf(`{"target":%q}`, engine)
	return roundTrip(p.t, p.endpoint, fmt.Sprintf("POST /engines/%s HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", action, len(body), body))
}

// disabledEngines returns the number of engines that are down at the process, as its metrics tell: here the disabled ones.
func (p *childProcess) disabledEngines() (n int) {
	text := roundTrip(p.t, p.endpoint, "GET /metrics HTTP/1.1\r\n\r\n")
	_, text, _ = strings.Cut(text, "lb.hosts_down:")
	_, _ = fmt.Sscanf(text, "%d|g", &n)
	return n
}

// TestReplacement replaces a process twice. Disabled engines carry over, including changes made while both processes run; an
// open request is answered by the process that accepted it; further pages of a result are available from the new process.
func TestReplacement(t *testing.T) {
	p := newPlatform(t)
	first := p.start()
	first.await("msg=serving")
	if got := roundTrip(t, first.endpoint, "GET /ready HTTP/1.1\r\n\r\n"); got != "200 {}" {
		t.Fatalf("GET /ready = %s, want 200 {}", got)
	}
	for _, engine := range []string{"two", "three"} {
		if got := first.setEngine(engine, "disable"); got != "200 {}" {
			t.Fatalf("disabling engine %s at the first process: %s, want 200 {}", engine, got)
		}
	}
	loadRequest := strings.NewReplacer("lookup", "load", "9b1f", "f000", "Req-Wait", "Req-Token: k\r\nReq-Wait").Replace(fmt.Sprintf(lookupRequest, 0))
	open := make(chan string, 1)
	go func() { open <- roundTrip(t, p.addr, loadRequest) }()
	p.await("one", 1)
	nextPage := roundTrip(t, p.addr, strings.Replace(fmt.Sprintf(lookupRequest, 0), "9b1f", "b000", 1))
	_, nextPage, _ = strings.Cut(nextPage, `{"more":"`)
	nextPage, _, _ = strings.Cut(nextPage, `"`)
	second := p.start()
	second.await("takeover.completed")
	if n := second.disabledEngines(); n != 2 {
		t.Errorf("the second process has %d disabled engines, want 2", n)
	}
	if got := first.setEngine("three", "enable"); got != "200 {}" { // while both processes run
		t.Fatalf("enabling engine three at the first process: %s, want 200 {}", got)
	}
	second.await("override.merged")
	if n := second.disabledEngines(); n != 1 {
		t.Errorf("after enabling one engine at the first process the second has %d disabled engines, want 1", n)
	}
	if got := second.setEngine("three", "disable"); got != "200 {}" {
		t.Fatalf("disabling engine three at the second process: %s, want 200 {}", got)
	}
	first.await("override.merged")
	first.signal(syscall.SIGTERM)
	first.await("msg=replaced")
	if got := roundTrip(t, p.addr, "GET "+nextPage+" HTTP/1.1\r\n\r\n"); !strings.Contains(got, `["x","y","z"]`) {
		t.Errorf("next page of the old process's result, from the new process: %.80s, want rows of x, y and z", got)
	}
	if got := roundTrip(t, p.addr, "DELETE "+nextPage+" HTTP/1.1\r\n\r\n"); !strings.HasPrefix(got, "200 ") {
		t.Errorf("deleting the old process's result at the new process: %.80s, want status 200", got)
	}
	again := make(chan string, 1)
	go func() { again <- roundTrip(t, p.addr, loadRequest) }() // the idempotency key makes the repetition safe
	p.await("one", 3)
	close(p.hold)
	if got := <-again; !strings.HasPrefix(got, "200 ") {
		t.Errorf("same request at the new process: %s, want status 200", got)
	}
	if got := <-open; !strings.HasPrefix(got, "200 ") {
		t.Errorf("open request: %s, want status 200", got)
	}
	for first.log.Scan() {
	}
	if err := first.cmd.Wait(); err != nil {
		t.Errorf("the first process exited with %v, want status 0", err)
	}
	if got := second.setEngine("one", "disable"); got != "200 {}" {
		t.Fatalf("disabling engine one at the second process: %s, want 200 {}", got)
	}
	if got := roundTrip(t, p.addr, fmt.Sprintf(lookupRequest, 1)); !strings.HasPrefix(got, "503 ") { // refused at once
		t.Errorf("request without engines: %s, want status 503", got)
	}
	third := p.start()
	third.await("takeover.completed")
	if n := third.disabledEngines(); n != 3 {
		t.Errorf("the third process has %d disabled engines, want 3", n)
	}
	if n := p.requestCount("two") + p.requestCount("three"); n > 0 {
		t.Errorf("disabled engines received %d requests, want 0", n)
	}
	second.signal(syscall.SIGTERM)
	second.await("msg=replaced")
	third.signal(syscall.SIGTERM) // there is no successor: it serves while clients may still arrive
	if got := roundTrip(t, p.addr, "GET /health HTTP/1.1\r\n\r\n"); got != "200 {}" {
		t.Errorf("request after SIGTERM without a successor: %s, want 200 {}", got)
	}
	for _, child := range []*childProcess{second, third} {
		for child.log.Scan() {
		}
		if err := child.cmd.Wait(); err != nil {
			t.Errorf("process exited with %v, want status 0", err)
		}
	}
}

// TestConcurrentReplacements starts two processes at once next to a running one. Both serve and know its disabled engine,
// and the last one keeps serving when the other two stop.
func TestConcurrentReplacements(t *testing.T) {
	p := newPlatform(t)
	first := p.start()
	first.await("msg=serving")
	if got := first.setEngine("two", "disable"); got != "200 {}" {
		t.Fatalf("disabling engine two at the first process: %s, want 200 {}", got)
	}
	second, third := p.start(), p.start()
	second.await("msg=serving")
	third.await("msg=serving")
	for _, child := range []*childProcess{first, second} {
		child.signal(syscall.SIGTERM)
	}
	for _, child := range []*childProcess{first, second} {
		for child.log.Scan() {
		}
		if err := child.cmd.Wait(); err != nil {
			t.Errorf("process exited with %v, want status 0", err)
		}
	}
	if n := third.disabledEngines(); n != 1 {
		t.Errorf("the last process has %d disabled engines, want 1", n)
	}
	if got := roundTrip(t, p.addr, fmt.Sprintf(lookupRequest, 1)); !strings.HasPrefix(got, "200 ") {
		t.Errorf("request at the last process: %s, want status 200", got)
	}
	if p.requestCount("two") > 0 {
		t.Errorf("a disabled engine received requests %v, want none", p.seen["two"])
	}
}

// TestFailedReplacements checks that clients are served if the new process dies before or after it starts to serve, or if
// the old process hangs and its state file is truncated. An invalid LB_ACCEPT_FD is reported as an error.
func TestFailedReplacements(t *testing.T) {
	p := newPlatform(t)
	first := p.start()
	first.await("msg=serving")
	_ = p.start().cmd.Process.Kill()
	if got := roundTrip(t, p.addr, "GET /health HTTP/1.1\r\n\r\n"); got != "200 {}" {
		t.Errorf("request after a new process died during its start: %s, want 200 {}", got)
	}
	shortLived := p.start()
	shortLived.await("msg=serving")
	_ = shortLived.cmd.Process.Kill()
	_ = shortLived.cmd.Wait()
	for range 10 { // all requests reach the old process again
		if got := roundTrip(t, p.addr, "GET /health HTTP/1.1\r\n\r\n"); got != "200 {}" {
			t.Errorf("request after a new process died while serving: %s, want 200 {}", got)
		}
	}
	states, _ := filepath.Glob(filepath.Join(p.dir, stateFolder, "*.state"))
	_ = first.cmd.Process.Signal(syscall.SIGSTOP) // it hangs, and its state file is truncated
	for _, path := range states {
		if err := os.Truncate(path, 20); err != nil {
			t.Fatal(err)
		}
	}
	second := p.start()
	second.await("msg=serving")
	if got := roundTrip(t, second.endpoint, "GET /ready HTTP/1.1\r\n\r\n"); got != "200 {}" {
		t.Errorf("/ready of a process that replaces a hung one: %s, want 200 {}", got)
	}
	_ = first.cmd.Process.Kill()
	for _, fd := range []string{"x", "1", "77", "4"} {
		child := &program{t: t, cmd: exec.Command(os.Args[0], "-test.run=^TestReplacementChild$")}
		file, err := os.Open(p.config)
		if err != nil {
			t.Fatal(err)
		}
		child.cmd.Env = append(os.Environ(), replacementEnv+"="+p.config, "LB_ACCEPT_FD="+fd)
		child.cmd.ExtraFiles = []*os.File{p.socket, file}
		out, err := child.cmd.CombinedOutput()
		_ = file.Close()
		if err == nil || !strings.Contains(string(out), "LB_ACCEPT_FD") {
			t.Errorf("LB_ACCEPT_FD=%s: error %v, output %s; want an error that names LB_ACCEPT_FD", fd, err, out)
		}
	}
}
