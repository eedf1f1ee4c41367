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

// certificate returns a server certificate signed by a certificate authority of its own.
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

// serverTLS returns a server configuration that accepts TLS 1.2 and later, and the protocol name of direct
// PostgreSQL encryption.
func serverTLS(c tls.Certificate) *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{c}, NextProtos: []string{"postgresql"}, MinVersion: tls.VersionTLS12}
}

// gatewayWithTLS starts the PostgreSQL front end with encryption; require refuses unencrypted clients.
func gatewayWithTLS(t *testing.T, require bool) *gateway {
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
	g.pgOptions.DefaultClass, g.pgOptions.WriteClass = "lookup", "write"
	g.pgOptions.TLS, g.pgOptions.RequireTLS = serverTLS(certificate(t)), require
	return g.startPostgres(engine)
}

// byteByByteConn writes one byte at a time and reads at most seven.
type byteByByteConn struct{ net.Conn }

// Write writes b one byte at a time.
func (s byteByByteConn) Write(b []byte) (int, error) {
	for i := range b {
		if _, err := s.Conn.Write(b[i : i+1]); err != nil {
			return i, err
		}
	}
	return len(b), nil
}

// Read reads at most seven bytes.
func (s byteByByteConn) Read(b []byte) (int, error) { return s.Conn.Read(b[:min(len(b), 7)]) }

// startupOfDesk is the startup message of user desk.
var startupOfDesk = pgproto.AppendStartup(nil, pgproto.Version, append(append(pgproto.CString("user"), pgproto.CString("desk")...), 0))

// negotiate requests encryption, does the handshake and sends the startup message, over the connection that wrap
// returns.
func negotiate(t *testing.T, addr string, cfg *tls.Config, wrap func(net.Conn) net.Conn) *pgClient {
	t.Helper()
	c := wrap(dial(t, addr))
	_, _ = c.Write(pgproto.AppendStartup(nil, pgproto.SSLRequest, nil))
	reply := make([]byte, 1)
	if _, err := io.ReadFull(c, reply); err != nil || reply[0] != 'S' {
		t.Fatalf("encryption request: got %q, %v, want \"S\"", reply, err)
	}
	cfg = cfg.Clone()
	cfg.InsecureSkipVerify = true // the test's certificate authority is not known here
	k := &pgClient{t: t, c: tls.Client(c, cfg)}
	k.send(startupOfDesk)
	return k
}

// unwrapped returns the connection as it is.
func unwrapped(c net.Conn) net.Conn { return c }

// TestEncryption guards against bytes that are lost or reordered under encryption: TLS 1.2 and 1.3, negotiated
// or direct, written whole or a byte at a time, with small and large results.
func TestEncryption(t *testing.T) {
	g := gatewayWithTLS(t, true)
	for name, open := range map[string]func() *pgClient{
		"1.3": func() *pgClient { return negotiate(t, g.addr, &tls.Config{MinVersion: tls.VersionTLS13}, unwrapped) },
		"1.2": func() *pgClient { return negotiate(t, g.addr, &tls.Config{MaxVersion: tls.VersionTLS12}, unwrapped) },
		"a byte at a time": func() *pgClient {
			return negotiate(t, g.addr, &tls.Config{}, func(c net.Conn) net.Conn { return byteByByteConn{c} })
		},
		"direct": func() *pgClient {
			k := &pgClient{t: t, c: tls.Client(dial(t, g.addr), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"postgresql"}})}
			k.send(startupOfDesk)
			return k
		},
	} {
		k := open()
		if w := k.until('Z'); !strings.HasPrefix(w, "R S") {
			t.Errorf("%s: startup: got %s, want R S ...", name, w)
		}
		for range 3 { // several messages in one record, three times in a row
			k.send(append(append(append(parse("", "SELECT part FROM stock_1.parts"), bind("", "")...), execute("", 0)...), sync...))
			if w := k.until('Z'); w != "1 2 D(bell) C(SELECT 1) Z" {
				t.Errorf("%s: got %s, want 1 2 D(bell) C(SELECT 1) Z", name, w)
			}
		}
		k.send(query("SELECT many FROM stock_1.parts"))
		if w := k.until('Z'); strings.Count(w, "D(") != 3000 || !strings.HasSuffix(w, "C(SELECT 3000) Z") {
			t.Errorf("%s: large result: got %d rows, want 3000 and then C(SELECT 3000) Z", name, strings.Count(w, "D("))
		}
		k.send(pgproto.AppendMessage(nil, 'X'))
		if _, err := io.Copy(io.Discard, k.c); err != nil { // a missing close_notify would be an error
			t.Errorf("%s: close: got %v, want no error", name, err)
		}
	}
}

// TestEncryptionRefused guards against letting in clients that must not be: those that send plain bytes where
// encryption is required or right after the request for it, speak no TLS, name no protocol, use TLS 1.1,
// or stop in the handshake.
func TestEncryptionRefused(t *testing.T) {
	g := gatewayWithTLS(t, true)
	readAll := func(c net.Conn) string {
		b, _ := io.ReadAll(c) // ignores the error: the connection may also be reset
		return string(b)
	}
	k := &pgClient{t: t, c: dial(t, g.addr)}
	k.send(startupOfDesk)
	if w := k.until('Z'); w != "E(28000) end" {
		t.Errorf("without encryption: got %s, want E(28000) end", w)
	}
	c := dial(t, g.addr)
	_, _ = c.Write(append(pgproto.AppendStartup(nil, pgproto.SSLRequest, nil), startupOfDesk...))
	if got := readAll(c); !strings.Contains(got, "unencrypted data after SSL request") || strings.HasPrefix(got, "S") {
		t.Errorf("plain bytes right after the encryption request: got %q, want the error \"unencrypted data after SSL request\" and no S", got)
	}
	c = dial(t, g.addr)
	_, _ = c.Write(pgproto.AppendStartup(nil, pgproto.SSLRequest, nil))
	reply := make([]byte, 1)
	_, _ = io.ReadFull(c, reply)
	_, _ = c.Write(append(startupOfDesk, make([]byte, 100)...))
	if got := readAll(c); strings.Contains(got, "server_version") {
		t.Errorf("plain bytes after encryption was accepted: got %q, want no startup", got)
	}
	direct := tls.Client(dial(t, g.addr), &tls.Config{InsecureSkipVerify: true})
	_, _ = direct.Write(startupOfDesk)
	if got := readAll(direct); got != "" {
		t.Errorf("direct encryption without a protocol name: got %q, want nothing", got)
	}
	old := tls.Client(dial(t, g.addr), &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS11, NextProtos: []string{"postgresql"}})
	if err := old.Handshake(); err == nil {
		t.Error("TLS 1.1: got a handshake, want an error")
	}
	c = dial(t, g.addr) // a handshake that stops ends with the startup timeout
	_, _ = c.Write([]byte{tlsRecord, 3, 1, 2, 0})
	began := time.Now()
	_ = readAll(c)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("handshake that stopped: got its end after %v, want at most 5s", took)
	}
}

// tlsRecord is the type byte of a TLS handshake record.
const tlsRecord = 0x16

// TestCertificateReplaced guards against a replaced certificate that disturbs clients: connected ones go on, and
// new ones see the new certificate. At a takeover by a new process, encrypted connections, which can't be handed
// over, are closed after their statement, and unencrypted ones go on.
func TestCertificateReplaced(t *testing.T) {
	g := gatewayWithTLS(t, false)
	before := negotiate(t, g.addr, &tls.Config{}, unwrapped)
	before.until('Z')
	next := g.pgOptions
	next.TLS = serverTLS(certificate(t))
	done := make(chan struct{})
	g.loop.Post(func() { g.pgFront.SetOptions(next); close(done) })
	<-done
	after := negotiate(t, g.addr, &tls.Config{}, unwrapped)
	after.until('Z')
	rawCert := func(k *pgClient) string {
		return string(k.c.(*tls.Conn).ConnectionState().PeerCertificates[0].Raw)
	}
	if rawCert(before) == rawCert(after) {
		t.Error("new connection: got the old certificate, want the new one")
	}
	open := connect(t, g.addr) // unencrypted, so it can be handed over and stays
	for _, k := range []*pgClient{before, after} {
		k.send(query("SELECT part FROM stock_1.parts"))
		if w := k.until('Z'); w != "T D(bell) C(SELECT 1) Z" {
			t.Errorf("statement: got %s, want T D(bell) C(SELECT 1) Z", w)
		}
	}
	g.loop.Post(g.pgFront.CloseUnmovable)
	for _, k := range []*pgClient{before, after} {
		if w := k.until('Z'); w != "E(57P01) end" {
			t.Errorf("encrypted connection at a takeover: got %s, want E(57P01) end", w)
		}
	}
	open.send(query("SELECT part FROM stock_1.parts"))
	if w := open.until('Z'); w != "T D(bell) C(SELECT 1) Z" {
		t.Errorf("unencrypted connection at a takeover: got %s, want T D(bell) C(SELECT 1) Z", w)
	}
}

// TestEngineAuthentication guards against sending statements to an engine that is not authenticated, or without the
// password and encryption that it requires: statements run only with the right password and a known certificate
// authority.
func TestEngineAuthentication(t *testing.T) {
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
		engine *tls.Config // TLS configuration of the engine; nil: it declines encryption
		opts   pgbackend.Options
		want   string
	}{
		"password and encryption":          {serverTLS(cert), pgbackend.Options{Password: "of the gateway", TLS: trusting(known)}, ran},
		"password without encryption":      {nil, pgbackend.Options{Password: "of the gateway"}, ran},
		"a wrong password":                 {nil, pgbackend.Options{Password: "another"}, "E(53000 hint) ZI"},
		"no password":                      {nil, pgbackend.Options{}, "E(53000 hint) ZI"},
		"engine declines encryption":       {nil, pgbackend.Options{Password: "of the gateway", TLS: trusting(known)}, "E(53000 hint) ZI"},
		"certificate of another authority": {serverTLS(certificate(t)), pgbackend.Options{Password: "of the gateway", TLS: trusting(known)}, "E(53000 hint) ZI"},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		received := make(chan string, 10)
		go emulator.Postgres(ln, emulator.Options{
			Work:   func(string) (time.Duration, float64) { return time.Millisecond, 1 },
			Logins: scramauth.NewUsers([]scramauth.User{{Name: "ringwood", Verifier: v}}), TLS: tt.engine, Log: slog.New(slog.DiscardHandler),
			Heard: func(_, text string) { received <- text },
		})
		g := newGateway(t, nil)
		g.pgOptions.DefaultClass, g.pgOptions.WriteClass = "lookup", "write"
		g.backendOptions = tt.opts
		g.startPostgres(ln.Addr().String())
		if w := connect(t, g.addr).queryWithStatus("SELECT 1"); w != tt.want {
			t.Errorf("%s: got %s, want %s", name, w, tt.want)
		}
		if (len(received) > 0) != (tt.want == ran) {
			t.Errorf("%s: got %d statements at the engine; want at least one: %t", name, len(received), tt.want == ran)
		}
	}
}
