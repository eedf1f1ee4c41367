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

const besideEnv = "RINGWOOD_BESIDE_CHILD"

// TestBesideChild is no test: it is the front end that the tests below start beside itself.
func TestBesideChild(t *testing.T) {
	path := os.Getenv(besideEnv)
	if path == "" {
		t.Skip("for the tests of replacing the process")
	}
	if err := Run(Files{Config: path}, slog.New(slog.NewTextHandler(os.Stderr, nil))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	}
	os.Exit(0)
}

// platformOf holds the clients' socket and starts processes of one front end at it.
type platformOf struct {
	t      *testing.T
	dir    string
	socket *os.File
	addr   string
	config string

	mu   sync.Mutex
	seen map[string][]string // wants by engine
	hold chan struct{}       // engines answer ids that begin with f once it is closed
}

// childProcess is one of them.
type childProcess struct {
	*program
	endpoint string
}

func newPlatform(t *testing.T) *platformOf {
	t.Helper()
	p := &platformOf{t: t, dir: t.TempDir(), seen: map[string][]string{}, hold: make(chan struct{})}
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

func (p *platformOf) engine(name string) string {
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
					w := strings.Fields(in.Text())
					page := strings.Repeat("x\ty\tz\n", 1000) // 16 of these are two parts of a result
					if len(w) == 3 && w[0] == "turn" {
						_, _ = fmt.Fprintf(c, "%s MORE batch=%s %d\r\n%s\r\n", w[1], w[2], len(page), page)
					}
					if len(w) != 4 || w[0] != "want" {
						continue
					}
					p.mu.Lock()
					p.seen[name] = append(p.seen[name], w[1])
					p.mu.Unlock()
					if w[1][0] == 'f' {
						go func() {
							<-p.hold
							_, _ = fmt.Fprintf(c, "%s DONE batches=1 0\r\n\r\n", w[1])
						}()
						continue
					}
					if w[1][0] == 'b' {
						_, _ = fmt.Fprintf(c, "%s DONE batches=16 %d\r\n%s\r\n", w[1], len(page), page)
						continue
					}
					_, _ = fmt.Fprintf(c, "%s DONE batches=1 0\r\n\r\n", w[1])
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func (p *platformOf) wants(engine string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.seen[engine])
}

// await waits until an engine has had so many wants.
func (p *platformOf) await(engine string, n int) {
	p.t.Helper()
	for range 10000 {
		if p.wants(engine) >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	p.t.Fatalf("engine %s had %d wants, not %d", engine, p.wants(engine), n)
}

// start starts a process at the socket.
func (p *platformOf) start() *childProcess {
	p.t.Helper()
	endpoint, err := harness.UnusedAddress()
	if err != nil {
		p.t.Fatal(err)
	}
	r := &program{t: p.t, cmd: exec.Command(os.Args[0], "-test.run=^TestBesideChild$")}
	r.cmd.Env = append(os.Environ(), besideEnv+"="+p.config, "LB_CONTROL="+endpoint, "LB_ACCEPT_FD=3", "TMPDIR="+p.dir)
	r.cmd.ExtraFiles = []*os.File{p.socket}
	out, err := r.cmd.StderrPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := r.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	watch := time.AfterFunc(30*time.Second, func() { _ = r.cmd.Process.Kill() })
	p.t.Cleanup(func() { watch.Stop(); _ = r.cmd.Process.Kill() })
	r.log = bufio.NewScanner(out)
	return &childProcess{r, endpoint}
}

// askAt makes a call at an address.
func askAt(t *testing.T, addr, call string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, call)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s", resp.StatusCode, b)
}

func (r *childProcess) ban(engine, call string) string {
	body := fmt.Sprintf(`{"target":%q}`, engine)
	return askAt(r.t, r.endpoint, fmt.Sprintf("POST /engines/%s HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", call, len(body), body))
}

// down reads how many engines a process avoids.
func (r *childProcess) down() (n int) {
	text := askAt(r.t, r.endpoint, "GET /metrics HTTP/1.1\r\n\r\n")
	_, text, _ = strings.Cut(text, "lb.hosts_down:")
	_, _ = fmt.Sscanf(text, "%d|g", &n)
	return n
}

// A process takes the place of another: bans go over, also one that lands while both live, a
// request that is open is answered by the one that took it, and the next process after that
// still knows.
func TestBeside(t *testing.T) {
	p := newPlatform(t)
	a := p.start()
	a.await("msg=serving")
	if got := askAt(t, a.endpoint, "GET /ready HTTP/1.1\r\n\r\n"); got != "200 {}" {
		t.Fatal(got)
	}
	for _, engine := range []string{"two", "three"} {
		if got := a.ban(engine, "disable"); got != "200 {}" {
			t.Fatal(got)
		}
	}
	load := strings.NewReplacer("lookup", "load", "9b1f", "f000", "Req-Wait", "Req-Token: k\r\nReq-Wait").Replace(fmt.Sprintf(call, 0))
	open := make(chan string, 1)
	go func() { open <- askAt(t, p.addr, load) }()
	p.await("one", 1)
	part := askAt(t, p.addr, strings.Replace(fmt.Sprintf(call, 0), "9b1f", "b000", 1))
	_, part, _ = strings.Cut(part, `{"more":"`)
	part, _, _ = strings.Cut(part, `"`)
	b := p.start()
	b.await("takeover.completed")
	if n := b.down(); n != 2 {
		t.Errorf("%d engines are avoided by the process that took over", n)
	}
	if got := a.ban("three", "enable"); got != "200 {}" { // while both live
		t.Fatal(got)
	}
	b.await("override.merged")
	if n := b.down(); n != 1 {
		t.Errorf("%d engines are avoided after a call back at the other process", n)
	}
	if got := b.ban("three", "disable"); got != "200 {}" {
		t.Fatal(got)
	}
	a.await("override.merged")
	a.signal(syscall.SIGTERM)
	a.await("msg=replaced")
	if got := askAt(t, p.addr, "GET "+part+" HTTP/1.1\r\n\r\n"); !strings.Contains(got, `["x","y","z"]`) {
		t.Errorf("a further part of the old process's result, at the new one: %.80s", got)
	}
	if got := askAt(t, p.addr, "DELETE "+part+" HTTP/1.1\r\n\r\n"); !strings.HasPrefix(got, "200 ") {
		t.Errorf("a client that wants no more of it, at the new process: %.80s", got)
	}
	again := make(chan string, 1)
	go func() { again <- askAt(t, p.addr, load) }() // the key guards it
	p.await("one", 3)
	close(p.hold)
	if got := <-again; !strings.HasPrefix(got, "200 ") {
		t.Errorf("the same load at the new process got %s", got)
	}
	if got := <-open; !strings.HasPrefix(got, "200 ") {
		t.Errorf("the open request got %s", got)
	}
	for a.log.Scan() {
	}
	if err := a.cmd.Wait(); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	if got := b.ban("one", "disable"); got != "200 {}" {
		t.Fatal(got)
	}
	if got := askAt(t, p.addr, fmt.Sprintf(call, 1)); !strings.HasPrefix(got, "503 ") { // all are out: at once
		t.Errorf("with no engine: %s", got)
	}
	c := p.start()
	c.await("takeover.completed")
	if n := c.down(); n != 3 {
		t.Errorf("%d engines are avoided by the third process", n)
	}
	if n := p.wants("two") + p.wants("three"); n > 0 {
		t.Errorf("engines that were out got %d wants", n)
	}
	b.signal(syscall.SIGTERM)
	b.await("msg=replaced")
	c.signal(syscall.SIGTERM) // which nobody follows: it serves for as long as clients may come
	if got := askAt(t, p.addr, "GET /health HTTP/1.1\r\n\r\n"); got != "200 {}" {
		t.Errorf("after TERM with no successor: %s", got)
	}
	for _, r := range []*childProcess{b, c} {
		for r.log.Scan() {
		}
		if err := r.cmd.Wait(); err != nil {
			t.Errorf("ended with %v", err)
		}
	}
}

// Two processes that start at once beside a third both serve, with its bans, and of the three the
// last one stays.
func TestTwoBesideAtOnce(t *testing.T) {
	p := newPlatform(t)
	a := p.start()
	a.await("msg=serving")
	if got := a.ban("two", "disable"); got != "200 {}" {
		t.Fatal(got)
	}
	b, c := p.start(), p.start()
	b.await("msg=serving")
	c.await("msg=serving")
	for _, r := range []*childProcess{a, b} {
		r.signal(syscall.SIGTERM)
	}
	for _, r := range []*childProcess{a, b} {
		for r.log.Scan() {
		}
		if err := r.cmd.Wait(); err != nil {
			t.Errorf("ended with %v", err)
		}
	}
	if n := c.down(); n != 1 {
		t.Errorf("%d engines are avoided by the last process", n)
	}
	if got := askAt(t, p.addr, fmt.Sprintf(call, 1)); !strings.HasPrefix(got, "200 ") {
		t.Errorf("at the last process: %s", got)
	}
	if p.wants("two") > 0 {
		t.Errorf("an engine that was out got %v", p.seen["two"])
	}
}

// Where what the old process wrote can't be used, or the new one dies before its yes or behind it, there is
// a front end all the same.
func TestBesideThatFails(t *testing.T) {
	p := newPlatform(t)
	a := p.start()
	a.await("msg=serving")
	_ = p.start().cmd.Process.Kill()
	if got := askAt(t, p.addr, "GET /health HTTP/1.1\r\n\r\n"); got != "200 {}" {
		t.Errorf("beside one that died: %s", got)
	}
	dies := p.start()
	dies.await("msg=serving")
	_ = dies.cmd.Process.Kill()
	_ = dies.cmd.Wait()
	for range 10 { // all come to the old one again
		if got := askAt(t, p.addr, "GET /health HTTP/1.1\r\n\r\n"); got != "200 {}" {
			t.Errorf("beside one that died after its yes: %s", got)
		}
	}
	states, _ := filepath.Glob(filepath.Join(p.dir, stateFolder, "*.state"))
	_ = a.cmd.Process.Signal(syscall.SIGSTOP) // it hangs, and what it wrote is torn
	for _, path := range states {
		if err := os.Truncate(path, 20); err != nil {
			t.Fatal(err)
		}
	}
	b := p.start()
	b.await("msg=serving")
	if got := askAt(t, b.endpoint, "GET /ready HTTP/1.1\r\n\r\n"); got != "200 {}" {
		t.Errorf("beside one that hangs: %s", got)
	}
	_ = a.cmd.Process.Kill()
	for _, fd := range []string{"x", "1", "77", "4"} {
		r := &program{t: t, cmd: exec.Command(os.Args[0], "-test.run=^TestBesideChild$")}
		file, err := os.Open(p.config)
		if err != nil {
			t.Fatal(err)
		}
		r.cmd.Env = append(os.Environ(), besideEnv+"="+p.config, "LB_ACCEPT_FD="+fd)
		r.cmd.ExtraFiles = []*os.File{p.socket, file}
		out, err := r.cmd.CombinedOutput()
		_ = file.Close()
		if err == nil || !strings.Contains(string(out), "LB_ACCEPT_FD") {
			t.Errorf("LB_ACCEPT_FD=%s: %v: %s", fd, err, out)
		}
	}
}
