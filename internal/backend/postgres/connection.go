package postgres

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"gannetspur/internal/backend"
	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/timerqueue"
)

const (
	// maxMessagePause is the maximum time between two reads within one message.
	maxMessagePause = 2 * time.Second
	// maxMessageBytes is the maximum length of a message from an engine.
	maxMessageBytes = MaxResultBytes
	// maxBufferBytes is the size of the received data at which reading pauses. It must exceed the largest message.
	maxBufferBytes = maxMessageBytes + 64<<10
)

var (
	errMessageStalled    = errors.New("timeout in the middle of a message")
	errUnexpectedMessage = errors.New("unexpected message")
)

// connection is a connection to an engine. It exists from the moment at which dialing starts.
type connection struct {
	backend    *Backend
	engine     *backend.Engine[*connection]
	enginePool *enginePool
	socket     *netio.Conn // nil before the connection is established and after it has ended

	idle        bool              // the pool counts the connection as idle
	retired     bool              // the connection takes no more statements
	lastUsed    time.Duration     // when the connection was last in use or kept by the pool, on the core's clock
	stallTimer  *timerqueue.Timer // aborts the connection if a message stays incomplete
	closeReason core.Outcome      // first reason for closing the connection; OutcomeUnknown until there is one

	startup  startup
	session  session
	prepared preparedStatements
	query    query
	response response
}

// Owner returns the attempt that is assigned to the connection, or nil.
func (c *connection) Owner() *core.Attempt { return c.query.attempt }

// dial opens a connection to the engine. The returned connection accepts an attempt at once, and sends its
// statement after the startup.
func (b *Backend) dial(engine *backend.Engine[*connection]) *connection {
	c := &connection{
		backend: b, engine: engine, enginePool: b.poolOf(engine.ID),
		session: newSession(), prepared: newPreparedStatements(),
	}
	engine.Connections = append(engine.Connections, c)
	b.counters.Inc("links.dialed")
	deadline := b.loop.Now() + b.options.ConnectTimeout
	b.loop.Dial(engine.Addr, b.options.ConnectTimeout, maxBufferBytes, c, func(socket *netio.Conn, err error) {
		if err != nil {
			c.disconnected(backend.DialOutcome(err))
			return
		}
		c.socket = socket
		c.beginStartup(deadline)
	})
	return c
}

// Retire prevents the connection from taking more statements. An established connection without an attempt, or with
// a cancelled one, is closed at once, and any other connection when it becomes free.
func (c *connection) Retire() {
	c.retired = true
	c.leaveIdle()
	if (c.query.attempt == nil || c.query.cancelled) && c.socket != nil {
		c.close(core.OutcomeIdleClosed)
	}
}

// close closes the connection. Only the reason of the first call is kept.
func (c *connection) close(reason core.Outcome) {
	if c.closeReason == core.OutcomeUnknown {
		c.closeReason = reason
	}
	c.retired = true
	c.leaveIdle()
	if c.socket != nil {
		c.socket.Close()
	}
}

// abort logs err and closes the connection; its attempt fails. err says why the connection is unusable: the engine
// violated the protocol, stopped in the middle of a message, or failed the login or the reset of the session.
func (c *connection) abort(err error) {
	if c.socket == nil || c.closeReason != core.OutcomeUnknown {
		return
	}
	c.backend.log.Warn("engine.unreadable", "engine", c.engine.ID, "error", err)
	c.close(core.OutcomeUnreadable)
}

// Data handles all complete messages in the buffer.
func (c *connection) Data(_ *netio.Conn, in *netio.Buffer) {
	if c.startup.awaitingTLS {
		c.handleTLSAnswer(in)
		return
	}
	for c.closeReason == core.OutcomeUnknown {
		kind, body, n, err := pgproto.ReadMessage(in.Bytes(), maxMessageBytes)
		if err == nil && n > 0 {
			err = c.handleMessage(kind, body, in.Bytes()[:n])
			in.Consume(n)
		}
		if err != nil {
			c.abort(err)
			return
		}
		if n == 0 {
			break
		}
	}
	c.stallTimer.Stop()
	if in.Len() > 0 && c.closeReason == core.OutcomeUnknown {
		due := c.backend.loop.Now() + maxMessagePause
		c.stallTimer = c.backend.loop.Timers.Add(due, func() { c.abort(errMessageStalled) })
	}
}

// handleMessage handles one message. message is the whole message, and body its part after the header.
func (c *connection) handleMessage(kind byte, body, message []byte) error {
	switch kind {
	case pgproto.MessageParameterStatus:
		c.handleParameterStatus(message)
		return nil
	case pgproto.MessageNoticeResponse, pgproto.MessageNotificationResponse: // they concern the session, which belongs to no client
		return nil
	case pgproto.MessageErrorResponse:
		return c.handleError(body)
	case pgproto.MessageReadyForQuery:
		return c.handleReadyForQuery(body)
	}
	switch {
	case !c.startup.done:
		return c.handleStartupMessage(kind, body)
	case c.session.resetting: // the response to DISCARD ALL, which ReadyForQuery ends
		return nil
	case c.query.attempt == nil:
		return fmt.Errorf("%w %q on an idle connection", errUnexpectedMessage, kind)
	}
	return c.handleResponseMessage(kind, body, message)
}

// Closed handles the end of the socket: it ends the connection's attempt.
func (c *connection) Closed(*netio.Conn, error) {
	switch {
	case c.closeReason != core.OutcomeUnknown:
	case c.query.attempt == nil:
		c.closeReason = core.OutcomeIdleClosed
	case !c.query.written: // the connection ended during the startup, before the statement was sent
		c.closeReason = core.OutcomeConnectionRefused
	default:
		c.closeReason = core.OutcomeConnectionReset
	}
	c.disconnected(c.closeReason)
}

// disconnected ends the connection's attempt and removes the connection, so that the pool can replace it.
func (c *connection) disconnected(outcome core.Outcome) {
	wasUp := c.startup.done
	c.retired = true
	c.socket = nil
	c.startup.done = false
	c.leaveIdle()
	c.enginePool.pool.ConnectionClosed()
	c.stallTimer.Stop()
	c.backend.counters.Inc("links.ended." + outcome.String())
	c.engine.Remove(c)
	if c.query.attempt != nil {
		c.endDisconnected(outcome)
	}
	c.backend.dispatch(c.engine.ID)
	if wasUp { // without this check, an engine that refuses connections would be dialed in an endless loop
		c.backend.openAhead(c.engine.ID)
	}
}

// endDisconnected ends the attempt of a connection that has ended. The report includes the engine's error, if
// one was received.
func (c *connection) endDisconnected(outcome core.Outcome) {
	a := c.query.attempt
	if c.query.cancelled {
		outcome = core.OutcomeCancelled
	}
	var report core.Report
	if c.response.failure != nil {
		report.EngineError = c.response.failure
	}
	c.clearQuery()
	c.backend.core.EndAttempt(a, outcome, report)
}

// watchIdle closes the connection after the pool's idle timeout, unless the pool keeps it. It checks again one
// idle timeout after the connection was last in use or kept.
func (c *connection) watchIdle() {
	idleTimeout := c.backend.options.Pool.IdleTimeout
	if idleTimeout <= 0 {
		return
	}
	due := max(c.lastUsed, c.backend.core.Now()-idleTimeout) + idleTimeout
	c.backend.loop.Timers.Add(due, func() {
		switch {
		case c.socket == nil:
		case c.idle && c.enginePool.pool.IdleExpired(c.backend.core.Now(), c.lastUsed):
			c.close(core.OutcomeIdleClosed)
		default:
			kept := c.idle && c.backend.core.Now() >= c.lastUsed+idleTimeout
			if c.query.attempt != nil || kept {
				c.lastUsed = c.backend.core.Now()
			}
			c.watchIdle()
		}
	})
}

// watchAge retires the connection at the end of its lifetime, which has a random part.
func (c *connection) watchAge() {
	lifetime := c.enginePool.pool.Lifetime(rand.Float64())
	if lifetime <= 0 {
		return
	}
	c.backend.loop.Timers.Add(c.backend.core.Now()+lifetime, func() {
		if c.socket != nil {
			c.Retire()
		}
	})
}
