package integration

import (
	"fmt"
	"strings"
	"testing"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/scramauth"

	"github.com/xdg-go/scram"
)

// gatewayWithLogins starts the PostgreSQL front end with two users: desk without limits, and guest with one
// connection and the class lookup only.
func gatewayWithLogins(t *testing.T) *gateway {
	t.Helper()
	engine, _ := pgEngine(t, func(pgCall) []byte { return pgRows("bell") })
	g := newGateway(t, nil)
	var users []scramauth.User
	for _, u := range []scramauth.User{{Name: "desk"}, {Name: "guest", Classes: []string{"lookup"}, MaxClients: 1}} {
		v, err := scramauth.NewVerifier("pässword of " + u.Name)
		if err != nil {
			t.Fatal(err)
		}
		if u.Verifier, err = scramauth.ParseVerifier(v.String()); err != nil { // formatted and parsed, as when it is read from a file
			t.Fatal(err)
		}
		users = append(users, u)
	}
	g.pgOptions.DefaultClass, g.pgOptions.WriteClass = "lookup", "write"
	g.pgOptions.Users = scramauth.NewUsers(users)
	return g.startPostgres(engine)
}

// scramMessages changes a client's SCRAM messages, so that a test can corrupt or record them.
type scramMessages struct {
	first, final func(string) string
}

// unchanged returns the message as it is.
func unchanged(s string) string { return s }

// logIn goes through a login and returns the client and a summary of what the server answered, as pgClient.until
// gives it.
func logIn(t *testing.T, addr, user, password string, p scramMessages) (*pgClient, string) {
	t.Helper()
	k := &pgClient{t: t, c: dial(t, addr)}
	_, _ = k.c.Write(pgproto.AppendStartup(nil, pgproto.Version, append(append(pgproto.CString("user"), pgproto.CString(user)...), 0)))
	if w := k.until('R'); w != "R" || !strings.Contains(string(k.last), scramauth.Mechanism) {
		return k, w + " " + k.until('Z')
	}
	c, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		t.Fatal(err)
	}
	conv := c.NewConversation()
	first, err := conv.Step("")
	if err != nil {
		t.Fatal(err)
	}
	first = p.first(first)
	k.send(pgproto.AppendMessage(nil, 'p', pgproto.CString(scramauth.Mechanism), pgproto.Int32(len(first)), []byte(first)))
	if w := k.until('R'); w != "R" {
		return k, w
	}
	final, err := conv.Step(string(k.last[4:]))
	if err != nil {
		t.Fatal(err)
	}
	k.send(pgproto.AppendMessage(nil, 'p', []byte(p.final(final))))
	w := k.until('R')
	if w == "R" {
		if _, err := conv.Step(string(k.last[4:])); err != nil || !conv.Valid() {
			t.Errorf("server signature: got %v, want a valid one", err)
		}
		return k, k.until('Z')
	}
	return k, w
}

// TestLogins guards against logins without the right password: only a user who has it is let in and may run
// statements. An unknown user gets the same answer as a wrong password, so that user names can't be probed.
func TestLogins(t *testing.T) {
	g := gatewayWithLogins(t)
	good := scramMessages{unchanged, unchanged}
	k, w := logIn(t, g.addr, "desk", "pässword of desk", good)
	if !strings.HasPrefix(w, "R S") || !strings.HasSuffix(w, "Z") {
		t.Fatalf("right password: got %s, want R S ... Z", w)
	}
	k.send(query("SELECT part FROM stock_1.parts"))
	if w := k.until('Z'); w != "T D(bell) C(SELECT 1) Z" {
		t.Errorf("statement: got %s, want T D(bell) C(SELECT 1) Z", w)
	}
	for name, tt := range map[string]struct {
		user, password string
		p              scramMessages
		want           string
	}{
		"a wrong password":         {"desk", "password of desk", good, "E(28P01) end"},
		"an unknown user":          {"nobody", "pässword of desk", good, "E(28P01) end"},
		"another's password":       {"guest", "pässword of desk", good, "E(28P01) end"},
		"empty first message":      {"desk", "pässword of desk", scramMessages{func(string) string { return "" }, unchanged}, "E(08P01) end"},
		"first message cut short":  {"desk", "pässword of desk", scramMessages{func(s string) string { return s[:5] }, unchanged}, "E(08P01) end"},
		"requires channel binding": {"desk", "pässword of desk", scramMessages{func(s string) string { return "p=tls-unique" + s[1:] }, unchanged}, "E(08P01) end"},
		"proof cut short":          {"desk", "pässword of desk", scramMessages{unchanged, func(s string) string { return s[:len(s)-10] }}, "E(28P01) end"},
		"altered nonce":            {"desk", "pässword of desk", scramMessages{unchanged, func(s string) string { return strings.Replace(s, "r=", "r=x", 1) }}, "E(28P01) end"},
	} {
		if _, w := logIn(t, g.addr, tt.user, tt.password, tt.p); w != tt.want {
			t.Errorf("%s: got %s, want %s", name, w, tt.want)
		}
	}
}

// TestLoginOutOfOrder guards against a login by replayed messages, and against messages out of order or of a
// megabyte before the login is complete: each ends the connection.
func TestLoginOutOfOrder(t *testing.T) {
	g := gatewayWithLogins(t)
	var first, final string
	keep := func(to *string) func(string) string { return func(s string) string { *to = s; return s } }
	if _, w := logIn(t, g.addr, "desk", "pässword of desk", scramMessages{keep(&first), keep(&final)}); !strings.HasSuffix(w, "Z") {
		t.Fatalf("login: got %s, want a summary that ends in Z", w)
	}
	again := func(s string) func(string) string { return func(string) string { return s } }
	k := &pgClient{t: t, c: dial(t, g.addr)}
	_, _ = k.c.Write(pgproto.AppendStartup(nil, pgproto.Version, append(append(pgproto.CString("user"), pgproto.CString("desk")...), 0)))
	k.until('R')
	k.send(pgproto.AppendMessage(nil, 'p', pgproto.CString(scramauth.Mechanism), pgproto.Int32(len(first)), []byte(again(first)(""))))
	k.until('R')
	k.send(pgproto.AppendMessage(nil, 'p', []byte(final)))
	if w := k.until('Z'); w != "E(28P01) end" {
		t.Errorf("replayed login: got %s, want E(28P01) end", w)
	}
	for name, m := range map[string][]byte{
		"a statement before the login": query("SELECT 1"), "a message of a megabyte": append([]byte{'p'}, pgproto.Int32(1<<20)...),
		"another mechanism": pgproto.AppendMessage(nil, 'p', pgproto.CString("PLAIN"), pgproto.Int32(1), []byte("x")),
		"a wrong length":    pgproto.AppendMessage(nil, 'p', pgproto.CString(scramauth.Mechanism), pgproto.Int32(99), []byte("x")),
	} {
		k := &pgClient{t: t, c: dial(t, g.addr)}
		_, _ = k.c.Write(pgproto.AppendStartup(nil, pgproto.Version, append(append(pgproto.CString("user"), pgproto.CString("desk")...), 0)))
		k.until('R')
		k.send(m)
		if w := k.until('Z'); w != "E(08P01) end" {
			t.Errorf("%s: got %s, want E(08P01) end", name, w)
		}
	}
}

// TestLoginLimits guards against users that exceed their classes or connections, and against guessing: after a
// dozen failed logins, further ones from that address are refused, whatever user they name.
func TestLoginLimits(t *testing.T) {
	g := gatewayWithLogins(t)
	good := scramMessages{unchanged, unchanged}
	k, w := logIn(t, g.addr, "guest", "pässword of guest", good)
	if !strings.HasSuffix(w, "Z") {
		t.Fatalf("login: got %s, want a summary that ends in Z", w)
	}
	k.send(query("UPDATE stock_1.parts SET seen = 1"))
	if w := k.until('Z'); w != "E(42501) Z" {
		t.Errorf("class that the user may not use: got %s, want E(42501) Z", w)
	}
	if _, w := logIn(t, g.addr, "guest", "pässword of guest", good); w != "R E(53300) end" && w != "E(53300) end" {
		t.Errorf("second connection: got %s, want E(53300) end, with or without R before it", w)
	}
	last := ""
	for i := range 12 {
		_, last = logIn(t, g.addr, fmt.Sprint("user", i), "guess", good)
	}
	if last != "E(28000) end " && last != "E(28000) end end" {
		t.Errorf("after a dozen guesses: got %q, want \"E(28000) end \" or \"E(28000) end end\"", last)
	}
	if _, w := logIn(t, g.addr, "desk", "pässword of desk", good); !strings.HasPrefix(w, "E(28000)") {
		t.Errorf("next login from that address: got %s, want E(28000)", w)
	}
}
