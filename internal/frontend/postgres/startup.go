package postgres

import (
	"crypto/rand"
	"fmt"
	"strings"

	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
)

// startupParameters are the parameters of a startup packet that the frontend uses.
type startupParameters struct {
	user string
	// unknownOptions are the names of all protocol options; the frontend supports none.
	unknownOptions []string
}

// readStartup reads and handles one message before the startup is complete. Like readMessage it
// consumes a message before handling it, because an answer that is written immediately counts as the
// answer to all bytes consumed so far. The message's bytes stay valid while it is handled.
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
		if in.Len() > 0 { // unencrypted data may come from an attacker who injects it before the handshake (CVE-2021-23222)
			return false, newError(codeProtocolViolation, "received unencrypted data after SSL request")
		}
		c.acceptTLS()
		return false, nil
	case code == pgproto.SSLRequest || code == pgproto.GSSENCRequest:
		c.out.encryptionAnswer(pgproto.EncryptionDeclined)
		return true, nil
	case code == pgproto.CancelRequest:
		c.frontend.handleCancelRequest(body)
		c.ended = true
		c.socket.Close()
		return true, nil
	case majorVersion(code) != majorVersion(pgproto.Version):
		return false, fmt.Errorf("protocol version %d.%d is not supported", majorVersion(code), code&0xffff)
	}
	return true, c.start(code, body)
}

func majorVersion(code uint32) uint32 { return code >> 16 }

// start handles a startup packet.
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

// readStartupParameters parses a startup packet. It applies the parameters that configure the session.
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

// admit returns the error for a client that is not admitted, else nil.
func (c *connection) admit(user string) *pgproto.Error {
	opts := c.frontend.opts
	switch {
	case user == "":
		return newError(codeInvalidAuthorizationSpecification, "no user name in the startup packet")
	case opts.MaxClients > 0 && len(c.frontend.connections) > opts.MaxClients:
		return newError(codeTooManyConnections, "too many clients already")
	case opts.RequireTLS && !c.socket.UsesTLS():
		return newError(codeInvalidAuthorizationSpecification, "this gateway accepts only encrypted connections")
	}
	return nil
}

// setServerOptions applies statement_timeout from the options parameter of a startup packet, such as
// "-c statement_timeout=5s". All other options are ignored.
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

// reportedParameters are sent to each client as ParameterStatus at the end of its startup.
var reportedParameters = []struct{ name, value string }{
	{"server_version", "16.0 (ringwood)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// completeStartup completes the startup, after the login if there is one, and starts the session.
func (c *connection) completeStartup() {
	c.started = true
	c.out.authenticationOK()
	for _, p := range reportedParameters {
		c.out.parameterStatus(p.name, p.value)
	}
	_, _ = rand.Read(c.secretKey[:]) // crypto/rand.Read never returns an error
	c.out.backendKeyData(c.processID, c.secretKey)
	c.readyForQuery()
}
