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
	// maxMessagePause is how long an engine may send nothing in the middle of a message.
	maxMessagePause = 2 * time.Second
	maxMessageBytes = MaxResultBytes
	maxBufferBytes  = maxMessageBytes + 64<<10
)

var (
	errMessageStalled    = errors.New("a message stopped in the middle")
	errUnexpectedMessage = errors.New("unexpected message")
)

// connection is one connection to an engine, from the start of its dial.
type connection struct {
	backend    *Backend
	engine     *backend.Engine[*connection]
	enginePool *enginePool
	socket     *netio.Conn // nil until it is up, and once it has ended

	idle        bool // the pool counts on it for a statement
	retired     bool // takes no more statements
	lastUsed    time.Duration
	stallTimer  *timerqueue.Timer // ends it in the middle of a message
	closeReason core.Outcome      // why it is being closed from this side

	startup  startup
	session  session
	prepared preparedStatements
	query    query
	response response
}

// Owner returns the attempt that the connection carries, or nil.
func (c *connection) Owner() *core.Attempt { return c.query.attempt }

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

// Retire makes the connection take no more statements.
func (c *connection) Retire() {
	c.retired = true
	c.leaveIdle()
	if (c.query.attempt == nil || c.query.cancelled) && c.socket != nil {
		c.close(core.OutcomeIdleClosed)
	}
}

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

// abort ends the connection, and what is open on it, on something that can't be read.
func (c *connection) abort(err error) {
	if c.socket == nil || c.closeReason != core.OutcomeUnknown {
		return
	}
	c.backend.log.Warn("engine.unreadable", "engine", c.engine.ID, "error", err)
	c.close(core.OutcomeUnreadable)
}

// Data handles the messages that are complete.
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

func (c *connection) handleMessage(kind byte, body, message []byte) error {
	switch kind {
	case pgproto.MessageParameterStatus:
		c.handleParameterStatus(message)
		return nil
	case pgproto.MessageNoticeResponse, pgproto.MessageNotificationResponse: // they are the session's, which no client owns
		return nil
	case pgproto.MessageErrorResponse:
		return c.handleError(body)
	case pgproto.MessageReadyForQuery:
		return c.handleReadyForQuery(body)
	}
	switch {
	case !c.startup.done:
		return c.handleStartupMessage(kind, body)
	case c.session.resetting:
		return nil
	case c.query.attempt == nil:
		return fmt.Errorf("%w: %q on an idle connection", errUnexpectedMessage, kind)
	}
	return c.handleResponseMessage(kind, body, message)
}

// Closed ends what was open on the connection.
func (c *connection) Closed(*netio.Conn, error) {
	switch {
	case c.closeReason != core.OutcomeUnknown:
	case c.query.attempt == nil:
		c.closeReason = core.OutcomeIdleClosed
	case !c.query.written: // its startup was cut off: nothing of the attempt was sent
		c.closeReason = core.OutcomeConnectionRefused
	default:
		c.closeReason = core.OutcomeConnectionReset
	}
	c.disconnected(c.closeReason)
}

// disconnected ends what was open on the connection, and lets the pool fill its place.
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
	if wasUp { // otherwise nothing listens there, and dialing at once would go on for ever
		c.backend.openAhead(c.engine.ID)
	}
}

// endDisconnected ends the attempt of a connection that has ended.
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

// watchIdle closes the connection once it has been idle for too long, unless the pool keeps it.
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

// watchAge retires the connection at the end of its lifetime.
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
