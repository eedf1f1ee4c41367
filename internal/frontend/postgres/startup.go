package postgres

import (
	"crypto/rand"
	"fmt"
	"strings"

	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
)

// startupParameters is what the frontend takes from a startup packet.
type startupParameters struct {
	user string
	// unknownOptions are protocol options, of which the frontend knows none.
	unknownOptions []string
}

// readStartup reads one of a connection's first messages. Like readMessage it consumes a message
// before it acts on it, since an answer that is written at once stands for what was consumed. The
// message's bytes stay where they are meanwhile.
func (c *connection) readStartup(in *netio.Buffer) (more bool, err error) {
	if c.login.exchange != nil {
		return c.readLoginMessage(in)
	}
	mayStartTLS := c.frontend.opts.TLS != nil && !c.socket.UsesTLS()
	if b := in.Bytes(); mayStartTLS && len(b) > 0 && b[0] == tlsHandshakeRecord {
		c.startDirectTLS()
		return false, nil
	}
	code, body, n, err := pgproto.ReadStartup(in.Bytes())
	if err != nil || n == 0 {
		return false, err
	}
	in.Consume(n)
	switch {
	case code == pgproto.SSLRequest && mayStartTLS:
		if in.Len() > 0 { // what came before the handshake may be another's than what comes in it (CVE-2021-23222)
			return false, newError(codeProtocolViolation, "received unencrypted data after SSL request")
		}
		c.acceptTLS()
		return false, nil
	case code == pgproto.SSLRequest || code == pgproto.GSSENCRequest:
		c.out.encryptionAnswer(pgproto.EncryptionDeclined)
		return true, nil
	case code == pgproto.CancelRequest:
		c.frontend.cancel(body)
		c.ended = true
		c.socket.Close()
		return true, nil
	case majorVersion(code) != majorVersion(pgproto.Version):
		return false, fmt.Errorf("protocol version %d.%d is not supported", majorVersion(code), code&0xffff)
	}
	return true, c.start(code, body)
}

func majorVersion(code uint32) uint32 { return code >> 16 }

// start acts on a startup packet.
func (c *connection) start(version uint32, body []byte) error {
	parameters, err := c.readStartupParameters(body)
	if err != nil {
		return err
	}
	if e := c.admit(parameters.user); e != nil {
		c.fatal(e)
		return nil
	}
	c.user = parameters.user
	if version > pgproto.Version || len(parameters.unknownOptions) > 0 {
		c.out.negotiateProtocolVersion(parameters.unknownOptions)
	}
	if c.frontend.opts.Users != nil {
		return c.startLogin()
	}
	c.completeStartup()
	return nil
}

// readStartupParameters reads a startup packet. Parameters that set up the session take effect here.
func (c *connection) readStartupParameters(body []byte) (p startupParameters, err error) {
	r := pgproto.Reader{Rest: body}
	for {
		name := r.CString()
		if name == "" {
			break
		}
		value := r.CString()
		switch {
		case strings.HasPrefix(name, "_pq_."):
			p.unknownOptions = append(p.unknownOptions, name)
		case name == "user":
			p.user = value
		case name == statementTimeoutSetting:
			if e := c.session.setStatementTimeout(value); e != nil {
				return p, e
			}
		case name == "options":
			if e := c.setServerOptions(value); e != nil {
				return p, e
			}
		}
	}
	if !r.Complete() {
		return p, fmt.Errorf("%w: the startup packet", pgproto.ErrMalformed)
	}
	return p, nil
}

// admit returns why a client is not admitted, or nil.
func (c *connection) admit(user string) *pgproto.Error {
	opts := c.frontend.opts
	switch {
	case user == "":
		return newError(codeInvalidAuthorization, "no user name in the startup packet")
	case opts.MaxClients > 0 && len(c.frontend.connections) > opts.MaxClients:
		return newError(codeTooManyConnections, "too many clients already")
	case opts.RequireTLS && !c.socket.UsesTLS():
		return newError(codeInvalidAuthorization, "this gateway takes encrypted connections only")
	}
	return nil
}

// setServerOptions takes the server options of a startup packet, as in "-c statement_timeout=5s".
// All others are ignored.
func (c *connection) setServerOptions(text string) *pgproto.Error {
	words := strings.Fields(text)
	for i, word := range words {
		switch {
		case word == "-c" && i+1 < len(words):
			word = words[i+1]
		case strings.HasPrefix(word, "-c"):
			word = word[len("-c"):]
		case strings.HasPrefix(word, "--"):
			word = word[len("--"):]
		default:
			continue
		}
		name, value, _ := strings.Cut(word, "=")
		if strings.ReplaceAll(name, "-", "_") == statementTimeoutSetting {
			return c.session.setStatementTimeout(value)
		}
	}
	return nil
}

// reportedParameters are told to each client that has started.
var reportedParameters = []struct{ name, value string }{
	{"server_version", "16.0 (ringwood)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// completeStartup answers a startup packet, or the login behind it.
func (c *connection) completeStartup() {
	c.started = true
	c.out.authenticationOK()
	for _, p := range reportedParameters {
		c.out.parameterStatus(p.name, p.value)
	}
	_, _ = rand.Read(c.secretKey[:]) // it never fails
	c.out.backendKeyData(c.processID, c.secretKey)
	c.readyForQuery()
}
