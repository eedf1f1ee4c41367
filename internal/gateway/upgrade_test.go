package gateway

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/harness"
	"gannetspur/internal/testbed/load"
)

const upgradeEnv = "RINGWOOD_UPGRADE_CHILD"

// TestUpgradeChild is no test: it is the gateway that the tests below start, and that its
// upgrades start again.
func TestUpgradeChild(t *testing.T) {
	deploy, upgrade, ok := strings.Cut(os.Getenv(upgradeEnv), "|")
	if !ok {
		t.Skip("for the tests of upgrades")
	}
	if err := Run(Files{Postgres: deploy, Upgrade: upgrade}, slog.New(slog.NewJSONHandler(os.Stderr, nil))); err != nil {
		t.Fatal(err)
	}
}

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

// The new process dies with a load, a write and a lookup at engines, their answers lost. The
// old one takes all back: the load goes out again under its key, the write is told to be in
// doubt and does not, the lookup is asked again. What was prepared is there still, a client
// that connected meanwhile too, and the next upgrade goes through.
func TestUpgradeNewProcessDies(t *testing.T) {
	s := newSite(t)
	clients := map[string]*load.Postgres{"k-1-1": s.client(), "w-1-2": s.client(), "q-1-3": s.client()}
	pid, end := s.probation()
	late := s.client() // accepted during the probation
	answers := map[string]<-chan told{}
	for mark, c := range clients {
		s.hold(mark)
		answers[mark] = ask(c, mark)
		s.runs(mark, 1)
	}
	_ = syscall.Kill(pid, syscall.SIGKILL)
	if r := <-end; r.Problem != "it died" {
		t.Errorf("the operator was told %q", r.Problem)
	}
	s.runs("q-1-3", 2)
	for _, c := range s.held {
		close(c)
	}
	s.want("a load", answers["k-1-1"], load.Served)
	s.want("a write", answers["w-1-2"], load.Ambiguous)
	s.want("a lookup", answers["q-1-3"], load.Served)
	if dropped := s.runs("k-1-1", 2); dropped != 1 {
		t.Errorf("of two runs of the load %d were dropped", dropped)
	}
	s.runs("w-1-2", 1)
	clients["late"] = late
	again := func(round int) {
		n := 0
		for name, c := range clients {
			n++
			s.want(name+" goes on", ask(c, fmt.Sprintf("q-%d-%d", round, n)), load.Served)
		}
	}
	again(2)
	if st := s.status(); st.Counters["upgrade.taken-back"] < 4 || st.Counters["upgrade.in-doubt"] != 1 {
		t.Errorf("counted %v", st.Counters)
	}
	_, end = s.probation()
	if r := s.prove(end); r.Problem != "" {
		t.Errorf("the next upgrade: %q", r.Problem)
	}
	again(3)
	s.await("upgrade.exit")
	if st := s.status(); st == nil || !st.TookOver || st.PID == s.old.Process.Pid {
		t.Errorf("after it: %+v", st)
	}
}

// The window of a load's key ends while its process dies: it does not go out again, and its
// client hears that it may have run.
func TestUpgradeKeyWindowEnds(t *testing.T) {
	s := newSite(t, `"window-ms": 12000`, `"window-ms": 300`)
	c := s.client()
	pid, end := s.probation()
	s.hold("k-1-1")
	answer := ask(c, "k-1-1")
	s.runs("k-1-1", 1)
	time.Sleep(300 * time.Millisecond) // the window itself
	_ = syscall.Kill(pid, syscall.SIGKILL)
	<-end
	s.want("a load past its window", answer, load.Ambiguous)
	s.runs("k-1-1", 1)
}

// raw is a client that sends messages as it likes.
type raw struct {
	t  *testing.T
	c  net.Conn
	in *bufio.Reader
}

func (s *site) raw() *raw {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(60 * time.Second))
	k := &raw{s.t, c, bufio.NewReader(c)}
	k.send(pgproto.AppendStartup(nil, pgproto.Version, append(append(pgproto.CString("user"), pgproto.CString("t")...), 0)))
	return k
}

func (k *raw) send(b ...[]byte) {
	for _, p := range b {
		if _, err := k.c.Write(p); err != nil {
			k.t.Error(err)
		}
	}
}

// until reads messages up to one of a kind: their kinds, and the body of the last K.
func (k *raw) until(kind byte) (kinds string, key []byte) {
	k.t.Helper()
	head := make([]byte, 5)
	for {
		if _, err := io.ReadFull(k.in, head); err != nil {
			k.t.Errorf("after %q: %v", kinds, err)
			return kinds, key
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err := io.ReadFull(k.in, body); err != nil {
			k.t.Error(err)
		}
		kinds += string(head[0])
		switch head[0] {
		case 'K':
			key = body
		case 'E':
			if e, err := pgproto.ReadError(body); err == nil {
				kinds += "(" + e.Code + ")"
			}
		}
		if head[0] == kind {
			return kinds, key
		}
	}
}

// What stands between two processes: a request in flight at the old one is cancelled by a
// connection that the new one has, another is answered there after the new one is the owner;
// a portal that is open goes on with its rows, a message that is half sent with its rest.
func TestUpgradeInTheMiddle(t *testing.T) {
	// One try each: on a slow machine the module takes an answer that is overdue for lost, moves the request, and
	// where that comes to both engines refuses for some seconds, which is no matter of upgrades.
	s := newSite(t, `"most-tries": 3`, `"most-tries": 1`)
	text := func(mark string) []byte {
		return pgproto.AppendMessage(nil, 'Q', pgproto.CString("SELECT part FROM stock_3.parts WHERE tag = '"+mark+"'"))
	}
	cancelled, slow, portal, half, lazy := s.raw(), s.raw(), s.raw(), s.raw(), s.raw()
	// A client that asks for much and reads nothing for a while.
	lazy.until('Z')
	const many = 8
	for range many {
		lazy.send(pgproto.AppendMessage(nil, 'Q', pgproto.CString("SELECT '"+strings.Repeat("x", 900_000)+"'")))
	}
	_, key := cancelled.until('Z')
	s.hold("q-1-1")
	cancelled.send(text("q-1-1"))
	s.runs("q-1-1", 1)
	slow.until('Z')
	release := s.hold("q-1-2")
	slow.send(pgproto.AppendMessage(nil, 'P', pgproto.CString("s"), pgproto.CString("SELECT part FROM stock_3.parts WHERE tag = $1"), []byte{0, 0}), pgproto.AppendMessage(nil, 'S'))
	slow.until('Z')
	slow.send(text("q-1-2"))
	s.runs("q-1-2", 1)
	portal.until('Z')
	portal.send(pgproto.AppendMessage(nil, 'P', []byte{0}, pgproto.CString("SELECT part FROM stock_3.parts WHERE tag = 'q-1-4'"), []byte{0, 0}),
		pgproto.AppendMessage(nil, 'B', pgproto.CString("p"), []byte{0}, make([]byte, 6)), pgproto.AppendMessage(nil, 'E', pgproto.CString("p"), pgproto.Int32(1)), pgproto.AppendMessage(nil, 'H'))
	portal.until('s')
	half.until('Z')
	message := text("q-1-5")
	half.send(message[:20])

	_, end := s.probation()
	half.send(message[20:])
	if got, _ := half.until('Z'); got != "TDDCZ" {
		t.Errorf("a message sent in two halves: %s", got)
	}
	portal.send(pgproto.AppendMessage(nil, 'E', pgproto.CString("p"), pgproto.Int32(0)), pgproto.AppendMessage(nil, 'S'))
	if got, _ := portal.until('Z'); got != "DCZ" {
		t.Errorf("a portal's further rows: %s", got)
	}
	s.runs("q-1-4", 1)
	canceller, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = canceller.Write(append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 16), pgproto.CancelRequest), key...))
	if got, _ := cancelled.until('Z'); got != "E(57014)Z" {
		t.Errorf("a request cancelled from the other process: %s", got)
	}
	_ = canceller.Close()
	if r := s.prove(end); r.Problem != "" {
		t.Fatalf("the upgrade: %q", r.Problem)
	}
	close(release)
	if got, _ := slow.until('Z'); got != "TDDCZ" {
		t.Errorf("what was in flight: %s", got)
	}
	slow.send(pgproto.AppendMessage(nil, 'B', []byte{0}, pgproto.CString("s"), []byte{0, 0, 0, 1}, pgproto.Int32(5), []byte("q-1-6"), []byte{0, 0}),
		pgproto.AppendMessage(nil, 'E', []byte{0}, pgproto.Int32(0)), pgproto.AppendMessage(nil, 'S'))
	if got, _ := slow.until('Z'); got != "2DDCZ" {
		t.Errorf("a statement prepared at the process that has left: %s", got)
	}
	for n := range many {
		if got, _ := lazy.until('Z'); got != "TDDCZ" {
			t.Errorf("answer %d of a slow reader: %s", n, got)
		}
	}
	s.await("upgrade.exit")
	lazy.send(text("q-1-8"))
	if got, _ := lazy.until('Z'); got != "TDDCZ" {
		t.Errorf("a slow reader, later: %s", got)
	}
	cancelled.send(text("q-1-7"))
	if got, _ := cancelled.until('Z'); got != "TDDCZ" {
		t.Errorf("after a cancel: %s", got)
	}
}

// The old process is killed in the probation: the new one is the owner, what it was given
// goes on, and who connects is served.
func TestUpgradeOldProcessDies(t *testing.T) {
	s := newSite(t)
	c := s.client()
	pid, end := s.probation()
	_ = s.old.Process.Kill()
	if r := <-end; !strings.Contains(r.Problem, "without a last word") {
		t.Errorf("the operator was told %q", r.Problem)
	}
	s.await("upgrade.owner")
	s.await("serving")
	s.want("a connection that had moved", ask(c, "q-1-1"), load.Served)
	s.want("a new connection", ask(s.client(), "q-1-2"), load.Served)
	if st := s.status(); st == nil || st.PID != pid {
		t.Errorf("status: %+v", st)
	}
	_, end = s.probation()
	if r := s.prove(end); r.Problem != "" {
		t.Errorf("the next upgrade: %q", r.Problem)
	}
	s.want("after it", ask(c, "q-1-3"), load.Served)
}

// Two are told to upgrade at once, one is asked whether it would, a reload and then a planned
// stop come in the middle: one upgrade at a time, the reload reaches both, and the stop goes
// first, with everything taken back to be ended in good order.
func TestUpgradeAmongOtherThings(t *testing.T) {
	s := newSite(t)
	c := s.raw()
	c.until('Z')
	if r := <-s.upgrade("check"); r.Problem != "" || r.Build == "" {
		t.Errorf("it would not take over: %+v", r)
	}
	if r := <-s.upgrade("dance"); !strings.Contains(r.Problem, "dance") {
		t.Errorf("an odd request: %+v", r)
	}
	pid, end := s.probation()
	if r := <-s.upgrade("upgrade"); r.Problem != "another upgrade is under way" {
		t.Errorf("a second upgrade: %q", r.Problem)
	}
	_ = s.old.Process.Signal(syscall.SIGHUP)
	s.await("reload.done")
	s.await("reload.done")
	_ = s.old.Process.Signal(syscall.SIGTERM)
	if r := <-end; r.Problem != "a planned stop came first" {
		t.Errorf("the operator was told %q", r.Problem)
	}
	if got, _ := c.until('E'); got != "E(57P01)" {
		t.Errorf("a client at the stop: %s", got)
	}
	if err := <-s.ended; err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	if err := syscall.Kill(pid, 0); err == nil {
		t.Error("the new process lives on")
	}
}

// A service manager that asks for it is told when the gateway is ready, and which process it
// is from then on.
func TestNotify(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n")
	ln, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	t.Setenv("NOTIFY_SOCKET", path)
	notifyServiceManager("MAINPID=7\nREADY=1\n")
	_ = ln.SetDeadline(time.Now().Add(5 * time.Second))
	b := make([]byte, 100)
	if n, err := ln.Read(b); err != nil || string(b[:n]) != "MAINPID=7\nREADY=1\n" {
		t.Errorf("told %q, %v", b[:n], err)
	}
}
