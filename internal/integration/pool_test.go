package integration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gannetspur/internal/decide/connpool"
	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// pooledGateway is a gateway before one engine, which answers each statement when the test releases it.
type pooledGateway struct {
	*gateway
	asked   chan string // statements in order of arrival at the engine
	release chan bool   // each value lets the engine answer one statement
}

// newPooledGateway starts a pooledGateway with the limits of the connection pool.
func newPooledGateway(t *testing.T, limits connpool.Limits) *pooledGateway {
	t.Helper()
	p := &pooledGateway{asked: make(chan string, 100), release: make(chan bool, 100)}
	addr, _ := pgEngine(t, func(c pgCall) []byte {
		p.asked <- c.query
		<-p.release
		return pgRows("a")
	})
	p.gateway = newGateway(t, nil)
	p.backendOptions.Pool = limits
	p.startPostgres(addr)
	return p
}

// send has a user send a statement, and waits until the core has accepted it.
func (p *pooledGateway) send(user, text string) *pgClient {
	p.t.Helper()
	k := connect(p.t, p.addr, "user", user)
	before := p.count("taken.")
	k.send(query("/* class=lookup */ " + text))
	for p.count("taken.") == before {
		time.Sleep(time.Millisecond)
	}
	return k
}

// TestPoolIsBoundedAndFair guards against too many connections to an engine and against one user who keeps
// others waiting: while a statement runs on the only allowed connection, the others wait; users take turns, and no
// statement is lost.
func TestPoolIsBoundedAndFair(t *testing.T) {
	p := newPooledGateway(t, connpool.Limits{MaxConnections: 1})
	var clients []*pgClient
	for n := range 4 {
		clients = append(clients, p.send("office", fmt.Sprintf("SELECT 'office %d' FROM stock_1.parts", n)))
	}
	clients = append(clients, p.send("desk", "SELECT 'desk' FROM stock_1.parts"))
	var got []string
	for range clients {
		got = append(got, await(t, p.asked)[len("/* class=lookup */ SELECT "):])
		p.release <- true
	}
	want := []string{"'office 0' FROM stock_1.parts", "'desk' FROM stock_1.parts", "'office 1' FROM stock_1.parts",
		"'office 2' FROM stock_1.parts", "'office 3' FROM stock_1.parts"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
	for _, k := range clients {
		assertEqual(t, "answer", k.until('Z'), "T D(a) C(SELECT 1) Z")
	}
	if n, waited := p.count("links.dialed"), p.count("links.waited"); n != 1 || waited != 4 {
		t.Errorf("got %d connections and %d statements that waited, want 1 and 4", n, waited)
	}
}

// TestPoolBoundsAUser guards against a user with more connections than its limit, however many are free, and
// against that limit holding up other users.
func TestPoolBoundsAUser(t *testing.T) {
	p := newPooledGateway(t, connpool.Limits{MaxConnections: 3, MaxPerUser: 1})
	for n := range 3 {
		p.send("office", fmt.Sprintf("SELECT %d FROM stock_1.parts", n))
	}
	p.send("desk", "SELECT 9 FROM stock_1.parts")
	first := []string{await(t, p.asked), await(t, p.asked)}
	slices.Sort(first)
	want := []string{"/* class=lookup */ SELECT 0 FROM stock_1.parts", "/* class=lookup */ SELECT 9 FROM stock_1.parts"}
	if diff := cmp.Diff(want, first); diff != "" {
		t.Errorf("statements at the engine at once (-want +got):\n%s", diff)
	}
	if len(p.asked) > 0 {
		t.Errorf("got %d more statements at the engine, want none while the user's only connection is in use", len(p.asked))
	}
	for range 4 {
		p.release <- true
	}
	await(t, p.asked)
	await(t, p.asked)
	if n := p.count("links.dialed"); n != 2 {
		t.Errorf("got %d connections, want 2", n)
	}
}

// TestPoolOfIdleTransactions guards against statements that hang or get an unknown outcome because idle
// transactions hold all connections. A statement waits until its timeout and is then refused: it was never sent,
// so that repeating it is harmless, even for a write. The transaction goes on.
func TestPoolOfIdleTransactions(t *testing.T) {
	g, _ := transactionGateway(t, func(g *gateway) { g.backendOptions.Pool.MaxConnections = 1 })
	k, other := connect(t, g.addr), connect(t, g.addr, "options", "-c statement_timeout=300")
	k.queryWithStatus("BEGIN")
	assertEqual(t, "in the transaction", k.queryWithStatus("SELECT 1"), "T D(SELECT 1) D() C(SELECT 2) ZT")
	for range 2 {
		timedOut := g.count("answered-late.")
		got := other.queryWithStatus("DELETE FROM stock_1.parts")
		want := "E(53000 hint) ZI"
		if g.count("answered-late.") > timedOut { // on a busy machine the loop may handle it only after its timeout
			want = "E(57014) ZI"
		}
		assertEqual(t, "write that waited until its timeout", got, want)
	}
	if n := g.count("ended.crowded"); n < 2 {
		t.Errorf("got %d attempts that ended for want of a connection, want at least 2", n)
	}
	assertEqual(t, "the transaction", k.queryWithStatus("COMMIT"), "C(COMMIT) ZI")
	// The session is reset first. A statement with enough time waits for that; one with less time than the transaction
	// took is refused until the reset is done, by the pool's estimate of how long a connection stays in use.
	assertEqual(t, "statement after it, with enough time", connect(t, g.addr).queryWithStatus("SELECT 3"), "T D(SELECT 3) D() C(SELECT 2) ZI")
	assertEqual(t, "statement after it", other.queryWithStatus("SELECT 2"), "T D(SELECT 2) D() C(SELECT 2) ZI")
	if n := g.count("links.dialed"); n != 1 {
		t.Errorf("got %d connections, want 1", n)
	}
}

// TestPoolKeepsConnections guards against a pool that falls below its minimum: connections are opened before any
// statement comes, and again in place of those that ended, also of those that reached their maximum lifetime.
func TestPoolKeepsConnections(t *testing.T) {
	p := newPooledGateway(t, connpool.Limits{MaxConnections: 4, MinConnections: 2, MaxLifetime: 200 * time.Millisecond})
	for p.count("links.dialed") < 5 { // the first two and their replacements
		time.Sleep(time.Millisecond)
	}
	p.release <- true
	k := connect(t, p.addr)
	k.send(query("SELECT 1 FROM stock_1.parts"))
	assertEqual(t, "answer", k.until('Z'), "T D(a) C(SELECT 1) Z")
	if n := p.count("links.ended.idle"); n < 3 {
		t.Errorf("got %d idle connections that ended, want at least 3", n)
	}
}

// TestPoolOfAnEngineThatLeaves guards against statements sent to an engine that drains or has left the endpoint
// list: those that wait for a connection to it are served by another engine, and the one that runs there ends
// normally.
func TestPoolOfAnEngineThatLeaves(t *testing.T) {
	for _, state := range []policy.EngineState{policy.EngineDraining, policy.EngineDeparted} {
		p := newPooledGateway(t, connpool.Limits{MaxConnections: 1})
		first := p.send("office", "SELECT 1 FROM stock_1.parts")
		await(t, p.asked)
		second := p.send("office", "SELECT 2 FROM stock_1.parts")
		var old []string
		p.do(func() {
			for _, e := range p.core.Snapshot().Engines {
				old = append(old, e.Addr)
			}
		})
		addr, _ := pgEngine(t, func(pgCall) []byte { return pgRows("b") })
		p.updateEngines(policy.EngineLive, addr)
		p.updateEngines(state, old...)
		assertEqual(t, "statement that waited", second.until('Z'), "T D(b) C(SELECT 1) Z")
		p.release <- true
		assertEqual(t, "statement that was running", first.until('Z'), "T D(a) C(SELECT 1) Z")
		if len(p.asked) > 0 {
			t.Errorf("got %d more statements at the engine that leaves, want none", len(p.asked))
		}
	}
}
