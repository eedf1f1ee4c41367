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

// pooled is a gateway before one engine which answers a statement when it is told to.
type pooled struct {
	*gateway
	asked   chan string // statements, as they come
	release chan bool
}

func newPooled(t *testing.T, limits connpool.Limits) *pooled {
	t.Helper()
	p := &pooled{asked: make(chan string, 100), release: make(chan bool, 100)}
	addr, _ := pgEngine(t, func(c pgCall) []byte {
		p.asked <- c.query
		<-p.release
		return pgRows("a")
	})
	p.gateway = newGateway(t, nil)
	p.engine.Pool = limits
	p.postgres(addr)
	return p
}

// send has a user send a statement, and waits until the core has it.
func (p *pooled) send(user, text string) *pgClient {
	p.t.Helper()
	k := connect(p.t, p.addr, "user", user)
	before := p.count("taken.")
	k.send(query("/* class=lookup */ " + text))
	for p.count("taken.") == before {
		time.Sleep(time.Millisecond)
	}
	return k
}

// No more connections are opened to an engine than it may have; the others wait, users by turns, and
// none is lost.
func TestPoolIsBoundedAndFair(t *testing.T) {
	p := newPooled(t, connpool.Limits{MaxConnections: 1})
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
		same(t, "answer", k.until('Z'), "T D(a) C(SELECT 1) Z")
	}
	if n, waited := p.count("links.dialed"), p.count("links.waited"); n != 1 || waited != 4 {
		t.Errorf("%d connections, %d waited", n, waited)
	}
}

// One user has no more connections than it may, however many are left; others have theirs.
func TestPoolBoundsAUser(t *testing.T) {
	p := newPooled(t, connpool.Limits{MaxConnections: 3, MaxPerUser: 1})
	for n := range 3 {
		p.send("office", fmt.Sprintf("SELECT %d FROM stock_1.parts", n))
	}
	p.send("desk", "SELECT 9 FROM stock_1.parts")
	first := []string{await(t, p.asked), await(t, p.asked)}
	slices.Sort(first)
	want := []string{"/* class=lookup */ SELECT 0 FROM stock_1.parts", "/* class=lookup */ SELECT 9 FROM stock_1.parts"}
	if diff := cmp.Diff(want, first); diff != "" {
		t.Errorf("at once (-want +got):\n%s", diff)
	}
	if len(p.asked) > 0 {
		t.Error("a user has two connections")
	}
	for range 4 {
		p.release <- true
	}
	await(t, p.asked)
	await(t, p.asked)
	if n := p.count("links.dialed"); n != 2 {
		t.Errorf("%d connections", n)
	}
}

// Where transactions whose clients think have all connections, a statement waits as long as it has time, and is refused
// then: it was never sent, and trying again is harmless, a write's too. The transaction goes on.
func TestPoolOfIdleTransactions(t *testing.T) {
	g, _ := transacting(t, func(g *gateway) { g.engine.Pool.MaxConnections = 1 })
	k, other := connect(t, g.addr), connect(t, g.addr, "options", "-c statement_timeout=300")
	k.says("BEGIN")
	same(t, "in the transaction", k.says("SELECT 1"), "T D(SELECT 1) D() C(SELECT 2) ZT")
	for range 2 {
		late := g.count("answered-late.")
		got := other.says("DELETE FROM stock_1.parts")
		want := "E(53000 hint) ZI"
		if g.count("answered-late.") > late { // its turn came so late, on a busy machine, that its time was over
			want = "E(57014) ZI"
		}
		same(t, "a write that waited in vain", got, want)
	}
	if n := g.count("ended.crowded"); n < 2 {
		t.Errorf("%d ended for want of a connection", n)
	}
	same(t, "the transaction", k.says("COMMIT"), "C(COMMIT) ZI")
	// The connection is tidied up first. One who has the time waits for that; who has less than the transaction took is
	// refused until it is done, by the pool's word on how long a connection is kept.
	same(t, "behind it, with time", connect(t, g.addr).says("SELECT 3"), "T D(SELECT 3) D() C(SELECT 2) ZI")
	same(t, "behind it", other.says("SELECT 2"), "T D(SELECT 2) D() C(SELECT 2) ZI")
	if n := g.count("links.dialed"); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// Connections are opened ahead of any statement, and again for one that ended, be it by its age.
func TestPoolKeepsConnections(t *testing.T) {
	p := newPooled(t, connpool.Limits{MaxConnections: 4, MinConnections: 2, MaxLifetime: 200 * time.Millisecond})
	for p.count("links.dialed") < 5 { // two, and those that come after them
		time.Sleep(time.Millisecond)
	}
	p.release <- true
	k := connect(t, p.addr)
	k.send(query("SELECT 1 FROM stock_1.parts"))
	same(t, "answer", k.until('Z'), "T D(a) C(SELECT 1) Z")
	if n := p.count("links.ended.idle"); n < 3 {
		t.Errorf("%d ended", n)
	}
}

// Who waits for a connection to an engine that drains or goes is served by another, and is never sent there; who was
// there already ends as he would.
func TestPoolOfAnEngineThatLeaves(t *testing.T) {
	for _, state := range []policy.EngineState{policy.EngineDraining, policy.EngineDeparted} {
		p := newPooled(t, connpool.Limits{MaxConnections: 1})
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
		p.roster(policy.EngineLive, addr)
		p.roster(state, old...)
		same(t, "who waited", second.until('Z'), "T D(b) C(SELECT 1) Z")
		p.release <- true
		same(t, "who was there", first.until('Z'), "T D(a) C(SELECT 1) Z")
		if len(p.asked) > 0 {
			t.Error("what waited was sent to the engine that leaves")
		}
	}
}
