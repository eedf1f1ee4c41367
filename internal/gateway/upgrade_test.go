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

// upgradeEnv is set in a child process to the paths of its deploy file and its upgrade file, separated by "|".
const upgradeEnv = "RINGWOOD_UPGRADE_CHILD"

// TestUpgradeChild is not a test. It is the gateway that the tests below run in child processes, and that upgrades start
// again.
func TestUpgradeChild(t *testing.T) {
	deploy, upgrade, ok := strings.Cut(os.Getenv(upgradeEnv), "|")
	if !ok {
		t.Skip("only runs as a child process of the upgrade tests")
	}
	files := Files{Postgres: deploy, Upgrade: upgrade}
	if strings.HasSuffix(deploy, ".json") { // the platform's configuration
		files = Files{Config: deploy, Upgrade: upgrade}
	}
	if err := Run(files, slog.New(slog.NewJSONHandler(os.Stderr, nil))); err != nil {
		t.Fatal(err)
	}
}

// TestUpgradeNewProcessDies kills the new process during its probation, while a load, a write and a lookup are open at
// engines. The old process takes everything back: it sends the load again under its idempotency key, reports the write as
// ambiguous without repeating it, and repeats the lookup. All clients keep working, including one that connected during the
// probation, and the next upgrade succeeds.
func TestUpgradeNewProcessDies(t *testing.T) {
	g := newTestGateway(t)
	clients := map[string]*load.Postgres{"k-1-1": g.newClient(), "w-1-2": g.newClient(), "q-1-3": g.newClient()}
	pid, result := g.startProbation()
	lateClient := g.newClient() // accepted during the probation
	results := map[string]<-chan outcome{}
	for mark, c := range clients {
		g.hold(mark)
		results[mark] = sendAsync(c, mark)
		g.awaitRuns(mark, 1)
	}
	_ = syscall.Kill(pid, syscall.SIGKILL)
	if r := <-result; r.Problem != "it died" {
		t.Errorf("upgrade problem = %q, want \"it died\"", r.Problem)
	}
	g.awaitRuns("q-1-3", 2)
	for _, c := range g.held {
		close(c)
	}
	g.expect("open load", results["k-1-1"], load.Served)
	g.expect("open write", results["w-1-2"], load.Ambiguous)
	g.expect("open lookup", results["q-1-3"], load.Served)
	if dropped := g.awaitRuns("k-1-1", 2); dropped != 1 {
		t.Errorf("engines dropped %d of two runs of the load, want 1", dropped)
	}
	g.awaitRuns("w-1-2", 1)
	clients["late"] = lateClient
	sendLookups := func(round int) {
		n := 0
		for name, c := range clients {
			n++
			g.expect("later lookup of client "+name, sendAsync(c, fmt.Sprintf("q-%d-%d", round, n)), load.Served)
		}
	}
	sendLookups(2)
	if status := g.status(); status.Counters["upgrade.taken-back"] < 4 || status.Counters["upgrade.in-doubt"] != 1 {
		t.Errorf("counters = %v, want upgrade.taken-back of at least 4 and upgrade.in-doubt of 1", status.Counters)
	}
	_, result = g.startProbation()
	if r := g.completeProbation(result); r.Problem != "" {
		t.Errorf("next upgrade failed: %q", r.Problem)
	}
	sendLookups(3)
	g.awaitEvent("upgrade.exit")
	if status := g.status(); status == nil || !status.TookOver || status.PID == g.old.Process.Pid {
		t.Errorf("status after the upgrade: %+v, want a new process that took over", status)
	}
}

// TestUpgradeKeyWindowEnds kills the new process after the deduplication window of an open load's idempotency key has
// passed: the load is not sent again, and its client learns that it may have run.
func TestUpgradeKeyWindowEnds(t *testing.T) {
	g := newTestGateway(t, `"window-ms": 12000`, `"window-ms": 300`)
	c := g.newClient()
	pid, result := g.startProbation()
	g.hold("k-1-1")
	loadOutcome := sendAsync(c, "k-1-1")
	g.awaitRuns("k-1-1", 1)
	time.Sleep(300 * time.Millisecond) // the window itself
	_ = syscall.Kill(pid, syscall.SIGKILL)
	<-result
	g.expect("load past its key window", loadOutcome, load.Ambiguous)
	g.awaitRuns("k-1-1", 1)
}

// rawClient is a PostgreSQL client that sends messages byte by byte as the test says.
type rawClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

// newRawClient connects a raw client and sends the startup message.
func (g *testGateway) newRawClient() *rawClient {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(60 * time.Second))
	c := &rawClient{g.t, conn, bufio.NewReader(conn)}
	c.send(pgproto.AppendStartup(nil, pgproto.Version, append(append(pgproto.CString("user"), pgproto.CString("t")...), 0)))
	return c
}

// send writes messages or parts of them.
func (c *rawClient) send(parts ...[]byte) {
	for _, part := range parts {
		if _, err := c.conn.Write(part); err != nil {
			c.t.Errorf("sending to the gateway: %v, want no error", err)
		}
	}
}

// until reads messages up to one of the given type. It returns the types of all of them, with the SQLSTATE after each E, and
// the body of the last BackendKeyData (K).
func (c *rawClient) until(kind byte) (kinds string, key []byte) {
	c.t.Helper()
	head := make([]byte, 5)
	for {
		if _, err := io.ReadFull(c.in, head); err != nil {
			c.t.Errorf("after messages %q: error %v, want a message of type %c", kinds, err, kind)
			return kinds, key
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err := io.ReadFull(c.in, body); err != nil {
			c.t.Errorf("body of message %c: error %v, want %d bytes", head[0], err, len(body))
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

// TestUpgradeInTheMiddle upgrades while clients are in the middle of something. A request in flight at the old process is
// cancelled by a connection to the new one; another is answered by the old process after the new one has become the owner.
// An open portal returns its remaining rows, a half-sent message is completed, a statement prepared before the upgrade can
// be executed after it, and a slow reader gets all responses.
func TestUpgradeInTheMiddle(t *testing.T) {
	// One attempt per request. On a slow machine the policy module would take an overdue response for lost and retry the
	// request on the other engine. If that happened on both engines, it would reject requests for some seconds, which is
	// unrelated to upgrades.
	g := newTestGateway(t, `"most-tries": 3`, `"most-tries": 1`)
	query := func(mark string) []byte {
		return pgproto.AppendMessage(nil, 'Q', pgproto.CString("SELECT part FROM stock_3.parts WHERE tag = '"+mark+"'"))
	}
	cancelled, inFlight, portal, halfSent, slowReader := g.newRawClient(), g.newRawClient(), g.newRawClient(), g.newRawClient(), g.newRawClient()
	// A client that requests large results and does not read them for a while.
	slowReader.until('Z')
	const largeResults = 8
	for range largeResults {
		slowReader.send(pgproto.AppendMessage(nil, 'Q', pgproto.CString("SELECT '"+strings.Repeat("x", 900_000)+"'")))
	}
	_, key := cancelled.until('Z')
	g.hold("q-1-1")
	cancelled.send(query("q-1-1"))
	g.awaitRuns("q-1-1", 1)
	inFlight.until('Z')
	release := g.hold("q-1-2")
	inFlight.send(pgproto.AppendMessage(nil, 'P', pgproto.CString("s"), pgproto.CString("SELECT part FROM stock_3.parts WHERE tag = $1"), []byte{0, 0}), pgproto.AppendMessage(nil, 'S'))
	inFlight.until('Z')
	inFlight.send(query("q-1-2"))
	g.awaitRuns("q-1-2", 1)
	portal.until('Z')
	portal.send(pgproto.AppendMessage(nil, 'P', []byte{0}, pgproto.CString("SELECT part FROM stock_3.parts WHERE tag = 'q-1-4'"), []byte{0, 0}),
		pgproto.AppendMessage(nil, 'B', pgproto.CString("p"), []byte{0}, make([]byte, 6)), pgproto.AppendMessage(nil, 'E', pgproto.CString("p"), pgproto.Int32(1)), pgproto.AppendMessage(nil, 'H'))
	portal.until('s')
	halfSent.until('Z')
	message := query("q-1-5")
	halfSent.send(message[:20])

	_, result := g.startProbation()
	halfSent.send(message[20:])
	if got, _ := halfSent.until('Z'); got != "TDDCZ" {
		t.Errorf("message sent in two halves: response %s, want TDDCZ", got)
	}
	portal.send(pgproto.AppendMessage(nil, 'E', pgproto.CString("p"), pgproto.Int32(0)), pgproto.AppendMessage(nil, 'S'))
	if got, _ := portal.until('Z'); got != "DCZ" {
		t.Errorf("remaining rows of a portal: response %s, want DCZ", got)
	}
	g.awaitRuns("q-1-4", 1)
	canceller, err := net.Dial("tcp", g.addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = canceller.Write(append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 16), pgproto.CancelRequest), key...))
	if got, _ := cancelled.until('Z'); got != "E(57014)Z" {
		t.Errorf("request cancelled through the other process: response %s, want E(57014)Z", got)
	}
	_ = canceller.Close()
	if r := g.completeProbation(result); r.Problem != "" {
		t.Fatalf("upgrade failed: %q", r.Problem)
	}
	close(release)
	if got, _ := inFlight.until('Z'); got != "TDDCZ" {
		t.Errorf("request in flight during the upgrade: response %s, want TDDCZ", got)
	}
	inFlight.send(pgproto.AppendMessage(nil, 'B', []byte{0}, pgproto.CString("s"), []byte{0, 0, 0, 1}, pgproto.Int32(5), []byte("q-1-6"), []byte{0, 0}),
		pgproto.AppendMessage(nil, 'E', []byte{0}, pgproto.Int32(0)), pgproto.AppendMessage(nil, 'S'))
	if got, _ := inFlight.until('Z'); got != "2DDCZ" {
		t.Errorf("statement prepared at the old process: response %s, want 2DDCZ", got)
	}
	for n := range largeResults {
		if got, _ := slowReader.until('Z'); got != "TDDCZ" {
			t.Errorf("response %d to a slow reader: %s, want TDDCZ", n, got)
		}
	}
	g.awaitEvent("upgrade.exit")
	slowReader.send(query("q-1-8"))
	if got, _ := slowReader.until('Z'); got != "TDDCZ" {
		t.Errorf("later query of the slow reader: response %s, want TDDCZ", got)
	}
	cancelled.send(query("q-1-7"))
	if got, _ := cancelled.until('Z'); got != "TDDCZ" {
		t.Errorf("query after a cancelled one: response %s, want TDDCZ", got)
	}
}

// TestUpgradeOldProcessDies kills the old process during the probation: the new process becomes the owner, and serves both
// the connections it was given and new ones.
func TestUpgradeOldProcessDies(t *testing.T) {
	g := newTestGateway(t)
	c := g.newClient()
	pid, result := g.startProbation()
	_ = g.old.Process.Kill()
	if r := <-result; !strings.Contains(r.Problem, "connection closed before the final reply") {
		t.Errorf("upgrade problem = %q, want a closed admin connection", r.Problem)
	}
	g.awaitEvent("upgrade.owner")
	g.awaitEvent("serving")
	g.expect("connection that was handed over", sendAsync(c, "q-1-1"), load.Served)
	g.expect("new connection", sendAsync(g.newClient(), "q-1-2"), load.Served)
	if status := g.status(); status == nil || status.PID != pid {
		t.Errorf("status: %+v, want process %d", status, pid)
	}
	_, result = g.startProbation()
	if r := g.completeProbation(result); r.Problem != "" {
		t.Errorf("next upgrade failed: %q", r.Problem)
	}
	g.expect("connection after the next upgrade", sendAsync(c, "q-1-3"), load.Served)
}

// TestUpgradeWithOtherCommands sends other commands before and during an upgrade. A check reports the program, an unknown
// command and a second upgrade are refused, and a reload reaches both processes. A graceful shutdown aborts the upgrade: the
// old process takes everything back, closes its clients in order and exits, and the new process exits too.
func TestUpgradeWithOtherCommands(t *testing.T) {
	g := newTestGateway(t)
	c := g.newRawClient()
	c.until('Z')
	if r := <-g.sendCommand("check"); r.Problem != "" || r.Build == "" {
		t.Errorf("check = %+v, want a build and no problem", r)
	}
	if r := <-g.sendCommand("dance"); !strings.Contains(r.Problem, "dance") {
		t.Errorf("unknown command: reply %+v, want a problem that names it", r)
	}
	pid, result := g.startProbation()
	if r := <-g.sendCommand("upgrade"); r.Problem != "another upgrade is under way" {
		t.Errorf("second upgrade: problem %q, want \"another upgrade is under way\"", r.Problem)
	}
	_ = g.old.Process.Signal(syscall.SIGHUP)
	g.awaitEvent("reload.done")
	g.awaitEvent("reload.done")
	_ = g.old.Process.Signal(syscall.SIGTERM)
	if r := <-result; r.Problem != "a planned stop came first" {
		t.Errorf("upgrade problem = %q, want \"a planned stop came first\"", r.Problem)
	}
	if got, _ := c.until('E'); got != "E(57P01)" {
		t.Errorf("client during the shutdown: response %s, want E(57P01)", got)
	}
	if err := <-g.ended; err != nil {
		t.Errorf("the old process exited with %v, want status 0", err)
	}
	if err := syscall.Kill(pid, 0); err == nil {
		t.Error("the new process is still running after the shutdown")
	}
}

// TestNotify checks that a state is sent to the socket in $NOTIFY_SOCKET.
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
		t.Errorf("service manager received %q, error %v; want %q, nil", b[:n], err, "MAINPID=7\nREADY=1\n")
	}
}
