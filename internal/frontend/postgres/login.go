package postgres

import (
	"errors"
	"net"

	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/scramauth"
)

// maxLogin bounds a message of a client that has not proved who it is.
const maxLogin = 4 << 10

// askPassword begins a login by SCRAM (RFC 5802) in PostgreSQL's SASL messages.
func (k *conn) askPassword() error {
	f := k.front
	if wait := f.throttle.RetryAfter(f.loop.Now(), host(k.conn)); wait > 0 {
		f.stats.Add("pgwire.logins-held-off")
		k.fatal(fail("28000", "too many failed logins from this address; try again in %d s", int(wait.Seconds())+1))
		return nil
	}
	l, err := f.opts.Users.StartLogin(k.user)
	if err != nil {
		return err
	}
	k.login = l
	k.out = pgproto.AppendMessage(k.out, 'R', pgproto.Int32(pgproto.AuthSASL), pgproto.CString(scramauth.Mechanism), []byte{0})
	return nil
}

// host is the address that a connection comes from, without its port.
func host(c *netio.Conn) string {
	h, _, err := net.SplitHostPort(c.RemoteAddr())
	if err != nil {
		return c.RemoteAddr()
	}
	return h
}

// proof reads one message of a login. Whatever is wrong with it, the client hears the same of a
// user that there is and of one that there isn't.
func (k *conn) proof(in *netio.Buffer) (more bool, err error) {
	if b := in.Bytes(); len(b) > 0 && b[0] != 'p' {
		return false, errKind
	}
	_, body, n, err := pgproto.ReadMessage(in.Bytes(), maxLogin)
	if err != nil || n == 0 {
		return false, err
	}
	in.Consume(n)
	r := pgproto.Reader{Rest: body}
	if !k.proving {
		k.proving = true
		mechanism := r.CString()
		body = r.Bytes(r.Int32())
		if !r.Complete() || mechanism != scramauth.Mechanism {
			return true, k.denied(scramauth.ErrMalformedMessage)
		}
	}
	answer, done, err := k.login.Step(string(body))
	if err != nil {
		return true, k.denied(err)
	}
	if !done {
		k.out = pgproto.AppendMessage(k.out, 'R', pgproto.Int32(pgproto.AuthSASLContinue), []byte(answer))
		return true, nil
	}
	k.out = pgproto.AppendMessage(k.out, 'R', pgproto.Int32(pgproto.AuthSASLFinal), []byte(answer))
	k.login = nil
	if u := k.front.opts.Users.Get(k.user); u == nil || u.MaxClients > 0 && k.front.connected(k.user) >= u.MaxClients {
		k.fatal(fail("53300", "too many connections for role %q", k.user))
		return true, nil
	}
	k.front.stats.Add("pgwire.logins")
	k.welcome()
	return true, nil
}

// denied ends a login that has failed.
func (k *conn) denied(err error) error {
	f := k.front
	f.throttle.RecordFailure(f.loop.Now(), host(k.conn))
	f.stats.Add("pgwire.logins-failed")
	if errors.Is(err, scramauth.ErrMalformedMessage) {
		return fail("08P01", "malformed SCRAM message")
	}
	k.fatal(fail("28P01", "password authentication failed for user %q", k.user))
	return nil
}

// connected is how many connections a user has that are through with their startup.
func (f *Frontend) connected(user string) (n int) {
	for _, k := range f.conns {
		if k.started && !k.ended && k.user == user {
			n++
		}
	}
	return n
}

// mayAsk tells why a client's user may not ask for a class; nil: it may.
func (k *conn) mayAsk(class string) *pgproto.Error {
	users := k.front.opts.Users
	if users == nil {
		return nil
	}
	u := users.Get(k.user)
	if u == nil {
		return fail("28000", "role %q is not permitted to log in any more", k.user)
	}
	for _, c := range u.Classes {
		if c == class {
			return nil
		}
	}
	if len(u.Classes) > 0 {
		return fail("42501", "permission denied: role %q may not ask for class %s", k.user, class)
	}
	return nil
}
