package integration

import (
	"strings"
	"testing"

	"gannetspur/internal/frontend/postgres"
	"gannetspur/internal/pgproto"
	"gannetspur/policy"
)

// TestWritesRunOnce guards against a write that runs twice. Every engine closes the connection after it received
// a statement. A statement that may write must have run once, whatever the default class, and its client is told
// that the outcome is unknown; a read-only statement is tried at other engines.
func TestWritesRunOnce(t *testing.T) {
	script := func(pgCall) []byte { return []byte(closeConnection) }
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
		k := connect(t, postgresGateway(t, engines...).addr) // a new gateway, which has seen no engine fail
		k.send(parse("", text), bind("", ""), execute("", 0), sync)
		assertEqual(t, text, k.until('Z'), "1 2 E(40003) Z")
		if n := runs(); n != 1 {
			t.Errorf("%s: got %d runs, want 1", text, n)
		}
	}
	k := connect(t, postgresGateway(t, engines...).addr)
	k.send(parse("", "SELECT 1"), bind("", ""), execute("", 0), sync)
	k.until('Z')
	if n := runs(); n < 2 {
		t.Errorf("read-only statement: got %d runs, want more than 1", n)
	}
}

// TestSafeClassForWrites guards against a write under a class that is safe to repeat, named by the client or by
// a rule: it is refused. A rule or setting of the operators may declare a doubtful statement read-only, but not
// one that plainly writes.
func TestSafeClassForWrites(t *testing.T) {
	addr, _ := pgEngine(t, func(pgCall) []byte { return pgRows("a") })
	g := newGateway(t, nil)
	g.pgOptions = postgres.Options{
		DefaultClass: "lookup", WriteClass: "write", ReadOnlyFunctions: map[string]bool{"stock.price_of": true},
		Rules: []postgres.Rule{{Starts: "SELECT quiet", Class: "report", ReadOnly: true}, {Starts: "SELECT loud", Class: "report"}},
	}
	g.startPostgres(addr)
	bare := newGateway(t, nil)
	bare.pgOptions = postgres.Options{DefaultClass: "lookup"}
	bare.startPostgres(addr)
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
		assertEqual(t, tt.text, k.until('Z'), tt.want)
	}
	if n := g.count("taken.write"); n != 1 {
		t.Errorf("got %d statements classified as writes, want 1", n)
	}
}

// TestOutcomeOfSentWrites guards against reporting a write as not executed after it was sent. An engine that runs out
// of a resource in the middle of a write must be the last to get it, and a timeout or a cancel leaves the
// outcome unknown. A dropped prepared statement shows before BindComplete, so that an error after it must not
// repeat the write.
func TestOutcomeOfSentWrites(t *testing.T) {
	unanswered := make(chan bool, 9) // signals a statement that the engine leaves unanswered
	addr, seen := pgEngine(t, func(c pgCall) []byte {
		switch {
		case strings.Contains(c.query, "short"):
			return append(append([]byte{}, '1', 0, 0, 0, 4, '2', 0, 0, 0, 4), pgError("53100")...)
		case strings.Contains(c.query, "odd") && !c.parsed:
			return append([]byte{'2', 0, 0, 0, 4}, pgError("0A000")...)
		case strings.Contains(c.query, "odd"):
			return pgRows("a")
		}
		unanswered <- true
		return nil
	})
	g := newGateway(t, func(s *policy.Settings) { s.Limits.MaxAttempts = 3 }).startPostgres(addr)
	k := connect(t, g.addr, "statement_timeout", "300ms")
	run := func(text string) string {
		k.send(query(text))
		return k.until('Z')
	}
	assertEqual(t, "engine that runs out of disk space", run("UPDATE short SET a = 1"), "E(53100) Z")
	assertEqual(t, "first execution", run("UPDATE odd SET a = 1"), "T D(a) C(SELECT 1) Z")
	assertEqual(t, "error after BindComplete", run("UPDATE odd SET a = 1"), "E(0A000) Z")
	assertEqual(t, "write past its timeout", run("UPDATE x SET a = 1"), "E(40003) Z")
	if n := g.count("sent."); n != 4 {
		t.Errorf("got %d attempts sent, want 4", n)
	}
	for len(unanswered) > 0 {
		<-unanswered
	}
	for len(seen) > 0 {
		<-seen
	}
	k = connect(t, g.addr)
	k.send(query("UPDATE x SET a = 2"))
	await(t, unanswered)
	c := dial(t, g.addr)
	_, _ = c.Write(pgproto.AppendStartup(nil, pgproto.CancelRequest, k.key))
	assertEqual(t, "cancelled", k.until('Z'), "E(40003) Z")
}
