package integration

import (
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	gosync "sync"
	"testing"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/policy"
)

// storeEngines are emulated engines that commit to one store.
type storeEngines struct {
	store *emulator.Store
	addrs []string
	heard chan heardStatement // each statement that an engine begins

	mu   gosync.Mutex
	held map[string]chan struct{} // by statement; an engine begins the statement when its channel is closed
}

// heardStatement is a statement that an engine begins.
type heardStatement struct{ addr, session, text string }

// hold makes the engines wait before they begin a statement until the returned channel is closed.
func (e *storeEngines) hold(statement string) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held[statement] = make(chan struct{})
	return e.held[statement]
}

// await waits until an engine begins the statement, and returns the engine's address.
func (e *storeEngines) await(t *testing.T, statement string) string {
	t.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case h := <-e.heard:
			if h.text == statement {
				return h.addr
			}
		case <-timeout:
			t.Fatalf("no engine received %s", statement)
		}
	}
}

// newStoreEngines starts emulated engines. change may modify the options of each.
func newStoreEngines(t *testing.T, number int, change func(*emulator.Options)) *storeEngines {
	t.Helper()
	engines := &storeEngines{store: emulator.NewStore(), heard: make(chan heardStatement, 1000), held: map[string]chan struct{}{}}
	for range number {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := ln.Addr().String()
		t.Cleanup(func() { _ = ln.Close() })
		opts := emulator.Options{
			Name: addr, Store: engines.store, Log: slog.New(slog.DiscardHandler),
			Work: func(string) (time.Duration, float64) { return 0, 1 },
			Heard: func(session, text string) {
				select {
				case engines.heard <- heardStatement{addr, session, text}:
				default: // no test looks at so many
				}
				engines.mu.Lock()
				wait := engines.held[text]
				engines.mu.Unlock()
				if wait != nil {
					<-wait
				}
			},
		}
		if change != nil {
			change(&opts)
		}
		go emulator.Postgres(ln, opts)
		engines.addrs = append(engines.addrs, addr)
	}
	return engines
}

// newTransactionGateway starts a PostgreSQL gateway before the engines, with a class for writes.
func newTransactionGateway(t *testing.T, engines *storeEngines) *gateway {
	t.Helper()
	g := newGateway(t, nil)
	g.pgOptions.DefaultClass, g.pgOptions.WriteClass = "lookup", "write"
	return g.startPostgres(engines.addrs...)
}

// extended returns the messages that run a statement by the extended protocol, with a Sync.
func extended(text string) []byte {
	return slices.Concat(parse("", text), bind("", ""), execute("", 0), sync)
}

// TestTransactionOutlivesTheListingOfItsEngine guards against a transaction that goes on at another engine, outside
// of its transaction, after its engine began to drain, was disabled or left the endpoint list: its client heard
// COMMIT, and a half or all of it was lost.
func TestTransactionOutlivesTheListingOfItsEngine(t *testing.T) {
	leave := map[string]func(g *gateway, addr string){
		"draining": func(g *gateway, addr string) { g.updateEngines(policy.EngineDraining, addr) },
		"departed": func(g *gateway, addr string) { g.updateEngines(policy.EngineDeparted, addr) },
		"disabled": func(g *gateway, addr string) { g.do(func() { _ = g.core.DisableEngine("e" + addr) }) },
	}
	statements := []string{"INSERT INTO stock_1.a VALUES (1)", "SAVEPOINT s", "INSERT INTO stock_1.a VALUES (2)", "ROLLBACK TO s", "INSERT INTO stock_1.a VALUES (3)"}
	for state, apply := range leave {
		for protocol, encode := range map[string]func(string) []byte{"simple": query, "extended": extended} {
			for position := 1; position <= len(statements); position++ {
				for _, end := range []string{"COMMIT", "ROLLBACK"} {
					t.Run(fmt.Sprintf("%s/%s/%d/%s", state, protocol, position, end), func(t *testing.T) {
						engines := newStoreEngines(t, 2, nil)
						g := newTransactionGateway(t, engines)
						k := connect(t, g.addr)
						run := func(text string) {
							t.Helper()
							k.send(encode(text))
							if w := k.until('Z'); strings.Contains(w, "E(") {
								t.Errorf("%s: got %s, want no error", text, w)
							}
						}
						run("BEGIN")
						for _, text := range statements[:position] {
							run(text)
						}
						addr := engines.await(t, statements[0])
						apply(g, addr)
						for _, text := range statements[position:] {
							run(text)
						}
						run(end)
						if end == "COMMIT" {
							engines.checkCommitted(t, addr, statements[0], statements[4])
							engines.checkRolledBack(t, statements[2])
						} else {
							engines.checkRolledBack(t, statements...)
						}
						run("INSERT INTO stock_1.b VALUES (1)")
						if other := engines.await(t, "INSERT INTO stock_1.b VALUES (1)"); other == addr {
							t.Errorf("new work went to engine %s, want another one", addr)
						}
					})
				}
			}
		}
	}
}

// checkCommitted checks that the writes were committed in this order, once each, at the engine addr and by one
// session.
func (e *storeEngines) checkCommitted(t *testing.T, addr string, writes ...string) {
	t.Helper()
	var got, want []string
	sessions := map[string]bool{}
	for _, c := range e.store.Commits() {
		if slices.Contains(writes, c.Statement) {
			got = append(got, c.Engine+" "+c.Statement)
			sessions[c.Session] = true
		}
	}
	for _, w := range writes {
		want = append(want, addr+" "+w)
	}
	if !slices.Equal(got, want) || len(sessions) > 1 {
		t.Errorf("committed: got %q by %d sessions, want %q by one", got, len(sessions), want)
	}
}

// checkRolledBack checks that none of the writes was committed.
func (e *storeEngines) checkRolledBack(t *testing.T, writes ...string) {
	t.Helper()
	for _, c := range e.store.Commits() {
		if slices.Contains(writes, c.Statement) {
			t.Errorf("%s was committed at engine %s, want it rolled back", c.Statement, c.Engine)
		}
	}
}

// TestQueryOutlivesTheListingOfItsEngine guards against the same in the implicit transaction of a Query with several
// statements, whose engine begins to drain while one of them runs.
func TestQueryOutlivesTheListingOfItsEngine(t *testing.T) {
	writes := []string{"INSERT INTO stock_1.a VALUES (1)", "INSERT INTO stock_1.a VALUES (2)", "INSERT INTO stock_1.a VALUES (3)"}
	for _, atRun := range writes {
		t.Run(atRun, func(t *testing.T) {
			engines := newStoreEngines(t, 2, nil)
			g := newTransactionGateway(t, engines)
			k := connect(t, g.addr)
			release := engines.hold(atRun)
			k.send(query(strings.Join(writes, ";")))
			addr := engines.await(t, atRun)
			g.updateEngines(policy.EngineDraining, addr)
			close(release)
			if w := k.until('Z') + string(k.last); strings.Contains(w, "E(") || !strings.HasSuffix(w, "ZI") {
				t.Errorf("got %s, want no error", w)
			}
			engines.checkCommitted(t, addr, writes...)
		})
	}
}

// TestFirstStatementMovesFromADrainingEngine guards against a transaction that is refused or split because its engine
// began to drain before its first statement was sent: BEGIN and all statements go to another engine.
func TestFirstStatementMovesFromADrainingEngine(t *testing.T) {
	engines := newStoreEngines(t, 2, nil)
	g := newTransactionGateway(t, engines)
	k := connect(t, g.addr)
	k.queryWithStatus("BEGIN")
	g.updateEngines(policy.EngineDraining, engines.addrs[0])
	const write = "INSERT INTO stock_1.a VALUES (1)"
	k.queryWithStatus(write)
	if w := k.queryWithStatus("COMMIT"); w != "C(COMMIT) ZI" {
		t.Errorf("COMMIT: got %s, want C(COMMIT) ZI", w)
	}
	engines.checkCommitted(t, engines.addrs[1], write)
}
