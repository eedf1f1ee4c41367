package postgres

import (
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// transaction is a client's open transaction. It is one streaming request to the core, of the class
// for writes: the policy chooses an engine for its first statement, and all others go to the same
// engine connection. Statements that may have run are never retried.
type transaction struct {
	beginQuery string            // the statement that began it
	request    *core.Request     // nil if no statement was sent yet or the engine connection is lost
	onAnswer   func(core.Answer) // receives the answer to the statement in flight; nil if none is
	failed     bool              // only its end or a rollback to a savepoint is accepted
	lost       bool              // the engine connection is lost, and the client has not been told yet
	committing bool              // its COMMIT is in flight
	// rollingBack is set while a ROLLBACK of the whole transaction is in flight, which a COMMIT of a failed
	// transaction becomes.
	rollingBack bool
	implicit    bool              // begun for a Query with several statements, and ended with it
	idleTimer   *timerqueue.Timer // limits the time between two statements
	limitTimer  *timerqueue.Timer // limits the whole transaction
}

// detach separates a transaction from its request, whose answer is then ignored.
func (t *transaction) detach() {
	t.request = nil
	t.onAnswer = nil
}

func (t *transaction) stopTimers() {
	t.idleTimer.Stop()
	t.limitTimer.Stop()
}

// transactionStatus returns the transaction status for ReadyForQuery.
func (c *connection) transactionStatus() byte {
	switch {
	case c.transaction == nil:
		return pgproto.TransactionIdle
	case c.transaction.failed:
		return pgproto.TransactionFailed
	}
	return pgproto.TransactionOpen
}

// beginTransaction opens a transaction. The BEGIN is sent to an engine with the first statement.
func (c *connection) beginTransaction(query string) *pgproto.Error {
	f := c.frontend
	class, ok := f.core.Class(f.opts.WriteClass)
	if !ok || class.Idempotency != policy.NotIdempotent {
		return newError(codeFeatureNotSupported, "this gateway has no class for writes, which transactions need")
	}
	if e := c.authorize(class.Name); e != nil {
		return e
	}
	c.openTransaction(&transaction{beginQuery: query})
	return nil
}

// openTransaction makes a transaction the open one and starts its timers.
func (c *connection) openTransaction(tx *transaction) {
	f := c.frontend
	c.transaction = tx
	tx.limitTimer = f.loop.Timers.Add(f.loop.Now()+f.opts.transactionTimeout(), func() {
		c.expireTransaction(errTransactionTimeout())
	})
	c.startIdleTimer()
}

// reportLoss returns the error that tells the client that the transaction's engine connection was lost, or nil if
// it was not lost or the client knows.
func (c *connection) reportLoss() *pgproto.Error {
	tx := c.transaction
	if tx == nil || !tx.lost {
		return nil
	}
	tx.lost = false
	c.inFlight.orphan = nil
	return errTransactionLost()
}

// commitLost is reportLoss for a message that commits the transaction, which ends with it. If a process that died
// had read the message, it may have sent the COMMIT.
func (c *connection) commitLost() *pgproto.Error {
	orphan := c.inFlight.orphan
	e := c.reportLoss()
	if e == nil {
		return nil
	}
	c.closeTransaction()
	if orphan != nil {
		return errCommitInDoubt()
	}
	return e
}

// startIdleTimer limits the time until the transaction's next statement, because the transaction
// holds locks that others may wait for.
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

// expireTransaction ends a transaction and its connection with the error, as PostgreSQL does. It leaves
// a committing transaction alone, which will receive an answer or a report that the engine was lost.
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

// abandonTransaction closes the engine connection of the open transaction, which rolls it back. It does
// nothing if no transaction is open.
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

// closeTransaction ends the transaction on the client's side and closes its portals.
func (c *connection) closeTransaction() {
	c.transaction.stopTimers()
	c.frontend.counters.Inc("pgwire.transactions")
	c.transaction = nil
	c.dropPortals()
}

// executeInTransaction runs a statement in the open transaction, or rejects it if the transaction has
// failed.
func (c *connection) executeInTransaction(message *pgproto.Statement, onResult func(*pgproto.Result)) {
	if e := c.reportLoss(); e != nil {
		c.fail(e)
		return
	}
	if c.transaction.failed {
		c.fail(errInFailedTransaction())
		return
	}
	c.runInTransaction(message, onResult)
}

// runInTransaction runs a statement in the open transaction, even if the transaction has failed.
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

// sendInTransaction submits a statement of the transaction to the core: the first one as a streaming
// request, all others as continuations of that request.
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

// startStreaming submits the transaction's streaming request with its first statement.
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
	orphan := c.inFlight.orphan
	c.inFlight.orphan = nil
	c.inFlight.request = r
	c.frontend.core.AcceptOrphan(r, orphan)
}

// continueStreaming sends the next statement to the transaction's engine.
func (c *connection) continueStreaming(message *pgproto.Statement, timeout time.Duration) {
	tx := c.transaction
	c.inFlight.request = tx.request
	if c.frontend.core.Continue(tx.request, message, timeout) {
		return
	}
	// The engine connection is lost. The final answer was passed to Answer, or will be.
	c.inFlight.request = nil
	tx.request = nil
	tx.onAnswer(core.Answer{Verdict: core.Failed})
}

// PartialAnswer handles the answer to a statement of an open transaction.
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

// endStreaming handles the final answer to the transaction's streaming request.
func (c *connection) endStreaming(a core.Answer) {
	tx := c.transaction
	tx.request = nil
	if tx.onAnswer != nil {
		c.answerInTransaction(a)
		return
	}
	// The engine connection was lost between two statements, or this process is stopping.
	c.inFlight.request = nil
	tx.failed = true
	tx.lost = true
	if c.frontend.draining {
		c.fatal(errShutdown())
	}
}

// answerInTransaction passes an answer to the callback of the statement in flight.
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
