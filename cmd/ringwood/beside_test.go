package main

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

	"gannetspur/internal/lab/rig"
)

const besideEnv = "RINGWOOD_BESIDE_CHILD"

// TestBesideChild is no test: it is the front end that the tests below start beside itself.
func TestBesideChild(t *testing.T) {
	path := os.Getenv(besideEnv)
	if path == "" {
		t.Skip("for the tests of replacing the process")
	}
	if err := run(serving{config: path}, slog.New(slog.NewTextHandler(os.Stderr, nil))); err != nil {
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

// process is one of them.
type process struct {
	*program
	door string
}

func newPlatform(t *testing.T) *platformOf {
	t.Helper()
	p := &platformOf{t: t, dir: t.TempDir(), seen: map[string][]string{}, hold: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = ln.Addr().String()
	if p.socket, err = ln.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	ln.Close() // as the platform, which accepts nothing
	t.Cleanup(func() { p.socket.Close() })
	raw, err := os.ReadFile("../../examples/toy/config.json")
	if err != nil {
		t.Fatal(err)
	}
	one, two := p.engine("one"), p.engine("two")
	first := `{"uid": "s-00000001", "endpoint": "127.0.0.1:9101"`
	text := strings.Replace(string(raw), first, fmt.Sprintf(`{"uid": "two", "endpoint": %q, "az": "hall-a", "model": "std-8", "state": "in_service"}, {"uid": "one", "endpoint": %q`, two, one), 1)
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
	p.t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewScanner(c); in.Scan(); {
					w := strings.Fields(in.Text())
					if len(w) != 4 || w[0] != "want" {
						continue
					}
					p.mu.Lock()
					p.seen[name] = append(p.seen[name], w[1])
					p.mu.Unlock()
					if w[1][0] == 'f' {
						<-p.hold
					}
					fmt.Fprintf(c, "%s DONE batches=1 0\r\n\r\n", w[1])
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

// start starts a process at the socket.
func (p *platformOf) start() *process {
	p.t.Helper()
	door, err := rig.Free()
	if err != nil {
		p.t.Fatal(err)
	}
	r := &program{t: p.t, cmd: exec.Command(os.Args[0], "-test.run=^TestBesideChild$")}
	r.cmd.Env = append(os.Environ(), besideEnv+"="+p.config, "LB_CONTROL="+door, "LB_ACCEPT_FD=3", "TMPDIR="+p.dir)
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
	return &process{r, door}
}

// askAt makes a call at an address.
func askAt(t *testing.T, addr, call string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, call)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	b, _ := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s", resp.StatusCode, b)
}

func (r *process) ban(engine, call string) string {
	body := fmt.Sprintf(`{"target":%q}`, engine)
	return askAt(r.t, r.door, fmt.Sprintf("POST /engines/%s HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", call, len(body), body))
}

// down reads how many engines a process avoids.
func (r *process) down() (n int) {
	text := askAt(r.t, r.door, "GET /metrics HTTP/1.1\r\n\r\n")
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
	if got := askAt(t, a.door, "GET /ready HTTP/1.1\r\n\r\n"); got != "200 {}" {
		t.Fatal(got)
	}
	if got := a.ban("two", "disable"); got != "200 {}" {
		t.Fatal(got)
	}
	open := make(chan string, 1)
	go func() {
		open <- askAt(t, p.addr, strings.Replace(fmt.Sprintf(call, 0), "9b1f", "f000", 1))
	}()
	for p.wants("one") == 0 {
		time.Sleep(time.Millisecond)
	}
	b := p.start()
	b.await("succession.taken")
	if n := b.down(); n != 1 {
		t.Errorf("%d engines are avoided by the process that took over", n)
	}
	if got := a.ban("one", "disable"); got != "200 {}" { // while both live
		t.Fatal(got)
	}
	b.await("bans.taken")
	a.signal(syscall.SIGTERM)
	a.await("msg=replaced")
	close(p.hold)
	if got := <-open; !strings.HasPrefix(got, "200 ") {
		t.Errorf("the open request got %s", got)
	}
	for a.log.Scan() {
	}
	if err := a.cmd.Wait(); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	if got := askAt(t, p.addr, fmt.Sprintf(call, 1)); !strings.HasPrefix(got, "503 ") { // all are out: at once
		t.Errorf("with no engine: %s", got)
	}
	if got := b.ban("one", "enable"); got != "200 {}" {
		t.Fatal(got)
	}
	c := p.start()
	c.await("succession.taken")
	if n := c.down(); n != 1 {
		t.Errorf("%d engines are avoided by the third process", n)
	}
	if p.wants("two") > 0 {
		t.Errorf("an engine that was out got %v", p.seen["two"])
	}
	b.signal(syscall.SIGTERM)
	b.await("msg=replaced")
	c.signal(syscall.SIGTERM) // which nobody follows: it serves for as long as clients may come
	if got := askAt(t, p.addr, "GET /health HTTP/1.1\r\n\r\n"); got != "200 {}" {
		t.Errorf("after TERM with no successor: %s", got)
	}
	for _, r := range []*process{b, c} {
		for r.log.Scan() {
		}
		if err := r.cmd.Wait(); err != nil {
			t.Errorf("ended with %v", err)
		}
	}
}

// Where what the old process wrote can't be used, or the new one dies before its yes, there is
// a front end all the same.
func TestBesideThatFails(t *testing.T) {
	p := newPlatform(t)
	a := p.start()
	a.await("msg=serving")
	_ = p.start().cmd.Process.Kill()
	if got := askAt(t, p.addr, "GET /health HTTP/1.1\r\n\r\n"); got != "200 {}" {
		t.Errorf("beside one that died: %s", got)
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
	if got := askAt(t, b.door, "GET /ready HTTP/1.1\r\n\r\n"); got != "200 {}" {
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
		file.Close()
		if err == nil || !strings.Contains(string(out), "LB_ACCEPT_FD") {
			t.Errorf("LB_ACCEPT_FD=%s: %v: %s", fd, err, out)
		}
	}
}
