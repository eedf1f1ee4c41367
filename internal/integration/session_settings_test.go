package integration

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/testbed/emulator"
)

// settingsClient is a client that remembers its settings.
type settingsClient struct {
	*pgClient
	engines  *storeEngines
	addr     string // of the gateway
	settings map[string]string
	number   int // of the latest statement
	rows     int // number of checks that got a row
}

// taggedSettings are the settings that clients change.
var taggedSettings = []string{"search_path", "work_mem", "my.tag"}

// check checks that a statement runs under the client's value of a setting. An error is no foreign data, and passes.
func (k *settingsClient) check(name string, encode func(string) []byte) {
	k.t.Helper()
	want := "default"
	if value, ok := k.settings[name]; ok {
		want = value
	}
	k.send(encode("SHOW " + name))
	w := k.until('Z')
	if strings.Contains(w, "E(") {
		return
	}
	k.rows++
	if !strings.Contains(w, "D("+want+")") {
		k.t.Errorf("SHOW %s: got %s, want a row with %s", name, w, want)
	}
}

// run sends a statement and returns the summary of its answer.
func (k *settingsClient) run(message []byte) string {
	k.t.Helper()
	k.send(message)
	return k.until('Z')
}

// set sets a setting to a value of its own, or resets it.
func (k *settingsClient) set(random *rand.Rand, encode func(string) []byte) {
	name := taggedSettings[random.IntN(len(taggedSettings))]
	k.number++
	value := fmt.Sprintf("v%d", k.number)
	if random.IntN(3) == 0 {
		if w := k.run(encode("RESET " + name)); strings.Contains(w, "C(RESET)") {
			delete(k.settings, name)
		}
		return
	}
	if w := k.run(encode(fmt.Sprintf("SET %s = '%s'", name, value))); strings.Contains(w, "C(SET)") {
		k.settings[name] = value
	}
}

// cancelStatement has a statement cancelled while it runs.
func (k *settingsClient) cancelStatement() {
	k.t.Helper()
	const slow = "SELECT slow"
	k.send(query(slow))
	k.engines.await(k.t, slow)
	c := dial(k.t, k.addr)
	_, _ = c.Write(pgproto.AppendStartup(nil, pgproto.CancelRequest, k.key))
	k.until('Z')
	_ = c.Close()
}

// step does one random thing, after which the settings must be the client's own.
func (k *settingsClient) step(random *rand.Rand) {
	k.t.Helper()
	encode := query
	if random.IntN(2) == 0 {
		encode = extended
	}
	name := taggedSettings[random.IntN(len(taggedSettings))]
	switch random.IntN(12) {
	case 0, 1:
		k.set(random, encode)
	case 2: // an error of the client's own
		k.run(encode("SELECT 1/0"))
	case 3: // a setting that the engine rejects
		k.run(encode("SET " + name + " = 'invalid'"))
	case 4: // a description that fails, and a batch that does
		k.run(append(parse("", "SELECT 1/0"), append(describe("S", ""), append(bind("", ""), append(execute("", 0), sync...)...)...)...))
	case 5: // a transaction that fails, is rolled back or commits, with settings of its own
		k.run(encode("BEGIN"))
		k.run(encode("SET LOCAL " + name + " = 'local'"))
		if random.IntN(2) == 0 {
			k.run(encode("SELECT 1/0"))
		}
		k.run(encode([]string{"COMMIT", "ROLLBACK"}[random.IntN(2)]))
	case 6: // several statements, the last of which fails
		k.run(query("SELECT 1; SET LOCAL " + name + " = 'local'; SELECT 1/0"))
	case 7:
		if random.IntN(5) == 0 {
			k.cancelStatement()
		}
	default:
		k.check(name, encode)
	}
}

// TestNoSettingLeaksAfterFailures guards against rows by another client's settings: an engine undoes the SET and
// RESET that were sent ahead of a statement when the statement fails, by an error of the engine or of the client's
// making. Clients with settings of their own share the sessions of engines, of which one fails.
func TestNoSettingLeaksAfterFailures(t *testing.T) {
	const minRows = 100 // of some 200 checks; the others may be refused
	for seed := range uint64(4) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			var failing atomic.Pointer[string]
			engines := newStoreEngines(t, 3, func(opts *emulator.Options) {
				name := opts.Name
				failing.CompareAndSwap(nil, &name)
				var shows atomic.Int64
				opts.Fail = func(statement string) *pgproto.Error {
					if name != *failing.Load() || !strings.HasPrefix(statement, "SHOW") {
						return nil
					}
					if shows.Add(1)%3 != 0 {
						return nil
					}
					return &pgproto.Error{Severity: "ERROR", Code: "53200", Message: "out of memory"}
				}
				opts.Work = func(statement string) (time.Duration, float64) {
					if strings.HasPrefix(statement, "SELECT slow") {
						return time.Minute, 1
					}
					return 0, 1
				}
			})
			g := newTransactionGateway(t, engines)
			var clients []*settingsClient
			for range 5 {
				clients = append(clients, &settingsClient{pgClient: connect(t, g.addr), engines: engines, addr: g.addr, settings: map[string]string{}})
			}
			for range 600 {
				clients[random.IntN(len(clients))].step(random)
			}
			rows := 0
			for _, k := range clients {
				rows += k.rows
			}
			if rows < minRows {
				t.Errorf("%d checks got a row, want at least %d", rows, minRows)
			}
		})
	}
}

// TestPartOfASettingDoesNotLeak guards against dates in another client's style: a SET of the order of dates leaves the
// style as the session has it, which may be another client's.
func TestPartOfASettingDoesNotLeak(t *testing.T) {
	engines := newStoreEngines(t, 1, nil)
	g := newTransactionGateway(t, engines)
	a := &settingsClient{pgClient: connect(t, g.addr), settings: map[string]string{"datestyle": "German"}}
	b := &settingsClient{pgClient: connect(t, g.addr), settings: map[string]string{"datestyle": "YMD"}}
	a.run(query("SET datestyle = 'German'"))
	b.run(query("SET datestyle = 'YMD'"))
	for range 3 {
		a.check("datestyle", query)
		b.check("datestyle", query)
	}
}

// TestFailedStatementLeavesNoSetting guards against the same in the fewest steps: one engine, one session, two
// clients.
func TestFailedStatementLeavesNoSetting(t *testing.T) {
	for name, fails := range map[string][]byte{
		"client's error":           query("SELECT 1/0"),
		"client's error, batch":    extended("SELECT 1/0"),
		"rejected SET":             query("SET work_mem = 'invalid'"),
		"engine's error":           query("SELECT crash"),
		"engine's error, prepared": append(parse("s", "SELECT crash"), append(bind("", "s"), append(execute("", 0), sync...)...)...),
	} {
		t.Run(name, func(t *testing.T) {
			engines := newStoreEngines(t, 1, func(opts *emulator.Options) {
				opts.Fail = func(statement string) *pgproto.Error {
					if statement != "SELECT crash" {
						return nil
					}
					return &pgproto.Error{Severity: "ERROR", Code: "XX000", Message: "internal error"}
				}
			})
			g := newTransactionGateway(t, engines)
			a := &settingsClient{pgClient: connect(t, g.addr), settings: map[string]string{"search_path": "mine"}}
			b := &settingsClient{pgClient: connect(t, g.addr), settings: map[string]string{}}
			a.run(query("SET search_path = 'mine'"))
			b.run(fails) // RESET goes ahead of it, and is undone
			b.check("search_path", query)
			a.run(fails) // SET goes ahead of it, and is undone
			a.check("search_path", query)
			b.check("search_path", extended)
		})
	}
}
