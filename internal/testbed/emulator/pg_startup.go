package emulator

import (
	"crypto/tls"
	"net"
	"strings"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/scramauth"
)

// startUp handles the messages before the first statement: a request for encryption, the startup message and the
// login. It returns false if no statements follow: the connection was made for a CancelRequest, or its user was
// refused.
func (c *pgConnection) startUp() (ok bool, err error) {
	for {
		code, body, n, err := pgproto.ReadStartup(c.in)
		if err != nil {
			return false, err
		}
		c.in = c.in[n:]
		switch {
		case n == 0:
			if err := c.receive(); err != nil {
				return false, err
			}
		case code == pgproto.CancelRequest:
			c.opts.Log.Info("given up")
			return false, nil
		case code == pgproto.SSLRequest:
			c.answerEncryption()
		default:
			return c.logIn(string(body))
		}
	}
}

// answerEncryption accepts encryption if the engine has a certificate.
func (c *pgConnection) answerEncryption() {
	if c.opts.TLS == nil {
		_, _ = c.conn.Write([]byte{pgproto.EncryptionDeclined})
		return
	}
	_, _ = c.conn.Write([]byte{pgproto.EncryptionAccepted})
	c.conn = tls.Server(c.conn, c.opts.TLS)
}

// logIn accepts or refuses the user that the startup message names.
func (c *pgConnection) logIn(startup string) (ok bool, err error) {
	isTrusted := c.opts.User == "" || strings.Contains(startup, "user\x00"+c.opts.User+"\x00")
	switch {
	case c.opts.Logins != nil:
		c.in, err = authenticate(c.conn, startup, c.in, c.opts.Logins)
		return err == nil, err
	case !isTrusted:
		e := pgproto.Error{Severity: "FATAL", Code: "28000", Message: "this user is not trusted here"}
		_, err = c.conn.Write(pgproto.AppendMessage(nil, pgproto.MessageErrorResponse, e.Body()))
		return false, err
	}
	return true, nil
}

// greet appends the messages that end the startup.
func (c *pgConnection) greet() {
	c.reply(pgproto.MessageAuthentication, pgproto.Int32(0))
	c.reply(pgproto.MessageBackendKeyData, pgproto.Int32(1), pgproto.Int32(1))
	c.readyForQuery()
}

// authenticate performs a SCRAM login and returns the input that the client sent beyond it.
func authenticate(c net.Conn, startup string, in []byte, users *scramauth.Users) (rest []byte, err error) {
	_, user, _ := strings.Cut("\x00"+startup, "\x00user\x00")
	user, _, _ = strings.Cut(user, "\x00")
	l, err := users.StartLogin(user)
	if err != nil {
		return nil, err
	}
	out := pgproto.AppendMessage(nil, 'R', pgproto.Int32(pgproto.AuthSASL), pgproto.CString(scramauth.Mechanism), []byte{0})
	p := make([]byte, 4096)
	for step := 0; ; step++ {
		if _, err := c.Write(out); err != nil {
			return nil, err
		}
		var body []byte
		for n := 0; n == 0; {
			if _, body, n, err = pgproto.ReadMessage(in, 1<<16); err != nil {
				return nil, err
			} else if n > 0 {
				in = in[n:]
				break
			}
			m, err := c.Read(p)
			if err != nil {
				return nil, err
			}
			in = append(in, p[:m]...)
		}
		if step == 0 {
			r := pgproto.Reader{Rest: body}
			r.CString()
			body = r.Bytes(r.Int32())
		}
		answer, done, err := l.Step(string(body))
		if err != nil {
			e := pgproto.Error{Severity: "FATAL", Code: "28P01", Message: "password authentication failed"}
			_, _ = c.Write(pgproto.AppendMessage(nil, 'E', e.Body()))
			return nil, err
		}
		if done {
			_, err = c.Write(pgproto.AppendMessage(nil, 'R', pgproto.Int32(pgproto.AuthSASLFinal), []byte(answer)))
			return in, err
		}
		out = pgproto.AppendMessage(nil, 'R', pgproto.Int32(pgproto.AuthSASLContinue), []byte(answer))
	}
}
