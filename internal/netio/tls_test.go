package netio

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"
)

// selfSigned returns a self-signed server certificate for 127.0.0.1, and a pool that trusts it.
func selfSigned(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// A TLS client in one loop connects to a TLS server in another. Each handshake runs on a goroutine of its own and then
// passes the session to its loop. Data of several records that either side writes afterwards reaches the other
// side's handler decrypted.
func TestTLSBetweenLoops(t *testing.T) {
	certificate, pool := selfSigned(t)
	serverLoop, clientLoop := startLoop(t), startLoop(t)
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	handshakes := make(chan error, 2)
	handshakeEnded := func(_ tls.ConnectionState, err error) { handshakes <- err }
	server := echo{make(chan error, 1)}
	serverLoop.Serve(ln, 1<<20, 1, func(c *Conn) Handler {
		serverLoop.Post(func() {
			c.StartServerTLS(&tls.Config{Certificates: []tls.Certificate{certificate}}, awaitLimit, handshakeEnded)
		})
		return server
	})
	client := &byteCounter{closed: make(chan int, 1), counted: make(chan int, 1000)}
	conns := make(chan *Conn, 1)
	clientLoop.Post(func() {
		clientLoop.Dial(ln.Addr().String(), awaitLimit, 1<<20, client, func(c *Conn, err error) {
			if err != nil {
				t.Error(err)
				return
			}
			c.StartClientTLS(&tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}, awaitLimit, handshakeEnded)
			conns <- c
		})
	})
	c := await(t, "a connection", conns)
	for range 2 {
		if err := await(t, "the handshake", handshakes); err != nil {
			t.Fatal(err)
		}
	}
	const size = 3*tlsReadSize + 7
	clientLoop.Post(func() {
		if !c.UsesTLS() || !c.Write([]byte(strings.Repeat("x", size))) {
			t.Error("got a connection without TLS or a failed write, want a write over TLS")
		}
	})
	for await(t, "the echo", client.counted) < size {
	}
	clientLoop.Post(c.Close)
	if n := await(t, "the end at the client", client.closed); n != size {
		t.Errorf("the client received %d bytes, want %d", n, size)
	}
	_ = await(t, "the end at the server", server.closed)
}

// If the peer never starts the handshake, the handshake fails at its timeout, which ends its goroutine, and the
// connection is closed.
func TestTLSHandshakeTimeout(t *testing.T) {
	l := startLoop(t)
	r := newRecorder()
	serve(t, l, r)
	c := await(t, "a connection", r.accepted)
	handshake := make(chan error, 1)
	l.Post(func() {
		c.StartServerTLS(&tls.Config{}, 20*time.Millisecond, func(_ tls.ConnectionState, err error) { handshake <- err })
	})
	if err := await(t, "the end of the handshake", handshake); err == nil {
		t.Error("got a successful handshake without a client, want an error")
	}
	_ = await(t, "the end", r.closed)
}
