package postgres

import (
	"crypto/tls"

	"gannetspur/internal/pgproto"
)

// tlsHandshakeRecord is the first byte of a connection that begins with TLS (RFC 8446, 5.1).
const tlsHandshakeRecord = 0x16

// ALPN is the protocol's name in TLS. A client that begins with TLS must name it.
const ALPN = "postgresql"

// acceptTLS accepts an SSLRequest and starts TLS behind it.
func (c *connection) acceptTLS() {
	c.out.encryptionAnswer(pgproto.EncryptionAccepted)
	c.flush()
	c.startTLS(func(tls.ConnectionState) bool { return true })
}

// startDirectTLS starts TLS with a client that sent no SSLRequest before it.
func (c *connection) startDirectTLS() {
	c.startTLS(func(s tls.ConnectionState) bool { return s.NegotiatedProtocol == ALPN })
}

// startTLS starts TLS. A handshake that is not acceptable ends the connection.
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
