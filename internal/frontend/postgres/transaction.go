package postgres

import (
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// transaction is a client's open transaction. It is one request to the core, of the class for
// writes: the policy chooses an engine for its first statement, and those that follow go to the
// same engine connection. What may have run of it is never retried.
type transaction struct {
	beginQuery string
	request    *core.Request     // nil: no statement was sent yet, or the engine connection is lost
	onAnswer   func(core.Answer) // to the statement that is in flight; nil: none is
	failed     bool              // all but its end is rejected
	committing bool              // its COMMIT is in flight
	implicit   bool              // of one Query with several statements, and ended with it
	idleTimer  *timerqueue.Timer
	limitTimer *timerqueue.Timer
}

// detach separates a transaction from its request, whose answer is no longer waited for.
func (t *transaction) detach() {
	t.request = nil
	t.onAnswer = nil
}

func (t *transaction) stopTimers() {
	t.idleTimer.Stop()
	t.limitTimer.Stop()
}

// transactionStatus is what ReadyForQuery reports.
func (c *connection) transactionStatus() byte {
	switch {
	case c.transaction == nil:
		return pgproto.TransactionIdle
	case c.transaction.failed:
		return pgproto.TransactionFailed
	}
	return pgproto.TransactionOpen
}

// beginTransaction opens a transaction. An engine hears of it with its first statement.
func (c *connection) beginTransaction(query string) *pgproto.Error {
	f := c.frontend
	class, ok := f.core.Class(f.opts.WriteClass)
	if !ok || class.Idempotency != policy.NotIdempotent {
		return newError(codeFeatureNotSupported, "this gateway has no class for writes, which transactions need")
	}
	if e := c.authorize(class.Name); e != nil {
		return e
	}
	c.transaction = &transaction{beginQuery: query}
	c.transaction.limitTimer = f.loop.Timers.Add(f.loop.Now()+f.opts.transactionTimeout(), func() {
		c.expireTransaction(errTransactionTimeout())
	})
	c.startIdleTimer()
	return nil
}

// startIdleTimer bounds the time up to the transaction's next statement: it holds locks that others
// wait for.
func (c *connection) startIdleTimer() {
	f := c.frontend
	tx := c.transaction
	tx.idleTimer.Stop()
	tx.idleTimer = f.loop.Timers.Add(f.loop.Now()+f.opts.idleTransactionTimeout(), func() {
		if c.transaction == tx && c.inFlight.request == nil {
			c.expireTransaction(errIdleTransactionTimeout())
		}
	})
}

// expireTransaction ends a transaction and its connection, as PostgreSQL does. One that is
// committing is left alone: its answer is on its way, or its loss is reported.
func (c *connection) expireTransaction(e *pgproto.Error) {
	if c.ended || c.transaction == nil {
		return
	}
	c.frontend.counters.Inc("pgwire.transactions-expired")
	if c.transaction.committing {
		return
	}
	c.abandonTransaction()
	c.fatal(e)
}

// abandonTransaction closes the engine connection of a transaction, which rolls back.
func (c *connection) abandonTransaction() {
	tx := c.transaction
	if tx == nil {
		return
	}
	tx.stopTimers()
	r := tx.request
	if r == nil {
		return
	}
	tx.detach()
	if c.inFlight.request == r {
		c.inFlight.request = nil
	}
	c.frontend.core.ClientDisconnected(r)
}

// closeTransaction ends the client's transaction.
func (c *connection) closeTransaction() {
	c.transaction.stopTimers()
	c.frontend.counters.Inc("pgwire.transactions")
	c.transaction = nil
	c.dropPortals()
}

// executeInTransaction has a statement run within the open transaction, unless that has failed.
func (c *connection) executeInTransaction(message *pgproto.Statement, onResult func(*pgproto.Result)) {
	if c.transaction.failed {
		c.fail(errInFailedTransaction())
		return
	}
	c.runInTransaction(message, onResult)
}

// runInTransaction has a statement run within the open transaction, whether that has failed or not.
func (c *connection) runInTransaction(message *pgproto.Statement, onResult func(*pgproto.Result)) {
	tx := c.transaction
	c.sendInTransaction(message, func(a core.Answer) {
		if res, ok := resultOf(a); ok && res != nil {
			c.startIdleTimer()
			onResult(res)
			return
		}
		tx.failed = true
		c.startIdleTimer()
		c.fail(transactionError(a))
	})
}

// sendInTransaction puts a statement of the transaction to the core: the first one as a streaming
// request, the others to the engine of that request.
func (c *connection) sendInTransaction(message *pgproto.Statement, onAnswer func(core.Answer)) {
	f := c.frontend
	class, _ := f.core.Class(f.opts.WriteClass)
	timeout := c.session.timeoutOf(class)
	c.transaction.idleTimer.Stop()
	c.transaction.onAnswer = onAnswer
	if c.transaction.request == nil {
		c.startStreaming(class, message, timeout)
		return
	}
	c.continueStreaming(message, timeout)
}

// startStreaming accepts the request that a transaction is.
func (c *connection) startStreaming(class policy.Class, message *pgproto.Statement, timeout time.Duration) {
	tx := c.transaction
	message.BeginQuery = tx.beginQuery
	message.Settings = c.session.settings
	message.User = c.user
	r := &core.Request{
		ID:        c.requestID(),
		Class:     class.Name,
		Statement: message,
		Deadline:  c.frontend.core.Now() + timeout,
		Client:    c,
		Streaming: true,
	}
	tx.request = r
	c.inFlight.request = r
	c.frontend.core.Accept(r)
}

// continueStreaming gives the transaction's engine its next statement.
func (c *connection) continueStreaming(message *pgproto.Statement, timeout time.Duration) {
	tx := c.transaction
	c.inFlight.request = tx.request
	if c.frontend.core.Continue(tx.request, message, timeout) {
		return
	}
	// The engine connection is lost: the request's end is on its way to Answer, or was reported.
	c.inFlight.request = nil
	tx.request = nil
	tx.onAnswer(core.Answer{Verdict: core.Failed})
}

// PartialAnswer takes the answer to a statement of an open transaction.
func (c *connection) PartialAnswer(r *core.Request, a core.Answer) {
	tx := c.transaction
	if tx == nil || tx.request != r || tx.onAnswer == nil {
		return
	}
	if a.EngineError != nil {
		a.Verdict = core.Failed
	}
	c.answerInTransaction(a)
}

// endStreaming takes the final answer to the request that the transaction is.
func (c *connection) endStreaming(a core.Answer) {
	tx := c.transaction
	tx.request = nil
	if tx.onAnswer != nil {
		c.answerInTransaction(a)
		return
	}
	// The engine connection was lost between two statements, or this process ends.
	c.inFlight.request = nil
	tx.failed = true
	if c.frontend.draining {
		c.fatal(errShutdown())
	}
}

// answerInTransaction gives the answer to the statement in flight to whoever waits for it.
func (c *connection) answerInTransaction(a core.Answer) {
	onAnswer := c.transaction.onAnswer
	c.transaction.onAnswer = nil
	c.inFlight.request = nil
	if c.ended || onAnswer == nil {
		return
	}
	onAnswer(a)
	c.resume()
}
