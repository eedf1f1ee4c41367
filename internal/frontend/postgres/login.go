package postgres

import (
	"errors"
	"net"
	"slices"

	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/scramauth"
)

// login is the state of a SCRAM login (RFC 5802) in PostgreSQL's SASL messages.
type login struct {
	exchange        *scramauth.Login // nil if no login is in progress
	initialReceived bool             // the SASLInitialResponse was received
}

// startLogin offers SCRAM, or rejects the client if too many logins from its address have failed.
func (c *connection) startLogin() error {
	f := c.frontend
	if wait := f.loginLimiter.RetryAfter(f.loop.Now(), remoteHost(c.socket)); wait > 0 {
		f.counters.Inc("pgwire.logins-held-off")
		c.fatal(newError(codeInvalidAuthorizationSpecification, "too many failed logins from this address; try again in %d s", int(wait.Seconds())+1))
		return nil
	}
	exchange, err := f.opts.Users.StartLogin(c.user)
	if err != nil {
		return err
	}
	c.login.exchange = exchange
	c.out.authenticationSASL(scramauth.Mechanism)
	return nil
}

// remoteHost returns the remote address of a connection without its port.
func remoteHost(socket *netio.Conn) string {
	host, _, err := net.SplitHostPort(socket.RemoteAddr())
	if err != nil {
		return socket.RemoteAddr()
	}
	return host
}

// readLoginMessage reads and handles one message of a login. The answer is the same for an unknown
// user and for a wrong proof, so that it does not reveal which users exist.
func (c *connection) readLoginMessage(in *netio.Buffer) (more bool, err error) {
	if b := in.Bytes(); len(b) > 0 && b[0] != pgproto.MessagePassword {
		return false, errUnknownMessageType
	}
	_, body, n, err := pgproto.ReadMessage(in.Bytes(), maxLoginMessageSize)
	if err != nil || n == 0 {
		return false, err
	}
	in.Consume(n)
	if !c.login.initialReceived {
		c.login.initialReceived = true
		var ok bool
		if body, ok = readSASLInitialResponse(body); !ok {
			return true, c.rejectLogin(scramauth.ErrMalformedMessage)
		}
	}
	answer, done, err := c.login.exchange.Step(string(body))
	if err != nil {
		return true, c.rejectLogin(err)
	}
	if !done {
		c.out.authenticationSASLContinue(answer)
		return true, nil
	}
	c.out.authenticationSASLFinal(answer)
	c.completeLogin()
	return true, nil
}

// readSASLInitialResponse extracts the client's first SCRAM message from a SASLInitialResponse.
func readSASLInitialResponse(body []byte) (response []byte, ok bool) {
	r := pgproto.Reader{Rest: body}
	mechanism := r.CString()
	response = r.Bytes(r.Int32())
	return response, r.Complete() && mechanism == scramauth.Mechanism
}

// completeLogin starts the session after a successful proof, unless the user has too many connections.
func (c *connection) completeLogin() {
	f := c.frontend
	c.login.exchange = nil
	user := f.opts.Users.Get(c.user)
	if user == nil || user.MaxClients > 0 && f.countUserConnections(c.user) >= user.MaxClients {
		c.fatal(newError(codeTooManyConnections, "too many connections for role %q", c.user))
		return
	}
	f.counters.Inc("pgwire.logins")
	c.completeStartup()
}

// rejectLogin records a failed login and answers it with an error.
func (c *connection) rejectLogin(cause error) error {
	f := c.frontend
	f.loginLimiter.RecordFailure(f.loop.Now(), remoteHost(c.socket))
	f.counters.Inc("pgwire.logins-failed")
	if errors.Is(cause, scramauth.ErrMalformedMessage) {
		return newError(codeProtocolViolation, "malformed SCRAM message")
	}
	c.fatal(newError(codeInvalidPassword, "password authentication failed for user %q", c.user))
	return nil
}

// authorize returns an error if the client's user may not send statements of the class, else nil.
func (c *connection) authorize(class string) *pgproto.Error {
	users := c.frontend.opts.Users
	if users == nil {
		return nil
	}
	user := users.Get(c.user)
	switch {
	case user == nil:
		return newError(codeInvalidAuthorizationSpecification, "role %q is no longer permitted to log in", c.user)
	case len(user.Classes) > 0 && !slices.Contains(user.Classes, class):
		return newError(codeInsufficientPrivilege, "permission denied: role %q may not use class %s", c.user, class)
	}
	return nil
}
