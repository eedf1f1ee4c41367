package gateway

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gannetspur/internal/pgproto"
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
