package gateway

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/harness"
	"gannetspur/internal/testbed/load"
)

// testGateway is a gateway in a child process between test clients and two emulated engines. Each statement carries a mark
// such as "q-1-3" that identifies it in the engines' ledger; its first letter is the load.Kind: q for a lookup, k for a load
// with an idempotency key, w for a write. A test can have the engines hold the statement of a mark.
type testGateway struct {
	t        *testing.T
	platform bool             // it serves the platform's frontend
	clients  uint64           // number of clients of the platform's frontend so far
	addr     string           // that clients connect to
	admin    string           // path of the admin socket
	file     string           // path of the upgrade file
	settings string           // path of the file with the classes
	cluster  *harness.Harness // the engines and their discovery
	ledger   *emulator.Ledger
	store    *emulator.Store     // what the engines committed
	old      *exec.Cmd           // the first process
	ended    chan error          // how the first process exited
	events   chan map[string]any // log events of all processes; closed once all have exited

	mu   sync.Mutex
	held map[string]chan struct{} // by mark; a statement waits until its channel is closed

	waiting atomic.Int64 // number of statements that have waited for a held mark
}

// gatewayOptions configure a testGateway.
type gatewayOptions struct {
	platform bool     // serve the platform's frontend instead of the PostgreSQL frontend
	engines  int      // number of engines; 0: two
	zones    []string // zones of the engines, in turns; empty: all are in one
	change   []string // pairs of old and new text to replace in the settings file and in the upgrade file
}

// newTestGateway starts two engines and a gateway with the PostgreSQL frontend, and waits until a client is served. change
// lists pairs of old and new text to replace in the settings file and in the upgrade file.
func newTestGateway(t *testing.T, change ...string) *testGateway {
	t.Helper()
	return startTestGateway(t, gatewayOptions{change: change})
}

// startTestGateway starts the engines and the gateway, and waits until a client is served.
func startTestGateway(t *testing.T, opts gatewayOptions) *testGateway {
	t.Helper()
	change := opts.change
	dir := t.TempDir()
	addr, err := harness.UnusedAddress()
	if err != nil {
		t.Fatal(err)
	}
	g := &testGateway{t: t, platform: opts.platform, addr: addr, admin: filepath.Join(dir, "a"), ledger: emulator.NewLedger(12 * time.Second), store: emulator.NewStore(), held: map[string]chan struct{}{}, ended: make(chan error, 1), events: make(chan map[string]any, 4096)}
	cluster, err := harness.New(harness.Options{
		Root: "../..", Dir: dir, Engines: cmp.Or(opts.engines, 2), Zones: opts.zones, HTTP: addr, Postgres: addr, Ledger: g.ledger, Log: slog.New(slog.DiscardHandler), Work: g.work,
		Store: g.store, Heard: g.heard,
	})
	if err != nil {
		t.Fatal(err)
	}
	g.cluster = cluster
	t.Cleanup(cluster.Close)
	g.settings = filepath.Join(dir, "postgres-settings.json")
	deploy := cluster.Deploy
	if opts.platform {
		g.settings = cluster.Config
		deploy = cluster.Config
	}
	if len(change) > 0 {
		replaceInFile(t, g.settings, change...)
	}
	raw, err := os.ReadFile("../../deploy/upgrade.toml")
	if err != nil {
		t.Fatal(err)
	}
	g.file = filepath.Join(dir, "upgrade.toml")
	if err := os.WriteFile(g.file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	// Without client requests, the probation lasts until the test ends it.
	replaceInFile(t, g.file, `"/tmp/ringwood-admin.sock"`, fmt.Sprintf("%q", g.admin), "prove_for_s = 3 ", "prove_for_s = 0.3 ", "prove_within_s = 15 ", "prove_within_s = 60 ", "good_answers = 20", "good_answers = 8", "greet_within_s = 5", "greet_within_s = 20", "silent_for_s = 1 ", "silent_for_s = 10 ")
	if len(change) > 0 {
		replaceInFile(t, g.file, change...)
	}
	g.old = exec.Command(os.Args[0], "-test.run=^TestUpgradeChild$")
	g.old.Env = append(os.Environ(), upgradeEnv+"="+deploy+"|"+g.file)
	out, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	g.old.Stderr = w
	if err := g.old.Start(); err != nil {
		t.Fatal(err)
	}
	_ = w.Close()
	go func() { g.ended <- g.old.Wait() }()
	go func() {
		defer close(g.events)
		for in := bufio.NewScanner(out); in.Scan(); {
			var e map[string]any
			if json.Unmarshal(in.Bytes(), &e) == nil {
				g.events <- e
			}
		}
	}()
	t.Cleanup(func() {
		for _, c := range g.held {
			select {
			case <-c:
			default:
				close(c)
			}
		}
		_ = g.old.Process.Kill()
		g.killAll()
	})
	g.awaitEvent("serving")
	for range 200 {
		c := g.connect()
		verdict, _ := c.Send(load.Lookup, "q-0-1", nil, time.Second)
		c.Close()
		if verdict == load.Served {
			return g
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("no lookup was served in 200 attempts")
	return nil
}

// replaceInFile replaces text in a file, by pairs of old and new text.
func replaceInFile(t *testing.T, path string, pairs ...string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.NewReplacer(pairs...).Replace(string(raw))), 0o600); err != nil {
		t.Fatal(err)
	}
}

// killAll kills whichever process answers on the admin socket, again and again until all processes have exited; their event
// stream ends then. One attempt is not enough: a process that has just become the owner does not have the socket yet, so
// that an attempt may find no process, or one that is about to exit.
func (g *testGateway) killAll() {
	retry := time.NewTicker(50 * time.Millisecond)
	defer retry.Stop()
	for {
		if status := g.status(); status != nil {
			_ = syscall.Kill(status.PID, syscall.SIGKILL)
		}
		for drained := false; !drained; {
			select {
			case _, ok := <-g.events:
				if !ok {
					return
				}
			case <-retry.C:
				drained = true
			}
		}
	}
}

// work is called by the engines for each statement. It waits if the text contains a held mark.
func (g *testGateway) work(text string) (time.Duration, float64) {
	g.waitWhileHeld(text)
	return 0, 1
}

// heard is called by the engines for each statement before it is begun. The end of a transaction, for which
// work is not called, waits if its text contains a held mark.
func (g *testGateway) heard(_, text string) {
	if strings.HasPrefix(text, "COMMIT") || strings.HasPrefix(text, "ROLLBACK") {
		g.waitWhileHeld(text)
	}
}

// waitWhileHeld waits if the text contains a held mark.
func (g *testGateway) waitWhileHeld(text string) {
	g.mu.Lock()
	var wait chan struct{}
	for mark, c := range g.held {
		if strings.Contains(text, mark) {
			wait = c
		}
	}
	g.mu.Unlock()
	if wait != nil {
		g.waiting.Add(1)
		<-wait
	}
}

// hold makes engines hold statements with the mark until the returned channel is closed.
func (g *testGateway) hold(mark string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[mark] = make(chan struct{})
	return g.held[mark]
}

// release makes engines no longer hold statements with the mark.
func (g *testGateway) release(mark string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.held[mark])
	delete(g.held, mark)
}

// awaitRuns waits until engines have received the statement of a mark want times. It returns how often they dropped it as a
// repetition of an idempotency key. It fails the test if the count differs after 5 s.
func (g *testGateway) awaitRuns(mark string, want int) (dropped int) {
	g.t.Helper()
	n := 0
	for range 500 {
		n, dropped = 0, 0
		for _, r := range g.ledger.Runs() {
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
		g.t.Errorf("statement %s ran %d times, want %d", mark, n, want)
	}
	return dropped
}

// awaitEvent reads the events of all processes up to one with the name and, if given, the phase.
func (g *testGateway) awaitEvent(name string, phase ...string) map[string]any {
	g.t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case e, ok := <-g.events:
			if !ok {
				g.t.Fatalf("all processes exited without event %s %v", name, phase)
			}
			if e["msg"] == name && (len(phase) == 0 || e["phase"] == phase[0]) {
				return e
			}
		case <-timeout:
			g.t.Fatalf("no event %s %v within 30s", name, phase)
		}
	}
}

// status returns the status of the process on the admin socket; nil means that none answered.
func (g *testGateway) status() *admin.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	last, err := admin.Call(ctx, g.admin, admin.Request{Command: "status"}, func(admin.Reply) {})
	if err != nil {
		return nil
	}
	return last.Status
}

// sendCommand sends an admin command. The returned channel delivers the last reply.
func (g *testGateway) sendCommand(command string) <-chan admin.Reply {
	result := make(chan admin.Reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		last, err := admin.Call(ctx, g.admin, admin.Request{Command: command}, func(admin.Reply) {})
		if err != nil {
			last = admin.Reply{Problem: "call: " + err.Error()}
		}
		result <- last
	}()
	return result
}

// startProbation starts an upgrade and returns once the new process serves on probation: its process id, and a channel that
// delivers the last reply of the upgrade.
func (g *testGateway) startProbation() (pid int, result <-chan admin.Reply) {
	g.t.Helper()
	result = g.sendCommand("upgrade")
	started := g.awaitEvent("upgrade.started")
	g.awaitEvent("upgrade.phase", "probation")
	return int(started["pid"].(float64)), result
}

// completeProbation sends lookups until the upgrade ends, and returns its last reply. The new process needs a number of good
// responses to pass its probation.
func (g *testGateway) completeProbation(result <-chan admin.Reply) admin.Reply {
	g.t.Helper()
	c := g.connect()
	defer func() { c.Close() }()
	for n := 0; ; n++ {
		select {
		case reply := <-result:
			return reply
		default:
		}
		if verdict, detail := c.Send(load.Lookup, fmt.Sprintf("q-99-%d", n), nil, 5*time.Second); verdict != load.Served {
			g.t.Fatalf("lookup during the probation: %s (%s), want %s", verdict, detail, load.Served)
		}
	}
}

// newClient connects a PostgreSQL client.
func (g *testGateway) newClient() *load.Postgres {
	g.t.Helper()
	c, err := load.DialPostgres(g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	return c
}

// connect connects a client of the gateway's frontend.
func (g *testGateway) connect() load.Client {
	g.t.Helper()
	if !g.platform {
		return g.newClient()
	}
	g.clients++
	c, err := load.DialHTTP(g.addr, g.clients)
	if err != nil {
		g.t.Fatal(err)
	}
	return c
}

// outcome is how a statement ended for its client.
type outcome struct {
	verdict load.Verdict
	detail  string
}

// sendAsync sends the statement of a mark. The returned channel delivers its outcome.
func sendAsync(c load.Client, mark string) <-chan outcome {
	result := make(chan outcome, 1)
	go func() {
		verdict, detail := c.Send(load.Kind(mark[0]), mark, nil, 20*time.Second)
		result <- outcome{verdict, detail}
	}()
	return result
}

// expect waits for the outcome of a statement and compares its verdict with want.
func (g *testGateway) expect(what string, result <-chan outcome, want load.Verdict) {
	g.t.Helper()
	select {
	case got := <-result:
		if got.verdict != want {
			g.t.Errorf("%s: %s (%s), want %s", what, got.verdict, got.detail, want)
		}
	case <-time.After(30 * time.Second):
		g.t.Errorf("%s: no response within 30s, want %s", what, want)
	}
}
