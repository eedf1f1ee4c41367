package gateway

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// childEnv is set in the child process to the paths of the configuration and the deploy file, separated by "|".
const childEnv = "RINGWOOD_RELOAD_CHILD"

// eventBus starts an event bus. To each gateway that connects it writes one event with the given number. The last event
// numbers that gateways send are delivered on resumeFrom.
func eventBus(t *testing.T, number uint64) (addr string, resumeFrom chan uint64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	resumeFrom = make(chan uint64, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			b := make([]byte, 8)
			if _, err := io.ReadFull(c, b); err != nil {
				continue
			}
			resumeFrom <- binary.BigEndian.Uint64(b)
			b = binary.BigEndian.AppendUint32(nil, 9) // an event that changes nothing
			_, _ = c.Write(append(binary.BigEndian.AppendUint64(b, number), 2))
		}
	}()
	return ln.Addr().String(), resumeFrom
}

// TestReload checks SIGHUP on both front ends. An invalid file is logged and changes nothing. A valid one makes the gateway
// switch to the event bus or the Consul address in the file; on the event bus it continues from the last event. The gateway
// keeps serving throughout.
func TestReload(t *testing.T) {
	if args := os.Getenv(childEnv); args != "" {
		path, deploy, _ := strings.Cut(args, "|")
		if err := Run(Files{Config: path, Postgres: deploy}, slog.New(slog.NewTextHandler(os.Stderr, nil))); err != nil {
			t.Fatal(err)
		}
		return
	}
	dir := t.TempDir()
	firstBus, firstResume := eventBus(t, 7)
	secondBus, secondResume := eventBus(t, 8)
	raw, err := os.ReadFile("../../examples/toy/config.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	write := func(path, text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	config := func(bus string) string {
		return strings.Replace(string(raw), `"127.0.0.1:9090"`, fmt.Sprintf(`"127.0.0.1:0", "bus": %q`, bus), 1)
	}
	write(path, config(firstBus))
	p := start(t, path+"|")
	p.await("serving")
	if got := <-firstResume; got != 1 {
		t.Errorf("first bus: gateway resumes from event %d, want 1", got)
	}
	for _, bad := range []string{"{", config("nowhere"), string(raw)} {
		write(path, bad)
		p.signal(syscall.SIGHUP)
		p.await("the previous configuration stays in effect")
	}
	write(path, config(secondBus))
	p.signal(syscall.SIGHUP)
	p.await("bus.moving")
	if got := <-secondResume; got != 7 {
		t.Errorf("second bus: gateway resumes from event %d, want the last event, 7", got)
	}
	p.end("count reload.done 1")

	deploy, err := os.ReadFile("../../deploy/postgres.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := os.ReadFile("../../deploy/postgres-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	write(filepath.Join(dir, "postgres-settings.json"), string(settings))
	path = filepath.Join(dir, "postgres.toml")
	text := strings.NewReplacer("127.0.0.1:5433", "127.0.0.1:0", "127.0.0.1:8500", "127.0.0.1:1").Replace(string(deploy))
	write(path, text)
	p = start(t, "|"+path)
	p.await("serving")
	write(path, strings.Replace(text, `default_class = "lookup"`, `default_class = "odd"`, 1))
	p.signal(syscall.SIGHUP)
	p.await("default_class")
	write(path, strings.Replace(text, "127.0.0.1:1", "127.0.0.1:2", 1))
	p.signal(syscall.SIGHUP)
	p.await("reload.done")
	p.await("consul=127.0.0.1:2") // nothing listens there
	p.end("count reload.failed 1")
}

// program is a gateway in a child process.
type program struct {
	t   *testing.T
	cmd *exec.Cmd
	log *bufio.Scanner // over the child's standard error
}

// start runs this test in a child process as a gateway. args is the value of childEnv. The child is killed after 20 s.
func start(t *testing.T, args string) *program {
	t.Helper()
	p := &program{t: t, cmd: exec.Command(os.Args[0], "-test.run=^TestReload$")}
	p.cmd.Env = append(os.Environ(), childEnv+"="+args)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	killTimer := time.AfterFunc(20*time.Second, func() { _ = p.cmd.Process.Kill() })
	t.Cleanup(func() { killTimer.Stop() })
	p.log = bufio.NewScanner(out)
	return p
}

func (p *program) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// await reads the log up to a line that contains text.
func (p *program) await(text string) {
	p.t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			return
		}
	}
	p.t.Fatalf("the gateway ended without logging %q", text)
}

// end stops the gateway and checks that it logs a line that contains text and exits with status 0.
func (p *program) end(text string) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.await(text)
	for p.log.Scan() {
	}
	if err := p.cmd.Wait(); err != nil {
		p.t.Errorf("the gateway exited with %v, want status 0", err)
	}
}
