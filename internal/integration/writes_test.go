package integration

import (
	"strings"
	"testing"

	"gannetspur/internal/frontend/postgres"
	"gannetspur/internal/pgproto"
	"gannetspur/policy"
)

// An engine runs a statement and breaks the connection. What may write has run once,
// whatever the default class, and its client is told that this can't be known; a
// reading statement goes on to other engines.
func TestWritesRunOnce(t *testing.T) {
	script := func(pgCall) []byte { return []byte(breakOff) }
	var engines []string
	var seen []chan pgCall
	for range 4 {
		addr, calls := pgEngine(t, script)
		engines, seen = append(engines, addr), append(seen, calls)
	}
	runs := func() (n int) {
		for _, calls := range seen {
			for len(calls) > 0 {
				<-calls
				n++
			}
		}
		return n
	}
	for _, text := range []string{
		"DELETE FROM stock_1.parts", "UPDATE stock_1.parts SET n = 1", "MERGE INTO stock_1.parts USING x ON true WHEN MATCHED THEN DELETE",
		"CREATE TABLE stock_1.x AS SELECT 1", "SELECT 1 INTO stock_1.x", "WITH d AS (DELETE FROM stock_1.parts RETURNING *) SELECT * FROM d",
		"SELECT setval('s', 1)", "EXPLAIN ANALYZE DELETE FROM stock_1.parts", "SELECT 1 FROM stock_1.parts FOR UPDATE",
		"/* class=write */ SELECT 1", "DO $$ BEGIN END $$", "SELECT count(*) -- \r, setval('s', 1)",
	} {
		k := connect(t, postgresGateway(t, engines...).addr) // a gateway that thinks well of all engines
		k.send(parse("", text), bind("", ""), execute("", 0), sync)
		same(t, text, k.until('Z'), "1 2 E(40003) Z")
		if n := runs(); n != 1 {
			t.Errorf("%s ran %d times", text, n)
		}
	}
	k := connect(t, postgresGateway(t, engines...).addr)
	k.send(parse("", "SELECT 1"), bind("", ""), execute("", 0), sync)
	k.until('Z')
	if n := runs(); n < 2 {
		t.Errorf("a reading statement ran %d times, want more than one", n)
	}
}

// A class that is safe to repeat, named by the client or by a rule, is refused for
// what may write; the operators' word lifts doubt, but not a write in plain sight.
func TestSafeClassForWrites(t *testing.T) {
	addr, _ := pgEngine(t, func(pgCall) []byte { return pgRows("a") })
	g := newGateway(t, nil)
	g.pgwire = postgres.Options{
		DefaultClass: "lookup", WriteClass: "write", ReadOnlyFunctions: map[string]bool{"stock.price_of": true},
		Rules: []postgres.Rule{{Starts: "SELECT quiet", Class: "report", ReadOnly: true}, {Starts: "SELECT loud", Class: "report"}},
	}
	g.postgres(addr)
	bare := newGateway(t, nil)
	bare.pgwire = postgres.Options{DefaultClass: "lookup"}
	bare.postgres(addr)
	for _, tt := range []struct {
		g          *gateway
		text, want string
	}{
		{g, "/* class=lookup */ DELETE FROM x", "E(22023 hint) Z"},
		{g, "/* class=report */ SELECT f()", "E(22023 hint) Z"},
		{g, "SELECT loud()", "E(22023 hint) Z"},
		{g, "SELECT quiet()", "T D(a) C(SELECT 1) Z"},
		{g, "SELECT quiet() FOR UPDATE", "E(22023 hint) Z"},
		{g, "SELECT stock.price_of(1)", "T D(a) C(SELECT 1) Z"},
		{g, "SELECT f()", "T D(a) C(SELECT 1) Z"},
		{bare, "DELETE FROM x", "E(0A000) Z"},
		{bare, "SELECT 1", "T D(a) C(SELECT 1) Z"},
	} {
		k := connect(t, tt.g.addr)
		k.send(query(tt.text))
		same(t, tt.text, k.until('Z'), tt.want)
	}
	if n := g.count("taken.write"); n != 1 {
		t.Errorf("%d taken as writes, want 1", n)
	}
}

// What became of a write after it was sent is never told as if nothing had been done:
// an engine short of something in its middle is the last that hears of it, a time-out
// and a cancel leave doubt, and a name that an engine has dropped is found out before.
func TestWordOnWrites(t *testing.T) {
	hang := make(chan bool, 9)
	addr, seen := pgEngine(t, func(c pgCall) []byte {
		switch {
		case strings.Contains(c.query, "short"):
			return append(append([]byte{}, '1', 0, 0, 0, 4, '2', 0, 0, 0, 4), pgError("53100")...)
		case strings.Contains(c.query, "odd") && !c.parsed:
			return append([]byte{'2', 0, 0, 0, 4}, pgError("0A000")...)
		case strings.Contains(c.query, "odd"):
			return pgRows("a")
		}
		hang <- true
		return nil
	})
	g := newGateway(t, func(s *policy.Settings) { s.Limits.MaxAttempts = 3 }).postgres(addr)
	k := connect(t, g.addr, "statement_timeout", "300ms")
	run := func(text string) string {
		k.send(query(text))
		return k.until('Z')
	}
	same(t, "short of disk", run("UPDATE short SET a = 1"), "E(53100) Z")
	same(t, "first", run("UPDATE odd SET a = 1"), "T D(a) C(SELECT 1) Z")
	same(t, "not supported while it ran", run("UPDATE odd SET a = 1"), "E(0A000) Z")
	same(t, "out of time", run("UPDATE x SET a = 1"), "E(40003) Z")
	if n := g.count("sent."); n != 4 {
		t.Errorf("%d sent, want 4", n)
	}
	for len(hang) > 0 {
		<-hang
	}
	for len(seen) > 0 {
		<-seen
	}
	k = connect(t, g.addr)
	k.send(query("UPDATE x SET a = 2"))
	await(t, hang)
	c := dial(t, g.addr)
	_, _ = c.Write(pgproto.AppendStartup(nil, pgproto.CancelRequest, k.key))
	same(t, "cancelled", k.until('Z'), "E(40003) Z")
}
