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

// applicationName is the application_name that engines show for the gateway's connections.
const applicationName = "ringwood"

var (
	errPasswordNotProved = errors.New("the engine did not prove that it knows the password")
	errAuthentication    = errors.New("unsupported authentication method, or no password configured")
)

// startup is the progress of a connection's startup, with the cancel key that the engine sends in it.
type startup struct {
	done        bool                      // the startup is complete, and the connection has not ended since
	awaitingTLS bool                      // the answer to the SSLRequest or the end of the TLS handshake is pending
	scram       *scram.ClientConversation // nil before the engine requests SCRAM
	cancelKey   []byte                    // process ID and secret key, encoded as in a CancelRequest; nil if unknown
}

// beginStartup requests TLS or sends the startup message. It closes the connection at the deadline, because an
// engine may accept connections without ever responding.
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

// writeStartup sends the startup message.
func (c *connection) writeStartup() {
	options := c.backend.options
	var parameters []byte
	for _, text := range []string{"user", options.User, "database", options.Database, "application_name", applicationName} {
		parameters = append(parameters, pgproto.CString(text)...)
	}
	parameters = append(parameters, 0)
	c.socket.Write(pgproto.AppendStartup(nil, pgproto.Version, parameters))
}

// handleTLSAnswer handles the engine's answer to an SSLRequest, which is one byte. It closes the connection if the
// engine, or an attacker between it and the gateway, declines TLS or sends further unencrypted bytes.
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

// handleStartupMessage handles a message that only the startup contains.
func (c *connection) handleStartupMessage(kind byte, body []byte) error {
	switch kind {
	case pgproto.MessageAuthentication:
		return c.authenticate(body)
	case pgproto.MessageBackendKeyData:
		c.startup.cancelKey = append([]byte{}, body...)
		return nil
	}
	return fmt.Errorf("%w %q during the startup", errUnexpectedMessage, kind)
}

// completeStartup writes the statement that waits for the connection, or adds the connection to the pool.
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

// authenticate handles one Authentication message. The engine may require no authentication, or SCRAM (RFC
// 5802), in which both sides prove that they know the password.
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

// offersSCRAM reports whether a list of zero-terminated mechanism names contains SCRAM-SHA-256.
func offersSCRAM(mechanisms []byte) bool {
	return strings.Contains("\x00"+string(mechanisms), "\x00"+scramauth.Mechanism+"\x00")
}

// startSCRAM sends the client's first SCRAM message.
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

// scramStep returns the client's response to a challenge.
func scramStep(conversation *scram.ClientConversation, challenge string) (string, error) {
	response, err := conversation.Step(challenge)
	if err != nil {
		return "", fmt.Errorf("scram: %w", err)
	}
	return response, nil
}
