package postgres

import (
	"crypto/tls"
	"errors"
	"fmt"
	"strings"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/scramauth"
)

// greet begins the startup.
func (l *link) greet() {
	opts := l.all.opts
	var body []byte
	for _, s := range []string{"user", opts.User, "database", opts.Database, "application_name", "ringwood"} {
		body = append(body, pgproto.CString(s)...)
	}
	l.conn.Write(pgproto.AppendStartup(nil, pgproto.Version, append(body, 0)))
}

// encrypt takes the engine's answer to an SSLRequest, one byte. Guards against an engine, or whoever is
// in its place, that declines or says more than that in the clear.
func (l *link) encrypt(in *netio.Buffer) {
	if in.Len() == 0 || l.conn.UsesTLS() {
		return
	}
	b := in.Bytes()
	yes := len(b) == 1 && b[0] == 'S'
	in.Consume(in.Len())
	if !yes {
		l.all.log.Warn("engine.unencrypted", "engine", l.engine.ID)
		l.close(core.OutcomeConnectionRefused)
		return
	}
	l.conn.StartClientTLS(l.all.opts.TLS, l.all.opts.ConnectTimeout, func(_ tls.ConnectionState, err error) {
		l.asking = false
		if err != nil {
			l.all.log.Warn("engine.tls-failed", "engine", l.engine.ID, "error", err)
			l.close(core.OutcomeConnectionRefused)
			return
		}
		l.greet()
	})
}

// authenticate takes one step of the engine's authentication: none, or SCRAM (RFC 5802), by which
// both sides prove that they know the password.
func (l *link) authenticate(body []byte) error {
	r := pgproto.Reader{Rest: body}
	switch code := r.Int32(); {
	case r.Invalid:
		return pgproto.ErrMalformed
	case code == pgproto.AuthOK && l.proving != nil && !l.proving.Valid():
		return errors.New("it has not proved that it knows the password")
	case code == pgproto.AuthOK:
		return nil
	case code == pgproto.AuthSASL && l.all.prover != nil && l.proving == nil && strings.Contains("\x00"+string(r.Rest), "\x00"+scramauth.Mechanism+"\x00"):
		l.proving = l.all.prover.NewConversation()
		first, err := l.proving.Step("")
		if err != nil {
			return fmt.Errorf("scram: %w", err)
		}
		l.conn.Write(pgproto.AppendMessage(nil, 'p', pgproto.CString(scramauth.Mechanism), pgproto.Int32(len(first)), []byte(first)))
	case code == pgproto.AuthSASLContinue && l.proving != nil:
		final, err := l.proving.Step(string(r.Rest))
		if err != nil {
			return fmt.Errorf("scram: %w", err)
		}
		l.conn.Write(pgproto.AppendMessage(nil, 'p', []byte(final)))
	case code == pgproto.AuthSASLFinal && l.proving != nil:
		if _, err := l.proving.Step(string(r.Rest)); err != nil {
			return fmt.Errorf("scram: %w", err)
		}
	default:
		return fmt.Errorf("it wants a kind of authentication that is not spoken here (%d), or there is no password", code)
	}
	return nil
}
