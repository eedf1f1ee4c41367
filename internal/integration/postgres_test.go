package integration

import (
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/pgproto"
	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// assertEqual reports a difference between got and want, named by what.
func assertEqual(t *testing.T, what, got, want string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// TestPrepareOnceBindMany guards against executions of a prepared statement that lose answers or get each
// other's. One statement is prepared once and bound many times; each execution has one answer, with rows,
// formats and values unchanged.
func TestPrepareOnceBindMany(t *testing.T) {
	addr, seen := pgEngine(t, func(c pgCall) []byte {
		if c.describe {
			return pgproto.AppendMessage(pgproto.AppendMessage(pgproto.AppendMessage(nil, '1'), 't', []byte{0, 1, 0, 0, 0, 25}), 'T', oneColumn)
		}
		return pgRows("chain " + c.bind[8:9])
	})
	g := postgresGateway(t, addr)
	k := connect(t, g.addr)
	const text = "SELECT part FROM stock_4.parts WHERE id = $1"
	k.send(parse("s", text), describe("S", "s"), sync)
	assertEqual(t, "prepared", k.until('Z'), "1 t T Z")
	k.send(bind("", "s", "a"), describe("P", ""), execute("", 0), bind("", "s", "b"), execute("", 0), sync)
	assertEqual(t, "batch", k.until('Z'), "2 T D(chain a) C(SELECT 1) 2 D(chain b) C(SELECT 1) Z")
	k.send(bind("", "s", "c", "too many"), execute("", 0), sync)
	assertEqual(t, "wrong count", k.until('Z'), "E(08P01) Z")
	for i, want := range []pgCall{{describe: true, parsed: true}, {}, {}} {
		c := await(t, seen)
		if c.query != text || c.describe != want.describe || c.parsed != want.parsed {
			t.Errorf("call %d to the engine: got %+v, want %q with describe %t and parsed %t", i, c, text, want.describe, want.parsed)
		}
	}
	if n := g.count("taken."); n != 3 {
		t.Errorf("got %d accepted requests, want 3: a description and two executions", n)
	}
}

// TestEngineForgetsPreparedStatement guards against a client that sees an error because its engine has dropped a
// prepared statement: the statement is prepared again unnoticed. An error on a statement that was prepared just
// now is passed on to the client.
func TestEngineForgetsPreparedStatement(t *testing.T) {
	forget := false
	addr, _ := pgEngine(t, func(c pgCall) []byte {
		if forget && !c.parsed {
			return pgError("26000")
		}
		forget = true
		if strings.Contains(c.query, "odd") {
			return pgError("0A000")
		}
		return pgRows("a")
	})
	g := postgresGateway(t, addr)
	k := connect(t, g.addr)
	k.send(parse("s", "SELECT 1"), bind("", "s"), execute("", 0), bind("", "s"), execute("", 0), sync)
	assertEqual(t, "batch", k.until('Z'), "1 2 D(a) C(SELECT 1) 2 D(a) C(SELECT 1) Z")
	k.send(parse("", "SELECT odd"), bind("", ""), execute("", 0), sync)
	assertEqual(t, "engine's own error", k.until('Z'), "1 2 E(0A000) Z")
}

// TestDisconnectMidBatch guards against work for a client that disconnects in the middle of a batch: the running
// statement is cancelled, and the rest of the batch is never sent.
func TestDisconnectMidBatch(t *testing.T) {
	addr, seen := pgEngine(t, func(pgCall) []byte { return nil })
	g := postgresGateway(t, addr)
	k := connect(t, g.addr)
	k.send(parse("s", "INSERT INTO stock_1.parts VALUES ($1)"), bind("", "s", "k1"), execute("", 0), bind("", "s", "k2"), execute("", 0), sync)
	if c := await(t, seen); !strings.Contains(c.bind, "k1") {
		t.Errorf("call to the engine: got %+v, want the key k1 in its Bind", c)
	}
	_ = k.c.Close()
	assertEqual(t, "engine received after the disconnection", await(t, seen).query, "cancel")
	if sent, gone := g.count("sent."), g.count("gone."); sent != 1 || gone != 1 {
		t.Errorf("got %d attempts sent and %d clients gone, want 1 of each", sent, gone)
	}
}

// TestEngineDrainsWhilePortalIsOpen guards against lost or repeated rows when an engine drains while a portal is
// open: the portal's remaining rows come from the buffered result, and new work goes to another engine.
func TestEngineDrainsWhilePortalIsOpen(t *testing.T) {
	first, _ := pgEngine(t, func(pgCall) []byte { return pgRows("a", "b", "c") })
	second, _ := pgEngine(t, func(pgCall) []byte { return pgRows("elsewhere") })
	g := postgresGateway(t, first)
	k := connect(t, g.addr)
	k.send(parse("", "SELECT part FROM stock_1.parts"), bind("p", ""), execute("p", 2), flush)
	assertEqual(t, "first rows", k.until('s'), "1 2 D(a) D(b) s")
	g.updateEngines(policy.EngineDraining, first)
	g.updateEngines(policy.EngineLive, second)
	k.send(execute("p", 2), bind("q", ""), execute("q", 0), sync)
	assertEqual(t, "remaining rows, and new work", k.until('Z'), "D(c) C(SELECT 1) 2 D(elsewhere) C(SELECT 1) Z")
	k.send(execute("p", 0), sync)
	assertEqual(t, "the portal after Sync", k.until('Z'), "E(34000) Z")
	if n := g.count("sent."); n != 2 {
		t.Errorf("got %d attempts sent, want 2: a portal runs once", n)
	}
}

// TestFailures guards against failures that a client can't tell apart or that leave the batch out of step: each
// kind has one ErrorResponse with its own code, and the rest of the batch is skipped up to Sync.
func TestFailures(t *testing.T) {
	addr, _ := pgEngine(t, func(c pgCall) []byte {
		if strings.Contains(c.query, "missing") {
			return pgError("42P01")
		}
		return nil
	})
	run := func(text string, values ...string) [][]byte {
		return [][]byte{parse("", text), bind("", "", values...), execute("", 0), execute("", 0), sync}
	}
	for name, tt := range map[string]struct {
		engines  []string
		params   []string
		messages [][]byte
		want     string
		sent     int64
	}{
		"refused":           {nil, nil, run("SELECT 1"), "1 2 E(53000 hint) Z", 0},
		"timed out":         {[]string{addr}, []string{"statement_timeout", "80ms"}, run("SELECT 1"), "1 2 E(57014) Z", 1},
		"timed out by -c":   {[]string{addr}, []string{"options", "-c statement_timeout=80"}, run("SELECT 1"), "1 2 E(57014) Z", 1},
		"timed out by SET":  {[]string{addr}, nil, append([][]byte{query("SET statement_timeout = '80ms'")}, run("SELECT 1")...), "C(SET) Z 1 2 E(57014) Z", 1},
		"engine's error":    {[]string{addr}, nil, run("SELECT * FROM missing"), "1 2 E(42P01) Z", 1},
		"simple":            {[]string{addr}, nil, [][]byte{query("SELECT * FROM missing")}, "E(42P01) Z", 1},
		"load, no key":      {[]string{addr}, nil, run("/* class=load */ SELECT f($1)", "k"), "1 E(22023) Z", 0},
		"load, null key":    {[]string{addr}, nil, run("INSERT INTO stock_1.parts VALUES ($1)", ""), "1 E(22004) Z", 0},
		"load by Query":     {[]string{addr}, nil, [][]byte{query("insert into stock_1.parts values (1)")}, "E(22023) Z", 0},
		"unknown class":     {[]string{addr}, nil, run("/* class=x */ SELECT 1"), "E(42704) Z", 0},
		"transaction":       {[]string{addr}, nil, run("BEGIN"), "1 2 C(BEGIN) N C(BEGIN) Z", 0},
		"copy":              {[]string{addr}, nil, [][]byte{query("COPY x FROM STDIN")}, "E(0A000) Z", 0},
		"two in a Parse":    {[]string{addr}, nil, run("SELECT 1; SELECT 2"), "E(0A000) Z", 0},
		"empty":             {[]string{addr}, nil, [][]byte{query(" -- nothing\n;")}, "I Z", 0},
		"malformed Bind":    {[]string{addr}, nil, [][]byte{parse("", "SELECT 1"), pgproto.AppendMessage(nil, 'B', []byte("\x00\x00\x00\x07")), sync}, "1 E(08P01) Z", 0},
		"malformed message": {[]string{addr}, nil, [][]byte{{'E', 0, 0, 0, 1}}, "E(08P01) end", 0},
		"unknown message":   {[]string{addr}, nil, [][]byte{{'#', 0, 0, 0, 4}}, "E(08P01) end", 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := postgresGateway(t, tt.engines...)
			k := connect(t, g.addr, tt.params...)
			k.send(tt.messages...)
			got := k.until('Z')
			if strings.HasPrefix(got, "C(SET)") {
				got += " " + k.until('Z')
			}
			assertEqual(t, "answer", got, tt.want)
			if n := g.count("sent."); n != tt.sent {
				t.Errorf("got %d attempts sent, want %d", n, tt.sent)
			}
		})
	}
}

// TestLoadIsSentAgainWithItsKey guards against a load that is lost or answered twice when its engine fails after
// it was sent. The load may have run, so within its deduplication window another engine gets it with the same
// idempotency key, and the client gets one answer.
func TestLoadIsSentAgainWithItsKey(t *testing.T) {
	failOnce := make(chan struct{}, 1) // holds one value; the statement that takes it fails
	failOnce <- struct{}{}
	script := func(pgCall) []byte {
		select {
		case <-failOnce:
			return pgError("XX000")
		default:
			return pgproto.AppendMessage(pgproto.AppendMessage(pgproto.AppendMessage(pgproto.AppendMessage(nil, '1'), '2'), 'n'), 'C', pgproto.CString("INSERT 0 1"))
		}
	}
	first, seen1 := pgEngine(t, script)
	second, seen2 := pgEngine(t, script)
	g := postgresGateway(t, first, second)
	k := connect(t, g.addr)
	k.send(parse("", "INSERT INTO stock_1.parts VALUES ($1)"), bind("", "", "key-1"), execute("", 0), execute("", 0), sync)
	assertEqual(t, "answer", k.until('Z'), "1 2 C(INSERT 0 1) E(55000) Z")
	var binds []string
	for range 2 {
		select {
		case c := <-seen1:
			binds = append(binds, c.bind)
		case c := <-seen2:
			binds = append(binds, c.bind)
		}
	}
	assertEqual(t, "second send", binds[1], binds[0])
	if n := g.count("sent."); n != 2 {
		t.Errorf("got %d attempts sent, want 2", n)
	}
}

// TestLoadIsNotSentAfterItsWindow guards against a load that runs twice. It may have run at an engine that
// failed, and the connection to the next engine is up only after the deduplication window: it must not be sent
// there.
func TestLoadIsNotSentAfterItsWindow(t *testing.T) {
	asked, release := make(chan bool), make(chan bool)
	first, _ := pgEngine(t, func(pgCall) []byte {
		asked <- true
		<-release
		return pgError("XX000")
	})
	second, seen := slowPgEngine(t, 400*time.Millisecond, func(pgCall) []byte { return pgRows() })
	g := newGateway(t, func(s *policy.Settings) { s.Classes[2].DedupWindow = 300 * time.Millisecond }).startPostgres(first)
	k := connect(t, g.addr)
	k.send(parse("", "INSERT INTO stock_1.parts VALUES ($1)"), bind("", "", "key"), execute("", 0), sync)
	await(t, asked)
	g.updateEngines(policy.EngineDraining, first)
	g.updateEngines(policy.EngineLive, second)
	close(release)
	assertEqual(t, "answer", k.until('Z'), "1 2 E(XX000) Z")
	if n := g.count("ended.not-sent"); n != 1 {
		t.Errorf("got %d attempts that ended as not sent, want 1", n)
	}
	if n := len(seen); n != 0 {
		t.Errorf("second engine: got %d calls, want 0", n)
	}
}

// TestLargeResults guards against truncated results: rows of some megabytes must reach a slow reader whole, also
// when the gateway closes the connection after them. A result larger than the gateway may buffer is an error.
func TestLargeResults(t *testing.T) {
	row := strings.Repeat("x", 1300<<10)
	rows := []string{row, row, row}
	addr, _ := pgEngine(t, func(c pgCall) []byte {
		if strings.Contains(c.query, "more") {
			return pgRows(append(rows, rows...)...)
		}
		return pgRows(rows...)
	})
	g := postgresGateway(t, addr)
	k := connect(t, g.addr)
	_ = k.c.(*net.TCPConn).SetReadBuffer(64 << 10) // with its default buffer the kernel might accept the whole result at once
	k.send(query("SELECT more"))
	assertEqual(t, "result that is too large", k.until('Z'), "E(54000) Z")
	terminate := pgproto.AppendMessage(nil, 'X')
	k.send(query("SELECT x"), terminate)
	for g.count("answered.served") == 0 { // the whole result is in the gateway's buffers then
		runtime.Gosched()
	}
	got := k.until(0)
	assertEqual(t, "rows", strings.ReplaceAll(got, row, "x"), "T D(x) D(x) D(x) C(SELECT 3) Z end")
}

// TestClientSendsAhead guards against lost executions when a client pipelines far more than a buffer holds: the
// rest waits in the sockets' buffers, and every execution has its answer.
func TestClientSendsAhead(t *testing.T) {
	release := make(chan struct{})
	addr, seen := pgEngine(t, func(pgCall) []byte { <-release; return pgRows() })
	go func() {
		for range seen { // the channel holds only 100 calls
		}
	}()
	g := postgresGateway(t, addr)
	k := connect(t, g.addr)
	k.send(parse("s", "SELECT $1"))
	const n = 300
	sent := make(chan error, 1)
	go func() {
		for range n {
			if _, err := k.c.Write(append(bind("", "s", strings.Repeat("v", 32<<10)), execute("", 0)...)); err != nil {
				sent <- err
				return
			}
		}
		_, err := k.c.Write(sync)
		sent <- err
	}()
	for g.count("sent.") == 0 {
		runtime.Gosched()
	}
	close(release)
	got := k.until('Z')
	if err := await(t, sent); err != nil {
		t.Fatal(err)
	}
	if answers := strings.Count(got, "C(SELECT 0)"); answers != n {
		t.Errorf("got %d completions, want %d", answers, n)
	}
}

// TestBufferBudget guards against clients that fill the memory by stopping in the middle of long messages: beyond the
// budget of all buffers, a client that has made no valid request is closed with an error, and one that has, and whose
// message still arrives, is served.
func TestBufferBudget(t *testing.T) {
	addr, _ := pgEngine(t, func(pgCall) []byte { return pgRows("a") })
	g := newGateway(t, nil)
	g.loop.SetBufferBudget(400 << 10)
	g.startPostgres(addr)
	long := query("SELECT '" + strings.Repeat("x", 300<<10) + "'")
	first := connect(t, g.addr)
	first.send(query("SELECT 1"))
	first.until('Z')
	first.send(long[:250<<10])
	for g.loop.BufferedBytes() < 250<<10 {
		runtime.Gosched()
	}
	second := connect(t, g.addr)
	_, _ = second.c.Write(long[:250<<10])
	assertEqual(t, "second client", second.until('Z'), "E(53200) end")
	first.send(long[250<<10:])
	assertEqual(t, "first client", first.until('Z'), "T D(a) C(SELECT 1) Z")
	third := connect(t, g.addr)
	third.send(long)
	assertEqual(t, "a client after that", third.until('Z'), "T D(a) C(SELECT 1) Z")
}

// TestCancelRequest guards against a CancelRequest that is ignored or works without the secret key: it ends its
// connection's open statement with one answer, and only with the right key.
func TestCancelRequest(t *testing.T) {
	addr, seen := pgEngine(t, func(pgCall) []byte { return nil })
	g := postgresGateway(t, addr)
	k := connect(t, g.addr)
	k.send(parse("", "SELECT 1"), bind("", ""), execute("", 0), sync)
	await(t, seen)
	wrong := append(append([]byte{}, k.key[:4]...), 0, 0, 0, 0)
	for _, key := range [][]byte{wrong, k.key} {
		c := dial(t, g.addr)
		_, _ = c.Write(pgproto.AppendStartup(nil, pgproto.CancelRequest, key))
		_, _ = c.Read(make([]byte, 1)) // returns once the front end closes the connection
	}
	assertEqual(t, "answer", k.until('Z'), "1 2 E(57014) Z")
	assertEqual(t, "engine received", await(t, seen).query, "cancel")
	if n := g.count("pgwire.cancels"); n != 1 {
		t.Errorf("got %d cancels, want 1", n)
	}
}

// TestEncryptionIsDeclined guards against a startup that fails where encryption is not configured: each
// encryption request is declined with one byte, and the startup goes on unencrypted.
func TestEncryptionIsDeclined(t *testing.T) {
	g := postgresGateway(t)
	k := &pgClient{t: t, c: dial(t, g.addr)}
	for _, code := range []uint32{pgproto.SSLRequest, pgproto.GSSENCRequest} {
		k.send(pgproto.AppendStartup(nil, code, nil))
		b := make([]byte, 1)
		if _, err := k.c.Read(b); err != nil || b[0] != 'N' {
			t.Fatalf("answer to encryption request %d: got %q, %v, want \"N\"", code, b, err)
		}
	}
	k.send(pgproto.AppendStartup(nil, pgproto.Version+2, append(append(pgproto.CString("user"), pgproto.CString("x")...), 0)))
	assertEqual(t, "startup", k.until('Z'), "v R S S S S S S S K Z")
}

// TestPostgresPeersThatStop guards against peers that hold a connection for ever. A client that sends nothing is
// disconnected, one that stops in the middle of a message gets an error, and an engine that stops in the middle
// of a message loses its connection, so that another engine serves the request.
func TestPostgresPeersThatStop(t *testing.T) {
	stopOnce := make(chan struct{}, 1) // holds one value; the engine that takes it stops in a message
	stopOnce <- struct{}{}
	script := func(pgCall) []byte {
		select {
		case <-stopOnce:
			return []byte{'1', 0, 0, 0, 4, '2', 0, 0, 0, 200} // announces 200 bytes; the ReadyForQuery after the script's answer counts as part of them
		default:
			return append([]byte{'1', 0, 0, 0, 4, '2', 0, 0, 0, 4, 'n', 0, 0, 0, 4}, pgproto.AppendMessage(nil, 'C', pgproto.CString("INSERT 0 1"))...)
		}
	}
	one, _ := pgEngine(t, script)
	two, _ := pgEngine(t, script)
	g := postgresGateway(t, one, two)
	silent := &pgClient{t: t, c: dial(t, g.addr)}
	half := connect(t, g.addr)
	half.send(query("SELECT 1")[:7])
	k := connect(t, g.addr)
	k.send(parse("", "INSERT INTO stock_1.parts VALUES ($1)"), bind("", "", "key"), execute("", 0), sync)
	assertEqual(t, "answer", k.until('Z'), "1 2 C(INSERT 0 1) Z")
	assertEqual(t, "silent client", silent.until(0), "end")
	assertEqual(t, "client that stopped", half.until(0), "E(08P01) end")
	if n := g.count("ended.garbage"); n != 1 {
		t.Errorf("got %d attempts that ended as garbage, want 1", n)
	}
}

// TestNoCancelAtTheOnlyEngine guards against cancelling a query at the only engine because it takes far longer
// than earlier ones. Where hedging is not allowed, no other engine may get the query, so the gateway must wait.
func TestNoCancelAtTheOnlyEngine(t *testing.T) {
	addr, seen := pgEngine(t, func(c pgCall) []byte {
		if strings.Contains(c.query, "slow") {
			time.Sleep(6 * overdueInterval) // long enough to count as overdue
		}
		return pgRows("a")
	})
	g := newGateway(t, func(s *policy.Settings) { s.Limits.AllowHedging = false }).startPostgres(addr)
	k := connect(t, g.addr)
	for range 20 {
		k.send(query("SELECT quick"))
		assertEqual(t, "quick", k.until('Z'), "T D(a) C(SELECT 1) Z")
	}
	k.send(query("SELECT slow"))
	assertEqual(t, "slow", k.until('Z'), "T D(a) C(SELECT 1) Z")
	for len(seen) > 0 {
		if c := <-seen; c.query == "cancel" {
			t.Error("engine: got a cancel, want none")
		}
	}
}

// overdueInterval is the interval at which the core looks for overdue attempts.
const overdueInterval = 100 * time.Millisecond
