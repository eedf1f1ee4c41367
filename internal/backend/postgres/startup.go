package postgres

import (
	"crypto/tls"
	"errors"
	"fmt"
	"strings"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/scramauth"

	"github.com/xdg-go/scram"
)

// applicationName is what engines show of these connections.
const applicationName = "ringwood"

var (
	errPasswordNotProved = errors.New("the engine has not proved that it knows the password")
	errAuthentication    = errors.New("the engine requires an unsupported kind of authentication, or there is no password")
)

// startup is the state of a connection before its first statement.
type startup struct {
	done        bool // and the connection has not ended since
	awaitingTLS bool // the engine has not agreed to TLS, or its handshake is not over
	scram       *scram.ClientConversation
	cancelKey   []byte // process and secret, as a CancelRequest has them; nil: not known
}

// beginStartup requests TLS or sends the startup message. Guards against an engine that accepts connections and
// then says nothing.
func (c *connection) beginStartup(deadline time.Duration) {
	if c.backend.options.TLS != nil {
		c.startup.awaitingTLS = true
		c.socket.Write(pgproto.AppendStartup(nil, pgproto.SSLRequest, nil))
	} else {
		c.writeStartup()
	}
	c.backend.loop.Timers.Add(deadline, func() {
		if !c.startup.done && c.socket != nil {
			c.close(core.OutcomeConnectTimeout)
		}
	})
}

func (c *connection) writeStartup() {
	options := c.backend.options
	var parameters []byte
	for _, text := range []string{"user", options.User, "database", options.Database, "application_name", applicationName} {
		parameters = append(parameters, pgproto.CString(text)...)
	}
	parameters = append(parameters, 0)
	c.socket.Write(pgproto.AppendStartup(nil, pgproto.Version, parameters))
}

// handleTLSAnswer takes the engine's answer to an SSLRequest, one byte. Guards against an engine, or whoever is
// in its place, that declines or sends more than that unencrypted.
func (c *connection) handleTLSAnswer(in *netio.Buffer) {
	if in.Len() == 0 || c.socket.UsesTLS() {
		return
	}
	answer := in.Bytes()
	agreed := len(answer) == 1 && answer[0] == 'S'
	in.Consume(in.Len())
	if !agreed {
		c.backend.log.Warn("engine.unencrypted", "engine", c.engine.ID)
		c.close(core.OutcomeConnectionRefused)
		return
	}
	c.socket.StartClientTLS(c.backend.options.TLS, c.backend.options.ConnectTimeout, func(_ tls.ConnectionState, err error) {
		c.startup.awaitingTLS = false
		if err != nil {
			c.backend.log.Warn("engine.tls-failed", "engine", c.engine.ID, "error", err)
			c.close(core.OutcomeConnectionRefused)
			return
		}
		c.writeStartup()
	})
}

func (c *connection) handleStartupMessage(kind byte, body []byte) error {
	switch kind {
	case pgproto.MessageAuthentication:
		return c.authenticate(body)
	case pgproto.MessageBackendKeyData:
		c.startup.cancelKey = append([]byte{}, body...)
		return nil
	}
	return fmt.Errorf("%w: %q during the startup", errUnexpectedMessage, kind)
}

// completeStartup runs the statement that waits for the connection, or gives the connection to the pool.
func (c *connection) completeStartup() {
	c.startup.done = true
	c.lastUsed = c.backend.core.Now()
	c.watchIdle()
	c.watchAge()
	if c.query.attempt != nil {
		c.writeStatement()
	} else {
		c.becomeIdle()
	}
	c.backend.openAhead(c.engine.ID)
}

// authenticate takes one step of the engine's authentication: none, or SCRAM (RFC 5802), by which
// both sides prove that they know the password.
func (c *connection) authenticate(body []byte) error {
	r := pgproto.Reader{Rest: body}
	code := r.Int32()
	if r.Invalid {
		return pgproto.ErrMalformed
	}
	conversation := c.startup.scram
	switch {
	case code == pgproto.AuthOK:
		if conversation != nil && !conversation.Valid() {
			return errPasswordNotProved
		}
		return nil
	case code == pgproto.AuthSASL && conversation == nil && c.backend.scramClient != nil && offersSCRAM(r.Rest):
		return c.startSCRAM()
	case code == pgproto.AuthSASLContinue && conversation != nil:
		final, err := scramStep(conversation, string(r.Rest))
		if err != nil {
			return err
		}
		c.socket.Write(pgproto.AppendMessage(nil, pgproto.MessagePassword, []byte(final)))
		return nil
	case code == pgproto.AuthSASLFinal && conversation != nil:
		_, err := scramStep(conversation, string(r.Rest))
		return err
	}
	return fmt.Errorf("%w (%d)", errAuthentication, code)
}

// offersSCRAM reports whether a list of mechanisms, each ended by a zero, has the one that is supported.
func offersSCRAM(mechanisms []byte) bool {
	return strings.Contains("\x00"+string(mechanisms), "\x00"+scramauth.Mechanism+"\x00")
}

func (c *connection) startSCRAM() error {
	c.startup.scram = c.backend.scramClient.NewConversation()
	first, err := scramStep(c.startup.scram, "")
	if err != nil {
		return err
	}
	mechanism := pgproto.CString(scramauth.Mechanism)
	c.socket.Write(pgproto.AppendMessage(nil, pgproto.MessagePassword, mechanism, pgproto.Int32(len(first)), []byte(first)))
	return nil
}

func scramStep(conversation *scram.ClientConversation, challenge string) (string, error) {
	response, err := conversation.Step(challenge)
	if err != nil {
		return "", fmt.Errorf("scram: %w", err)
	}
	return response, nil
}
