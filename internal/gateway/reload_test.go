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

const childEnv = "RINGWOOD_RELOAD_CHILD"

// eventBus accepts one follower, reports the number it tells, and writes one event.
func eventBus(t *testing.T, number uint64) (addr string, told chan uint64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	told = make(chan uint64, 10)
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
			told <- binary.BigEndian.Uint64(b)
			b = binary.BigEndian.AppendUint32(nil, 9) // an event that changes nothing
			_, _ = c.Write(append(binary.BigEndian.AppendUint64(b, number), 2))
		}
	}()
	return ln.Addr().String(), told
}

// A hangup has the configuration read again: a file that can't be used is logged
// and changes nothing, a good one has the program go over to its event bus, from
// the last event taken. The program goes on serving, on either front.
func TestHangup(t *testing.T) {
	if args := os.Getenv(childEnv); args != "" {
		path, deploy, _ := strings.Cut(args, "|")
		if err := Run(Files{Config: path, Postgres: deploy}, slog.New(slog.NewTextHandler(os.Stderr, nil))); err != nil {
			t.Fatal(err)
		}
		return
	}
	dir := t.TempDir()
	one, toldOne := eventBus(t, 7)
	two, toldTwo := eventBus(t, 8)
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
	write(path, config(one))
	p := start(t, path+"|")
	p.await("serving")
	if got := <-toldOne; got != 1 {
		t.Errorf("the first bus was told %d", got)
	}
	for _, bad := range []string{"{", config("nowhere"), string(raw)} {
		write(path, bad)
		p.signal(syscall.SIGHUP)
		p.await("the old file holds")
	}
	write(path, config(two))
	p.signal(syscall.SIGHUP)
	p.await("bus.moving")
	if got := <-toldTwo; got != 7 {
		t.Errorf("the second bus was told %d, want the last event's number", got)
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
	p.await("consul=127.0.0.1:2") // where nobody listens
	p.end("count reload.failed 1")
}

// program is ringwood in a process of its own.
type program struct {
	t   *testing.T
	cmd *exec.Cmd
	log *bufio.Scanner
}

func start(t *testing.T, args string) *program {
	t.Helper()
	p := &program{t: t, cmd: exec.Command(os.Args[0], "-test.run=^TestHangup$")}
	p.cmd.Env = append(os.Environ(), childEnv+"="+args)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	watch := time.AfterFunc(20*time.Second, func() { _ = p.cmd.Process.Kill() })
	t.Cleanup(func() { watch.Stop() })
	p.log = bufio.NewScanner(out)
	return p
}

func (p *program) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// await reads the log up to a line with the words.
func (p *program) await(words string) {
	p.t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), words) {
			return
		}
	}
	p.t.Fatalf("the program ended without %q", words)
}

// end stops the program and checks that it ended well, having printed the words.
func (p *program) end(words string) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.await(words)
	for p.log.Scan() {
	}
	if err := p.cmd.Wait(); err != nil {
		p.t.Errorf("the program ended with %v", err)
	}
}
