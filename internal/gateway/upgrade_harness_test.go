package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/harness"
	"gannetspur/internal/testbed/load"
)

// site is a gateway in a process of its own, between clients and emulated engines that hold
// what they are told to.
type site struct {
	t      *testing.T
	addr   string
	admin  string
	file   string
	ledger *emulator.Ledger
	old    *exec.Cmd
	ended  chan error
	events chan map[string]any

	mu   sync.Mutex
	held map[string]chan struct{}
}

func newSite(t *testing.T, change ...string) *site {
	t.Helper()
	dir := t.TempDir()
	addr, err := harness.UnusedAddress()
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, addr: addr, admin: filepath.Join(dir, "a"), ledger: emulator.NewLedger(12 * time.Second), held: map[string]chan struct{}{}, ended: make(chan error, 1), events: make(chan map[string]any, 4096)}
	r, err := harness.New(harness.Options{
		Root: "../..", Dir: dir, Engines: 2, HTTP: addr, Postgres: addr, Ledger: s.ledger, Log: slog.New(slog.DiscardHandler), Work: s.work,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	replace := func(path string, pairs ...string) {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(strings.NewReplacer(pairs...).Replace(string(raw))), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if len(change) > 0 {
		replace(filepath.Join(dir, "postgres-settings.json"), change...)
	}
	raw, err := os.ReadFile("../../deploy/upgrade.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.file = filepath.Join(dir, "upgrade.toml")
	if err := os.WriteFile(s.file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	// With no work the probation lasts until the test has it end.
	replace(s.file, `"/tmp/ringwood-admin.sock"`, fmt.Sprintf("%q", s.admin), "prove_for_s = 3 ", "prove_for_s = 0.3 ", "prove_within_s = 15 ", "prove_within_s = 60 ", "good_answers = 20", "good_answers = 8", "greet_within_s = 5", "greet_within_s = 20", "silent_for_s = 1 ", "silent_for_s = 10 ")
	s.old = exec.Command(os.Args[0], "-test.run=^TestUpgradeChild$")
	s.old.Env = append(os.Environ(), upgradeEnv+"="+r.Deploy+"|"+s.file)
	out, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	s.old.Stderr = w
	if err := s.old.Start(); err != nil {
		t.Fatal(err)
	}
	_ = w.Close()
	go func() { s.ended <- s.old.Wait() }()
	go func() {
		defer close(s.events)
		for in := bufio.NewScanner(out); in.Scan(); {
			var e map[string]any
			if json.Unmarshal(in.Bytes(), &e) == nil {
				s.events <- e
			}
		}
	}()
	t.Cleanup(func() {
		for _, c := range s.held {
			select {
			case <-c:
			default:
				close(c)
			}
		}
		_ = s.old.Process.Kill()
		s.killAll()
	})
	s.await("serving")
	for range 200 {
		c := s.client()
		v, _ := c.Send(load.Lookup, "q-0-1", nil, time.Second)
		c.Close()
		if v == load.Served {
			return s
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the gateway never served")
	return nil
}

// killAll kills the process that answers at the operators' socket until all processes have
// ended, which the end of their events tells. A process that has just become the owner does not
// have the socket yet, so one look may find nobody, or a process that is about to exit.
func (s *site) killAll() {
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	for {
		if st := s.status(); st != nil {
			_ = syscall.Kill(st.PID, syscall.SIGKILL)
		}
		for drained := false; !drained; {
			select {
			case _, ok := <-s.events:
				if !ok {
					return
				}
			case <-look.C:
				drained = true
			}
		}
	}
}

// work holds a statement whose text has a mark that is held.
func (s *site) work(text string) (time.Duration, float64) {
	s.mu.Lock()
	var wait chan struct{}
	for mark, c := range s.held {
		if strings.Contains(text, mark) {
			wait = c
		}
	}
	s.mu.Unlock()
	if wait != nil {
		<-wait
	}
	return 0, 1
}

// hold has engines hold all that has the mark until the channel is closed.
func (s *site) hold(mark string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[mark] = make(chan struct{})
	return s.held[mark]
}

// runs waits until a mark has run so often, and tells how often it was dropped.
func (s *site) runs(mark string, want int) (dropped int) {
	s.t.Helper()
	n := 0
	for range 500 {
		n, dropped = 0, 0
		for _, r := range s.ledger.Runs() {
			if r.Mark == mark {
				if n++; r.Dropped {
					dropped++
				}
			}
		}
		if n >= want {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n != want {
		s.t.Errorf("%s ran %d times, want %d", mark, n, want)
	}
	return dropped
}

// await reads the events of all processes up to one of the name, and perhaps a phase.
func (s *site) await(name string, phase ...string) map[string]any {
	s.t.Helper()
	late := time.After(30 * time.Second)
	for {
		select {
		case e, ok := <-s.events:
			if !ok {
				s.t.Fatalf("all processes ended without %s %v", name, phase)
			}
			if e["msg"] == name && (len(phase) == 0 || e["phase"] == phase[0]) {
				return e
			}
		case <-late:
			s.t.Fatalf("no event %s %v", name, phase)
		}
	}
}

func (s *site) status() *admin.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	last, err := admin.Call(ctx, s.admin, admin.Request{Command: "status"}, func(admin.Reply) {})
	if err != nil {
		return nil
	}
	return last.Status
}

// upgrade begins an upgrade; its end comes later.
func (s *site) upgrade(do string) <-chan admin.Reply {
	end := make(chan admin.Reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		last, err := admin.Call(ctx, s.admin, admin.Request{Command: do}, func(admin.Reply) {})
		if err != nil {
			last = admin.Reply{Problem: "call: " + err.Error()}
		}
		end <- last
	}()
	return end
}

// probation begins an upgrade and returns once the new process serves: its number, and what
// will tell the end.
func (s *site) probation() (pid int, end <-chan admin.Reply) {
	s.t.Helper()
	end = s.upgrade("upgrade")
	e := s.await("upgrade.started")
	s.await("upgrade.phase", "probation")
	return int(e["pid"].(float64)), end
}

// prove gives the new process the work that it needs to prove itself.
func (s *site) prove(end <-chan admin.Reply) admin.Reply {
	s.t.Helper()
	c := s.client()
	defer func() { c.Close() }()
	for n := 0; ; n++ {
		select {
		case r := <-end:
			return r
		default:
		}
		if v, why := c.Send(load.Lookup, fmt.Sprintf("q-99-%d", n), nil, 5*time.Second); v != load.Served {
			s.t.Fatalf("while it proves itself: %s %s", v, why)
		}
	}
}

func (s *site) client() *load.Postgres {
	s.t.Helper()
	c, err := load.DialPostgres(s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

type told struct {
	verdict load.Verdict
	detail  string
}

func ask(c load.Client, mark string) <-chan told {
	got := make(chan told, 1)
	go func() {
		v, d := c.Send(load.Kind(mark[0]), mark, nil, 20*time.Second)
		got <- told{v, d}
	}()
	return got
}

func (s *site) want(what string, got <-chan told, want load.Verdict) {
	s.t.Helper()
	select {
	case g := <-got:
		if g.verdict != want {
			s.t.Errorf("%s: %s (%s), want %s", what, g.verdict, g.detail, want)
		}
	case <-time.After(30 * time.Second):
		s.t.Errorf("%s: no answer", what)
	}
}
