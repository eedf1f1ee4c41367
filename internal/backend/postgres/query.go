package postgres

import (
	"gannetspur/internal/core"
	"gannetspur/internal/decide/connpool"
	"gannetspur/internal/pgproto"
)

// query is the attempt that is assigned to a connection, with its progress. The attempt may still wait for the
// connection's startup.
type query struct {
	attempt     *core.Attempt    // nil if the connection is free
	ticket      *connpool.Ticket // the pool's record of the attempt; nil without an attempt
	written     bool             // the statement was written to the connection
	continued   bool             // a partial response was relayed, and the transaction is still open
	cancelled   bool             // the attempt was cancelled, and waits for the engine to end the statement
	preparedKey string           // key of the statement; empty if it belongs to a transaction
	newName     string           // name that the Parse of the statement creates; empty if there is none
}

// statement returns the statement of the connection's attempt, or nil if there is none.
func (c *connection) statement() *pgproto.Statement {
	if c.query.attempt == nil {
		return nil
	}
	statement, _ := c.query.attempt.Request.Statement.(*pgproto.Statement)
	return statement
}

// startQuery assigns an attempt to the connection, and writes its statement if the startup is complete.
func (c *connection) startQuery(a *core.Attempt, ticket *connpool.Ticket) {
	c.query = query{attempt: a, ticket: ticket}
	c.resetResponse()
	a.BackendState = c
	if c.startup.done {
		c.writeStatement()
	}
}

// writeStatement sends the messages of the statement in one write: Parse if the statement is not yet prepared on
// this connection, then Bind, Describe and Execute.
func (c *connection) writeStatement() {
	statement := c.statement()
	if statement == nil || !c.backend.core.BeginWrite(c.query.attempt) {
		c.retired = c.retired || c.query.continued // closing the connection rolls its transaction back
		c.finish(core.OutcomeNotSent, core.Report{})
		return
	}
	c.query.written = true
	sent := c.socket.Write(c.encodeStatement(statement))
	if sent || c.query.continued { // if a continued statement was not sent, Closed is called and ends the attempt
		return
	}
	c.query.written = false // the connection has ended, so the statement has not run
	c.retired = true
	c.finish(core.OutcomeNotSent, core.Report{})
}

// encodeStatement returns the messages that run a statement, preceded by those that apply its settings and begin
// its transaction.
func (c *connection) encodeStatement(statement *pgproto.Statement) (messages []byte) {
	if !c.query.continued {
		messages, c.response.precedingStatements = c.session.appendSettings(messages, statement.Settings)
	}
	if statement.BeginQuery != "" {
		messages = appendPrecedingStatement(messages, statement.BeginQuery)
		c.response.precedingStatements++
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

// finish ends the attempt. Before that, it removes the attempt from the connection, and returns the connection to
// the pool, resets its session or closes it.
func (c *connection) finish(outcome core.Outcome, report core.Report) {
	a := c.query.attempt
	statement := c.statement()
	if c.query.cancelled && outcome != core.OutcomeServed {
		outcome = core.OutcomeCancelled
	}
	if statement != nil && outcome == core.OutcomeServed {
		c.session.commitSettings(statement)
	}
	c.clearQuery()
	c.lastUsed = c.backend.core.Now()
	switch {
	case c.retired:
		c.close(core.OutcomeIdleClosed)
	case a.Request.Streaming || c.session.unknown() || statement != nil && statement.TaintsSession:
		c.resetSession()
	default:
		c.becomeIdle()
	}
	c.backend.core.EndAttempt(a, outcome, report)
}

// clearQuery removes the attempt from the connection, and releases its buffered rows and its ticket.
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
