package integration

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/decide/costmodel"
	"gannetspur/internal/frontend/postgres"
	"gannetspur/internal/queryshape"
)

// learnShapes has a gateway learn the cost of query shapes. It must be called before the gateway serves.
func learnShapes(t *testing.T, g *gateway, settings queryshape.Settings) *queryshape.Service {
	t.Helper()
	settings.Bytes = 256 << 10
	settings.Model = costmodel.Config{Classes: []costmodel.Class{{Name: "lookup", MaxWorkMS: 60}, {Name: "report"}}}
	s, err := queryshape.NewService(settings, g.site.Policy.Classes, g.loop, g.stats, g.log)
	if err != nil {
		t.Fatal(err)
	}
	g.core.SetCostObserver(s)
	g.pgOptions = postgres.Options{DefaultClass: "lookup", WriteClass: "write", Shapes: s, Rules: []postgres.Rule{{Starts: "insert into", Class: "load", Key: 1}}}
	return s
}

// TestClassByShape guards against a class chosen by the query shape alone: one shape is a lookup with a short
// list and a report with a long one, and after a few executions the bound values decide. A class in a comment
// takes precedence over the shape, and a statement that may write is never classified by shape.
func TestClassByShape(t *testing.T) {
	addr, _ := pgEngine(t, func(c pgCall) []byte {
		if strings.Count(c.bind, ",") > 50 {
			time.Sleep(150 * time.Millisecond) // a long list takes long to run
		}
		return pgRows("a")
	})
	g := newGateway(t, nil)
	learnShapes(t, g, queryshape.Settings{})
	g.startPostgres(addr)
	k := connect(t, g.addr)
	const text = "SELECT part FROM stock_4.parts WHERE district = ANY($1)"
	k.send(parse("s", text), sync)
	k.until('Z')
	ask := func(list string) {
		t.Helper()
		k.send(bind("", "s", list), execute("", 0), sync)
		assertEqual(t, "answer", k.until('Z'), "2 D(a) C(SELECT 1) Z")
	}
	long := "{" + strings.Repeat("d,", 77) + "d}"
	for range 8 {
		ask("{d1,d2}")
		ask(long)
	}
	before := g.count("taken.report")
	for range 4 {
		ask(long)
		ask("{d3}")
	}
	if n := g.count("taken.report") - before; n != 4 {
		t.Errorf("got %d long lists classified as reports, want 4", n)
	}
	before = g.count("taken.lookup")
	k.send(query("/* class=lookup */ "+strings.Replace(text, "$1", "'"+long+"'", 1)), sync)
	k.until('Z')
	if n := g.count("taken.lookup") - before; n != 1 {
		t.Errorf("got %d statements classified as lookups by their comment, want 1", n)
	}
	k = connect(t, g.addr)
	k.send(query("SELECT part FROM stock_4.parts WHERE district = ANY('{d1}') FOR UPDATE"))
	k.until('Z')
	if n := g.count("taken.write"); n != 1 {
		t.Errorf("got %d statements classified as writes, want 1", n)
	}
}

// TestSnapshotOfService guards against a gateway that does not start because of a damaged snapshot, or
// overwrites it: the file is renamed and counted, the gateway starts without it, and the next snapshot is valid.
func TestSnapshotOfService(t *testing.T) {
	path := t.TempDir() + "/shapes"
	damaged := []byte("RWSHAPES no longer")
	write(t, path, damaged)
	addr, _ := pgEngine(t, func(pgCall) []byte { return pgRows("a") })
	g := newGateway(t, nil)
	s := learnShapes(t, g, queryshape.Settings{SnapshotFile: path, SnapshotInterval: time.Hour})
	if n := g.stats.Get("shapes.snapshot-unusable"); n != 1 {
		t.Errorf("got %d unusable snapshots, want 1", n)
	}
	if got := read(t, path+".unusable"); got != string(damaged) {
		t.Errorf("renamed snapshot: got %q, want %q", got, damaged)
	}
	g.startPostgres(addr)
	k := connect(t, g.addr)
	for i := range 5 {
		k.send(query(fmt.Sprintf("SELECT part FROM stock_4.parts WHERE id = %d", i)))
		k.until('Z')
	}
	g.do(s.Save)
	for g.count("shapes.snapshots") == 0 {
	}
	snap, err := queryshape.ReadSnapshot(path)
	if err != nil || len(snap.Shapes) != 1 || snap.Shapes[0].Record.Executions != 5 {
		t.Errorf("next snapshot: got %+v, %v, want one shape with 5 executions", snap, err)
	}
}

// write writes a file, or fails the test.
func write(t *testing.T, path string, b []byte) {
	t.Helper()
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// read returns a file's content, or fails the test.
func read(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestLearnedEstimates guards against decisions that use the wrong estimate of a statement's cost: the learned
// estimate replaces the client's, and where the client sent none it is used only if the settings don't require a
// client's estimate.
func TestLearnedEstimates(t *testing.T) {
	for name, tt := range map[string]struct {
		requireHint, sendsHint bool
		corrected              int64 // learned estimates given to the decisions
	}{
		"no estimate sent, none required": {false, false, 1},
		"no estimate sent, one required":  {true, false, 0},
		"estimate sent, one required":     {true, true, 1},
	} {
		addr, _ := lineEngine(t, func(line string) string { return done(line, "") })
		g := newGateway(t, nil)
		g.httpOptions.Shapes = learnShapes(t, g, queryshape.Settings{ReplaceHints: true, RequireHint: tt.requireHint, WorkReported: true})
		g.startHTTP(addr)
		head := ""
		if tt.sendsHint {
			head = "Req-Cost: 500.0\r\nReq-Kb: 50\r\n"
		}
		const learned = 40
		k := httpConnect(t, g.addr)
		for n := range learned {
			k.call(strings.Replace(post("lookup", ""), id, fmt.Sprintf("%016x", n), 1))
		}
		count := func() (n int64) {
			g.do(func() {
				g.httpOptions.Shapes.UpdateMetrics()
				n = g.stats.All()["shapes.corrected"]
			})
			return n
		}
		before := count()
		k.call(strings.Replace(post("lookup", head), id, fmt.Sprintf("%016x", learned), 1))
		if n := count() - before; n != tt.corrected {
			t.Errorf("%s: got %d learned estimates, want %d", name, n, tt.corrected)
		}
	}
}
