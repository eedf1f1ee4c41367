package integration

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/pgproto"
)

// boundedGateway starts a gateway whose clients of the PostgreSQL front end may make it keep a number of bytes.
func boundedGateway(t *testing.T, maxClientBytes int) *gateway {
	t.Helper()
	addr, _ := pgEngine(t, func(pgCall) []byte { return pgRows("a") })
	g := newGateway(t, nil)
	g.pgOptions.DefaultClass, g.pgOptions.WriteClass = "lookup", "write"
	g.pgOptions.MaxClientBytes = maxClientBytes
	return g.startPostgres(addr)
}

// closeStatement is a Close message for a prepared statement.
func closeStatement(name string) []byte {
	return pgproto.AppendMessage(nil, 'C', []byte("S"), pgproto.CString(name))
}

// TestKeptBytesOfOneClient guards against a client that fills the memory with prepared statements, portals or
// settings: it gets an error at the bound for one connection, and goes on once it has closed some.
func TestKeptBytesOfOneClient(t *testing.T) {
	const maxClientBytes = 6 << 20 // a quarter of it for one connection
	long := strings.Repeat("x", 500<<10)
	for name, message := range map[string]func(n int) []byte{
		"statements": func(n int) []byte { return parse(fmt.Sprintf("s%d", n), "SELECT '"+long+"'") },
		"portals":    func(n int) []byte { return bind(fmt.Sprintf("p%d", n), "long") },
	} {
		t.Run(name, func(t *testing.T) {
			k := connect(t, boundedGateway(t, maxClientBytes).addr)
			k.send(append(parse("long", "SELECT '"+long+"'"), sync...))
			k.until('Z')
			for n := range 4 { // one batch, as Sync closes portals; beside the first statement, two fit
				k.send(message(n))
			}
			k.send(sync)
			if answer := k.until('Z'); answer != "1 1 E(54000) Z" && answer != "2 2 E(54000) Z" {
				t.Errorf("got %s, want two completions and the error 54000", answer)
			}
			k.send(append(closeStatement("long"), sync...))
			k.until('Z')
			k.send(append(closeStatement("s0"), sync...))
			k.until('Z')
			k.send(append(parse("again", "SELECT '"+long+"'"), sync...))
			assertEqual(t, "after a Close", k.until('Z'), "1 Z")
		})
	}
}

// TestKeptBytesOfAllClients guards against clients that fill the memory together: the one that keeps most is closed
// with an error, and a client that keeps little is served.
func TestKeptBytesOfAllClients(t *testing.T) {
	const maxClientBytes = 5 << 20
	long := strings.Repeat("x", 450<<10)
	g := boundedGateway(t, maxClientBytes)
	usual := connect(t, g.addr)
	usual.send(append(parse("usual", "SELECT day FROM sales_17.orders"), sync...))
	usual.until('Z')
	var others []*pgClient
	for range 8 {
		k := connect(t, g.addr)
		others = append(others, k)
		for n := range 2 {
			k.send(append(parse(fmt.Sprintf("s%d", n), "SELECT '"+long+"'"), sync...))
			k.until('Z')
		}
	}
	usual.send(append(bind("", "usual"), append(execute("", 0), sync...)...))
	assertEqual(t, "usual client", usual.until('Z'), "2 D(a) C(SELECT 1) Z")
	if g.count("pgwire.closed-for-memory") == 0 { // of 16 statements, 11 fit
		t.Error("no client was closed, want the one that keeps most")
	}
	g.do(func() {
		if kept := g.pgFront.ClientBytes(); kept > maxClientBytes {
			t.Errorf("clients keep %d bytes, want %d at most", kept, maxClientBytes)
		}
	})
	for _, k := range others {
		_ = k.c.Close()
	}
}

// TestTooManyStatementsInOneQuery guards against one message of very many statements, which took seconds to read and
// more memory than the process has.
func TestTooManyStatementsInOneQuery(t *testing.T) {
	k := connect(t, boundedGateway(t, 0).addr)
	k.send(query(strings.Repeat("END;", 200_000)))
	assertEqual(t, "200,000 statements", k.until('Z'), "E(54000) Z")
	k.send(query(strings.Repeat("END;", 1000)))
	if answer := k.until('Z'); strings.Count(answer, "C(COMMIT)") != 1000 {
		t.Errorf("1,000 statements: got %.100s, want all answered", answer)
	}
}

// TestUsualClientOutlivesACrowd guards against a crowd that stops half way in large requests: beyond the budget of all
// buffers the gateway closed whichever client sent next, also one in the middle of a request that it wrote in pieces.
// Those that have made no valid request are told and closed instead.
func TestUsualClientOutlivesACrowd(t *testing.T) {
	const (
		budget = 300 << 10
		pieces = 10
		pause  = 100 * time.Millisecond // between two pieces
	)
	addr, _ := lineEngine(t, func(line string) string { return done(line, "a\tb\tc\n") })
	g := newGateway(t, nil)
	g.loop.SetBufferBudget(budget)
	g.startHTTP(addr)
	request := func(number int) string {
		text := "SELECT '" + strings.Repeat("x", 90<<10) + "'"
		return fmt.Sprintf("POST /rpc/lookup HTTP/1.1\r\nReq-Id: %016x\r\nReq-Wait-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s", number, len(text), text)
	}
	usual := httpConnect(t, g.addr)
	if answer, _ := usual.call(request(1)); !strings.HasPrefix(answer, "200") {
		t.Fatalf("usual client, first request: got %.60s, want 200", answer)
	}
	text := request(2)
	for n := range pieces {
		other := dial(t, g.addr)
		_, _ = io.WriteString(other, request(100 + n)[:80<<10])
		step := len(text) / (pieces - n)
		if _, err := io.WriteString(usual.c, text[:step]); err != nil {
			t.Fatal(err)
		}
		text = text[step:]
		time.Sleep(pause)
		if held := g.loop.BufferedBytes(); held > budget+64<<10 { // two goroutines may each read once more
			t.Errorf("the buffers hold %d bytes, want %d at most", held, budget)
		}
	}
	if answer, _ := usual.answer(); !strings.HasPrefix(answer, "200") {
		t.Errorf("usual client, second request: got %.60s, want 200", answer)
	}
	if g.count("rest.closed-for-memory") == 0 {
		t.Error("no client of the crowd was closed, want some")
	}
}

// TestUnreadAnswersAreBounded guards against clients that send requests and read nothing, and fill the memory with
// answers: beyond the budget of all, those that hold most are closed, and a client that reads is served.
func TestUnreadAnswersAreBounded(t *testing.T) {
	const budget = 4 << 20
	addr, _ := pgEngine(t, func(pgCall) []byte { return pgRows(strings.Repeat("a", 900<<10)) })
	g := newGateway(t, nil)
	g.loop.SetWriteBudget(budget)
	g.startPostgres(addr)
	for range 12 {
		k := connect(t, g.addr)
		if err := k.c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Fatal(err)
		}
		for range 8 {
			k.send(query("SELECT 1"))
		}
	}
	deadline := time.Now().Add(waitTimeout)
	closed := func() (n int64) {
		g.do(func() { n = g.loop.ClosedForMemory() })
		return n
	}
	for closed() == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if closed() == 0 {
		t.Errorf("no client was closed, and %d bytes wait to be sent; want %d at most", g.loop.UnsentBytes(), budget)
	}
	usual := connect(t, g.addr)
	usual.send(query("SELECT 1"))
	if answer := usual.until('Z'); !strings.HasSuffix(answer, "C(SELECT 1) Z") {
		t.Errorf("usual client: got %.60s, want a row", answer)
	}
}

// TestPausedRequestOutlivesACrowd guards against a crowd that stops half way in requests and takes all connections: the
// gateway closed usual clients who paused in the middle of a request, as theirs had stood still longest.
func TestPausedRequestOutlivesACrowd(t *testing.T) {
	const (
		maxClients = 20
		crowd      = 100
		pause      = 900 * time.Millisecond // longer than a client may stand still without a valid request
	)
	addr, _ := lineEngine(t, func(line string) string { return done(line, "a\tb\tc\n") })
	g := newGateway(t, nil)
	g.httpOptions.MaxClients = maxClients
	g.startHTTP(addr)
	usual := httpConnect(t, g.addr)
	if answer, _ := usual.call(post("lookup", "")); !strings.HasPrefix(answer, "200") {
		t.Fatalf("first request: got %.60s, want 200", answer)
	}
	text := post("lookup", "")
	_, _ = io.WriteString(usual.c, text[:len(text)/2])
	deadline := time.Now().Add(pause)
	for range crowd {
		if other, err := net.Dial("tcp", g.addr); err == nil {
			t.Cleanup(func() { _ = other.Close() })
			_, _ = io.WriteString(other, text[:len(text)/2])
		}
		time.Sleep(time.Until(deadline) / crowd)
	}
	time.Sleep(time.Until(deadline))
	if answer, _ := usual.call(text[len(text)/2:]); !strings.HasPrefix(answer, "200") {
		t.Errorf("second request: got %.60s, want 200", answer)
	}
	if g.count("rest.closed-for-room") == 0 {
		t.Error("no client of the crowd was closed, want some")
	}
}
