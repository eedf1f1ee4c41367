package integration

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	gosync "sync"
	"testing"
	"time"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/testbed/emulator"
)

// statementLog records which statements an emulated engine received, by session, and can close a session's
// connection at a given statement. A session is one connection of the gateway to the engine, named by its remote
// address.
type statementLog struct {
	net.Listener
	mu         gosync.Mutex
	statements map[string][]string // statements by session
	order      []string            // sessions in the order of their first statements
	all        []string            // statements of all sessions in order of arrival, without DISCARD ALL
	conns      map[string]net.Conn // connections by session
	breakAt    string              // prefix of the statement at which the connection is closed; empty: none
	changed    chan struct{}       // signals a new statement; capacity 1
}

// Accept records the connection under its session's name.
func (log *statementLog) Accept() (net.Conn, error) {
	c, err := log.Listener.Accept()
	if err == nil {
		log.mu.Lock()
		log.conns[c.RemoteAddr().String()] = c
		log.mu.Unlock()
	}
	return c, err
}

// record adds a statement of a session, and closes the session's connection if the statement begins with
// breakAt.
func (log *statementLog) record(session, statement string) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.statements[session] == nil {
		log.order = append(log.order, session)
	}
	log.statements[session] = append(log.statements[session], statement)
	if statement != discard {
		log.all = append(log.all, statement)
	}
	if log.breakAt != "" && strings.HasPrefix(statement, log.breakAt) {
		_ = log.conns[session].Close()
	}
	select {
	case log.changed <- struct{}{}:
	default:
	}
}

// bySession returns each session's statements, joined by "; ", in the order of the sessions' first statements.
func (log *statementLog) bySession() (all []string) {
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, s := range log.order {
		all = append(all, strings.Join(log.statements[s], "; "))
	}
	return all
}

// until waits until bySession returns want, or fails the test after waitTimeout.
func (log *statementLog) until(t *testing.T, want ...string) {
	t.Helper()
	end := time.After(waitTimeout)
	for !slices.Equal(log.bySession(), want) {
		select {
		case <-log.changed:
		case <-end:
			t.Fatalf("statements by session: got %q, want %q", log.bySession(), want)
		}
	}
}

// discard is the statement that resets a session before another client gets it.
const discard = "DISCARD ALL"

// checkStatements checks the statements of all sessions together, and that DISCARD ALL follows, within each
// session, exactly those statements that may leave session state, which stateful lists. Whether the next statement
// finds that reset done or takes another session depends on timing.
func (log *statementLog) checkStatements(t *testing.T, want string, stateful ...string) {
	t.Helper()
	log.mu.Lock()
	defer log.mu.Unlock()
	if got := strings.Join(log.all, "; "); got != want {
		t.Errorf("statements of all sessions: got %s, want %s", got, want)
	}
	for _, statements := range log.statements {
		for i, s := range statements[:len(statements)-1] {
			if slices.Contains(stateful, s) != (statements[i+1] == discard) {
				t.Errorf("after %q: got %q, want %q exactly after a statement that may leave session state", s, statements[i+1], discard)
			}
		}
	}
}

// transactionGateway starts a PostgreSQL gateway before an emulated engine that supports transactions; change
// may modify the gateway before it serves.
func transactionGateway(t *testing.T, change func(*gateway)) (*gateway, *statementLog) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := &statementLog{Listener: ln, statements: map[string][]string{}, conns: map[string]net.Conn{}, changed: make(chan struct{}, 1)}
	t.Cleanup(func() { _ = ln.Close() })
	go emulator.Postgres(log, emulator.Options{
		Work: func(string) (time.Duration, float64) { return time.Millisecond, 1 }, Heard: log.record, Log: slog.New(slog.DiscardHandler),
	})
	g := newGateway(t, nil)
	g.pgOptions.DefaultClass, g.pgOptions.WriteClass = "lookup", "write"
	if change != nil {
		change(g)
	}
	return g.startPostgres(ln.Addr().String()), log
}

// queryWithStatus sends a Query and returns a summary of the answer, with the transaction status of
// ReadyForQuery.
func (k *pgClient) queryWithStatus(text string) string {
	k.t.Helper()
	k.send(query(text))
	w := k.until('Z')
	if strings.HasSuffix(w, "Z") {
		w += string(k.last)
	}
	return w
}

// TestTransaction guards against a transaction that is spread over sessions or leaves state behind: it runs on
// one session, complete and in order, and the session is reset before another client gets it.
func TestTransaction(t *testing.T) {
	g, log := transactionGateway(t, nil)
	k := connect(t, g.addr)
	for _, tt := range [][2]string{
		{"BEGIN ISOLATION LEVEL SERIALIZABLE", "C(BEGIN) ZT"},
		{"INSERT INTO stock_1.parts VALUES ('bell')", "T D(INSERT INTO stock_1.parts VALUES ('bell')) D() C(SELECT 2) ZT"},
		{"SAVEPOINT a", "C(SAVEPOINT) ZT"}, {"SELECT 1/0", "E(22012) ZE"}, {"SELECT 2", "E(25P02) ZE"}, {"ROLLBACK TO a", "C(ROLLBACK) ZT"},
		{"SET LOCAL work_mem = '1MB'", "T D(SET LOCAL work_mem = '1MB') D() C(SELECT 2) ZT"}, {"DECLARE c CURSOR FOR SELECT 1", "T D(DECLARE c CURSOR FOR SELECT 1) D() C(SELECT 2) ZT"},
		{"SET work_mem = '1MB'", "E(0A000) ZE"}, {"ROLLBACK TO SAVEPOINT a", "C(ROLLBACK) ZT"}, {"BEGIN", "N C(BEGIN) ZT"}, {"COMMIT", "C(COMMIT) ZI"},
		{"SELECT 3", "T D(SELECT 3) D() C(SELECT 2) ZI"},
	} {
		if w := k.queryWithStatus(tt[0]); w != tt[1] {
			t.Fatalf("%s: got %s, want %s", tt[0], w, tt[1])
		}
	}
	log.checkStatements(t, "BEGIN ISOLATION LEVEL SERIALIZABLE; INSERT INTO stock_1.parts VALUES ('bell'); SAVEPOINT a; SELECT 1/0; ROLLBACK TO a; SET LOCAL work_mem = '1MB'; "+
		"DECLARE c CURSOR FOR SELECT 1; ROLLBACK TO SAVEPOINT a; COMMIT; SELECT 3", "COMMIT")
}

// TestEmptyTransactions guards against needless work at engines: transactions without statements never reach
// one, and ending a transaction that was not begun gives a warning.
func TestEmptyTransactions(t *testing.T) {
	g, log := transactionGateway(t, nil)
	k := connect(t, g.addr)
	for _, tt := range [][2]string{
		{"COMMIT", "N C(COMMIT) ZI"}, {"ROLLBACK", "N C(ROLLBACK) ZI"}, {"SAVEPOINT a", "E(25P01) ZI"}, {"START TRANSACTION READ ONLY", "C(START TRANSACTION) ZT"},
		{"END", "C(COMMIT) ZI"}, {"BEGIN", "C(BEGIN) ZT"}, {"COMMIT AND CHAIN", "E(0A000) ZE"}, {"SELECT 1", "E(25P02) ZE"}, {"COMMIT", "C(ROLLBACK) ZI"},
		{"LOCK TABLE a", "E(0A000) ZI"}, {"BEGIN", "C(BEGIN) ZT"}, {"DECLARE c CURSOR WITH HOLD FOR SELECT 1", "E(0A000) ZE"}, {"ABORT", "C(ROLLBACK) ZI"},
		{"COMMIT PREPARED 'a'", "E(0A000) ZI"},
	} {
		if w := k.queryWithStatus(tt[0]); w != tt[1] {
			t.Errorf("%s: got %s, want %s", tt[0], w, tt[1])
		}
	}
	if all := log.bySession(); len(all) > 0 {
		t.Errorf("statements at the engine: got %q, want none", all)
	}
}

// TestFailedAtTheGateway guards against a transaction that commits although one of its statements was refused by
// the gateway: COMMIT must then roll back at the engine.
func TestFailedAtTheGateway(t *testing.T) {
	g, log := transactionGateway(t, nil)
	k := connect(t, g.addr)
	for _, tt := range [][2]string{
		{"BEGIN", "C(BEGIN) ZT"}, {"UPDATE a SET b = 1", "T D(UPDATE a SET b = 1) D() C(SELECT 2) ZT"}, {"COPY x FROM STDIN", "E(0A000) ZE"}, {"SELECT 1", "E(25P02) ZE"},
		{"/* at last */ COMMIT", "C(ROLLBACK) ZI"}, {"/* c */ COMMIT PREPARED 'a'", "E(0A000) ZI"},
	} {
		if w := k.queryWithStatus(tt[0]); w != tt[1] {
			t.Errorf("%s: got %s, want %s", tt[0], w, tt[1])
		}
	}
	log.until(t, "BEGIN; UPDATE a SET b = 1; ROLLBACK; DISCARD ALL")
}

// TestExtendedTransaction guards against transactions that behave differently in the extended protocol: bound
// values, several statements in a batch, and a portal that stays open after Sync until the transaction ends.
func TestExtendedTransaction(t *testing.T) {
	g, log := transactionGateway(t, nil)
	k := connect(t, g.addr)
	run := func(text string) []byte { return append(append(parse("", text), bind("", "")...), execute("", 0)...) }
	k.send(append(append(run("BEGIN"), run("UPDATE a SET b = 1")...), sync...))
	if w := k.until('Z') + string(k.last); w != "1 2 C(BEGIN) 1 2 D(UPDATE a SET b = 1) D() C(SELECT 2) ZT" {
		t.Errorf("got %s, want 1 2 C(BEGIN) 1 2 D(UPDATE a SET b = 1) D() C(SELECT 2) ZT", w)
	}
	k.send(append(append(append(parse("s", "SELECT $1"), bind("p", "s", "v")...), execute("p", 1)...), sync...))
	if w := k.until('Z') + string(k.last); w != "1 2 D(SELECT $1) s ZT" {
		t.Errorf("got %s, want 1 2 D(SELECT $1) s ZT", w)
	}
	k.send(append(execute("p", 0), sync...))
	if w := k.until('Z') + string(k.last); w != "D(v) C(SELECT 1) ZT" {
		t.Errorf("got %s, want D(v) C(SELECT 1) ZT", w)
	}
	k.send(append(append(append(parse("c", "COMMIT"), describe("S", "c")...), append(bind("", "c"), execute("", 0)...)...), sync...))
	if w := k.until('Z') + string(k.last); w != "1 t n 2 C(COMMIT) ZI" {
		t.Errorf("got %s, want 1 t n 2 C(COMMIT) ZI", w)
	}
	k.send(append(execute("p", 0), sync...))
	if w := k.until('Z') + string(k.last); w != "E(34000) ZI" {
		t.Errorf("portal of a transaction that has ended: got %s, want E(34000) ZI", w)
	}
	log.until(t, "BEGIN; UPDATE a SET b = 1; SELECT $1; COMMIT; DISCARD ALL")
}

// TestAbandonedTransactions guards against transactions that stay open on an engine: if the client disconnects or is
// idle too long, the session is closed, which rolls the transaction back, and the next client is not held up.
func TestAbandonedTransactions(t *testing.T) {
	g, log := transactionGateway(t, func(g *gateway) { g.pgOptions.IdleTransactionTimeout = 300 * time.Millisecond })
	k := connect(t, g.addr)
	k.queryWithStatus("BEGIN")
	k.queryWithStatus("UPDATE a SET b = 1")
	_ = k.c.Close()
	log.until(t, "BEGIN; UPDATE a SET b = 1")
	idle := connect(t, g.addr)
	idle.queryWithStatus("BEGIN")
	idle.queryWithStatus("UPDATE a SET b = 2")
	if w := idle.until('Z'); w != "E(25P03) end" {
		t.Errorf("idle in a transaction: got %s, want E(25P03) end", w)
	}
	next := connect(t, g.addr)
	if w := next.queryWithStatus("SELECT 1"); w != "T D(SELECT 1) D() C(SELECT 2) ZI" {
		t.Errorf("got %s, want T D(SELECT 1) D() C(SELECT 2) ZI", w)
	}
	log.until(t, "BEGIN; UPDATE a SET b = 1", "BEGIN; UPDATE a SET b = 2", "SELECT 1") // each on a session of its own
}

// TestTransactionsOnBrokenConnections guards against a transaction with a wrong or doubled outcome when its
// engine's connection breaks. Before COMMIT was sent, the client is told that everything was rolled back; after
// it, that the outcome is unknown. Nothing is sent again.
func TestTransactionsOnBrokenConnections(t *testing.T) {
	g, log := transactionGateway(t, nil)
	k := connect(t, g.addr)
	log.breakAt = "UPDATE a SET b = 2"
	for _, tt := range [][2]string{
		{"BEGIN", "C(BEGIN) ZT"}, {"UPDATE a SET b = 1", "T D(UPDATE a SET b = 1) D() C(SELECT 2) ZT"}, {"UPDATE a SET b = 2", "E(40000) ZE"},
		{"SELECT 1", "E(25P02) ZE"}, {"COMMIT", "C(ROLLBACK) ZI"},
	} {
		if w := k.queryWithStatus(tt[0]); w != tt[1] {
			t.Errorf("%s: got %s, want %s", tt[0], w, tt[1])
		}
	}
	first := log.bySession()
	g, log = transactionGateway(t, nil) // the first gateway may take its engine for restarted and send it little
	log.breakAt = "COMMIT"
	other := connect(t, g.addr)
	for _, tt := range [][2]string{{"BEGIN", "C(BEGIN) ZT"}, {"UPDATE a SET b = 3", "T D(UPDATE a SET b = 3) D() C(SELECT 2) ZT"}, {"COMMIT", "E(40003) ZI"}} {
		if w := other.queryWithStatus(tt[0]); w != tt[1] {
			t.Errorf("%s: got %s, want %s", tt[0], w, tt[1])
		}
	}
	all := strings.Join(append(first, log.bySession()...), " | ")
	for _, once := range []string{"b = 1", "b = 2", "b = 3", "COMMIT"} {
		if n := strings.Count(all, once); n != 1 {
			t.Errorf("%q: got %d times at the engine, want 1: %s", once, n, all)
		}
	}
}

// TestTransactionCancelled guards against a connection that is unusable after a cancel in the middle of a
// transaction: the transaction fails, and the client goes on after ROLLBACK.
func TestTransactionCancelled(t *testing.T) {
	slowly := func(text string) (time.Duration, float64) {
		if strings.Contains(text, "slow") {
			return time.Minute, 1
		}
		return time.Millisecond, 1
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	seen := make(chan string, 100)
	go emulator.Postgres(ln, emulator.Options{Work: slowly, Heard: func(_, text string) { seen <- text }, Log: slog.New(slog.DiscardHandler)})
	g := newGateway(t, nil)
	g.pgOptions.DefaultClass, g.pgOptions.WriteClass = "lookup", "write"
	g.startPostgres(ln.Addr().String())
	k := connect(t, g.addr)
	k.queryWithStatus("BEGIN")
	k.queryWithStatus("UPDATE a SET b = 1")
	k.send(query("UPDATE a SET slow = 1"))
	for text := range seen {
		if strings.Contains(text, "slow") {
			break
		}
	}
	c := dial(t, g.addr)
	_, _ = c.Write(pgproto.AppendStartup(nil, pgproto.CancelRequest, k.key))
	if w := k.until('Z') + string(k.last); w != "E(57014) ZE" {
		t.Errorf("got %s, want E(57014) ZE", w)
	}
	if w := k.queryWithStatus("ROLLBACK"); w != "C(ROLLBACK) ZI" {
		t.Errorf("got %s, want C(ROLLBACK) ZI", w)
	}
	if w := k.queryWithStatus("SELECT 1"); w != "T D(SELECT 1) D() C(SELECT 2) ZI" {
		t.Errorf("got %s, want T D(SELECT 1) D() C(SELECT 2) ZI", w)
	}
}

// TestEndOfTransactionCancelled guards against a transaction that stays open, as failed, because its ROLLBACK was
// cancelled: it is rolled back, and answered so. A cancelled COMMIT ends the transaction in doubt.
func TestEndOfTransactionCancelled(t *testing.T) {
	const update = "UPDATE a SET b = 1"
	for name, tt := range map[string]struct{ before, end, atEngine, want string }{
		"rollback":             {"SELECT 1", "ROLLBACK", "ROLLBACK", "C(ROLLBACK) ZI"},
		"commit after failure": {"SELECT 1/0", "COMMIT", "ROLLBACK", "C(ROLLBACK) ZI"},
		"commit":               {"SELECT 1", "COMMIT", "COMMIT", "E(40003) ZI"},
	} {
		t.Run(name, func(t *testing.T) {
			engines := newStoreEngines(t, 1, nil)
			g := newTransactionGateway(t, engines)
			k := connect(t, g.addr)
			for _, text := range []string{"BEGIN", update, tt.before} {
				k.queryWithStatus(text)
			}
			release := engines.hold(tt.atEngine)
			defer close(release)
			k.send(query(tt.end))
			engines.await(t, tt.atEngine)
			c := dial(t, g.addr)
			_, _ = c.Write(pgproto.AppendStartup(nil, pgproto.CancelRequest, k.key))
			if w := k.until('Z') + string(k.last); w != tt.want {
				t.Errorf("%s: got %s, want %s", tt.end, w, tt.want)
			}
			if w := k.queryWithStatus("COMMIT"); w != "N C(COMMIT) ZI" {
				t.Errorf("COMMIT outside of a transaction: got %s, want N C(COMMIT) ZI", w)
			}
		})
	}
}

// TestSeveralStatements guards against partial effects of several statements in one Query message. They are one
// transaction, or belong to those that they begin themselves; the first error ends the message and the
// transaction it began.
func TestSeveralStatements(t *testing.T) {
	g, log := transactionGateway(t, nil)
	k := connect(t, g.addr)
	row := func(s string) string { return "T D(" + s + ") D() C(SELECT 2) " }
	for _, tt := range [][2]string{
		{"UPDATE a SET b = 1; SELECT 2 ; ", row("UPDATE a SET b = 1") + row(" SELECT 2 ") + "ZI"},
		{"SELECT 3; SELECT 1/0; SELECT 4", row("SELECT 3") + "E(22012) ZI"},
		{"BEGIN; SELECT 5; COMMIT; BEGIN; SELECT 6", "C(BEGIN) " + row(" SELECT 5") + "C(COMMIT) C(BEGIN) " + row(" SELECT 6") + "ZT"},
		{"SELECT 7; SELECT 1/0", row("SELECT 7") + "E(22012) ZE"},
		{"ROLLBACK", "C(ROLLBACK) ZI"},
		{"BEGIN; SELECT 8; COMMIT; SELECT 9", "E(0A000) ZI"},
		{"SELECT 1; COPY x FROM STDIN", "E(0A000) ZI"},
	} {
		if w := k.queryWithStatus(tt[0]); w != tt[1] {
			t.Errorf("%s: got %s, want %s", tt[0], w, tt[1])
		}
	}
	all := strings.Join(log.bySession(), " | ")
	for _, want := range []string{"BEGIN; UPDATE a SET b = 1;  SELECT 2 ; COMMIT; DISCARD ALL", "BEGIN; SELECT 3;  SELECT 1/0"} {
		if !strings.Contains(all, want) {
			t.Errorf("statements at the engine: got %s, want %s among them", all, want)
		}
	}
	if strings.Contains(all, "SELECT 4") || strings.Contains(all, "SELECT 8") || strings.Contains(all, "SELECT 9") {
		t.Errorf("statements at the engine: got %s, want none of those after an error", all)
	}
}

// TestSettings guards against a client's session settings that get lost or reach another client: they follow the
// client from session to session, in as few messages as possible.
func TestSettings(t *testing.T) {
	g, log := transactionGateway(t, nil)
	a, b := connect(t, g.addr), connect(t, g.addr)
	for _, tt := range []struct {
		k          *pgClient
		text, want string
	}{
		{a, "SET search_path TO stock_1", "S C(SET) ZI"}, {a, "SELECT 1", "T D(SELECT 1) D() C(SELECT 2) ZI"}, {a, "SELECT 2", "T D(SELECT 2) D() C(SELECT 2) ZI"},
		{b, "SELECT 3", "T D(SELECT 3) D() C(SELECT 2) ZI"}, {b, "SET work_mem = 'invalid'", "E(22023) ZI"}, {a, "SELECT 4", "T D(SELECT 4) D() C(SELECT 2) ZI"},
		{a, "BEGIN", "C(BEGIN) ZT"}, {a, "UPDATE c SET d = 5", "T D(UPDATE c SET d = 5) D() C(SELECT 2) ZT"}, {a, "COMMIT", "C(COMMIT) ZI"},
		{a, "SET LOCAL work_mem = 1", "N C(SET) ZI"}, {a, "SET ROLE boss", "E(0A000) ZI"}, {a, "SET SESSION AUTHORIZATION boss", "E(0A000) ZI"},
		{a, "SET client_encoding = 'LATIN1'", "E(0A000) ZI"}, {a, "RESET search_path", "C(RESET) ZI"}, {a, "SET statement_timeout TO 5000", "C(SET) ZI"},
		{a, "SELECT set_config('work_mem', '1MB', false)", "T D(SELECT set_config('work_mem', '1MB', false)) D() C(SELECT 2) ZI"},
		{a, "DISCARD ALL", "C(DISCARD ALL) ZI"}, {a, "SELECT 6", "T D(SELECT 6) D() C(SELECT 2) ZI"},
	} {
		if w := tt.k.queryWithStatus(tt.text); w != tt.want {
			t.Errorf("%s: got %s, want %s", tt.text, w, tt.want)
		}
	}
	log.checkStatements(t, "SET search_path TO stock_1; SELECT 1; SELECT 2; RESET search_path; SELECT 3; SET work_mem = 'invalid'; SET search_path TO stock_1; SELECT 4; "+
		"BEGIN; UPDATE c SET d = 5; COMMIT; SELECT set_config('work_mem', '1MB', false); SELECT 6", "COMMIT", "SELECT set_config('work_mem', '1MB', false)")
}

// TestNoSettingLeaks guards against settings that leak between clients. Four clients set, reset and query in
// random order; each statement must run under exactly its client's settings.
func TestNoSettingLeaks(t *testing.T) {
	var mu gosync.Mutex
	sessions := map[string]map[string]string{}
	var wrong []string
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go emulator.Postgres(ln, emulator.Options{
		Work: func(string) (time.Duration, float64) { return 0, 1 }, Log: slog.New(slog.DiscardHandler),
		Heard: func(session, text string) {
			mu.Lock()
			defer mu.Unlock()
			if sessions[session] == nil {
				sessions[session] = map[string]string{}
			}
			words := strings.Fields(text)
			switch words[0] {
			case "SET":
				sessions[session][words[1]] = words[3]
			case "RESET":
				delete(sessions[session], words[1])
			case "DISCARD":
				clear(sessions[session])
			case "SELECT", "UPDATE": // its comment lists the settings that it must run under
				_, want, _ := strings.Cut(text, "/* ")
				if got := fmt.Sprint(sessions[session]); got+" */" != want {
					wrong = append(wrong, fmt.Sprintf("%s under %s", text, got))
				}
			}
		},
	})
	g := newGateway(t, nil)
	g.pgOptions.DefaultClass, g.pgOptions.WriteClass = "lookup", "write"
	g.startPostgres(ln.Addr().String())
	rng := rand.New(rand.NewPCG(1, 2))
	var clients []*pgClient
	settings := map[*pgClient]map[string]string{}
	for range 4 {
		k := connect(t, g.addr)
		clients = append(clients, k)
		settings[k] = map[string]string{}
	}
	for n := range 600 {
		k := clients[rng.IntN(len(clients))]
		name := []string{"work_mem", "search_path", "my.tag"}[rng.IntN(3)]
		ask := func(verb string) {
			if w := k.queryWithStatus(fmt.Sprintf("%s %d /* %v */", verb, n, settings[k])); !strings.Contains(w, "C(") {
				t.Fatalf("%s %d: got %s, want a CommandComplete", verb, n, w)
			}
		}
		switch rng.IntN(8) {
		case 0:
			settings[k][name] = fmt.Sprintf("'%d'", n)
			k.queryWithStatus(fmt.Sprintf("SET %s = '%d'", name, n))
		case 1:
			delete(settings[k], name)
			k.queryWithStatus("RESET " + name)
		case 2:
			k.queryWithStatus("BEGIN")
			ask("UPDATE a SET b =")
			k.queryWithStatus([]string{"COMMIT", "ROLLBACK"}[rng.IntN(2)])
		default:
			ask("SELECT")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(wrong) > 0 {
		t.Errorf("got %d statements under wrong settings, want none; the first: %s", len(wrong), wrong[0])
	}
}
