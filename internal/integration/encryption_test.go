package integration

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	pgbackend "gannetspur/internal/backend/postgres"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/scramauth"
	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/testca"
)

// certificate is one that an authority of its own has signed.
func certificate(t *testing.T) tls.Certificate {
	t.Helper()
	dir := t.TempDir()
	ca, err := testca.New("test")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ca.Issue(dir, "front", "lalitpur", "front", testca.DefaultExpiry()); err != nil {
		t.Fatal(err)
	}
	c, err := tls.LoadX509KeyPair(filepath.Join(dir, "front.pem"), filepath.Join(dir, "front.key"))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func serverTLS(c tls.Certificate) *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{c}, NextProtos: []string{"postgresql"}, MinVersion: tls.VersionTLS12}
}

// sealed starts the second front with encryption.
func sealed(t *testing.T, require bool) *gateway {
	t.Helper()
	long := strings.Repeat("x", 1000)
	engine, _ := pgEngine(t, func(c pgCall) []byte {
		if strings.Contains(c.query, "many") {
			rows := make([]string, 3000)
			for i := range rows {
				rows[i] = long
			}
			return pgRows(rows...)
		}
		return pgRows("bell")
	})
	g := newGateway(t, nil)
	g.pgwire.DefaultClass, g.pgwire.WriteClass = "lookup", "write"
	g.pgwire.TLS, g.pgwire.RequireTLS = serverTLS(certificate(t)), require
	return g.postgres(engine)
}

// slow writes and reads a byte at a time.
type slow struct{ net.Conn }

func (s slow) Write(b []byte) (int, error) {
	for i := range b {
		if _, err := s.Conn.Write(b[i : i+1]); err != nil {
			return i, err
		}
	}
	return len(b), nil
}

func (s slow) Read(b []byte) (int, error) { return s.Conn.Read(b[:min(len(b), 7)]) }

var startupOfDesk = pgproto.AppendStartup(nil, pgproto.Version, append(append(pgproto.CString("user"), pgproto.CString("desk")...), 0))

// negotiate asks for encryption and begins it, over a connection that may be changed.
func negotiate(t *testing.T, addr string, cfg *tls.Config, wrap func(net.Conn) net.Conn) *pgClient {
	t.Helper()
	c := wrap(dial(t, addr))
	_, _ = c.Write(pgproto.AppendStartup(nil, pgproto.SSLRequest, nil))
	yes := make([]byte, 1)
	if _, err := io.ReadFull(c, yes); err != nil || yes[0] != 'S' {
		t.Fatalf("answered %q, %v", yes, err)
	}
	cfg = cfg.Clone()
	cfg.InsecureSkipVerify = true // the authority is made up
	k := &pgClient{t: t, c: tls.Client(c, cfg)}
	k.send(startupOfDesk)
	return k
}

func plain(c net.Conn) net.Conn { return c }

// Encryption of both versions, negotiated or direct, whole or a byte at a time, small results and
// large: what comes is what was sent.
func TestEncryption(t *testing.T) {
	g := sealed(t, true)
	for name, open := range map[string]func() *pgClient{
		"1.3": func() *pgClient { return negotiate(t, g.addr, &tls.Config{MinVersion: tls.VersionTLS13}, plain) },
		"1.2": func() *pgClient { return negotiate(t, g.addr, &tls.Config{MaxVersion: tls.VersionTLS12}, plain) },
		"a byte at a time": func() *pgClient {
			return negotiate(t, g.addr, &tls.Config{}, func(c net.Conn) net.Conn { return slow{c} })
		},
		"direct": func() *pgClient {
			k := &pgClient{t: t, c: tls.Client(dial(t, g.addr), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"postgresql"}})}
			k.send(startupOfDesk)
			return k
		},
	} {
		k := open()
		if w := k.until('Z'); !strings.HasPrefix(w, "R S") {
			t.Errorf("%s: %s", name, w)
		}
		for range 3 { // several in one record, and one after the other
			k.send(append(append(append(parse("", "SELECT part FROM stock_1.parts"), bind("", "")...), execute("", 0)...), sync...))
			if w := k.until('Z'); w != "1 2 D(bell) C(SELECT 1) Z" {
				t.Errorf("%s: %s", name, w)
			}
		}
		k.send(query("SELECT many FROM stock_1.parts"))
		if w := k.until('Z'); strings.Count(w, "D(") != 3000 || !strings.HasSuffix(w, "C(SELECT 3000) Z") {
			t.Errorf("%s: of a large result %d rows came", name, strings.Count(w, "D("))
		}
		k.send(pgproto.AppendMessage(nil, 'X'))
		if _, err := io.Copy(io.Discard, k.c); err != nil { // a close that was told, not a cut
			t.Errorf("%s: the end: %v", name, err)
		}
	}
}

// Who smuggles, speaks no TLS, names another protocol or comes without it where it is wanted is not let in.
func TestEncryptionRefused(t *testing.T) {
	g := sealed(t, true)
	end := func(c net.Conn) string {
		b, _ := io.ReadAll(c) // also where it was reset
		return string(b)
	}
	k := &pgClient{t: t, c: dial(t, g.addr)}
	k.send(startupOfDesk)
	if w := k.until('Z'); w != "E(28000) end" {
		t.Errorf("without encryption: %s", w)
	}
	c := dial(t, g.addr)
	_, _ = c.Write(append(pgproto.AppendStartup(nil, pgproto.SSLRequest, nil), startupOfDesk...))
	if got := end(c); !strings.Contains(got, "unencrypted data after SSL request") || strings.HasPrefix(got, "S") {
		t.Errorf("smuggled: %q", got)
	}
	c = dial(t, g.addr)
	_, _ = c.Write(pgproto.AppendStartup(nil, pgproto.SSLRequest, nil))
	yes := make([]byte, 1)
	_, _ = io.ReadFull(c, yes)
	_, _ = c.Write(append(startupOfDesk, make([]byte, 100)...))
	if got := end(c); strings.Contains(got, "server_version") {
		t.Errorf("plain behind the yes: %q", got)
	}
	direct := tls.Client(dial(t, g.addr), &tls.Config{InsecureSkipVerify: true})
	_, _ = direct.Write(startupOfDesk)
	if got := end(direct); got != "" {
		t.Errorf("direct, of no protocol: %q", got)
	}
	old := tls.Client(dial(t, g.addr), &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS11, NextProtos: []string{"postgresql"}})
	if err := old.Handshake(); err == nil {
		t.Error("TLS 1.1 was taken")
	}
	c = dial(t, g.addr) // a handshake that stops is ended with the startup's time
	_, _ = c.Write([]byte{tlsRecord, 3, 1, 2, 0})
	began := time.Now()
	_ = end(c)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("a handshake that stopped was held %v", took)
	}
}

const tlsRecord = 0x16

// A certificate is replaced: who is connected goes on, who connects sees the new one; and a gateway that
// was taken over from ends what it can't hand on, each behind its statement.
func TestCertificateReplaced(t *testing.T) {
	g := sealed(t, false)
	before := negotiate(t, g.addr, &tls.Config{}, plain)
	before.until('Z')
	next := g.pgwire
	next.TLS = serverTLS(certificate(t))
	done := make(chan struct{})
	g.loop.Post(func() { g.front.SetOptions(next); close(done) })
	<-done
	after := negotiate(t, g.addr, &tls.Config{}, plain)
	after.until('Z')
	serial := func(k *pgClient) string {
		return string(k.c.(*tls.Conn).ConnectionState().PeerCertificates[0].Raw)
	}
	if serial(before) == serial(after) {
		t.Error("the old certificate is shown")
	}
	open := connect(t, g.addr) // in the clear it may stay
	for _, k := range []*pgClient{before, after} {
		k.send(query("SELECT part FROM stock_1.parts"))
		if w := k.until('Z'); w != "T D(bell) C(SELECT 1) Z" {
			t.Error(w)
		}
	}
	g.loop.Post(g.front.CloseUnmovable)
	for _, k := range []*pgClient{before, after} {
		if w := k.until('Z'); w != "E(57P01) end" {
			t.Errorf("taken over from: %s", w)
		}
	}
	open.send(query("SELECT part FROM stock_1.parts"))
	if w := open.until('Z'); w != "T D(bell) C(SELECT 1) Z" {
		t.Errorf("in the clear: %s", w)
	}
}

// Engines that want a password and encryption: a right password and a known authority, and statements
// run; anything else, and nothing is sent.
func TestGuardedEngines(t *testing.T) {
	dir := t.TempDir()
	ca, err := testca.New("engines")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ca.Issue(dir, "engine", "lalitpur", "engine", testca.DefaultExpiry()); err != nil {
		t.Fatal(err)
	}
	if err := ca.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	cert, err := tls.LoadX509KeyPair(filepath.Join(dir, "engine.pem"), filepath.Join(dir, "engine.key"))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "authority.pem"))
	if err != nil {
		t.Fatal(err)
	}
	known := x509.NewCertPool()
	known.AppendCertsFromPEM(raw)
	trusting := func(pool *x509.CertPool) *tls.Config {
		return &tls.Config{InsecureSkipVerify: true, VerifyConnection: func(s tls.ConnectionState) error {
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool})
			return err
		}}
	}
	v, err := scramauth.NewVerifier("of the gateway")
	if err != nil {
		t.Fatal(err)
	}
	ran := "T D(SELECT 1) D() C(SELECT 2) ZI"
	for name, tt := range map[string]struct {
		engine *tls.Config // that the engine has
		opts   pgbackend.Options
		want   string
	}{
		"both":                  {serverTLS(cert), pgbackend.Options{Password: "of the gateway", TLS: trusting(known)}, ran},
		"a password alone":      {nil, pgbackend.Options{Password: "of the gateway"}, ran},
		"a wrong password":      {nil, pgbackend.Options{Password: "another"}, "E(53000 hint) ZI"},
		"no password":           {nil, pgbackend.Options{}, "E(53000 hint) ZI"},
		"it declines":           {nil, pgbackend.Options{Password: "of the gateway", TLS: trusting(known)}, "E(53000 hint) ZI"},
		"another's certificate": {serverTLS(certificate(t)), pgbackend.Options{Password: "of the gateway", TLS: trusting(known)}, "E(53000 hint) ZI"},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		ranOn := make(chan string, 10)
		go emulator.Postgres(ln, emulator.Options{
			Work:   func(string) (time.Duration, float64) { return time.Millisecond, 1 },
			Logins: scramauth.NewUsers([]scramauth.User{{Name: "ringwood", Verifier: v}}), TLS: tt.engine, Log: slog.New(slog.DiscardHandler),
			Heard: func(_, text string) { ranOn <- text },
		})
		g := newGateway(t, nil)
		g.pgwire.DefaultClass, g.pgwire.WriteClass = "lookup", "write"
		g.engine = tt.opts
		g.postgres(ln.Addr().String())
		if w := connect(t, g.addr).says("SELECT 1"); w != tt.want {
			t.Errorf("%s: %s, want %s", name, w, tt.want)
		}
		if (len(ranOn) > 0) != (tt.want == ran) {
			t.Errorf("%s: the engine was told %d statements", name, len(ranOn))
		}
	}
}
