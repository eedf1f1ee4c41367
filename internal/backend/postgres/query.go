package postgres

import (
	"gannetspur/internal/core"
	"gannetspur/internal/decide/connpool"
	"gannetspur/internal/pgproto"
)

// query is the attempt on a connection, which may still wait for the connection's startup.
type query struct {
	attempt     *core.Attempt // nil: none
	ticket      *connpool.Ticket
	written     bool
	continued   bool   // a part of the answer was passed on, and its transaction goes on
	cancelled   bool   // its end at the engine is waited for
	preparedKey string // of its statement, unless that belongs to a transaction
	newName     string // that its Parse gives; "": none
}

// statement returns what the attempt runs, or nil if there is none.
func (c *connection) statement() *pgproto.Statement {
	if c.query.attempt == nil {
		return nil
	}
	statement, _ := c.query.attempt.Request.Statement.(*pgproto.Statement)
	return statement
}

// startQuery runs an attempt on the connection, once its startup is done.
func (c *connection) startQuery(a *core.Attempt, ticket *connpool.Ticket) {
	c.query = query{attempt: a, ticket: ticket}
	c.resetResponse()
	a.BackendState = c
	if c.startup.done {
		c.writeStatement()
	}
}

// writeStatement sends the statement in one write: parsed where this connection has not
// prepared it yet, bound, described and executed.
func (c *connection) writeStatement() {
	statement := c.statement()
	if statement == nil || !c.backend.core.BeginWrite(c.query.attempt) {
		c.finish(core.OutcomeNotSent, core.Report{})
		return
	}
	c.query.written = true
	sent := c.socket.Write(c.encodeStatement(statement))
	if sent || c.query.continued {
		return
	}
	c.query.written = false // the connection has ended: the statement has never run
	c.retired = true
	c.finish(core.OutcomeNotSent, core.Report{})
}

// encodeStatement returns the messages that run a statement, with the settings and the beginning of a transaction
// that it needs ahead of it.
func (c *connection) encodeStatement(statement *pgproto.Statement) (messages []byte) {
	if !c.query.continued {
		messages, c.response.preludes = c.session.appendSettings(messages, statement.Settings)
	}
	if statement.BeginQuery != "" {
		messages = appendPrelude(messages, statement.BeginQuery)
		c.response.preludes++
	}
	name, messages := c.prepare(messages, statement)
	if statement.DescribeOnly {
		messages = appendDescribeStatement(messages, name)
	} else {
		messages = appendBind(messages, name, statement.Bind)
		messages = appendDescribePortal(messages)
		messages = appendExecute(messages)
	}
	return pgproto.AppendMessage(messages, pgproto.MessageSync)
}

// finish takes the attempt off the connection, gives the connection back and ends the attempt.
func (c *connection) finish(outcome core.Outcome, report core.Report) {
	a := c.query.attempt
	statement := c.statement()
	if c.query.cancelled && outcome != core.OutcomeServed {
		outcome = core.OutcomeCancelled
	}
	if statement != nil && statement.ChangedSetting != "" && outcome == core.OutcomeServed {
		c.session.settings[statement.ChangedSetting] = statement.Query
	}
	c.clearQuery()
	c.lastUsed = c.backend.core.Now()
	switch {
	case c.retired:
		c.close(core.OutcomeIdleClosed)
	case a.Request.Streaming || statement != nil && statement.TaintsSession:
		c.resetSession()
	default:
		c.becomeIdle()
	}
	c.backend.core.EndAttempt(a, outcome, report)
}

// clearQuery takes the attempt off the connection.
func (c *connection) clearQuery() {
	if c.response.result != nil {
		c.backend.bufferedBytes -= len(c.response.result.Rows)
	}
	if c.query.ticket != nil {
		c.enginePool.pool.Release(c.backend.core.Now(), c.query.ticket)
	}
	c.query.attempt = nil
	c.query.ticket = nil
	c.response.result = nil
	c.response.failure = nil
}
