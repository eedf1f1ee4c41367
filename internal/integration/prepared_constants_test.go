package integration

import (
	"strings"
	"testing"
)

// batch encodes a statement that is prepared under a name and bound three times.
func batch(name, text string) []byte {
	message := parse(name, text)
	for range 3 {
		message = append(message, bind("", name)...)
		message = append(message, execute("", 0)...)
	}
	return append(message, sync...)
}

// TestConstantsAreReadByTheClientsOwnSettings guards against rows by the DateStyle of a client that has gone: its
// statement stays prepared on the engine's connection, with the constants as its settings read them.
func TestConstantsAreReadByTheClientsOwnSettings(t *testing.T) {
	for _, text := range []string{
		"SELECT DATE '03/04/2026'",
		"UPDATE stock_17.orders SET closed = true WHERE day = DATE '03/04/2026'",
	} {
		engines := newStoreEngines(t, 1, nil)
		g := newTransactionGateway(t, engines)
		leaving := connect(t, g.addr)
		leaving.send(query("SET datestyle = 'DMY'"))
		leaving.until('Z')
		leaving.send(batch("s", text))
		if w := leaving.until('Z'); !strings.Contains(w, "D(2026-04-03)") {
			t.Fatalf("%s with DMY: got %s, want the third of April", text, w)
		}
		leaving.send(append(bind("", "s"), execute("", 0)...))
		_ = leaving.c.Close()
		client := connect(t, g.addr)
		for name, encode := range map[string]func(string) []byte{"Query": query, "Parse": extended} {
			client.send(encode(text))
			if w := client.until('Z'); !strings.Contains(w, "D(2026-03-04)") {
				t.Errorf("%s, %s without settings: got %s, want the fourth of March", name, text, w)
			}
		}
		client.send(query("SET datestyle = 'DMY'"))
		client.until('Z')
		client.send(query(text))
		if w := client.until('Z'); !strings.Contains(w, "D(2026-04-03)") {
			t.Errorf("%s with DMY: got %s, want the third of April", text, w)
		}
	}
}

// TestConstantOfTheCurrentTimeIsReadAnew guards against the time at which another client first sent a text: the
// statement stays prepared on the engine's connection, with the constant as the clock was then.
func TestConstantOfTheCurrentTimeIsReadAnew(t *testing.T) {
	engines := newStoreEngines(t, 1, nil)
	g := newTransactionGateway(t, engines)
	seen := map[string]bool{}
	for _, encode := range []func(string) []byte{query, extended, query, extended} {
		client := connect(t, g.addr)
		client.send(encode("SELECT DATE 'now'"))
		answer := client.until('Z')
		if seen[answer] {
			t.Errorf("SELECT DATE 'now': got %s again, want the time of this statement", answer)
		}
		seen[answer] = true
	}
}
