package postgres

import (
	"crypto/tls"

	"gannetspur/internal/pgproto"
)

// tlsHandshakeRecord is the first byte of a connection that starts with a TLS handshake (RFC 8446,
// section 5.1).
const tlsHandshakeRecord = 0x16

// ALPN is the ALPN protocol name of PostgreSQL. Clients that start TLS without an SSLRequest must
// offer it.
const ALPN = "postgresql"

// acceptTLS accepts an SSLRequest and starts the TLS handshake.
func (c *connection) acceptTLS() {
	c.out.encryptionAnswer(pgproto.EncryptionAccepted)
	c.flush()
	c.startTLS(func(tls.ConnectionState) bool { return true })
}

// startDirectTLS starts the TLS handshake of a client that sent no SSLRequest.
func (c *connection) startDirectTLS() {
	c.startTLS(func(s tls.ConnectionState) bool { return s.NegotiatedProtocol == ALPN })
}

// startTLS starts the TLS handshake. It closes the connection if acceptable rejects the outcome.
func (c *connection) startTLS(acceptable func(tls.ConnectionState) bool) {
	f := c.frontend
	c.socket.StartServerTLS(f.opts.TLS, startupTimeout, func(s tls.ConnectionState, err error) {
		switch {
		case err != nil:
			f.counters.Inc("pgwire.tls-failed")
		case !acceptable(s):
			f.counters.Inc("pgwire.tls-failed")
			c.ended = true
			c.socket.Close()
		default:
			f.counters.Inc("pgwire.tls")
		}
	})
}
