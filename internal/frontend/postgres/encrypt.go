package postgres

import "crypto/tls"

// tlsHandshake is the first byte of a connection that begins with TLS (RFC 8446, 5.1).
const tlsHandshake = 0x16

// ALPN is the protocol's name in TLS; who begins with TLS must name it.
const ALPN = "postgresql"

// encrypt begins TLS: behind an SSLRequest, or directly.
func (k *conn) encrypt(direct bool) {
	f := k.front
	k.conn.StartServerTLS(f.opts.TLS, startupMost, func(s tls.ConnectionState, err error) {
		switch {
		case err != nil:
			f.stats.Add("pgwire.tls-failed")
		case direct && s.NegotiatedProtocol != ALPN:
			f.stats.Add("pgwire.tls-failed")
			k.ended = true
			k.conn.Close()
		default:
			f.stats.Add("pgwire.tls")
		}
	})
}
